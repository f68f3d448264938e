"""Callers that send requests to all gateways in turn, at an interval."""

import itertools
import threading
import time
from collections.abc import Callable

from standins.gateway_fleet import Gateway, GatewayFleet, GatewayResponse


class RepeatingCallers:
    """Sends a request again and again, and keeps the answers.

    Parameters
    ----------
    fleet : GatewayFleet
        The gateways.
    call : callable
        Sends the request with a number to a gateway and returns the answer.
    interval_s, run_s : float
        Seconds between two requests, and until the last.

    Attributes
    ----------
    answers : list of tuple
        Time at which each request was sent, and its answer.
    """

    def __init__(
        self,
        fleet: GatewayFleet,
        call: Callable[[Gateway, int], GatewayResponse],
        interval_s: float,
        run_s: float,
    ) -> None:
        self._gateways = itertools.cycle(fleet.gateways)
        self._call = call
        self._interval_s = interval_s
        self._ends_at = time.monotonic() + run_s
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
            self.answers.append((sent_at, self._call(gateway, number)))
            time.sleep(max(0.0, sent_at + self._interval_s - time.monotonic()))
