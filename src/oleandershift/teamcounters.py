"""Counts of what each team asked for and received at one router."""

from dataclasses import dataclass
from typing import TypeAlias

from oleandershift.ids import ServiceId, TeamId
from oleandershift.messages import TeamStatus

_Key: TypeAlias = tuple[TeamId, ServiceId]


@dataclass
class _Figures:
    running: int = 0
    served_cost: float = 0.0
    served: int = 0
    refused: int = 0


class TeamCounters:
    """Figures of each team and service since the router's start."""

    def __init__(self) -> None:
        self._held: dict[_Key, _Figures] = {}

    def register(self, team: TeamId, service: ServiceId) -> None:
        """Make sure that a team is listed."""
        self._of(team, service)

    def count_start(self, team: TeamId, service: ServiceId) -> None:
        """Count a request that starts to run."""
        self._of(team, service).running += 1

    def count_end(
        self, team: TeamId, service: ServiceId, cost: float, served: bool
    ) -> None:
        """Count a request that has run, and whether it was served."""
        held = self._of(team, service)
        held.running -= 1
        held.served_cost += cost
        held.served += int(served)

    def count_refusal(self, team: TeamId, service: ServiceId) -> None:
        """Count a refused request."""
        self._of(team, service).refused += 1

    def running(self, team: TeamId, service: ServiceId) -> int:
        """Return how many requests of a team run."""
        return self._of(team, service).running

    def statuses(self, waiting: dict[_Key, int]) -> tuple[TeamStatus, ...]:
        """Return every team's figures.

        Parameters
        ----------
        waiting : dict
            Requests that wait, by team and service; absent means none.
        """
        return tuple(
            TeamStatus(
                team,
                service,
                waiting.get((team, service), 0),
                held.running,
                held.served_cost,
                held.served,
                held.refused,
            )
            for (team, service), held in self._held.items()
        )

    def _of(self, team: TeamId, service: ServiceId) -> _Figures:
        return self._held.setdefault((team, service), _Figures())
