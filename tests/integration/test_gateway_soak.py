"""A short soak of gateways, and the judge's own test."""

import pytest

from standins.gateway_fleet import GatewayResponse
from standins.gateway_soak import GatewayCall, SoakHistory, find_violations, run
from standins.modelengine import ExecutedRequest

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, 2])
def test_short_soak(tmp_path, seed):
    assert run(seed, SECONDS, tmp_path) == []


def answer(status, body=b"e1 ran a", whole=True, seconds=0.1):
    return GatewayResponse(status, {}, body, whole, seconds)


def call(path="/write/x", reply=None):
    return GatewayCall("a", path, "vm", 0.0, reply or answer(200))


def arrival(at=0.0):
    return ExecutedRequest("a", "/write/x", "team", b"a", at, 1)


BREACHES = [
    SoakHistory([call()], {"e1": [arrival()], "e2": [arrival()]}),
    SoakHistory([call(reply=answer(503))], {"e1": [arrival()]}),
    SoakHistory([call(reply=answer(200, b"e1 ran b"))], {"e1": [arrival()]}),
    SoakHistory([call(reply=answer(504, seconds=9.0))], {}),
    SoakHistory([], {"e1": [arrival()]}),
    SoakHistory([call()], {"e1": [arrival(at=9.0)]}, {"e1": 1.0}),
]


@pytest.mark.parametrize("history", BREACHES)
def test_judge_sees_each_breach(history):
    assert find_violations(history)


def test_judge_accepts_what_is_allowed():
    leaving = {"e1": 1.0}
    disturbed = [(2.0, 5.0)]
    late = SoakHistory([call()], {"e1": [arrival(at=4.0)]}, leaving, disturbed)
    assert not find_violations(late)
    cut = SoakHistory(
        [call(reply=answer(200, b"e1", whole=False))], {"e1": [arrival()]}
    )
    assert not find_violations(cut)
