"""Steady load through a balancer, without faults."""

import random
import threading
import time
from dataclasses import dataclass

from standins.balancer import Balancer
from standins.faulty import FaultName
from standins.soak_calls import (
    TIMEOUT_SECONDS,
    CallKind,
    SoakCall,
    SoakClient,
    SoakRecord,
)

PAUSE_SECONDS = 0.02


@dataclass(frozen=True)
class TimedRecord:
    """Record of a call, and the monotonic time at which it was sent."""

    sent_at: float
    record: SoakRecord


def send_calls_until(
    balancer: Balancer, seed: int, done: threading.Event
) -> list[TimedRecord]:
    """Send random calls one after another, without faults, until `done` is set."""
    rng = random.Random(seed)
    client = SoakClient()
    records: list[TimedRecord] = []
    while not done.wait(PAUSE_SECONDS):
        call = SoakCall(
            rng.choice(list(CallKind)),
            f"c{seed}-{len(records)}",
            rng.choice(balancer.ready_routers()),
            FaultName.NONE,
            TIMEOUT_SECONDS,
        )
        sent_at = time.monotonic()
        records.append(TimedRecord(sent_at, client.send(call)))
    return records
