"""What teams ask for, and the share that each is due."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from oleandershift.ids import TeamId

TIME_CONSTANT_FRACTION = 0.375
"""Time constant of demand, as a part of the window over which a share is due: a flood
shows within it."""

SHARE_HEADROOM = 1.1
"""Capacity to be shared over what is let in now, so that shares grow into free room."""


@dataclass(frozen=True, slots=True)
class TeamRate:
    """Tokens a second that a team asks for, and that are let in."""

    requested: float = 0.0
    admitted: float = 0.0


class DemandMeter:
    """What each team asks of this VM and is let in, as decaying averages.

    Parameters
    ----------
    window_s : float
        Seconds over which a share is due.
    """

    def __init__(self, window_s: float) -> None:
        self._memory = TIME_CONSTANT_FRACTION * window_s
        self._rates: dict[TeamId, tuple[TeamRate, float]] = {}

    def record_request(self, now: float, team: TeamId, tokens: float) -> None:
        """Take note of a request."""
        rate = self.rate(now, team)
        asked = rate.requested + tokens / self._memory
        self._rates[team] = (TeamRate(asked, rate.admitted), now)

    def record_admission(self, now: float, team: TeamId, tokens: float) -> None:
        """Take note that a request was let in."""
        rate = self.rate(now, team)
        admitted = rate.admitted + tokens / self._memory
        self._rates[team] = (TeamRate(rate.requested, admitted), now)

    def rate(self, now: float, team: TeamId) -> TeamRate:
        """Return a team's rates."""
        rate, at = self._rates.get(team, (TeamRate(), now))
        factor = math.exp((at - now) / self._memory)
        return TeamRate(rate.requested * factor, rate.admitted * factor)

    def rates(self, now: float) -> dict[TeamId, TeamRate]:
        """Return all teams' rates."""
        return {team: self.rate(now, team) for team in self._rates}


@dataclass(frozen=True)
class Shares:
    """What each team is due of what is served.

    Parameters
    ----------
    rates : mapping
        What teams ask for and are let in, over the fleet.
    level : float
        The most tokens a second that a team is due; infinite while all fits.
    """

    rates: Mapping[TeamId, TeamRate] = field(default_factory=dict)
    level: float = math.inf

    def entitlement(self, team: TeamId) -> float:
        """Return the tokens a second that a team is due."""
        return min(self.rates.get(team, TeamRate()).requested, self.level)

    def shortfall(self, team: TeamId) -> float:
        """Return by how much a team's part of its due lies below the mean part."""
        due = self.entitlement(team)
        if due <= 0 or self._mean <= 0:
            return 0.0
        return self._mean - self.rates[team].admitted / due

    @cached_property
    def _mean(self) -> float:
        due = sum(self.entitlement(team) for team in self.rates)
        return sum(r.admitted for r in self.rates.values()) / due if due else 0.0


def max_min_shares(
    rates: Mapping[TeamId, TeamRate], declared: float, headroom: float
) -> Shares:
    """Return the max-min shares of what can be served.

    Parameters
    ----------
    rates : mapping
        What teams ask for and are let in, over the fleet.
    declared : float
        Tokens a second that the configuration declares.
    headroom : float
        Capacity to be shared over what is let in now.
    """
    served = sum(rate.admitted for rate in rates.values())
    asked = {team: rate.requested for team, rate in rates.items()}
    return Shares(rates, fair_level(asked, min(declared, served * headroom)))


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
