"""Requests that crash each upstream that begins to run them, and are repeated."""

import itertools
import threading
import time
from collections.abc import Iterator

import pytest

from standins.gateway_fleet import GatewayFleet, GatewayResponse, running_fleet

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


class Caller:
    """Sends one request again and again, to all gateways in turn.

    Parameters
    ----------
    fleet : GatewayFleet
        The gateways.
    path : str
        Path of the request.
    interval_s : float
        Seconds between two requests.
    headers : dict
        Header fields beyond the usual ones.
    """

    def __init__(
        self, fleet: GatewayFleet, path: str, interval_s: float, headers: dict[str, str]
    ) -> None:
        self._gateways = itertools.cycle(fleet.gateways)
        self._path = path
        self._interval_s = interval_s
        self._headers = headers
        self._ends_at = time.monotonic() + RUN_SECONDS
        self.answers: list[tuple[float, GatewayResponse]] = []
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
            attempt = f"{self._path}{number}"
            answer = gateway.call(self._path, attempt, b"same", **self._headers)
            self.answers.append((sent_at, answer))
            time.sleep(max(0.0, sent_at + self._interval_s - time.monotonic()))


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
    repeated = Caller(fleet, path + CRASHING_PATH, REPEAT_SECONDS, headers)
    sound = Caller(fleet, "/read/sound", SOUND_INTERVAL_SECONDS, {})
    repeated.join()
    sound.join()
    from_at = counted_from(fleet)
    assert len([at for at in arrivals(fleet) if at > from_at]) <= MAX_LATE_ARRIVALS
    served = [answer.status == 200 for at, answer in sound.answers if at > from_at]
    assert sum(served) > MIN_SERVED_FRACTION * len(served)
    refused = [answer for at, answer in repeated.answers if at > from_at]
    assert {answer.status for answer in refused} <= {502, 503}
