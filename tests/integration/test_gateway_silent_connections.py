"""Open connections that go silent for good, while new ones work."""

import itertools
import threading
import time
from collections.abc import Iterator

import pytest

from standins.gateway_fleet import GatewayFleet, configuration, route, running_fleet
from standins.proxy import Proxy

CONTACT_SECONDS = 4.0
APPLY_SECONDS = 2.5
"""Bounds of the platform's pages (`contactMs`, `configApplyMs`, `drainMs`)."""

CALLERS = 4
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


class Load:
    """Callers that send requests one after the other to all gateways."""

    def __init__(self, fleet: GatewayFleet) -> None:
        self._fleet = fleet
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self.answers: list[tuple[float, int]] = []
        self._threads = [threading.Thread(target=self._run) for _ in range(CALLERS)]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Wait for the last answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def served(self, since: float) -> float:
        """Return the fraction of the requests sent since then that were served."""
        statuses = [status for at, status in self.answers if at >= since]
        return statuses.count(200) / len(statuses)

    def _run(self) -> None:
        for gateway in itertools.cycle(self._fleet.gateways):
            if self._stopping.is_set():
                return
            sent_at = time.monotonic()
            answer = gateway.call("/read/x", f"a{next(self._numbers)}")
            self.answers.append((sent_at, answer.status))
            time.sleep(0.02)


@pytest.mark.parametrize("silent", ["upstreams", "store"])
def test_changes_are_in_force_in_time_though_open_connections_went_silent(
    fleet, silent
):
    load = Load(fleet)
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
    time.sleep(0.5)
    load.stop()
    assert statuses == [200] * len(fleet.gateways)
    late = [
        at for at in fleet.engines["e0"].arrivals if at > changed_at + APPLY_SECONDS
    ]
    assert late == []
    assert load.served(since=changed_at) >= MIN_SERVED_FRACTION
