"""Decoding of the operator's configuration."""

import pytest
from returns.result import Failure

from oleandershift.platform import configuration
from oleandershift.routing import Semantics

SPEC = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Ficu95.example",
            "pathPrefix": "/lohu930/",
            "type": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 800,
            "priority": 1,
            "split": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "targetGapMs": 300,
        },
        {
            "name": "r-2",
            "host": "ficu95.example",
            "pathPrefix": "/puxa403/",
            "type": "non_idempotent",
            "timeoutMs": 1500.5,
            "service": "desk",
            "new-field": [],
        },
    ],
    "services": [
        {
            "name": "one",
            "healthPath": "/healthz",
            "maxConnections": 370,
            "engine": {"slots": 64, "kvCapacity": 708276, "stride": 5},
        },
        {"name": "desk", "healthPath": "/healthz", "maxConnections": 110},
    ],
    "limits": {"maxHeaderBytes": 16384, "tokensPerS": 190000},
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}],
}


@pytest.fixture
def cfg():
    return configuration.decode(SPEC).unwrap()


def test_routes_are_decoded(cfg):
    stream = cfg.route_for("ficu95.example", "/lohu930/2f")
    plain = cfg.route_for("ficu95.example", "/puxa403/2f")
    assert stream.semantics is Semantics.RESUMABLE_STREAM
    assert [target.weight for target in stream.targets] == [90, 10]
    assert plain.semantics is Semantics.AT_MOST_ONCE
    assert plain.timeout_ms == 1500.5


def test_services_are_decoded(cfg):
    assert cfg.service("one").generates
    assert not cfg.service("desk").generates


def test_teams_and_limits_are_decoded(cfg):
    assert cfg.team_for("k2").name == "t"
    assert cfg.limits.tokens_per_second == 190000
    assert cfg.limits.idle_timeout_ms == 15000


@pytest.mark.parametrize(
    "spec", [None, "text", {}, {"version": "x", "routes": 3}, {"version": 1 << 64}]
)
def test_invalid_configuration_is_a_finding_with_its_place(spec):
    result = configuration.decode(spec)
    assert isinstance(result, Failure)
    assert result.failure().place == "config/main"
