"""Begins the callers' requests, a few in each iteration of the event loop."""

import asyncio
from collections.abc import Callable, Hashable
from typing import NamedTuple

from oleandershift.io.clock import now
from oleandershift.turns import TurnQueue

BEGUN_PER_ITERATION = 4
"""Requests that are begun in one iteration of the event loop. What was taken before,
digests and snapshots wait for the end of the iteration."""

MAX_WAITING_PER_TEAM = 64
"""Requests of a team that wait to be begun; on half a core that many take about a tenth
of a second."""


class _WaitingRequest(NamedTuple):
    begin: Callable[[], None]
    offered_at: float


class Intake:
    """Lets requests wait that would make an iteration of the event loop too long.

    Teams take turns, so that the requests of one team do not delay those of others by
    much, and a team whose requests are too many is turned away for the excess.

    Parameters
    ----------
    on_wait : callable
        Called with the current time and the seconds for which a request has waited.
    max_waiting : float
        Requests of a team that may wait.
    """

    def __init__(
        self,
        on_wait: Callable[[float, float], None] = lambda now, wait_s: None,
        max_waiting: float = MAX_WAITING_PER_TEAM,
    ) -> None:
        self._on_wait = on_wait
        self._waiting: TurnQueue[_WaitingRequest] = TurnQueue(max_waiting)
        self._begun = 0
        self._is_scheduled = False

    def offer(self, team_of: Callable[[], Hashable], begin: Callable[[], None]) -> bool:
        """Begin a request now or in its turn; return False if too many wait.

        Parameters
        ----------
        team_of : callable
            Returns whose turn it is counted as; called only if it has to wait.
        begin : callable
            Called once.
        """
        if not self._waiting and self._begun < BEGUN_PER_ITERATION:
            self._begun += 1
            begin()
        elif not self._waiting.put(team_of(), _WaitingRequest(begin, now())):
            return False
        self._schedule()
        return True

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._on_iteration)

    def _on_iteration(self) -> None:
        self._is_scheduled = False
        self._begun = 0
        while self._waiting and self._begun < BEGUN_PER_ITERATION:
            self._begun += 1
            waiting, instant = self._waiting.take(), now()
            self._on_wait(instant, instant - waiting.offered_at)
            waiting.begin()
        if self._begun:
            self._schedule()
