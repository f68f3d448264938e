"""CPU time and memory use of this process."""

import resource
from dataclasses import dataclass

PAGE_BYTES = resource.getpagesize()


@dataclass(frozen=True)
class Usage:
    """CPU time and memory use of this process.

    Parameters
    ----------
    cpu_seconds : float
        CPU time since the start of the process.
    resident_bytes : int
        Current resident set size.
    """

    cpu_seconds: float
    resident_bytes: int


def read_usage() -> Usage:
    """Return the CPU time and memory use of this process."""
    times = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return Usage(times.ru_utime + times.ru_stime, pages * PAGE_BYTES)
