"""Fault injection for the upstream stand-ins."""

import threading
from enum import Enum

import msgspec


class FaultKind(Enum):
    """Fault of a response.

    `WRONG_ID` echoes an unknown request id; `CROSSED` sends the id and the echo of
    another request; `SHORT` ends the body before its length or the end of the stream;
    `CUT` resets the connection half-way; `TWICE` sends the response a second time on
    the same connection; `HANG` executes the request and never responds; `ERROR`
    responds 500 without executing the request.
    """

    NONE = "none"
    WRONG_ID = "wrong-id"
    CROSSED = "crossed"
    SHORT = "short"
    CUT = "cut"
    TWICE = "twice"
    HANG = "hang"
    ERROR = "error"


class UpstreamFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to inject.

    Parameters
    ----------
    kind : FaultKind
        Fault of the responses.
    every : int
        Inject the fault into every n-th request.
    slow_factor : float
        Factor on the duration of all work.
    frozen : bool
        Whether all processing is suspended.
    """

    kind: FaultKind = FaultKind.NONE
    every: int = 1
    slow_factor: float = 1.0
    frozen: bool = False


class FaultInjector:
    """Active faults, and the count of requests that decides which are affected."""

    def __init__(self) -> None:
        self._faults = UpstreamFaults()
        self._request_count = 0
        self._changed = threading.Condition()

    @property
    def faults(self) -> UpstreamFaults:
        """Active faults."""
        return self._faults

    def set(self, faults: UpstreamFaults) -> None:
        """Replace the active faults and restart the count of requests."""
        with self._changed:
            self._faults = faults
            self._request_count = 0
            self._changed.notify_all()

    def next_fault(self) -> FaultKind:
        """Count a request and return the fault of its response."""
        with self._changed:
            self._request_count += 1
            if self._request_count % self._faults.every:
                return FaultKind.NONE
            return self._faults.kind

    def wait_while_frozen(self) -> None:
        """Block while processing is suspended."""
        with self._changed:
            while self._faults.frozen:
                self._changed.wait()

    def wait_while_hung(self) -> None:
        """Block until the active fault is no longer `HANG`."""
        with self._changed:
            while self._faults.kind is FaultKind.HANG:
                self._changed.wait()
