"""Tests of the judge of the gateways' soak with hand-made histories."""

import pytest

from standins.gateway_fleet import GatewayResponse
from standins.modelengine import ExecutedRequest
from standins.soak_judge import (
    CRASHING_PART,
    GatewayCall,
    SoakHistory,
    find_violations,
)


def response(status, body=b"e1 ran a", whole=True, seconds=0.1):
    return GatewayResponse(status, {}, body, whole, seconds)


def call(path="/write/x", res=None):
    return GatewayCall("a", path, "vm", 0.0, res or response(200))


def executed_request(received_at=0.0):
    return ExecutedRequest("a", "/write/x", "team", b"a", received_at, 1)


def crashing_request(received_at):
    parts = ("first", CRASHING_PART, "own")
    return ExecutedRequest("a", "/stream/once/x", "team", b"a", received_at, 1, parts)


CRASHED_LATE = [crashing_request(20.0 + number) for number in range(4)]
VIOLATIONS = [
    SoakHistory([call()], {"e1": CRASHED_LATE}, crashed_at=[1.0] * 5),
    SoakHistory([call()], {"e1": [executed_request()], "e2": [executed_request()]}),
    SoakHistory([call(res=response(503))], {"e1": [executed_request()]}),
    SoakHistory([call(res=response(200, b"e1 ran b"))], {"e1": [executed_request()]}),
    SoakHistory([call(res=response(504, seconds=9.0))], {}),
    SoakHistory([], {"e1": [executed_request()]}),
    SoakHistory([call()], {"e1": [executed_request(received_at=9.0)]}, {"e1": 1.0}),
]


@pytest.mark.parametrize("history", VIOLATIONS)
def test_each_violation_is_found(history):
    assert find_violations(history)


def test_disturbed_drain_and_broken_response_are_allowed():
    drain_started_at = {"e1": 1.0}
    disturbances = [(2.0, 5.0)]
    disturbed = SoakHistory(
        [call()],
        {"e1": [executed_request(received_at=4.0)]},
        drain_started_at,
        disturbances,
    )
    assert not find_violations(disturbed)
    broken = SoakHistory(
        [call(res=response(200, b"e1", whole=False))], {"e1": [executed_request()]}
    )
    assert not find_violations(broken)
