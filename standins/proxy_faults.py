"""Faults of the proxy stand-in."""

import random
import threading
from enum import Enum

import msgspec


class ProxyMode(Enum):
    """How the proxy treats a connection.

    `DROP_TO_SERVER` and `DROP_TO_CLIENT` hold the bytes of one direction, `BLACK_HOLE`
    those of both. Held bytes are forwarded when the mode is `PASS` again, as TCP would
    retransmit them. `HALF_CLOSE` ends the direction to the server, but still forwards
    the response.
    """

    PASS = "pass"
    CUT = "cut"
    DROP_TO_SERVER = "drop-to-server"
    DROP_TO_CLIENT = "drop-to-client"
    BLACK_HOLE = "black-hole"
    HALF_CLOSE = "half-close"


class CutStage(Enum):
    """When a connection is cut.

    `MID_REQUEST` and `MID_RESPONSE` cut after `after_bytes` bytes of that direction,
    `AFTER_REQUEST` when the server starts to respond.
    """

    BEFORE_CONNECT = "before-connect"
    AFTER_CONNECT = "after-connect"
    MID_REQUEST = "mid-request"
    AFTER_REQUEST = "after-request"
    MID_RESPONSE = "mid-answer"


class CutStyle(Enum):
    """How both sides see a cut."""

    RESET = "rst"
    FINISH = "fin"


class ProxyFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Active faults, for open and new connections.

    Parameters
    ----------
    mode : ProxyMode
        How connections are treated.
    stage : CutStage
        When the connection is cut, for `CUT`.
    style : CutStyle
        How the connection is cut, for `CUT`.
    after_bytes : int
        Bytes to forward first, for `MID_REQUEST`, `MID_RESPONSE` and `HALF_CLOSE`.
    delay_seconds : float
        Delay of each chunk received, in both directions and all modes.
    probability : float
        Fraction of the connections to which the mode applies.
    seed : int
        Seed of the choice of connections.
    """

    mode: ProxyMode = ProxyMode.PASS
    stage: CutStage = CutStage.MID_RESPONSE
    style: CutStyle = CutStyle.RESET
    after_bytes: int = 0
    delay_seconds: float = 0.0
    probability: float = 1.0
    seed: int = 1


class FaultSelector:
    """Holds the active faults and selects the connections to which they apply.

    The choice depends on the seed and on how many connections were accepted since the
    faults were set, and not on the order in which connections ask: those that were
    accepted before still do while they end.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.set_faults(ProxyFaults())

    def set_faults(self, faults: ProxyFaults, accepted: int = 0) -> None:
        """Replace the active faults.

        Parameters
        ----------
        faults : ProxyFaults
            The faults.
        accepted : int
            Number of the connection that was accepted last.
        """
        with self._lock:
            self.current = faults
            self._accepted = accepted

    def faults_for(self, number: int) -> ProxyFaults:
        """Return the faults that apply to a connection, given its number."""
        with self._lock:
            faults, position = self.current, number - self._accepted
        if faults.probability >= 1.0:
            return faults
        draw = random.Random(f"{faults.seed} {position}").random()
        if draw >= faults.probability:
            return ProxyFaults(delay_seconds=faults.delay_seconds)
        return faults
