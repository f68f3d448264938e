"""Demand of the teams, and the fair share of each."""

import math
from collections import defaultdict
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


_NO_RATE = TeamRate()


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request as it is counted in the admitted rate of its team.

    Parameters
    ----------
    team : TeamId
        Team of the caller.
    tokens : float
        Size of the request.
    admitted_at : float
        Time of the admission, seconds.
    """

    team: TeamId
    tokens: float
    admitted_at: float


class DecayingRate:
    """A rate as a sum of amounts that decay exponentially.

    Parameters
    ----------
    time_constant_s : float
        Seconds in which an amount decays to 1/e.
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._rate = 0.0
        self._updated_at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount; a negative one takes back what was added before."""
        self._rate = self.at(now) + amount / self._time_constant_s
        self._updated_at = now

    def at(self, now: float) -> float:
        """Return the rate per second."""
        return self._rate * math.exp((self._updated_at - now) / self._time_constant_s)


class DemandMeter:
    """Measures each team's rates at this VM as decaying averages.

    Parameters
    ----------
    window_s : float
        Seconds over which shares are granted.
    """

    def __init__(self, window_s: float) -> None:
        self._time_constant_s = TIME_CONSTANT_FRACTION * window_s
        self._requested: defaultdict[TeamId, DecayingRate]
        self._requested = defaultdict(self._new_rate)
        self._admitted: defaultdict[TeamId, DecayingRate]
        self._admitted = defaultdict(self._new_rate)
        self._started: defaultdict[TeamId, DecayingRate]
        self._started = defaultdict(self._new_rate)

    def record_request(self, now: float, team: TeamId, tokens: float) -> None:
        """Add a request to the requested rate of its team."""
        self._requested[team].add(now, tokens)

    def record_admission(
        self, now: float, team: TeamId, tokens: float
    ) -> AdmittedRequest:
        """Add an admitted request to the admitted rate of its team."""
        self._admitted[team].add(now, tokens)
        return AdmittedRequest(team, tokens, now)

    def withdraw_admission(self, now: float, req: AdmittedRequest) -> None:
        """Remove an admitted request that did not start from the admitted rate."""
        decay = math.exp((req.admitted_at - now) / self._time_constant_s)
        self._admitted[req.team].add(now, -req.tokens * decay)

    def record_start(self, now: float, team: TeamId, tokens: float) -> None:
        """Add a request whose first event has arrived to the started rate."""
        self._started[team].add(now, tokens)

    def rate(self, now: float, team: TeamId) -> TeamRate:
        """Return a team's requested and admitted rate."""
        return TeamRate(
            self._requested[team].at(now) if team in self._requested else 0.0,
            self._admitted[team].at(now) if team in self._admitted else 0.0,
        )

    def rates(self, now: float) -> dict[TeamId, TeamRate]:
        """Return all teams' requested and admitted rates."""
        return {team: self.rate(now, team) for team in self._requested}

    def started_rate(self, now: float, team: TeamId) -> float:
        """Return the rate of a team's requests that have started."""
        return self._started[team].at(now) if team in self._started else 0.0

    def _new_rate(self) -> DecayingRate:
        return DecayingRate(self._time_constant_s)


@dataclass(frozen=True)
class Shares:
    """Fair shares of the fleet's capacity.

    Parameters
    ----------
    rates : mapping
        Rates of each team over the fleet.
    level : float
        Largest rate that any team is entitled to, in tokens per second; infinite while
        the capacity covers all demand.
    spare_level : float
        The same level if all that engines serve is shared, also beyond the declared
        capacity; never less than `level`.
    capacity : float
        Rate that is shared at `level`, in tokens per second.
    """

    rates: Mapping[TeamId, TeamRate] = field(default_factory=dict)
    level: float = math.inf
    spare_level: float = math.inf
    capacity: float = math.inf

    def rate(self, team: TeamId | None) -> TeamRate:
        """Return the rates of a team; zeros for an unknown team and for no team."""
        return _NO_RATE if team is None else self.rates.get(team, _NO_RATE)

    @property
    def total(self) -> TeamRate:
        """Sum of the rates of all teams."""
        rates = self.rates.values()
        return TeamRate(
            sum(rate.requested for rate in rates),
            sum(rate.admitted for rate in rates),
        )

    def entitlement(self, team: TeamId) -> float:
        """Return the rate that a team is entitled to, in tokens per second."""
        return min(self.rate(team).requested, self.level)

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
        return self.total.admitted / total if total else 0.0


def max_min_shares(
    rates: Mapping[TeamId, TeamRate], declared: float, headroom: float
) -> Shares:
    """Return the max-min fair shares of the capacity.

    Parameters
    ----------
    rates : mapping
        Rates of each team over the fleet.
    declared : float
        Capacity that the configuration declares, in tokens per second.
    headroom : float
        Ratio of the capacity to be shared to the currently admitted rate.
    """
    admitted = sum(rate.admitted for rate in rates.values())
    demands = {team: rate.requested for team, rate in rates.items()}
    capacity = min(declared, admitted * headroom)
    return Shares(
        rates,
        level=fair_level(demands, capacity),
        spare_level=fair_level(demands, admitted * headroom),
        capacity=capacity,
    )


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
