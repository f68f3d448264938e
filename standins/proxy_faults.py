"""Faults of the proxy stand-in."""

import random
import threading
from enum import Enum

import msgspec


class ProxyMode(Enum):
    """What the proxy does with a connection.

    A held direction passes its bytes once the mode is `PASS` again, as TCP's
    retransmission would; `DROP_TO_SERVER` and `DROP_TO_CLIENT` hold one direction,
    `BLACK_HOLE` holds both. `HALF_CLOSE` ends the direction to the server and goes on
    passing the answer.
    """

    PASS = "pass"
    CUT = "cut"
    DROP_TO_SERVER = "drop-to-server"
    DROP_TO_CLIENT = "drop-to-client"
    BLACK_HOLE = "black-hole"
    HALF_CLOSE = "half-close"


class CutStage(Enum):
    """When a connection is cut.

    `MID_REQUEST` and `MID_RESPONSE` come after `after_bytes` bytes of that direction;
    `AFTER_REQUEST` when the server begins to answer.
    """

    BEFORE_CONNECT = "before-connect"
    AFTER_CONNECT = "after-connect"
    MID_REQUEST = "mid-request"
    AFTER_REQUEST = "after-request"
    MID_RESPONSE = "mid-answer"


class CutStyle(Enum):
    """How a cut looks to both sides."""

    RESET = "rst"
    FINISH = "fin"


class ProxyFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults in force, for old and new connections.

    Parameters
    ----------
    mode : ProxyMode
        What is done.
    stage : CutStage
        For `CUT`.
    style : CutStyle
        For `CUT`.
    after_bytes : int
        For `MID_REQUEST`, `MID_ANSWER` and `HALF_CLOSE`.
    delay_seconds : float
        Delay of each piece, in each direction, in any mode.
    probability : float
        Share of the connections that the mode applies to.
    seed : int
        Of the choice among connections.
    """

    mode: ProxyMode = ProxyMode.PASS
    stage: CutStage = CutStage.MID_RESPONSE
    style: CutStyle = CutStyle.RESET
    after_bytes: int = 0
    delay_seconds: float = 0.0
    probability: float = 1.0
    seed: int = 1


class FaultSelector:
    """Holds the faults in force and chooses the connections they apply to."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._chosen: dict[int, ProxyFaults] = {}
        self.set_faults(ProxyFaults())

    def set_faults(self, faults: ProxyFaults) -> None:
        """Replace the faults in force."""
        with self._lock:
            self.current = faults
            self._random = random.Random(faults.seed)
            self._chosen.clear()

    def faults_for(self, number: int) -> ProxyFaults:
        """Return the faults of a connection by its number."""
        with self._lock:
            found = self._chosen.get(number)
            if found is None:
                found = self.current
                if self._random.random() >= found.probability:
                    found = ProxyFaults(delay_seconds=found.delay_seconds)
                self._chosen[number] = found
            return found
