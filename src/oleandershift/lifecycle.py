"""A request's life from the queue to its last byte, without any I/O.

It knows how far each attempt got, and from that alone decides whether the request is
repeated, its stream resumed, or what the caller is told.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from oleandershift.ids import UpstreamId
from oleandershift.problems import Problem, ProblemReason, RunStatus
from oleandershift.retries import MAX_ATTEMPTS, Backoff, RetryBudget

MAX_RESUMES = 4


class Phase(Enum):
    """How far the current attempt got."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    SENDING = "sending"
    ANSWERING = "answering"
    RELAYING = "relaying"
    ENDED = "ended"


class Fault(Enum):
    """What went wrong with an attempt."""

    LATE_START = "late-start"
    CONNECT = "connect"
    CONNECTION_LOST = "cut"
    TRUNCATED = "short"
    TIMEOUT = "timeout"
    WRONG_ID = "wrong-id"
    MALFORMED = "malformed"
    RESUME_REFUSED = "resume-refused"
    UNAVAILABLE = "unavailable"
    DEADLINE = "deadline"
    CALLER_GONE = "caller-gone"


@dataclass(frozen=True)
class Requeue:
    """Step: queue the request again; the upstream was never asked."""


@dataclass(frozen=True)
class Retry:
    """Step: run the request again, on another upstream where there is one.

    Parameters
    ----------
    at : float
        Instant of the retry.
    """

    at: float


@dataclass(frozen=True)
class Resume:
    """Step: ask the same upstream for the rest of the stream.

    Parameters
    ----------
    at : float
        Instant of the call.
    """

    at: float


@dataclass(frozen=True)
class Respond:
    """Step: answer the caller.

    Parameters
    ----------
    problem : Problem
        The answer.
    """

    problem: Problem


@dataclass(frozen=True)
class Abort:
    """Step: break the caller's connection, as a part of the answer is with it."""


Step: TypeAlias = Requeue | Retry | Resume | Respond | Abort

_STOPPING = {
    Fault.DEADLINE: Problem(ProblemReason.DEADLINE, "the deadline passed"),
    Fault.CALLER_GONE: Problem(ProblemReason.CALLER_GONE, "the caller hung up"),
}


class RequestLifecycle:
    """State machine of one request.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run more than once.
    deadline : float or None
        Instant after which the answer is of no use.
    budget : RetryBudget
        The router's.
    backoff : Backoff
        Chooses instants of retries.

    Attributes
    ----------
    phase : Phase
        Of the current attempt.
    attempt : int
        Its number, from 1.
    avoid : frozenset of UpstreamId
        Upstreams that failed this request.
    step : Step or None
        What to do after the last failure.
    """

    def __init__(
        self,
        idempotent: bool,
        deadline: float | None,
        budget: RetryBudget,
        backoff: Backoff,
    ) -> None:
        self.phase = Phase.QUEUED
        self.attempt = 1
        self.avoid: frozenset[UpstreamId] = frozenset()
        self.step: Step | None = None
        self._idempotent = idempotent
        self._deadline = deadline
        self._budget = budget
        self._backoff = backoff
        self._upstream: UpstreamId | None = None
        self._may_have_run = False
        self._resumable = False
        self._resumes = 0
        self._passed = False
        budget.deposit()

    @property
    def run(self) -> RunStatus:
        """Return what is known of the request's execution."""
        if self.phase in (Phase.RELAYING, Phase.ENDED):
            return RunStatus.RAN
        return RunStatus.UNKNOWN if self._may_have_run else RunStatus.NOT_RUN

    def on_assigned(self, upstream: UpstreamId) -> None:
        """Take an upstream to run on."""
        self.phase = Phase.ASSIGNED
        self._upstream = upstream

    def on_sending(self) -> None:
        """Take note that bytes of the request may reach the upstream from here on."""
        self.phase = Phase.SENDING
        self._may_have_run = True

    def on_response_head(self, resumable: bool) -> None:
        """Take the head of an answer that names this attempt."""
        self.phase = Phase.ANSWERING
        self._resumable = resumable

    def on_relaying(self) -> None:
        """Take note that part of the answer goes to the caller."""
        self.phase = Phase.RELAYING
        self._passed = True

    def on_response_end(self) -> None:
        """Take the whole answer."""
        self.phase = Phase.ENDED

    def on_failure(self, now: float, fault: Fault) -> None:
        """Take a failure of the current attempt and decide the next `step`."""
        self.step = self._decide(now, fault)
        if isinstance(self.step, Requeue | Retry):
            self.phase = Phase.QUEUED
        if isinstance(self.step, Retry):
            self._take_retry(fault)
        if isinstance(self.step, Resume):
            self._resumes += 1

    def _decide(self, now: float, fault: Fault) -> Step:
        if fault in _STOPPING:
            return self._stop(_STOPPING[fault])
        if fault is Fault.LATE_START:
            return Requeue()
        at = self._backoff.next_attempt_at(now, self.attempt + self._resumes)
        if self._past_deadline(at):
            return self._stop(_STOPPING[Fault.DEADLINE])
        if self._can_resume(fault):
            return Resume(at)
        if self._passed:
            return Abort()
        if self._can_retry(fault):
            return Retry(at)
        detail = f"the upstream failed ({fault.value})"
        return self._stop(Problem(ProblemReason.UPSTREAM_FAILED, detail))

    def _stop(self, problem: Problem) -> Step:
        if self._passed:
            return Abort()
        return Respond(
            Problem(problem.reason, problem.detail, self.run, problem.retry_after)
        )

    def _past_deadline(self, at: float) -> bool:
        return self._deadline is not None and at >= self._deadline

    def _can_resume(self, fault: Fault) -> bool:
        return (
            self.phase in (Phase.ANSWERING, Phase.RELAYING)
            and self._resumable
            and fault is not Fault.RESUME_REFUSED
            and self._resumes < MAX_RESUMES
        )

    def _can_retry(self, fault: Fault) -> bool:
        if self.attempt >= MAX_ATTEMPTS:
            return False
        if fault is Fault.CONNECT and self.phase is Phase.ASSIGNED:
            return True
        return self._idempotent and self._budget.allows()

    def _take_retry(self, fault: Fault) -> None:
        self.attempt += 1
        self._resumes = 0
        self._resumable = False
        if self._upstream is not None:
            self.avoid |= {self._upstream}
        if fault is not Fault.CONNECT:
            self._budget.spend()
