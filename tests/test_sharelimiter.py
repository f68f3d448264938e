"""The share gate: which requests of a flood pass."""

import random

import pytest

from oleandershift.ids import RouteId, TeamId
from oleandershift.sharelimiter import (
    MIN_ROUTE_FRACTION,
    RouteDemand,
    ShareLimiter,
    route_fractions,
)

A, B = TeamId("a"), TeamId("b")
ROUTE, OTHER = RouteId("route"), RouteId("other")


def test_flooding_team_gets_its_share():
    gate = ShareLimiter(random.Random(1))
    passed = sum(gate.admit(A, ROUTE, 100, 1000.0, 250.0) for _ in range(1000))
    assert passed == pytest.approx(250, abs=2)


@pytest.mark.parametrize("seed", range(5))
def test_largest_requests_of_a_flood_pass_as_often_as_the_others(seed):
    """Sizes spread as on the users' sheets; a quarter of the demand is due."""
    rng = random.Random(seed)
    gate = ShareLimiter(rng)
    sizes = [round(rng.lognormvariate(8.5, 1.2)) for _ in range(2000)]
    passed = [gate.admit(A, ROUTE, size, 1000.0, 250.0) for size in sizes]
    largest = sorted(sizes)[-len(sizes) // 10]
    large = [ok for size, ok in zip(sizes, passed, strict=True) if size >= largest]
    assert sum(large) / len(large) == pytest.approx(0.25, abs=0.05)
    assert sum(passed) / len(passed) == pytest.approx(0.25, abs=0.02)


def test_small_requests_of_a_flood_go_first_within_its_share():
    """Chats beside documents, of which a quarter of the tokens is due."""
    gate = ShareLimiter(random.Random(1))
    sizes = [(ROUTE, 1_000), (ROUTE, 1_000), (OTHER, 10_000)] * 500
    passed = [(r, t, gate.admit(A, r, t, 1000.0, 250.0)) for r, t in sizes]
    chats = [ok for route, _, ok in passed if route == ROUTE]
    documents = [ok for route, _, ok in passed if route == OTHER]
    assert sum(chats) / len(chats) > 2 * sum(documents) / len(documents)
    assert sum(documents) / len(documents) >= MIN_ROUTE_FRACTION * 0.25 - 0.02
    tokens = sum(size for _, size, ok in passed if ok)
    assert tokens == pytest.approx(sum(size for _, size in sizes) / 4, rel=0.05)


@pytest.mark.parametrize("part", [0.05, 0.3, 0.7, 1.0])
def test_parts_of_routes_add_up_to_what_is_due(part):
    kinds = {
        ROUTE: RouteDemand(50_000.0, 50.0),
        OTHER: RouteDemand(300_000.0, 30.0),
        RouteId("third"): RouteDemand(20_000.0, 10.0),
    }
    parts = route_fractions(kinds, part)
    due = sum(parts[name] * kind.tokens for name, kind in kinds.items())
    assert due == pytest.approx(part * 370_000)
    assert all(0.0 <= found <= 1.0 for found in parts.values())


def test_rare_sizes_pass_by_their_share():
    passed = [
        ShareLimiter(random.Random(seed)).admit(A, ROUTE, 40_000, 1000.0, 250.0)
        for seed in range(400)
    ]
    assert sum(passed) / len(passed) == pytest.approx(0.25, abs=0.06)


def test_share_counts_tokens_not_requests():
    gate = ShareLimiter(random.Random(1))
    sizes = [100, 5000, 300] * 300
    passed = sum(size for size in sizes if gate.admit(A, ROUTE, size, 1000.0, 500.0))
    assert passed == pytest.approx(sum(sizes) / 2, rel=0.02)


def test_team_below_the_level_always_passes():
    gate = ShareLimiter(random.Random(1))
    assert all(gate.admit(B, ROUTE, 100, 200.0, 250.0) for _ in range(50))
