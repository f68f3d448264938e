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
    key_index : KeyIndex
        Teams by key.
    ready : bool
        There is a table and no drain.
    accepting : bool
        New requests are taken.
    draining : bool
        The router stops.
    sweeps_claims : bool
        This VM is the one that deletes expired claims.
    """

    table: Table
    key_index: KeyIndex
    ready: bool
    accepting: bool
    draining: bool = False
    sweeps_claims: bool = False


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
    arrived_at : float
        Instant of arrival.
    is_disconnected : callable
        Tells whether the caller hung up.
    """

    call: Call
    arrived_at: float
    is_disconnected: Callable[[], bool]
    decisions: "queue.SimpleQueue[Start | Refuse | Abandoned]" = field(
        default_factory=queue.SimpleQueue
    )
    attempt: Attempt | None = None
    abandon_fault: Fault | None = None
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def set_attempt(self, attempt: Attempt | None) -> None:
        """Take note of the running attempt, which `abandon` aborts."""
        with self._lock:
            self.attempt = attempt
            if attempt is not None and self.abandon_fault is not None:
                attempt.abort(self.abandon_fault)

    def abandon(self, fault: Fault) -> None:
        """Give the request up, whatever its thread waits for."""
        with self._lock:
            if self.abandon_fault is not None:
                return
            self.abandon_fault = fault
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
    failed_upstreams : frozenset of UpstreamId
        Upstreams that failed it.
    attempt : int
        Number of the attempt.
    """

    job: Job
    failed_upstreams: frozenset[UpstreamId]
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
    was_sent : bool
        False when the upstream was never asked.
    healthy : bool or None
        Whether the upstream did its part; None tells nothing.
    """

    request: RequestId
    upstream: UpstreamId
    cost: float
    was_sent: bool
    healthy: bool | None


@dataclass(frozen=True)
class JobEnded:
    """Message to the actor: the request has its final answer."""

    outcome: Outcome
