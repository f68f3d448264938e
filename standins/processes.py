"""Child processes of the tools, which are signalled by handle and never by name."""

import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterable, Sequence
from pathlib import Path

KILL_TIMEOUT_SECONDS = 5.0
SUSPEND_TIMEOUT_SECONDS = 5.0
SUSPEND_POLL_SECONDS = 0.001

HALTED_STATES = ("T", "t", "Z", "X")
"""States of threads that are stopped or have ended (proc(5))."""
STOP_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


class ChildProcess:
    """Python module that runs as a child process.

    Parameters
    ----------
    name : str
        Name in messages and of the log files.
    module : str
        Python module to run.
    args : sequence of str
        Command-line arguments of the module.
    logs : Path
        Directory of `<name>.err`, the output of the process, and of `<name>.jsonl`,
        which is passed as `--log-file` if the module has this flag.
    has_log_file_flag : bool
        Whether the module has the flag `--log-file`.
    """

    def __init__(
        self,
        name: str,
        module: str,
        args: Sequence[str],
        logs: Path,
        has_log_file_flag: bool = True,
    ) -> None:
        self.name = name
        self.stderr_path = logs / f"{name}.err"
        self._command = [sys.executable, "-m", module, *args]
        if has_log_file_flag:
            self._command += ["--log-file", str(logs / f"{name}.jsonl")]
        self._process: subprocess.Popen[bytes] | None = None
        self._start_lock = threading.Lock()

    @property
    def pid(self) -> int:
        """Return the process id; 0 before the first start."""
        return self._process.pid if self._process else 0

    def start(self) -> None:
        """Start the process in a new session, so that Ctrl-C does not reach it.

        A process that is running stays as it is.
        """
        with self._start_lock, self.stderr_path.open("ab") as output:
            if self.is_running():
                return
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def exit_code(self) -> int | None:
        """Return the exit code; None while the process is running."""
        return self._process.poll() if self._process else None

    def stderr_tail(self) -> str:
        """Return the last 2000 characters of its output."""
        if not self.stderr_path.exists():
            return ""
        return self.stderr_path.read_text(errors="replace")[-2000:]

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self.is_running():
            self._process.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has exited."""
        self.signal(signal.SIGKILL)
        self.wait(KILL_TIMEOUT_SECONDS)

    def freeze(self) -> None:
        """Suspend the process; return when it stands still."""
        if self._process is not None and self.is_running():
            suspend(self._process.pid)

    def thaw(self) -> None:
        """Resume the process after `freeze`."""
        self.signal(signal.SIGCONT)

    def wait(self, seconds: float) -> int | None:
        """Wait for the exit and return the exit code; None on timeout."""
        if self._process is None:
            return None
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None


def stop_all(children: Iterable[ChildProcess], seconds: float) -> None:
    """Terminate processes, and kill those still running after some seconds."""
    processes = tuple(children)
    for child in processes:
        child.thaw()
        child.terminate()
    deadline = time.monotonic() + seconds
    for child in processes:
        child.wait(max(deadline - time.monotonic(), 0.0))
    for child in processes:
        child.kill()


def exit_on_signals() -> None:
    """Exit on the first stop signal and ignore later ones, so that cleanup finishes."""

    def exit_once(number: int, _frame: object) -> None:
        for other in STOP_SIGNALS:
            signal.signal(other, signal.SIG_IGN)
        raise SystemExit(0 if number == signal.SIGINT else 128 + number)

    for number in STOP_SIGNALS:
        signal.signal(number, exit_once)


def suspend(pid: int) -> bool:
    """Stop a process with SIGSTOP; return whether it stands still.

    The signal is delivered to a thread at a time, so the others go on for a moment.
    """
    os.kill(pid, signal.SIGSTOP)
    deadline = time.monotonic() + SUSPEND_TIMEOUT_SECONDS
    while not _stands_still(pid):
        if time.monotonic() >= deadline:
            return False
        time.sleep(SUSPEND_POLL_SECONDS)
    return True


def _stands_still(pid: int) -> bool:
    """Return whether no thread of a process can run; True if it has exited."""
    try:
        stats = [path.read_text() for path in Path(f"/proc/{pid}/task").glob("*/stat")]
    except OSError:
        return not Path(f"/proc/{pid}").exists()
    return all(stat.rpartition(")")[2].split()[0] in HALTED_STATES for stat in stats)


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes; 0 if it has exited."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used; 0 if it has exited."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
