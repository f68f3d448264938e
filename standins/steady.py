"""Steady callers behind a stand-in for the platform's balancer."""

import random
import threading
import time
from dataclasses import dataclass

from standins.faulty import FaultName
from standins.soak_calls import (
    TIMEOUT_SECONDS,
    CallForm,
    SoakCall,
    SoakCaller,
    SoakRecord,
)
from standins.soak_fleet import SoakFleet

PAUSE_SECONDS = 0.02
CHECK_SECONDS = 0.1


@dataclass(frozen=True)
class TimedRecord:
    """A call's record, and the monotonic instant at which it was sent."""

    sent: float
    record: SoakRecord


class Balancer:
    """Sends callers to routers that called themselves ready at the last check.

    Parameters
    ----------
    fleet : SoakFleet
        The routers.
    """

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._ready = tuple(fleet.router_urls)

    def check(self) -> None:
        """Ask every router whether it is ready."""
        urls = self._fleet.router_urls
        self._ready = tuple(url for url in urls if self._fleet.is_ready(url))

    def check_until(self, done: threading.Event) -> None:
        """Go on asking until `done` is set."""
        while not done.wait(CHECK_SECONDS):
            self.check()

    def choose(self, rng: random.Random) -> str:
        """Return a ready router; any, when none is ready."""
        return rng.choice(self._ready or tuple(self._fleet.router_urls))


def keep_calling(
    balancer: Balancer, seed: int, done: threading.Event
) -> list[TimedRecord]:
    """Send one call after the other, without faults, until `done` is set."""
    rng = random.Random(seed)
    caller = SoakCaller()
    records: list[TimedRecord] = []
    while not done.wait(PAUSE_SECONDS):
        call = SoakCall(
            rng.choice(list(CallForm)),
            f"c{seed}-{len(records)}",
            balancer.choose(rng),
            FaultName.NONE,
            TIMEOUT_SECONDS,
        )
        sent = time.monotonic()
        records.append(TimedRecord(sent, caller.send(call)))
    return records
