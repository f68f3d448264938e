"""Child processes of the tools, ended by their own handles."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterable, Sequence
from pathlib import Path

KILL_TIMEOUT_SECONDS = 5.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)


class ChildProcess:
    """A Python module that runs as a process.

    Parameters
    ----------
    name : str
        For messages; names its log as well.
    module : str
        Module to run.
    args : sequence of str
        Its arguments.
    logs : Path
        Folder for `<name>.jsonl`, given to it as `--log-file` when it takes one, and
        `<name>.err`.
    takes_log_file : bool
        Whether the module has `--log-file`.
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

    @property
    def pid(self) -> int:
        """Return the process id; 0 before the start."""
        return self._process.pid if self._process else 0

    def start(self) -> None:
        """Start it, in a session of its own so that Ctrl-C does not reach it."""
        with self.stderr_path.open("ab") as errors:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=errors,
                stderr=errors,
                start_new_session=True,
            )

    def is_running(self) -> bool:
        """Tell whether it runs."""
        return self._process is not None and self._process.poll() is None

    def exit_code(self) -> int | None:
        """Return its exit code, None while it runs."""
        return self._process.poll() if self._process else None

    def stderr_tail(self) -> str:
        """Return the end of what it wrote to standard error."""
        if not self.stderr_path.exists():
            return ""
        return self.stderr_path.read_text(errors="replace")[-2000:]

    def signal(self, number: int) -> None:
        """Send it a signal, if it runs."""
        if self._process is not None and self.is_running():
            self._process.send_signal(number)

    def terminate(self) -> None:
        """Ask it to stop."""
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        self.wait(KILL_TIMEOUT_SECONDS)

    def freeze(self) -> None:
        """Pause it."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self.signal(signal.SIGCONT)

    def wait(self, seconds: float) -> int | None:
        """Wait for its end; return its exit code, None if it still runs."""
        if self._process is None:
            return None
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None


def stop_all(children: Iterable[ChildProcess], seconds: float) -> None:
    """Ask processes to stop; kill those that have not after some time."""
    held = tuple(children)
    for child in held:
        child.thaw()
        child.terminate()
    deadline = time.monotonic() + seconds
    for child in held:
        child.wait(max(deadline - time.monotonic(), 0.0))
    for child in held:
        child.kill()


def exit_on_signals() -> None:
    """Turn the first signal to stop into an exit; later ones don't disturb it."""

    def leave(number: int, _frame: object) -> None:
        for other in STOP_SIGNALS:
            signal.signal(other, signal.SIG_IGN)
        raise SystemExit(0 if number == signal.SIGINT else 128 + number)

    for number in STOP_SIGNALS:
        signal.signal(number, leave)


def resident_bytes(pid: int) -> int:
    """Return a process's resident memory; 0 when it is gone."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used; 0 when it is gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
