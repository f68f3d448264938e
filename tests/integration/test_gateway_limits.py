"""Upstreams that limit (`Server-Limit`) the requests of all VMs together."""

import itertools
import threading
import time
from collections.abc import Iterator

import pytest

from standins.gateway_fleet import GatewayFleet, running_fleet

GATEWAYS = 3
LIMIT_PER_SECOND = 6.0
CONTACT_SECONDS = 4.0
"""Time after the first word of a limit from which on it has to be kept."""

WINDOW_SECONDS = 4.0
CALLERS_PER_GATEWAY = 4
PAUSE_SECONDS = 0.1


@pytest.fixture
def fleet(tmp_path) -> Iterator[GatewayFleet]:
    with running_fleet(tmp_path, gateways=GATEWAYS, engines=3) as running:
        yield running


class Callers:
    """Callers of all gateways that send again and again."""

    def __init__(self, fleet, weights=(1.0,) * GATEWAYS):
        self.statuses = []
        self.retry_after_s = []
        self._stopped = threading.Event()
        self._numbers = itertools.count()
        self._threads = [
            threading.Thread(target=self._run, args=(gateway, weight), daemon=True)
            for gateway, weight in zip(fleet.gateways, weights, strict=True)
            for _ in range(CALLERS_PER_GATEWAY)
        ]

    def __enter__(self):
        """Start the callers."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc):
        """Stop the callers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, gateway, weight):
        while not self._stopped.wait(PAUSE_SECONDS / weight):
            try:
                res = gateway.call("/read/x", f"c{next(self._numbers)}")
            except OSError:
                continue
            self.statuses.append(res.status)
            if res.status == 503:
                self.retry_after_s.append(float(res.headers["retry-after"]))


def arrivals(engine, since):
    return [req.received_at for req in engine.received if req.received_at >= since]


def most_in_a_window(engine, since):
    """Return the most requests that reached an upstream in any four seconds."""
    times = arrivals(engine, since)
    return max(
        (
            sum(start <= item < start + WINDOW_SECONDS for item in times)
            for start in times
        ),
        default=0,
    )


def allowed(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_SECONDS + 5


def test_upstreams_get_no_more_than_the_limit_that_they_name(fleet):
    limited = [fleet.engines["e1"], fleet.engines["e2"]]
    with Callers(fleet):
        time.sleep(1.0)
        for engine in limited:
            engine.limit = str(LIMIT_PER_SECOND)
        named_at = time.monotonic()
        time.sleep(CONTACT_SECONDS + 2 * WINDOW_SECONDS)
    for engine in limited:
        most = most_in_a_window(engine, named_at + CONTACT_SECONDS)
        assert most <= allowed(LIMIT_PER_SECOND)


def test_limit_is_used_while_work_waits(fleet):
    """One VM has most of the callers; the parts follow the need."""
    for engine in fleet.engines.values():
        engine.limit = str(LIMIT_PER_SECOND)
    with Callers(fleet, weights=(4.0, 1.0, 1.0)) as callers:
        named_at = time.monotonic()
        time.sleep(CONTACT_SECONDS + 2 * WINDOW_SECONDS)
        ended_at = time.monotonic()
    since = named_at + CONTACT_SECONDS
    for engine in fleet.engines.values():
        assert most_in_a_window(engine, since) <= allowed(LIMIT_PER_SECOND)
    served = sum(len(arrivals(engine, since)) for engine in fleet.engines.values())
    total_limit = len(fleet.engines) * LIMIT_PER_SECOND
    assert served >= 0.9 * total_limit * (ended_at - since)
    assert set(callers.statuses) == {200, 503}
    assert min(callers.retry_after_s) > 0.0


def test_limit_ends_with_the_word_and_without_a_burst(fleet):
    limited = fleet.engines["e1"]
    for name in ("e2", "e3"):
        fleet.store.delete("servers", name)
    limited.limit = "3"
    with Callers(fleet) as callers:
        time.sleep(CONTACT_SECONDS)
        limited.limit = None
        ended_at = time.monotonic()
        time.sleep(3.0)
        count = len(callers.statuses)
        time.sleep(1.0)
        assert set(callers.statuses[count:]) == {200}
    per_second = GATEWAYS * CALLERS_PER_GATEWAY / PAUSE_SECONDS
    assert len(arrivals(limited, ended_at)) <= 1.2 * per_second * 4.0


@pytest.mark.parametrize("number", range(2))
def test_vm_that_restarts_does_not_exceed_the_limit(fleet, number):
    for engine in fleet.engines.values():
        engine.limit = str(LIMIT_PER_SECOND)
    restarted = fleet.gateways[number]
    with Callers(fleet):
        named_at = time.monotonic()
        time.sleep(CONTACT_SECONDS)
        restarted.process.kill()
        restarted.process.start()
        time.sleep(2 * WINDOW_SECONDS)
    for engine in fleet.engines.values():
        most = most_in_a_window(engine, named_at + CONTACT_SECONDS)
        assert most <= allowed(LIMIT_PER_SECOND)
