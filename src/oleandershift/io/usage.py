"""Processor time and memory of this process."""

import resource
from dataclasses import dataclass

PAGE_BYTES = resource.getpagesize()


@dataclass(frozen=True)
class Usage:
    """What this process has used.

    Parameters
    ----------
    cpu_seconds : float
        Processor time since the start.
    resident_bytes : int
        Memory now.
    """

    cpu_seconds: float
    resident_bytes: int


def read_usage() -> Usage:
    """Return what this process has used."""
    times = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return Usage(times.ru_utime + times.ru_stime, pages * PAGE_BYTES)
