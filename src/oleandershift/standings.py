"""What upstreams say of themselves: that they leave."""

from collections.abc import Iterable

from oleandershift.directory import Upstream, UpstreamRun

MAX_LEAVING = 1024
"""Limit of the leaving upstreams that are remembered; the oldest are forgotten."""


class UpstreamStandings:
    """What upstreams have said of themselves, each for one run.

    A later run of an upstream starts anew. What a response says counts whatever the
    store says, as that may be away or behind.
    """

    def __init__(self) -> None:
        # In the order in which they were learned.
        self._leaving: dict[UpstreamRun, None] = {}

    def on_leaving(self, run: UpstreamRun) -> bool:
        """Record that an upstream leaves; return whether that is new."""
        if run in self._leaving:
            return False
        self._leaving[run] = None
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return True

    def accepts(self, now: float, run: UpstreamRun) -> bool:
        """Return whether an upstream may get a request."""
        return run not in self._leaving

    def accepting(self, now: float, upstreams: Iterable[Upstream]) -> list[Upstream]:
        """Return the upstreams that may get a request."""
        return [item for item in upstreams if self.accepts(now, item.run)]

    def leaving_count(self) -> int:
        """Return the number of upstreams known to leave."""
        return len(self._leaving)
