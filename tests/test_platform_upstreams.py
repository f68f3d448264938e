"""Decoding of upstream registrations, including malformed ones of other writers."""

import pytest
from returns.result import Failure

from oleandershift.directory import UpstreamState
from oleandershift.platform import upstreams

SPEC = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "fukuoka-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1785951685287,
}


def test_registration_is_decoded():
    upstream = upstreams.decode("i-7f", SPEC).unwrap()
    assert (upstream.host, upstream.port) == ("10.128.0.9", 8080)
    assert upstream.state is UpstreamState.READY
    assert upstream.run == ("i-7f", 1785951685287)
    assert upstream.version == "v1"


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"address": "somewhere"},
        {"address": "10.1.1.1"},
        {"address": "host.example:80"},
        {"address": "10.1.1.1:70000"},
        {"address": "10.1.1.1:0"},
        {"address": "10.1.1.1:-1"},
        {"born": 1 << 64},
        {"slots": "many"},
        {"service": None},
        {"zone": 7},
        {"version": 2},
        {"sequence": None},
        {"coldRemainingMs": "none"},
    ],
)
def test_malformed_registration_is_a_finding(change):
    result = upstreams.decode("i-7f", {**SPEC, **change})
    assert isinstance(result, Failure)
    assert result.failure().place == "servers/i-7f"


@pytest.mark.parametrize(
    "missing",
    [
        "service",
        "address",
        "zone",
        "slots",
        "state",
        "version",
        "sequence",
        "coldRemainingMs",
    ],
)
def test_registration_without_a_required_field_is_a_finding(missing):
    spec = {name: value for name, value in SPEC.items() if name != missing}
    assert isinstance(upstreams.decode("i-7f", spec), Failure)


@pytest.mark.parametrize("spec", [None, "x", 3, []])
def test_registration_that_is_no_object_is_a_finding(spec):
    assert isinstance(upstreams.decode("i-7f", spec), Failure)
