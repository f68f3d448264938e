"""State and messages that request threads and the router's actor exchange."""

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from oleandershift.calls import ApiKeyIndex, Call
from oleandershift.dispatch import Refuse, Start
from oleandershift.ids import RequestId, UpstreamId
from oleandershift.io.upstreams import Attempt
from oleandershift.lifecycle import Fault
from oleandershift.messages import Outcome
from oleandershift.replica import Table


@dataclass(frozen=True)
class Snapshot:
    """Router state for the request threads; replaced as a whole.

    Parameters
    ----------
    table : Table
        Current table. The actor updates it in place, so request threads only look up
        single rows and never iterate over it.
    key_index : ApiKeyIndex
        Teams by API key.
    ready : bool
        Whether there is a table and the router is not draining.
    accepting : bool
        Whether new requests are accepted.
    draining : bool
        Whether the router is draining.
    sweeps_claims : bool
        Whether this VM deletes expired claims.
    """

    table: Table
    key_index: ApiKeyIndex
    ready: bool
    accepting: bool
    draining: bool = False
    sweeps_claims: bool = False


@dataclass(frozen=True)
class Abandoned:
    """Decision: the request is abandoned.

    Parameters
    ----------
    fault : Fault
        Why the request was abandoned.
    """

    fault: Fault


@dataclass
class Job:
    """A request that a thread runs.

    Parameters
    ----------
    call : Call
        The request.
    arrived_at : float
        Arrival time, seconds since the Unix epoch.
    is_disconnected : callable
        Returns whether the caller has disconnected.

    Attributes
    ----------
    decisions : SimpleQueue
        Decisions for the thread that runs the request.
    attempt : Attempt or None
        Running attempt.
    abandon_fault : Fault or None
        Why the request was abandoned, None if it was not.
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
        """Set the running attempt, which `abandon` aborts; None if there is none."""
        with self._lock:
            self.attempt = attempt
            if attempt is not None and self.abandon_fault is not None:
                attempt.abort(self.abandon_fault)

    def abandon(self, fault: Fault) -> None:
        """Abandon the request, whether it is queued or runs on an upstream."""
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
        Upstreams that failed this request.
    attempt : int
        Number of the attempt, from 1.
    """

    job: Job
    failed_upstreams: frozenset[UpstreamId]
    attempt: int


@dataclass(frozen=True)
class Cancelled:
    """Message to the actor: a queued request was abandoned."""

    request: RequestId


@dataclass(frozen=True)
class Progressed:
    """Message to the actor: cost of a running request so far, tokens."""

    request: RequestId
    cost: float


@dataclass(frozen=True)
class AttemptEnded:
    """Message to the actor: an attempt has ended.

    Parameters
    ----------
    request : RequestId
        The request.
    upstream : UpstreamId
        Upstream that was assigned to the attempt.
    cost : float
        Cost, tokens.
    was_sent : bool
        False if the request was never sent to the upstream.
    healthy : bool or None
        Whether the upstream behaved correctly; None if the attempt does not show it.
    """

    request: RequestId
    upstream: UpstreamId
    cost: float
    was_sent: bool
    healthy: bool | None


@dataclass(frozen=True)
class JobEnded:
    """Message to the actor: the request has ended."""

    outcome: Outcome
