"""Upstreams that name a limit on the requests that they take from all VMs together."""

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
