"""Watches for pauses of the process, and for their ends."""

import asyncio

from oleandershift.arrivals import ArrivalClock
from oleandershift.io.clock import now
from oleandershift.io.listener import Listener

WATCH_INTERVAL_SECONDS = 0.1
"""Interval at which the event loop shows that it is running. Apart from maintenance,
whose own work may make its next tick late while the loop reads requests."""

ROUNDS_TO_READ = 4
"""Iterations of the event loop in which a connection is opened and read after it was
accepted. In each, all open connections are read that have bytes."""


class PauseWatch:
    """Tells an arrival clock that the loop is running, and when it has caught up.

    Parameters
    ----------
    arrivals : ArrivalClock
        Is told.
    listener : Listener
        Accepts the connections on which requests may have waited.
    """

    def __init__(self, arrivals: ArrivalClock, listener: Listener) -> None:
        self._arrivals = arrivals
        self._listener = listener

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)
            if self._arrivals.tick(now()):
                await self._catch_up()

    async def _catch_up(self) -> None:
        """Let the loop read what waited during a pause."""
        was_queue_empty = False
        rounds_left = ROUNDS_TO_READ
        while rounds_left and self._arrivals.is_catching_up(now()):
            was_queue_empty = was_queue_empty or not self._listener.has_waiting()
            await asyncio.sleep(0)
            if self._arrivals.tick(now()):
                was_queue_empty, rounds_left = False, ROUNDS_TO_READ
            elif was_queue_empty:
                rounds_left -= 1
        self._arrivals.on_all_read(now())
