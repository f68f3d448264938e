"""Which requests of a team that asks for more than its share are within it."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from oleandershift.ids import RouteId, TeamId

MIN_ROUTE_FRACTION = 0.1
"""Least part of a route's requests within a share, over the part of the team's tokens,
so that none is shut out (docs/PLACEMENT.md)."""

ROUTE_MIX_DECAY = 0.99
"""What remains of a team's mix of routes with each request: about a hundred count."""


@dataclass(slots=True)
class RouteDemand:
    """What a team asks for on one route, as decaying sums.

    Parameters
    ----------
    tokens, requests : float
        Sums over recent requests.
    """

    tokens: float = 0.0
    requests: float = 0.0

    @property
    def mean_tokens(self) -> float:
        """Return the mean size of a request."""
        return self.tokens / self.requests if self.requests else 1.0


def route_fractions(
    kinds: Mapping[RouteId, RouteDemand], part: float
) -> dict[RouteId, float]:
    """Return which part of a team's requests on each route is within its share.

    The parts fall with the mean size of a route's requests, so that a share serves
    more callers: a team's requests get the same tokens each, whatever they ask for,
    but no route falls below `MIN_ROUTE_FRACTION`. They add up to `part` of the tokens.

    Parameters
    ----------
    kinds : mapping
        What the team asks for.
    part : float
        Part of its tokens that is due, 0 to 1.
    """
    least = MIN_ROUTE_FRACTION * part
    due = (part - least) * sum(kind.tokens for kind in kinds.values())
    left = sum(kind.requests for kind in kinds.values())
    parts: dict[RouteId, float] = {}
    for name, kind in sorted(kinds.items(), key=lambda item: item[1].mean_tokens):
        share = due * kind.requests / left if left else 0.0
        more = min(1.0 - least, share / kind.tokens) if kind.tokens else 0.0
        parts[name] = least + more
        due -= more * kind.tokens
        left -= kind.requests
    return parts


class ShareLimiter:
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
        self._kinds: dict[TeamId, dict[RouteId, RouteDemand]] = {}
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
        part = route_fractions(kinds, level / demand)[route]
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
    ) -> Mapping[RouteId, RouteDemand]:
        kinds = self._kinds.setdefault(team, {})
        for kind in kinds.values():
            kind.tokens *= ROUTE_MIX_DECAY
            kind.requests *= ROUTE_MIX_DECAY
        kind = kinds.setdefault(route, RouteDemand())
        kind.tokens += tokens
        kind.requests += 1.0
        return kinds
