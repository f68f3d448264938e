"""Running a stand-in in its own process."""

import signal
import threading
from typing import Protocol


class Standin(Protocol):
    """Stand-in that serves requests on threads of this process."""

    def start(self) -> None:
        """Start serving requests."""

    def stop(self) -> None:
        """Stop serving requests."""


def run_until_stopped(standin: Standin) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    stopped = threading.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stopped.set())
    standin.start()
    stopped.wait()
    standin.stop()
