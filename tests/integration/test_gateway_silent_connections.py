"""Open connections that go silent for good, while new ones work."""

import itertools
import time
from collections.abc import Iterator

import pytest
from repeatingcallers import RepeatingCallers

from standins.gateway_fleet import (
    Gateway,
    GatewayFleet,
    GatewayResponse,
    configuration,
    route,
    running_fleet,
)
from standins.proxy import Proxy

CONTACT_SECONDS = 4.0
APPLY_SECONDS = 2.5
"""Bounds of the platform's pages (`contactMs`, `configApplyMs`, `drainMs`)."""

CALLERS = 4
INTERVAL_SECONDS = 0.02
RUN_SECONDS = 1.0 + CONTACT_SECONDS + APPLY_SECONDS + 1.0
MIN_SERVED_FRACTION = 0.5


@pytest.fixture
def fleet(tmp_path) -> Iterator[GatewayFleet]:
    """Run gateways that reach their upstreams through proxies."""
    with running_fleet(tmp_path, gateways=2, engines=0) as running:
        for number in range(3):
            engine = running.add_engine(f"e{number}")
            proxy = Proxy("127.0.0.1", engine.port)
            proxy.start()
            running.upstream_proxies[engine.name] = proxy
            register(running, engine.name)
        yield running


def register(fleet: GatewayFleet, name: str, state: str = "ready") -> None:
    entry = fleet.engines[name].entry("model", "one", state)
    port = fleet.upstream_proxies[name].port
    fleet.store.put("servers", name, {**entry, "address": f"127.0.0.1:{port}"})


def start_callers(fleet: GatewayFleet) -> list[RepeatingCallers]:
    def call(gateway: Gateway, number: int) -> GatewayResponse:
        return gateway.call("/read/x", f"a{next(numbers)}")

    numbers = itertools.count()
    return [
        RepeatingCallers(fleet, call, INTERVAL_SECONDS, RUN_SECONDS)
        for _ in range(CALLERS)
    ]


@pytest.mark.parametrize("silent", ["upstreams", "store"])
def test_changes_are_in_force_in_time_though_open_connections_went_silent(
    fleet, silent
):
    callers = start_callers(fleet)
    time.sleep(1.0)
    proxies = {
        "upstreams": list(fleet.upstream_proxies.values()),
        "store": [gateway.store_proxy for gateway in fleet.gateways],
    }
    for proxy in proxies[silent]:
        proxy.silence_all()
    time.sleep(CONTACT_SECONDS)
    changed_at = time.monotonic()
    new_route = route("/new/", "idempotent")
    fleet.store.put("config", "main", configuration(2, new_route))
    register(fleet, "e0", "draining")
    time.sleep(APPLY_SECONDS)
    statuses = [gateway.call("/new/x", "new").status for gateway in fleet.gateways]
    for caller in callers:
        caller.join()
    assert statuses == [200] * len(fleet.gateways)
    late = [
        at for at in fleet.engines["e0"].arrivals if at > changed_at + APPLY_SECONDS
    ]
    assert late == []
    served = [
        answer.status == 200
        for caller in callers
        for at, answer in caller.answers
        if at >= changed_at
    ]
    assert sum(served) >= MIN_SERVED_FRACTION * len(served)
