"""Signals that ask a daemon to stop."""

import signal
import threading

import pytest

from oleandershift.io.daemon import (
    DrainRequested,
    StopEvent,
    StopSignals,
    Tick,
    run_ticks,
)

DRAIN_SECONDS = 7.0
LOCK_TIMEOUT_SECONDS = 2.0


class InterruptedActor:
    """Actor whose queue is locked when a signal comes."""

    def __init__(self, stopped):
        self._stopped = stopped
        self._lock = threading.Lock()
        self._signals_left = 2
        self.told = []

    def is_alive(self):
        """Return True."""
        return True

    def tell(self, message):
        """Queue a message; a request to stop stops it after the next tick."""
        assert self._lock.acquire(timeout=LOCK_TIMEOUT_SECONDS), "the queue is locked"
        try:
            if isinstance(message, Tick) and self._signals_left:
                self._signals_left -= 1
                signal.raise_signal(signal.SIGTERM)
            elif isinstance(message, Tick):
                self._stopped.set()
            self.told.append(message)
        finally:
            self._lock.release()


@pytest.fixture
def handlers():
    """Restore the handlers of the signals after the test."""
    numbers = (signal.SIGTERM, signal.SIGINT)
    before = {number: signal.getsignal(number) for number in numbers}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


def test_signal_that_comes_while_the_queue_is_locked_stops_the_daemon(handlers):
    stopped = StopEvent()
    actor = InterruptedActor(stopped)
    signals = StopSignals(DRAIN_SECONDS)
    signals.install()
    run_ticks(actor, stopped, signals)
    requests = [item for item in actor.told if isinstance(item, DrainRequested)]
    assert len(requests) == 1
