"""Steady callers behind a balancer."""

import random
import threading
import time
from dataclasses import dataclass

from standins.balancer import Balancer
from standins.faulty import FaultName
from standins.soak_calls import (
    TIMEOUT_SECONDS,
    CallForm,
    SoakCall,
    SoakCaller,
    SoakRecord,
)

PAUSE_SECONDS = 0.02


@dataclass(frozen=True)
class TimedRecord:
    """A call's record, and the monotonic instant at which it was sent."""

    sent: float
    record: SoakRecord


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
            rng.choice(balancer.ready()),
            FaultName.NONE,
            TIMEOUT_SECONDS,
        )
        sent = time.monotonic()
        records.append(TimedRecord(sent, caller.send(call)))
    return records
