"""Limits the requests of each team to its share of the fleet's capacity."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from oleandershift.ids import RouteId, TeamId

MIN_ROUTE_FRACTION = 0.1
"""Minimum fraction of a route's requests within the share, relative to the fraction of
the team's tokens, so that no route is starved (docs/PLACEMENT.md)."""

ROUTE_MIX_DECAY = 0.99
"""Decay of a team's route mix per request; the mix covers about a hundred requests."""


@dataclass(slots=True)
class RouteDemand:
    """Demand of a team on one route, as decaying sums.

    Parameters
    ----------
    tokens, requests : float
        Sums over recent requests.
    """

    tokens: float = 0.0
    requests: float = 0.0

    @property
    def mean_tokens(self) -> float:
        """Return the mean size of a request in tokens."""
        return self.tokens / self.requests if self.requests else 1.0


def route_fractions(
    demand: Mapping[RouteId, RouteDemand], fraction: float
) -> dict[RouteId, float]:
    """Return the fraction of a team's requests on each route that is within its share.

    Each request is entitled to the same number of tokens, whatever its size. The
    fraction therefore falls with the mean size of a route's requests, so that a share
    serves more callers. No route falls below `MIN_ROUTE_FRACTION`. The admitted
    requests add up to `fraction` of the team's tokens.

    Parameters
    ----------
    demand : mapping
        Demand of the team by route.
    fraction : float
        Fraction of the team's tokens that is within its share, 0 to 1.
    """
    min_fraction = MIN_ROUTE_FRACTION * fraction
    remaining_tokens = (fraction - min_fraction) * sum(
        route.tokens for route in demand.values()
    )
    remaining_requests = sum(route.requests for route in demand.values())
    fractions: dict[RouteId, float] = {}
    for name, route in sorted(demand.items(), key=lambda item: item[1].mean_tokens):
        route_tokens = (
            remaining_tokens * route.requests / remaining_requests
            if remaining_requests
            else 0.0
        )
        extra = (
            min(1.0 - min_fraction, route_tokens / route.tokens)
            if route.tokens
            else 0.0
        )
        fractions[name] = min_fraction + extra
        remaining_tokens -= extra * route.tokens
        remaining_requests -= route.requests
    return fractions


class ShareLimiter:
    """Classifies the requests of a team as within or beyond its share.

    When a team floods the fleet, only the part of its demand that fits into its share
    is within it. Requests of routes with small requests are admitted more often than
    those of routes with large ones. On one route, large and small requests are admitted
    alike, because each size class (powers of two) has its own credit.

    Parameters
    ----------
    rng : random.Random
        Source of the initial credits, which are random so that requests of rare sizes
        are admitted as often as others.
    """

    def __init__(self, rng: random.Random) -> None:
        self._credits: dict[tuple[TeamId, RouteId, int], float] = {}
        self._demand: dict[TeamId, dict[RouteId, RouteDemand]] = {}
        self._rng = rng

    def admit(
        self, team: TeamId, route: RouteId, tokens: int, requested: float, level: float
    ) -> bool:
        """Return whether a request is within its team's share.

        Parameters
        ----------
        team : TeamId
            Team of the caller.
        route : RouteId
            Route of the request.
        tokens : int
            Size of the request.
        requested, level : float
            Rate that the team requests from the whole fleet, and the largest rate that
            any team is entitled to, in tokens per second.
        """
        demand = self._record_demand(team, route, tokens)
        if requested <= level:
            return True
        fraction = route_fractions(demand, level / requested)[route]
        key = team, route, tokens.bit_length()
        credit = self._credits.get(key)
        if credit is None:
            credit = self._rng.uniform(-0.5, 0.5) * tokens
        credit += tokens * fraction
        within_share = credit >= tokens / 2
        self._credits[key] = credit - tokens if within_share else credit
        return within_share

    def _record_demand(
        self, team: TeamId, route: RouteId, tokens: int
    ) -> Mapping[RouteId, RouteDemand]:
        by_route = self._demand.setdefault(team, {})
        for demand in by_route.values():
            demand.tokens *= ROUTE_MIX_DECAY
            demand.requests *= ROUTE_MIX_DECAY
        demand = by_route.setdefault(route, RouteDemand())
        demand.tokens += tokens
        demand.requests += 1.0
        return by_route
