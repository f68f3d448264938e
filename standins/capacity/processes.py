"""Figures of processes from /proc."""

import os
from pathlib import Path

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_USER, _SYSTEM = 11, 12


def resident_bytes(pid: str) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def proportional_bytes(pid: str) -> int:
    """Return the resident memory of a process, each shared page divided by its users.

    Programs of one machine share the interpreter's and the libraries' code.
    """
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"no Pss of process {pid}")


def cpu_seconds(pid: str) -> float:
    """Return the processor time of a process since its start."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[_USER]) + int(fields[_SYSTEM])) / CLOCK_TICKS
