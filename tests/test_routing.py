"""Tests of the routing configuration: route, service and team of a request."""

import pytest

from oleandershift.ids import RouteId, ServiceId, TeamId
from oleandershift.routing import (
    Configuration,
    Route,
    Semantics,
    Team,
    WeightedService,
)


def make_route(prefix, *targets, host="a.example"):
    return Route(
        name=RouteId(prefix),
        host=host,
        prefix=prefix,
        targets=tuple(WeightedService(ServiceId(n), w) for n, w in targets),
        semantics=Semantics.IDEMPOTENT,
        timeout_ms=1000.0,
        target_ms=100.0,
    )


@pytest.fixture
def cfg():
    routes = (
        make_route("/a/", ("one", 1)),
        make_route("/a/b/", ("two", 1)),
        make_route("/a/", ("three", 1), host="b.example"),
    )
    teams = (Team(TeamId("t"), ("key-1", "key-2")),)
    return Configuration(version=3, routes=routes, teams=teams)


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("a.example", "/a/x", "/a/"),
        ("a.example", "/a/b/c", "/a/b/"),
        ("a.example", "/a/b", "/a/"),
        ("a.example", "/a", None),
        ("a.example", "/", None),
        ("a.example", "*", None),
        ("c.example", "/a/x", None),
    ],
)
def test_longest_prefix_wins(cfg, host, path, prefix):
    route = cfg.route_for(host, path)
    assert (route.prefix if route else None) == prefix


def test_same_prefix_may_have_another_route_on_another_host(cfg):
    assert cfg.route_for("b.example", "/a/x").targets[0].service == "three"


def test_key_identifies_its_team(cfg):
    assert cfg.team_for("key-2").name == "t"
    assert cfg.team_for("key-3") is None


def test_split_follows_weights():
    route = make_route("/a/", ("one", 90), ("two", 10))
    services = [route.service_for(f"id-{number}") for number in range(2000)]
    assert 0.07 < services.count("two") / 2000 < 0.13


def test_split_is_the_same_for_every_attempt_of_a_request():
    route = make_route("/a/", ("one", 50), ("two", 50))
    assert len({route.service_for("same") for _ in range(10)}) == 1
