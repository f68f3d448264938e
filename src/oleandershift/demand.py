"""What teams ask for, and the share that each is due."""

import math
from collections.abc import Mapping

from oleandershift.ids import TeamId

MEMORY_SECONDS = 1.5
"""Time constant of demand: a third of the window over which a share is due, so that a
flood shows within it."""


class DemandMeter:
    """Tokens a second that each team asks of this VM, as a decaying average."""

    def __init__(self, memory_seconds: float = MEMORY_SECONDS) -> None:
        self._memory = memory_seconds
        self._rates: dict[TeamId, tuple[float, float]] = {}

    def note(self, now: float, team: TeamId, tokens: float) -> None:
        """Take note of a request."""
        self._rates[team] = (self.rate(now, team) + tokens / self._memory, now)

    def rate(self, now: float, team: TeamId) -> float:
        """Return a team's demand in tokens a second."""
        rate, at = self._rates.get(team, (0.0, now))
        return rate * math.exp((at - now) / self._memory)

    def total(self, now: float) -> float:
        """Return the demand of all teams together."""
        return sum(self.rates(now).values())

    def rates(self, now: float) -> dict[TeamId, float]:
        """Return all teams' demands."""
        return {team: self.rate(now, team) for team in self._rates}


def fair_level(demands: Mapping[TeamId, float], capacity: float) -> float:
    """Return the max-min fair share: the most that any team is due.

    Parameters
    ----------
    demands : mapping
        Tokens a second that each team asks for.
    capacity : float
        Tokens a second that can be served.

    Returns
    -------
    float
        Infinite when all demands can be met.
    """
    left = capacity
    asking = sorted(demands.values())
    for number, demand in enumerate(asking):
        level = left / (len(asking) - number)
        if demand > level:
            return level
        left -= demand
    return math.inf


class ShareGate:
    """Tells which of a team's requests are within its share.

    Answers the load of a team that floods the fleet: as much of its demand as is due
    to it passes, spread evenly, and the rest is marked.
    """

    def __init__(self) -> None:
        self._credit: dict[TeamId, float] = {}

    def admit(self, team: TeamId, tokens: float, demand: float, level: float) -> bool:
        """Return whether a request is within its team's share.

        Parameters
        ----------
        team : TeamId
            Whose request.
        tokens : float
            Its size.
        demand, level : float
            What the team asks of the fleet, and the most it is due, in tokens a
            second.
        """
        if demand <= level:
            self._credit.pop(team, None)
            return True
        credit = self._credit.get(team, 0.0) + tokens * level / demand
        within = credit >= tokens / 2
        self._credit[team] = credit - tokens if within else credit
        return within
