"""Memory and CPU time of processes, read from /proc."""

import os
from pathlib import Path

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_USER_TIME_INDEX, _SYSTEM_TIME_INDEX = 11, 12


def resident_bytes(pid: str) -> int:
    """Return the resident memory of a process, bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def proportional_bytes(pid: str) -> int:
    """Return the proportional set size (PSS) of a process, bytes.

    Each shared page is divided by the number of processes that map it, because
    processes on one machine share the code of the interpreter and the libraries.
    """
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"smaps_rollup of process {pid} has no Pss line")


def cpu_seconds(pid: str) -> float:
    """Return the CPU time of a process since its start, seconds."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (
        int(fields[_USER_TIME_INDEX]) + int(fields[_SYSTEM_TIME_INDEX])
    ) / CLOCK_TICKS
