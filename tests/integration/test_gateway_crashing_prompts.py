"""Prompt parts that crash each upstream that begins to answer them."""

from collections.abc import Iterator

import pytest
from repeatingcallers import RepeatingCallers

from oleandershift.logcauses import find_cause, find_entries
from standins.gateway_fleet import (
    Gateway,
    GatewayFleet,
    GatewayResponse,
    running_fleet,
    wait_until,
)

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


def start_callers(
    fleet: GatewayFleet, middle: str, path: str, interval_s: float
) -> RepeatingCallers:
    """Send requests whose prompts share the first two parts."""

    def call(gateway: Gateway, number: int) -> GatewayResponse:
        attempt = f"{middle}{number}"
        headers = prompt_headers("first", middle, attempt)
        return gateway.call(path, attempt, **headers)

    return RepeatingCallers(fleet, call, interval_s, RUN_SECONDS)


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
    crashing = start_callers(fleet, CRASHING_PART, path, CRASH_INTERVAL_SECONDS)
    sound = start_callers(fleet, "good", "/stream/once/x", SOUND_INTERVAL_SECONDS)
    crashing.join()
    sound.join()
    known_at = all_known_at(fleet)
    late = [at for at in crashing_arrivals(fleet) if at > known_at]
    assert len(late) <= MAX_LATE_ARRIVALS
    served = [
        answer.status == 200 and answer.whole
        for at, answer in sound.answers
        if at > known_at
    ]
    assert sum(served) > MIN_SERVED_FRACTION * len(served)


@pytest.mark.parametrize("path", ["/stream/once/x", "/stream/resumable/x"])
def test_prompt_part_does_not_crash_one_upstream_after_the_other(fleet, path):
    assert_crashes_end(fleet, path)


def test_answer_that_ends_with_its_upstream_is_no_proof_of_a_sound_part(fleet):
    for engine in fleet.engines.values():
        engine.begins_before_crash = True
    assert_crashes_end(fleet, "/stream/once/x")


def test_rejection_says_that_the_request_has_not_run_and_why(fleet):
    crashing = start_callers(
        fleet, CRASHING_PART, "/stream/once/x", CRASH_INTERVAL_SECONDS
    )
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
