"""The event loop after a pause: what waited in the sockets, and when it was read."""

import asyncio
import socket
import time

import pytest
import uvloop

from oleandershift.arrivals import PAUSE_THRESHOLD_SECONDS, ArrivalClock
from oleandershift.io.clock import now
from oleandershift.io.listener import Listener
from oleandershift.io.pausewatch import WATCH_INTERVAL_SECONDS, PauseWatch
from oleandershift.vmsettings import Address
from standins.ports import free_port

HOST = "127.0.0.1"
BATCH = 8


class RecordingClock(ArrivalClock):
    """Clock that records what had been received when all was said to be read."""

    def __init__(self, received):
        super().__init__(now())
        self._received = received
        self.counts = []

    def on_all_read(self, now):
        """Record the number of requests."""
        super().on_all_read(now)
        self.counts.append(len(self._received))


class Reader(asyncio.Protocol):
    """Connection that notes what it receives."""

    def __init__(self, received):
        self._received = received

    def data_received(self, data):
        """Note the bytes."""
        self._received.append(data)


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("count", [1, BATCH, 3 * BATCH + 1])
def test_all_that_waited_in_a_pause_is_read_before_the_loop_has_caught_up(count):
    received = []

    async def pause():
        address = Address(HOST, free_port())
        listener = Listener(address, lambda: Reader(received), None, 512, BATCH)
        listener.open()
        clock = RecordingClock(received)
        task = asyncio.create_task(PauseWatch(clock, listener).run())
        await asyncio.sleep(2 * WATCH_INTERVAL_SECONDS)
        clock.counts.clear()
        conns = [socket.create_connection((address.host, address.port), 2.0)]
        await wait_until(lambda: listener.accepted_count == 1)
        conns += [
            socket.create_connection((address.host, address.port), 2.0)
            for _ in range(count)
        ]
        for conn in conns:
            conn.sendall(b"x")
        time.sleep(PAUSE_THRESHOLD_SECONDS)
        await wait_until(lambda: clock.counts)
        task.cancel()
        listener.close()
        for conn in conns:
            conn.close()
        return clock.counts[0]

    assert uvloop.run(pause()) == 1 + count
