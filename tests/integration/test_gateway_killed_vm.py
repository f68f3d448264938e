"""What callers see of a VM that is killed and comes back at once."""

import time

import pytest

from standins.gateway_fleet import (
    configuration,
    route,
    running_fleet,
    wait_for_new_route,
    wait_until,
)
from standins.metastore import StoreMode

WATCHED_SECONDS = 3.0


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path, gateways=3) as running:
        yield running


def statuses_from_its_start(gateway):
    """Return the statuses of calls to a new route until it serves, and for a while."""
    found = set()

    def serves():
        try:
            found.add(gateway.call("/new/x", "a").status)
        except OSError:
            return False
        return 200 in found

    wait_until(serves, f"{gateway.name} serves the new route")
    end = time.monotonic() + WATCHED_SECONDS
    while time.monotonic() < end:
        serves()
    return found


@pytest.mark.parametrize("mode", [StoreMode.SERVE, StoreMode.BUSY])
@pytest.mark.parametrize("number", range(3))
def test_nothing_goes_back_at_a_vm_that_is_killed_and_starts_at_once(
    fleet, mode, number
):
    new = configuration(2, route("/new/", "idempotent"))
    fleet.store.put("config", "main", new)
    leaver = fleet.engines["e1"]
    fleet.store.put("servers", "e1", leaver.entry("model", "one", "draining"))
    wait_for_new_route(fleet.gateways)
    for gateway in fleet.gateways:
        wait_until(
            lambda gateway=gateway: (
                "oleander_upstreams_leaving 1.0" in gateway.metrics()
            ),
            f"{gateway.name} knows that it drains",
        )
    fleet.store.set_mode(mode)
    before = len(leaver.received)
    killed = fleet.gateways[number]
    killed.process.kill()
    killed.process.start()
    assert statuses_from_its_start(killed) <= {200, 503}
    assert len(leaver.received) == before
