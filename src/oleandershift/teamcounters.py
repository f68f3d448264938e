"""Per-team request counters of one router."""

from dataclasses import dataclass
from typing import TypeAlias

from oleandershift.ids import ServiceId, TeamId
from oleandershift.messages import TeamStatus

_Key: TypeAlias = tuple[TeamId, ServiceId]


@dataclass
class _Counters:
    running: int = 0
    served_cost: float = 0.0
    served: int = 0
    refused: int = 0


class TeamCounters:
    """Counters for each team and service since the start of the router."""

    def __init__(self) -> None:
        self._counters: dict[_Key, _Counters] = {}

    def register(self, team: TeamId, service: ServiceId) -> None:
        """Ensure that a team and service are listed."""
        self._get(team, service)

    def count_start(self, team: TeamId, service: ServiceId) -> None:
        """Count a request that starts."""
        self._get(team, service).running += 1

    def count_end(
        self, team: TeamId, service: ServiceId, cost: float, served: bool
    ) -> None:
        """Count a request that has ended, and whether it was served."""
        counters = self._get(team, service)
        counters.running -= 1
        counters.served_cost += cost
        counters.served += int(served)

    def count_refusal(self, team: TeamId, service: ServiceId) -> None:
        """Count a refused request."""
        self._get(team, service).refused += 1

    def running(self, team: TeamId, service: ServiceId) -> int:
        """Return the number of running requests of a team."""
        return self._get(team, service).running

    def statuses(self, waiting: dict[_Key, int]) -> tuple[TeamStatus, ...]:
        """Return the status of every team and service.

        Parameters
        ----------
        waiting : dict
            Number of waiting requests by team and service; none if absent.
        """
        return tuple(
            TeamStatus(
                team,
                service,
                waiting.get((team, service), 0),
                counters.running,
                counters.served_cost,
                counters.served,
                counters.refused,
            )
            for (team, service), counters in self._counters.items()
        )

    def _get(self, team: TeamId, service: ServiceId) -> _Counters:
        return self._counters.setdefault((team, service), _Counters())
