"""Requests that crash each upstream that begins to run them, and are repeated."""

import itertools
from collections.abc import Iterator

import pytest
from repeatingcallers import RepeatingCallers

from standins.gateway_fleet import (
    Gateway,
    GatewayFleet,
    GatewayResponse,
    running_fleet,
)

GATEWAYS, ENGINES = 3, 4
CRASHING_PATH = "killer"
REPEAT_SECONDS = 0.25
SOUND_INTERVAL_SECONDS = 0.02
RUN_SECONDS = 14.0
COUNTED_CRASHES = 3
CONTACT_SECONDS = 4.0
"""Time after the third crash by which all VMs know of the request (`contactMs`)."""

MAX_LATE_ARRIVALS = 3
MIN_SERVED_FRACTION = 0.5
PROMPT = {
    "Oleandershift-Token-Usage": "10,10",
    "Oleandershift-Prompt-Prefix": "own:10",
}


@pytest.fixture(params=["same id", "new id"])
def fleet(request, tmp_path) -> Iterator[GatewayFleet]:
    """Run a fleet whose upstreams are back after a crash, under their id or another."""
    numbers = itertools.count()
    with running_fleet(tmp_path, gateways=GATEWAYS, engines=ENGINES) as running:

        def register(engine):
            if request.param == "new id":
                running.store.delete("servers", engine.name)
                engine.name = f"{engine.name}-{next(numbers)}"
            running.store.put("servers", engine.name, engine.entry("model", "one"))

        for engine in running.engines.values():
            engine.crashing_path = CRASHING_PATH
            engine.on_restart = register
        yield running


def start_caller(
    fleet: GatewayFleet, path: str, interval_s: float, headers: dict[str, str]
) -> RepeatingCallers:
    """Send one request again and again."""

    def call(gateway: Gateway, number: int) -> GatewayResponse:
        return gateway.call(path, f"{path}{number}", b"same", **headers)

    return RepeatingCallers(fleet, call, interval_s, RUN_SECONDS)


def arrivals(fleet: GatewayFleet) -> list[float]:
    """Return when the request reached upstreams, in order."""
    return sorted(
        executed.received_at
        for engine in fleet.engines.values()
        for executed in engine.ledger()
        if executed.path.endswith(CRASHING_PATH)
    )


def counted_from(fleet: GatewayFleet) -> float:
    """Return the end of the contact time after the third crash."""
    crashes = sorted(
        at for engine in fleet.engines.values() for at in engine.crashed_at
    )
    return crashes[COUNTED_CRASHES - 1] + CONTACT_SECONDS


@pytest.mark.parametrize(
    ("path", "headers"),
    [("/read/", {}), ("/write/", {}), ("/stream/once/", PROMPT)],
    ids=["idempotent", "non-idempotent", "prompt of its own"],
)
def test_repeated_request_does_not_crash_one_upstream_after_the_other(
    fleet, path, headers
):
    repeated = start_caller(fleet, path + CRASHING_PATH, REPEAT_SECONDS, headers)
    sound = start_caller(fleet, "/read/sound", SOUND_INTERVAL_SECONDS, {})
    repeated.join()
    sound.join()
    from_at = counted_from(fleet)
    assert len([at for at in arrivals(fleet) if at > from_at]) <= MAX_LATE_ARRIVALS
    served = [answer.status == 200 for at, answer in sound.answers if at > from_at]
    assert sum(served) > MIN_SERVED_FRACTION * len(served)
    refused = [answer for at, answer in repeated.answers if at > from_at]
    assert {answer.status for answer in refused} <= {502, 503}
