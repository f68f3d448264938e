"""State machine of a request from the queue to its last byte, without any I/O.

It tracks how far each attempt got, and from that alone decides whether to retry the
request, resume its stream or return an error to the caller.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from oleandershift.ids import UpstreamId
from oleandershift.problems import Problem, ProblemReason, RunStatus
from oleandershift.retries import MAX_ATTEMPTS, Backoff, RetryBudget

MAX_RESUMES = 4


class Phase(Enum):
    """Progress of the current attempt."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    SENDING = "sending"
    RECEIVING = "answering"
    RELAYING = "relaying"
    ENDED = "ended"


class Fault(Enum):
    """Cause of an attempt's failure."""

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
    CALLER_DISCONNECTED = "caller-gone"


@dataclass(frozen=True)
class Requeue:
    """Step: queue the request again; it was never sent to the upstream."""


@dataclass(frozen=True)
class Retry:
    """Step: run the request again, on another upstream if there is one.

    Parameters
    ----------
    at : float
        Time of the retry, seconds.
    """

    at: float


@dataclass(frozen=True)
class Resume:
    """Step: request the rest of the stream from the same upstream.

    Parameters
    ----------
    at : float
        Time of the request, seconds.
    """

    at: float


@dataclass(frozen=True)
class Respond:
    """Step: send an error response to the caller.

    Parameters
    ----------
    problem : Problem
        The error.
    """

    problem: Problem


@dataclass(frozen=True)
class Abort:
    """Step: abort the caller's connection, as part of the response has been sent."""


Step: TypeAlias = Requeue | Retry | Resume | Respond | Abort

_FINAL_PROBLEMS = {
    Fault.DEADLINE: Problem(ProblemReason.DEADLINE, "the deadline passed"),
    Fault.CALLER_DISCONNECTED: Problem(
        ProblemReason.CALLER_DISCONNECTED, "the caller hung up"
    ),
}


class RequestLifecycle:
    """State machine of one request.

    Parameters
    ----------
    idempotent : bool
        Whether the request may run more than once.
    deadline : float or None
        Time after which the response is of no use, seconds.
    budget : RetryBudget
        Retry budget shared by all requests of the router.
    backoff : Backoff
        Computes the time of the next retry.

    Attributes
    ----------
    phase : Phase
        Phase of the current attempt.
    attempt : int
        Number of the current attempt, starting at 1.
    avoid : frozenset of UpstreamId
        Upstreams on which this request failed.
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
        self._resume_count = 0
        self._response_started = False
        budget.deposit()

    @property
    def run(self) -> RunStatus:
        """Return whether the request ran, as far as is known."""
        if self.phase in (Phase.RELAYING, Phase.ENDED):
            return RunStatus.RAN
        return RunStatus.UNKNOWN if self._may_have_run else RunStatus.NOT_RUN

    def on_assigned(self, upstream: UpstreamId) -> None:
        """Record that the attempt was assigned to an upstream."""
        self.phase = Phase.ASSIGNED
        self._upstream = upstream

    def on_sending(self) -> None:
        """Record that bytes of the request may reach the upstream from now on."""
        self.phase = Phase.SENDING
        self._may_have_run = True

    def on_response_head(self, resumable: bool) -> None:
        """Record a response head that carries this attempt's id."""
        self.phase = Phase.RECEIVING
        self._resumable = resumable

    def on_relaying(self) -> None:
        """Record that the caller may receive part of the response from now on."""
        self.phase = Phase.RELAYING
        self._response_started = True

    def on_response_end(self) -> None:
        """Record that the response is complete."""
        self.phase = Phase.ENDED

    def on_failure(self, now: float, fault: Fault) -> None:
        """Record a failure of the current attempt and decide the next `step`."""
        self.step = self._decide_step(now, fault)
        if isinstance(self.step, Requeue | Retry):
            self.phase = Phase.QUEUED
        if isinstance(self.step, Retry):
            self._start_retry(fault)
        if isinstance(self.step, Resume):
            self._resume_count += 1

    def _decide_step(self, now: float, fault: Fault) -> Step:
        if fault in _FINAL_PROBLEMS:
            return self._respond_or_abort(_FINAL_PROBLEMS[fault])
        if fault is Fault.LATE_START:
            return Requeue()
        retry_at = self._backoff.next_attempt_at(now, self.attempt + self._resume_count)
        if self._is_past_deadline(retry_at):
            return self._respond_or_abort(_FINAL_PROBLEMS[Fault.DEADLINE])
        if self._can_resume(fault):
            return Resume(retry_at)
        if self._response_started:
            return Abort()
        if self._can_retry(fault):
            return Retry(retry_at)
        detail = f"the upstream failed ({fault.value})"
        return self._respond_or_abort(Problem(ProblemReason.UPSTREAM_FAILED, detail))

    def _respond_or_abort(self, problem: Problem) -> Step:
        if self._response_started:
            return Abort()
        return Respond(
            Problem(problem.reason, problem.detail, self.run, problem.retry_after)
        )

    def _is_past_deadline(self, at: float) -> bool:
        return self._deadline is not None and at >= self._deadline

    def _can_resume(self, fault: Fault) -> bool:
        return (
            self.phase in (Phase.RECEIVING, Phase.RELAYING)
            and self._resumable
            and fault is not Fault.RESUME_REFUSED
            and self._resume_count < MAX_RESUMES
        )

    def _can_retry(self, fault: Fault) -> bool:
        if self.attempt >= MAX_ATTEMPTS:
            return False
        if fault is Fault.CONNECT and self.phase is Phase.ASSIGNED:
            return True
        return self._idempotent and self._budget.allows()

    def _start_retry(self, fault: Fault) -> None:
        self.attempt += 1
        self._resume_count = 0
        self._resumable = False
        if self._upstream is not None:
            self.avoid |= {self._upstream}
        if fault is not Fault.CONNECT:
            self._budget.spend()
