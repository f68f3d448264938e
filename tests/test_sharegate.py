"""Tests of the share limiter: requests of a flooding team within its share."""

import random

import pytest

from oleandershift.ids import RouteId, TeamId
from oleandershift.sharegate import (
    MIN_ROUTE_FRACTION,
    RouteDemand,
    ShareLimiter,
    route_fractions,
)

A, B = TeamId("a"), TeamId("b")
SMALL_ROUTE, LARGE_ROUTE = RouteId("route"), RouteId("other")


def test_flooding_team_is_limited_to_its_share():
    limiter = ShareLimiter(random.Random(1))
    admitted = sum(
        limiter.admit(A, SMALL_ROUTE, 100, 1000.0, 250.0) for _ in range(1000)
    )
    assert admitted == pytest.approx(250, abs=2)


@pytest.mark.parametrize("seed", range(5))
def test_largest_requests_of_a_flood_are_admitted_as_often_as_the_others(seed):
    """Sizes are distributed as on the users' sheets; the share is a quarter."""
    rng = random.Random(seed)
    limiter = ShareLimiter(rng)
    sizes = [round(rng.lognormvariate(8.5, 1.2)) for _ in range(2000)]
    admitted = [limiter.admit(A, SMALL_ROUTE, size, 1000.0, 250.0) for size in sizes]
    largest = sorted(sizes)[-len(sizes) // 10]
    large = [ok for size, ok in zip(sizes, admitted, strict=True) if size >= largest]
    assert sum(large) / len(large) == pytest.approx(0.25, abs=0.05)
    assert sum(admitted) / len(admitted) == pytest.approx(0.25, abs=0.02)


def test_small_requests_of_a_flood_are_preferred_within_its_share():
    """A mix of chats and documents; the share is a quarter of the tokens."""
    limiter = ShareLimiter(random.Random(1))
    sizes = [(SMALL_ROUTE, 1_000), (SMALL_ROUTE, 1_000), (LARGE_ROUTE, 10_000)] * 500
    admitted = [(r, t, limiter.admit(A, r, t, 1000.0, 250.0)) for r, t in sizes]
    chats = [ok for route, _, ok in admitted if route == SMALL_ROUTE]
    documents = [ok for route, _, ok in admitted if route == LARGE_ROUTE]
    assert sum(chats) / len(chats) > 2 * sum(documents) / len(documents)
    assert sum(documents) / len(documents) >= MIN_ROUTE_FRACTION * 0.25 - 0.02
    tokens = sum(size for _, size, ok in admitted if ok)
    assert tokens == pytest.approx(sum(size for _, size in sizes) / 4, rel=0.05)


@pytest.mark.parametrize("share", [0.05, 0.3, 0.7, 1.0])
def test_fractions_of_routes_add_up_to_the_share(share):
    demand = {
        SMALL_ROUTE: RouteDemand(50_000.0, 50.0),
        LARGE_ROUTE: RouteDemand(300_000.0, 30.0),
        RouteId("third"): RouteDemand(20_000.0, 10.0),
    }
    fractions = route_fractions(demand, share)
    expected = sum(fractions[name] * route.tokens for name, route in demand.items())
    assert expected == pytest.approx(share * 370_000)
    assert all(0.0 <= fraction <= 1.0 for fraction in fractions.values())


def test_requests_of_rare_sizes_are_admitted_by_the_share():
    admitted = [
        ShareLimiter(random.Random(seed)).admit(A, SMALL_ROUTE, 40_000, 1000.0, 250.0)
        for seed in range(400)
    ]
    assert sum(admitted) / len(admitted) == pytest.approx(0.25, abs=0.06)


def test_share_counts_tokens_not_requests():
    limiter = ShareLimiter(random.Random(1))
    sizes = [100, 5000, 300] * 300
    admitted = sum(
        size for size in sizes if limiter.admit(A, SMALL_ROUTE, size, 1000.0, 500.0)
    )
    assert admitted == pytest.approx(sum(sizes) / 2, rel=0.02)


def test_team_below_the_level_is_always_within_its_share():
    limiter = ShareLimiter(random.Random(1))
    assert all(limiter.admit(B, SMALL_ROUTE, 100, 200.0, 250.0) for _ in range(50))
