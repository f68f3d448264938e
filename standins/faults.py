"""Faults of upstream stand-ins."""

import threading
from enum import Enum

import msgspec


class FaultKind(Enum):
    """What goes wrong with an answer.

    `WRONG_ID` echoes an unknown request id; `CROSSED` gives the id and the echo of
    another request; `SHORT` ends before its length; `CUT` ends a stream half-way;
    `TWICE` sends the answer a second time on the connection; `HANG` executes and
    never answers; `ERROR` answers 500 without executing.
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
    """Faults in force.

    Parameters
    ----------
    kind : FaultKind
        What goes wrong.
    every : int
        It goes wrong with each n-th call.
    slow_factor : float
        Work takes this many times as long.
    frozen : bool
        Nothing moves until it is false again.
    """

    kind: FaultKind = FaultKind.NONE
    every: int = 1
    slow_factor: float = 1.0
    frozen: bool = False


class FaultInjector:
    """Holds the faults in force and counts calls against `every`."""

    def __init__(self) -> None:
        self._faults = UpstreamFaults()
        self._calls = 0
        self._changed = threading.Condition()

    @property
    def faults(self) -> UpstreamFaults:
        """Return the faults in force."""
        return self._faults

    def set(self, faults: UpstreamFaults) -> None:
        """Replace the faults in force."""
        with self._changed:
            self._faults = faults
            self._calls = 0
            self._changed.notify_all()

    def next_fault(self) -> FaultKind:
        """Return the fault of the next call."""
        with self._changed:
            self._calls += 1
            if self._calls % self._faults.every:
                return FaultKind.NONE
            return self._faults.kind

    def wait_while_frozen(self) -> None:
        """Block while frozen."""
        with self._changed:
            while self._faults.frozen:
                self._changed.wait()

    def wait_while_hung(self) -> None:
        """Block until the faults are replaced by ones that do not hang."""
        with self._changed:
            while self._faults.kind is FaultKind.HANG:
                self._changed.wait()
