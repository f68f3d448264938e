"""Finds the software version at which a stream goes on that a caller takes up."""

from collections.abc import Awaitable, Callable

from oleandershift.arrivals import ArrivalClock
from oleandershift.ids import SoftwareVersion, StreamKey
from oleandershift.io.call import Call
from oleandershift.io.clock import now
from oleandershift.state import FleetState


class TakeUps:
    """Finds the version that began a stream.

    Parameters
    ----------
    state : FleetState
        What this VM knows of streams and versions.
    arrivals : ArrivalClock
        Detects pauses of the process, after which its view is old.
    ask : callable
        Asks the other VMs for a stream.
    """

    def __init__(
        self,
        state: FleetState,
        arrivals: ArrivalClock,
        ask: Callable[[StreamKey], Awaitable[SoftwareVersion | None]],
    ) -> None:
        self._state = state
        self._arrivals = arrivals
        self._ask = ask

    def on_tick(self, now: float) -> None:
        """Doubt what was heard while the process caught up with a pause."""
        if self._arrivals.is_catching_up(now):
            self._state.view.freshness.on_pause()

    async def find_version(self, call: Call) -> SoftwareVersion | None:
        """Return the version that began the stream of a call; None if unknown."""
        versions = self._state.stream_versions
        version = versions.known(call.stream_key) if call.resumes else None
        if version is None and self._has_current_view():
            version = versions.only_version(now(), call.service.name)
        if version is None and call.resumes:
            version = await self._ask(call.stream_key)
        return version

    def _has_current_view(self) -> bool:
        """Return whether this VM would know of another version that serves."""
        instant = now()
        return not (
            self._arrivals.is_catching_up(instant)
            or not self._state.is_current(instant)
        )
