"""Hybrid logical clock for ordering events across processes."""

from dataclasses import dataclass


@dataclass(frozen=True, order=True)
class Stamp:
    """Timestamp of a hybrid logical clock.

    Parameters
    ----------
    wall : int
        Nanoseconds since the Unix epoch.
    logical : int
        Counter that orders stamps with equal `wall`.
    """

    wall: int
    logical: int


MAX_CLOCK_SKEW_NS = 3600 * 1_000_000_000
MAX_LOGICAL = 1 << 32


def is_credible(now_ns: int, remote: Stamp) -> bool:
    """Return whether a remote stamp may advance this process's clock.

    The clock never goes backwards, so a stamp far in the future would spread to every
    process and persist.
    """
    return (
        0 <= remote.wall <= now_ns + MAX_CLOCK_SKEW_NS
        and 0 <= remote.logical < MAX_LOGICAL
    )


class HybridLogicalClock:
    """Clock whose stamps respect causality across processes.

    Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally
    Distributed Databases", 2014.
    """

    def __init__(self) -> None:
        self._last = Stamp(0, 0)

    def tick(self, now_ns: int) -> Stamp:
        """Advance the clock and return the stamp of a local event."""
        if now_ns > self._last.wall:
            self._last = Stamp(now_ns, 0)
        else:
            self._last = Stamp(self._last.wall, self._last.logical + 1)
        return self._last

    def receive(self, now_ns: int, remote: Stamp) -> Stamp:
        """Merge the stamp of a received message and return the stamp of its receipt."""
        wall = max(now_ns, self._last.wall, remote.wall)
        logical = -1
        if wall == self._last.wall:
            logical = self._last.logical
        if wall == remote.wall:
            logical = max(logical, remote.logical)
        self._last = Stamp(wall, logical + 1)
        return self._last
