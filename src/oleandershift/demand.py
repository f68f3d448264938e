"""Demand of the teams, and the fair share of each."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from oleandershift.ids import TeamId

TIME_CONSTANT_FRACTION = 0.375
"""Time constant of the demand averages, as a fraction of the window over which shares
are granted, so that a flood shows up within the window."""

SHARE_HEADROOM = 1.1
"""Ratio of the capacity to be shared to the currently admitted rate, so that shares can
grow into free capacity."""


@dataclass(frozen=True, slots=True)
class TeamRate:
    """Rates of a team in tokens per second: requested, and admitted."""

    requested: float = 0.0
    admitted: float = 0.0


class DemandMeter:
    """Measures each team's rates at this VM as decaying averages.

    Parameters
    ----------
    window_s : float
        Seconds over which shares are granted.
    """

    def __init__(self, window_s: float) -> None:
        self._time_constant_s = TIME_CONSTANT_FRACTION * window_s
        self._rates: dict[TeamId, tuple[TeamRate, float]] = {}

    def record_request(self, now: float, team: TeamId, tokens: float) -> None:
        """Add a request to the requested rate of its team."""
        rate = self.rate(now, team)
        requested = rate.requested + tokens / self._time_constant_s
        self._rates[team] = (TeamRate(requested, rate.admitted), now)

    def record_admission(self, now: float, team: TeamId, tokens: float) -> None:
        """Add an admitted request to the admitted rate of its team."""
        rate = self.rate(now, team)
        admitted = rate.admitted + tokens / self._time_constant_s
        self._rates[team] = (TeamRate(rate.requested, admitted), now)

    def rate(self, now: float, team: TeamId) -> TeamRate:
        """Return a team's rates."""
        rate, updated_at = self._rates.get(team, (TeamRate(), now))
        decay = math.exp((updated_at - now) / self._time_constant_s)
        return TeamRate(rate.requested * decay, rate.admitted * decay)

    def rates(self, now: float) -> dict[TeamId, TeamRate]:
        """Return all teams' rates."""
        return {team: self.rate(now, team) for team in self._rates}


@dataclass(frozen=True)
class Shares:
    """Fair shares of the fleet's capacity.

    Parameters
    ----------
    rates : mapping
        Requested and admitted rate of each team over the fleet.
    level : float
        Largest rate that any team is entitled to, in tokens per second; infinite while
        the capacity covers all demand.
    """

    rates: Mapping[TeamId, TeamRate] = field(default_factory=dict)
    level: float = math.inf

    def entitlement(self, team: TeamId) -> float:
        """Return the rate that a team is entitled to, in tokens per second."""
        return min(self.rates.get(team, TeamRate()).requested, self.level)

    def shortfall(self, team: TeamId) -> float:
        """Return how far the admitted part of a team's entitlement is below the mean.

        Positive for a team that receives less of its entitlement than all teams
        together receive of theirs, negative for one that receives more.
        """
        entitlement = self.entitlement(team)
        if entitlement <= 0 or self._mean_fraction <= 0:
            return 0.0
        return self._mean_fraction - self.rates[team].admitted / entitlement

    @cached_property
    def _mean_fraction(self) -> float:
        total = sum(self.entitlement(team) for team in self.rates)
        return sum(r.admitted for r in self.rates.values()) / total if total else 0.0


def max_min_shares(
    rates: Mapping[TeamId, TeamRate], declared: float, headroom: float
) -> Shares:
    """Return the max-min fair shares of the capacity.

    Parameters
    ----------
    rates : mapping
        Requested and admitted rate of each team over the fleet.
    declared : float
        Capacity that the configuration declares, in tokens per second.
    headroom : float
        Ratio of the capacity to be shared to the currently admitted rate.
    """
    admitted = sum(rate.admitted for rate in rates.values())
    demands = {team: rate.requested for team, rate in rates.items()}
    return Shares(rates, fair_level(demands, min(declared, admitted * headroom)))


def fair_level(demands: Mapping[TeamId, float], capacity: float) -> float:
    """Return the max-min fair level: the largest rate that any team is entitled to.

    Parameters
    ----------
    demands : mapping
        Rate that each team requests, in tokens per second.
    capacity : float
        Rate that can be served, in tokens per second.

    Returns
    -------
    float
        Level in tokens per second; infinite when the capacity covers all demands.
    """
    remaining = capacity
    ascending = sorted(demands.values())
    for index, demand in enumerate(ascending):
        level = remaining / (len(ascending) - index)
        if demand > level:
            return level
        remaining -= demand
    return math.inf
