"""Gateways that learn of the store's changes from the readers of their data centre."""

import time
from collections.abc import Iterator

import msgspec
import pytest

from oleandershift.io.feed import HUB_TIMING
from standins.gateway_fleet import (
    GatewayFleet,
    configuration,
    route,
    running_fleet,
    wait_for_new_route,
    wait_until,
)

GATEWAYS = 5
READERS = 2
ROLES_SETTLED_SECONDS = 3.0
CONFIGURATION_APPLY_SECONDS = 2.5
"""`configApplyMs` of the gateways' settings."""

WATCHED_KINDS = 2


@pytest.fixture
def fleet(tmp_path) -> Iterator[GatewayFleet]:
    with running_fleet(tmp_path, gateways=GATEWAYS) as running:
        time.sleep(ROLES_SETTLED_SECONDS)
        yield running


def with_role(fleet, role):
    """Return the gateways whose latest role is the given one."""
    found = []
    for gateway in fleet.gateways:
        lines = [
            line for line in fleet.log(gateway).splitlines() if "store.role" in line
        ]
        if lines and f'"role":"{role}"' in lines[-1].replace(" ", ""):
            found.append(gateway)
    return found


def test_change_of_an_upstream_is_not_read_by_every_vm(fleet):
    changes, interval_s = 6, 0.8
    calls_before = fleet.store.calls
    for number in range(changes):
        entry = fleet.engines["e1"].entry("model", "one")
        fleet.store.put("servers", "e1", {**entry, "slots": 10 + number})
        time.sleep(interval_s)
    timeouts = WATCHED_KINDS * (changes * interval_s / HUB_TIMING.watch_timeout_s + 1)
    assert fleet.store.calls - calls_before <= READERS * changes + timeouts


def test_leaving_upstream_gets_no_new_requests_from_followers(fleet):
    leaving = fleet.engines["e1"]
    fleet.store.put("servers", "e1", leaving.entry("model", "one", "draining"))
    time.sleep(CONFIGURATION_APPLY_SECONDS)
    runs_before = leaving.runs().total()
    for number, gateway in enumerate(fleet.gateways):
        for call in range(4):
            assert gateway.call("/read/x", f"a{number}-{call}").status == 200
    assert leaving.runs().total() == runs_before


def test_followers_learn_of_an_upstream_that_is_removed(fleet):
    fleet.store.delete("servers", "e1")
    for gateway in fleet.gateways:
        wait_until(
            lambda gateway=gateway: "oleander_upstreams 1.0" in gateway.metrics(),
            f"{gateway.name} has removed the upstream",
        )


def test_configuration_reaches_all_vms_though_hub_and_standby_are_killed(fleet):
    readers = with_role(fleet, "hub") + with_role(fleet, "standby")
    assert len(readers) == READERS
    for gateway in readers:
        gateway.process.kill()
    new = configuration(2, route("/new/", "idempotent"))
    fleet.store.put("config", "main", new)
    in_force_by = time.monotonic() + CONFIGURATION_APPLY_SECONDS
    survivors = [gateway for gateway in fleet.gateways if gateway not in readers]
    time.sleep(in_force_by - time.monotonic())
    statuses = [gateway.call("/new/x", gateway.name).status for gateway in survivors]
    assert statuses == [200] * len(survivors)


def test_configuration_reaches_all_vms_though_the_hub_is_frozen(fleet):
    (hub,) = with_role(fleet, "hub")
    hub.process.freeze()
    new = configuration(2, route("/new/", "idempotent"))
    fleet.store.put("config", "main", new)
    time.sleep(CONFIGURATION_APPLY_SECONDS)
    others = [gateway for gateway in fleet.gateways if gateway is not hub]
    statuses = [gateway.call("/new/x", gateway.name).status for gateway in others]
    hub.process.thaw()
    assert statuses == [200] * len(others)


def test_followers_read_the_store_when_it_refuses_the_readers(fleet):
    readers = with_role(fleet, "hub") + with_role(fleet, "standby")
    for gateway in readers:
        gateway.store_proxy.stop()
    new = configuration(2, route("/new/", "idempotent"))
    fleet.store.put("config", "main", new)
    wait_for_new_route(fleet.gateways)


@pytest.mark.parametrize(
    "spec",
    [b"[" * 5000 + b"]" * 5000, b'{"slots":1' + b"0" * 400 + b"}", b'{"slots":NaN}'],
    ids=["deep", "large number", "no JSON"],
)
def test_odd_objects_of_another_writer_do_not_end_the_following(fleet, spec):
    for kind in ("servers", "config"):
        fleet.store.put(kind, "odd", msgspec.Raw(spec))
    fleet.store.forget_history()
    new = configuration(2, route("/new/", "idempotent"))
    fleet.store.put("config", "main", new)
    added = fleet.add_engine("e3")
    for name in ("e1", "e2"):
        fleet.store.delete("servers", name)
    time.sleep(2 * CONFIGURATION_APPLY_SECONDS)
    statuses = [
        gateway.call("/new/x", gateway.name).status for gateway in fleet.gateways
    ]
    assert statuses == [200] * GATEWAYS
    assert added.runs().total() == GATEWAYS
    assert all(gateway.process.is_running() for gateway in fleet.gateways)
