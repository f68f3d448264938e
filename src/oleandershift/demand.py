"""What teams ask for, and the share that each is due."""

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from oleandershift.ids import RouteId, TeamId

MEMORY_SHARE = 0.375
"""Time constant of demand, as a part of the window over which a share is due: a flood
shows within it."""

SHARE_HEADROOM = 1.1
"""Capacity to be shared over what is let in now, so that shares grow into free room."""

LEAST_PART = 0.1
"""Least part of a route's requests within a share, over the part of the team's tokens,
so that none is shut out (docs/PLACEMENT.md)."""

MIX_DECAY = 0.99
"""What remains of a team's mix of routes with each request: about a hundred count."""


@dataclass(frozen=True, slots=True)
class TeamRate:
    """Tokens a second that a team asks for, and that are let in."""

    asked: float = 0.0
    admitted: float = 0.0


class DemandMeter:
    """What each team asks of this VM and is let in, as decaying averages.

    Parameters
    ----------
    window_s : float
        Seconds over which a share is due.
    """

    def __init__(self, window_s: float) -> None:
        self._memory = MEMORY_SHARE * window_s
        self._rates: dict[TeamId, tuple[TeamRate, float]] = {}

    def ask(self, now: float, team: TeamId, tokens: float) -> None:
        """Take note of a request."""
        rate = self.rate(now, team)
        asked = rate.asked + tokens / self._memory
        self._rates[team] = (TeamRate(asked, rate.admitted), now)

    def admit(self, now: float, team: TeamId, tokens: float) -> None:
        """Take note that a request was let in."""
        rate = self.rate(now, team)
        admitted = rate.admitted + tokens / self._memory
        self._rates[team] = (TeamRate(rate.asked, admitted), now)

    def rate(self, now: float, team: TeamId) -> TeamRate:
        """Return a team's rates."""
        rate, at = self._rates.get(team, (TeamRate(), now))
        factor = math.exp((at - now) / self._memory)
        return TeamRate(rate.asked * factor, rate.admitted * factor)

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

    def due(self, team: TeamId) -> float:
        """Return the tokens a second that a team is due."""
        return min(self.rates.get(team, TeamRate()).asked, self.level)

    def shortfall(self, team: TeamId) -> float:
        """Return by how much a team's part of its due lies below the mean part."""
        due = self.due(team)
        if due <= 0 or self._mean <= 0:
            return 0.0
        return self._mean - self.rates[team].admitted / due

    @cached_property
    def _mean(self) -> float:
        due = sum(self.due(team) for team in self.rates)
        return sum(r.admitted for r in self.rates.values()) / due if due else 0.0


def shares_of(
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
    asked = {team: rate.asked for team, rate in rates.items()}
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


@dataclass(slots=True)
class KindDemand:
    """What a team asks for on one route, as decaying sums.

    Parameters
    ----------
    tokens, requests : float
        Sums over recent requests.
    """

    tokens: float = 0.0
    requests: float = 0.0

    @property
    def mean(self) -> float:
        """Return the mean size of a request."""
        return self.tokens / self.requests if self.requests else 1.0


def kind_parts(
    kinds: Mapping[RouteId, KindDemand], part: float
) -> dict[RouteId, float]:
    """Return which part of a team's requests on each route is within its share.

    The parts fall with the mean size of a route's requests, so that a share serves
    more callers: a team's requests get the same tokens each, whatever they ask for,
    but no route falls below `LEAST_PART`. They add up to `part` of the tokens.

    Parameters
    ----------
    kinds : mapping
        What the team asks for.
    part : float
        Part of its tokens that is due, 0 to 1.
    """
    least = LEAST_PART * part
    due = (part - least) * sum(kind.tokens for kind in kinds.values())
    left = sum(kind.requests for kind in kinds.values())
    parts: dict[RouteId, float] = {}
    for name, kind in sorted(kinds.items(), key=lambda item: item[1].mean):
        share = due * kind.requests / left if left else 0.0
        more = min(1.0 - least, share / kind.tokens) if kind.tokens else 0.0
        parts[name] = least + more
        due -= more * kind.tokens
        left -= kind.requests
    return parts


class ShareGate:
    """Tells which of a team's requests are within its share.

    Answers the load of a team that floods the fleet: as much of its demand as is due
    to it passes, and the rest is marked. Routes of small requests pass more often than
    those of large ones; on one route, large and small pass alike, as each class of
    sizes (powers of two) has a credit of its own.

    Parameters
    ----------
    rng : random.Random
        Sets the first credits, so that requests of rare sizes pass as often as others.
    """

    def __init__(self, rng: random.Random) -> None:
        self._credit: dict[tuple[TeamId, RouteId, int], float] = {}
        self._kinds: dict[TeamId, dict[RouteId, KindDemand]] = {}
        self._rng = rng

    def admit(
        self, team: TeamId, route: RouteId, tokens: int, demand: float, level: float
    ) -> bool:
        """Return whether a request is within its team's share.

        Parameters
        ----------
        team : TeamId
            Whose request.
        route : RouteId
            Its route.
        tokens : int
            Its size.
        demand, level : float
            What the team asks of the fleet, and the most it is due, in tokens a
            second.
        """
        kinds = self._noted(team, route, tokens)
        if demand <= level:
            return True
        part = kind_parts(kinds, level / demand)[route]
        key = team, route, tokens.bit_length()
        credit = self._credit.get(key)
        if credit is None:
            credit = self._rng.uniform(-0.5, 0.5) * tokens
        credit += tokens * part
        within = credit >= tokens / 2
        self._credit[key] = credit - tokens if within else credit
        return within

    def _noted(
        self, team: TeamId, route: RouteId, tokens: int
    ) -> Mapping[RouteId, KindDemand]:
        kinds = self._kinds.setdefault(team, {})
        for kind in kinds.values():
            kind.tokens *= MIX_DECAY
            kind.requests *= MIX_DECAY
        kind = kinds.setdefault(route, KindDemand())
        kind.tokens += tokens
        kind.requests += 1.0
        return kinds
