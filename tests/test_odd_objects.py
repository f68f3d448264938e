"""Decoders of the store's objects, given what another writer may have stored."""

import math

import pytest
from hypothesis import given, strategies as st
from returns.result import Failure, Success

from oleandershift.platform import configuration, upstreams, vms

numbers = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([10**30, -(10**30), 2**63, math.inf, -math.inf, math.nan]),
)
values = st.recursive(
    st.none() | st.booleans() | numbers | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
REGISTRATION = {
    "service": "s",
    "address": "10.0.0.1:8000",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "coldRemainingMs": 0,
    "sequence": 1,
    "state": "ready",
    "born": 1,
}
ROUTE = {
    "name": "r",
    "host": "h",
    "pathPrefix": "/r/",
    "type": "idempotent",
    "timeoutMs": 1000,
    "split": [{"service": "s", "weight": 1}],
}
CONFIGURATION = {"version": 7, "routes": [ROUTE], "limits": {}, "tenants": []}
VM = {"ip": "10.0.0.1", "port": 7400, "zone": "z"}


def decode_route(name, spec):
    return configuration.decode({**CONFIGURATION, "routes": [spec]})


@pytest.mark.parametrize(
    ("decode", "spec"),
    [
        (upstreams.decode, REGISTRATION),
        (vms.decode, VM),
        (lambda name, spec: configuration.decode(spec), CONFIGURATION),
        (decode_route, ROUTE),
    ],
)
@given(data=st.data(), value=values)
def test_odd_value_of_a_field_is_a_finding(decode, spec, data, value):
    assert isinstance(decode("a", spec), Success)
    field = data.draw(st.sampled_from(sorted(spec)))
    for odd in ({**spec, field: value}, value):
        assert isinstance(decode("a", odd), Success | Failure)
