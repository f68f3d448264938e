"""Running a stand-in as a process of its own."""

import signal
import threading
from typing import Protocol


class Standin(Protocol):
    """A stand-in on threads of this process."""

    def start(self) -> None:
        """Begin to answer."""

    def stop(self) -> None:
        """Stop answering."""


def run_until_stopped(standin: Standin) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    standin.start()
    stopped.wait()
    standin.stop()
