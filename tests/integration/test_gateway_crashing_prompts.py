"""Prompt parts that crash each upstream that begins to answer them."""

import itertools
import threading
import time
from collections.abc import Iterator

import pytest

from oleandershift.logcauses import find_cause, find_entries
from standins.gateway_fleet import GatewayFleet, running_fleet, wait_until

GATEWAYS, ENGINES = 3, 4
CRASHING_PART = "bad"
CRASH_INTERVAL_SECONDS = 0.25
SOUND_INTERVAL_SECONDS = 0.02
RUN_SECONDS = 14.0
CONTACT_SECONDS = 4.0
"""Time after the fifth crash by which all VMs know of the part (`contactMs`)."""

CRASHES = 5
MAX_LATE_ARRIVALS = 3
MIN_SERVED_FRACTION = 0.5


@pytest.fixture
def fleet(tmp_path) -> Iterator[GatewayFleet]:
    with running_fleet(tmp_path, gateways=GATEWAYS, engines=ENGINES) as running:
        for engine in running.engines.values():
            engine.crashing_part = CRASHING_PART
            engine.on_restart = lambda engine: running.store.put(
                "servers", engine.name, engine.entry("model", "one")
            )
        expected = f"oleander_upstreams {ENGINES}.0"
        for gateway in running.gateways:
            wait_until(lambda gw=gateway: expected in gw.metrics(), expected)
        yield running


def prompt_headers(*parts: str) -> dict[str, str]:
    prefix = ",".join(f"{part}:10" for part in parts)
    return {
        "Oleandershift-Token-Usage": f"{10 * len(parts)},10",
        "Oleandershift-Prompt-Prefix": prefix,
    }


class Callers:
    """Callers that send requests with the same first part to all gateways in turn.

    Parameters
    ----------
    fleet : GatewayFleet
        The gateways.
    middle : str
        Second part of their prompts; the third is new each time.
    path : str
        Path of the requests.
    interval_s : float
        Seconds between two requests.
    """

    def __init__(
        self, fleet: GatewayFleet, middle: str, path: str, interval_s: float
    ) -> None:
        self._gateways = itertools.cycle(fleet.gateways)
        self._middle = middle
        self._path = path
        self._interval_s = interval_s
        self._ends_at = time.monotonic() + RUN_SECONDS
        self.answers: list[tuple[float, int]] = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def join(self) -> None:
        """Wait for the last answer."""
        self._thread.join()

    def _run(self) -> None:
        for number, gateway in enumerate(self._gateways):
            sent_at = time.monotonic()
            if sent_at > self._ends_at:
                return
            attempt = f"{self._middle}{number}"
            headers = prompt_headers("first", self._middle, attempt)
            answer = gateway.call(self._path, attempt, **headers)
            self.answers.append((sent_at, answer.status if answer.whole else 0))
            time.sleep(max(0.0, sent_at + self._interval_s - time.monotonic()))


def crashing_arrivals(fleet: GatewayFleet) -> list[float]:
    """Return when requests with the crashing part reached upstreams, in order."""
    return sorted(
        executed.received_at
        for engine in fleet.engines.values()
        for executed in engine.ledger()
        if CRASHING_PART in executed.parts
    )


def all_known_at(fleet: GatewayFleet) -> float:
    """Return the end of the contact time after the fifth crash, or the last one."""
    crashes = sorted(
        at for engine in fleet.engines.values() for at in engine.crashed_at
    )
    return crashes[:CRASHES][-1] + CONTACT_SECONDS


def assert_crashes_end(fleet: GatewayFleet, path: str) -> None:
    """Send requests that crash upstreams, and sound ones, and judge what arrives."""
    crashing = Callers(fleet, CRASHING_PART, path, CRASH_INTERVAL_SECONDS)
    sound = Callers(fleet, "good", "/stream/once/x", SOUND_INTERVAL_SECONDS)
    crashing.join()
    sound.join()
    known_at = all_known_at(fleet)
    late = [at for at in crashing_arrivals(fleet) if at > known_at]
    assert len(late) <= MAX_LATE_ARRIVALS
    served = [status == 200 for at, status in sound.answers if at > known_at]
    assert sum(served) > MIN_SERVED_FRACTION * len(served)


@pytest.mark.parametrize("path", ["/stream/once/x", "/stream/resumable/x"])
def test_prompt_part_does_not_crash_one_upstream_after_the_other(fleet, path):
    assert_crashes_end(fleet, path)


def test_answer_that_ends_with_its_upstream_is_no_proof_of_a_sound_part(fleet):
    for engine in fleet.engines.values():
        engine.begins_before_crash = True
    assert_crashes_end(fleet, "/stream/once/x")


def test_rejection_says_that_the_request_has_not_run_and_why(fleet):
    crashing = Callers(fleet, CRASHING_PART, "/stream/once/x", CRASH_INTERVAL_SECONDS)
    blocked = "oleander_suspects_blocked 2.0"
    for gateway in fleet.gateways:
        wait_until(lambda gw=gateway: blocked in gw.metrics(), blocked)
    before = crashing_arrivals(fleet)
    headers = prompt_headers("other", CRASHING_PART, "own")
    answer = fleet.gateways[0].call("/stream/resumable/x", "rejected", **headers)
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 1.0
    crashing.join()
    assert crashing_arrivals(fleet) == before
    for gateway in fleet.gateways:
        log = fleet.log(gateway).encode().splitlines()
        cause = find_cause(find_entries(CRASHING_PART, log))
        assert cause.startswith("blocked: upstreams")
        assert 'blocks_total{change="blocked",kind="part"} 2.0' in gateway.metrics()
