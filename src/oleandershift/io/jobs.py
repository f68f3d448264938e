"""A request in a router process: what its thread and the actor share."""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from oleandershift.calls import Call, KeyIndex
from oleandershift.dispatch import Refuse, Start
from oleandershift.ids import RequestId, UpstreamId
from oleandershift.io.upstreams import Attempt
from oleandershift.lifecycle import Fault
from oleandershift.messages import Outcome
from oleandershift.replica import Table


@dataclass(frozen=True)
class Snapshot:
    """What request threads see of the router's state; replaced as a whole.

    Parameters
    ----------
    table : Table
        In force; read only by key.
    keys : KeyIndex
        Teams by key.
    ready : bool
        There is a table and no drain.
    accepting : bool
        New requests are taken.
    draining : bool
        The router stops.
    sweeping : bool
        This VM is the one that deletes expired claims.
    """

    table: Table
    keys: KeyIndex
    ready: bool
    accepting: bool
    draining: bool = False
    sweeping: bool = False


@dataclass(frozen=True)
class Abandoned:
    """Decision: the request is given up.

    Parameters
    ----------
    fault : Fault
        Why.
    """

    fault: Fault


@dataclass
class Job:
    """One request that a thread carries through.

    Parameters
    ----------
    call : Call
        The request.
    arrived : float
        Instant of arrival.
    is_gone : callable
        Tells whether the caller hung up.
    """

    call: Call
    arrived: float
    is_gone: Callable[[], bool]
    decisions: "queue.SimpleQueue[Start | Refuse | Abandoned]" = field(
        default_factory=queue.SimpleQueue
    )
    attempt: Attempt | None = None
    abandoned: Fault | None = None
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def begin(self, attempt: Attempt | None) -> None:
        """Take note of the running attempt, which `abandon` aborts."""
        with self._lock:
            self.attempt = attempt
            if attempt is not None and self.abandoned is not None:
                attempt.abort(self.abandoned)

    def abandon(self, fault: Fault) -> None:
        """Give the request up, whatever its thread waits for."""
        with self._lock:
            if self.abandoned is not None:
                return
            self.abandoned = fault
            self.decisions.put(Abandoned(fault))
            if self.attempt is not None:
                self.attempt.abort(fault)


@dataclass(frozen=True)
class Submit:
    """Message to the actor: queue a request.

    Parameters
    ----------
    job : Job
        The request.
    avoid : frozenset of UpstreamId
        Upstreams that failed it.
    attempt : int
        Number of the attempt.
    """

    job: Job
    avoid: frozenset[UpstreamId]
    attempt: int


@dataclass(frozen=True)
class Cancelled:
    """Message to the actor: a waiting request is given up."""

    request: RequestId


@dataclass(frozen=True)
class Progressed:
    """Message to the actor: cost so far of a running request, tokens."""

    request: RequestId
    cost: float


@dataclass(frozen=True)
class AttemptEnded:
    """Message to the actor: a running attempt is over.

    Parameters
    ----------
    request : RequestId
        The request.
    upstream : UpstreamId
        Where it ran.
    cost : float
        Tokens.
    used : bool
        False when the upstream was never asked.
    healthy : bool or None
        Whether the upstream did its part; None tells nothing.
    """

    request: RequestId
    upstream: UpstreamId
    cost: float
    used: bool
    healthy: bool | None


@dataclass(frozen=True)
class JobEnded:
    """Message to the actor: the request has its final answer."""

    outcome: Outcome
