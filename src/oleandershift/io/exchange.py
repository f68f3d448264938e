"""Carries one request from the queue to its answer, on the request's own thread."""

import random
import threading
import time
from collections.abc import Callable, Iterator
from typing import Protocol

from oleandershift.dispatch import Refuse, Start
from oleandershift.events import EventName
from oleandershift.eventstream import EventReader, StreamError
from oleandershift.ids import UpstreamId
from oleandershift.io.answers import (
    BrokenAnswerError,
    ExchangeResult,
    Response,
    problem_response,
)
from oleandershift.io.jobs import (
    Abandoned,
    AttemptEnded,
    Cancelled,
    Job,
    JobEnded,
    Progressed,
    Snapshot,
    Submit,
)
from oleandershift.io.logs import EventLog
from oleandershift.io.upstreams import (
    Attempt,
    AttemptError,
    RelayMode,
    UpstreamConnectionPool,
    UpstreamResponseHead,
)
from oleandershift.lifecycle import (
    Fault,
    Phase,
    RequestLifecycle,
    Respond,
    Resume,
    Retry,
)
from oleandershift.messages import Outcome
from oleandershift.problems import (
    REASON_BY_REFUSAL,
    Problem,
    ProblemReason,
    RunStatus,
    seconds_until_retry,
)
from oleandershift.retries import Backoff, RetryBudget

PROGRESS_INTERVAL_SECONDS = 0.25
_ABANDONED = {
    Fault.CALLER_GONE: ProblemReason.CALLER_GONE,
    Fault.DEADLINE: ProblemReason.DEADLINE,
}
_UNHEALTHY = frozenset(Fault) - {Fault.LATE_START, Fault.DEADLINE, Fault.CALLER_GONE}


class ExchangeContext(Protocol):
    """What a request's thread needs of the router."""

    connection_pool: UpstreamConnectionPool
    events: EventLog
    retry_budget: RetryBudget

    def send_to_actor(self, message: object) -> None:
        """Give the actor a message."""

    def snapshot(self) -> Snapshot:
        """Return the state in force."""


class _UnresumableError(Exception):
    """A stream broke off for good.

    Parameters
    ----------
    fault : Fault
        Why.
    """

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.value)
        self.fault = fault


def _health(fault: Fault) -> bool | None:
    return False if fault in _UNHEALTHY else None


def _pause(until: float) -> None:
    threading.Event().wait(max(0.0, until - time.time()))


class Exchange:
    """One request's way through the router.

    Parameters
    ----------
    desk : Desk
        The router.
    job : Job
        The request.
    send_by : float or None
        Instant past which it must not be sent.
    on_end : callable or None
        Called once with the ending.
    """

    def __init__(
        self,
        desk: ExchangeContext,
        job: Job,
        send_by: float | None = None,
        on_end: Callable[[ExchangeResult], None] | None = None,
    ) -> None:
        self._desk = desk
        self._send_by = send_by
        self._on_end = on_end
        self._job = job
        self._call = job.call
        self._life = RequestLifecycle(
            job.call.idempotent,
            job.call.deadline,
            desk.retry_budget,
            Backoff(random.Random(job.call.request)),
        )
        self._attempt: Attempt | None = None
        self._upstream: UpstreamId | None = None
        self._reader = EventReader()
        self._cost = 0.0
        self._status = 0
        self._reason = ""
        self._over = False
        self._kept: tuple[tuple[tuple[str, str], ...], bytes | None] = ((), None)
        self._next_progress = 0.0

    def get_response(self) -> Response:
        """Return the answer, whole or begun; blocks until there is one."""
        while True:
            start = self._wait_for_start()
            if isinstance(start, Problem):
                return self._conclude(start)
            try:
                return self._run(start)
            except AttemptError as exc:
                self._fail(exc.fault)
            except _UnresumableError as exc:
                self._end_attempt(used=True, healthy=_health(exc.fault))
            step = self._life.step
            if isinstance(step, Respond):
                return self._conclude(step.problem)
            if isinstance(step, Retry):
                self._event(EventName.REQUEST_RETRIED)
                _pause(step.at)

    def close(self) -> None:
        """Release everything; must follow `open` once the body is done or given up."""
        if self._over:
            return
        self._over = True
        self._reason = Fault.CALLER_GONE.value
        self._end_attempt(used=True, healthy=None)
        self._report()

    # The queue

    def _wait_for_start(self) -> Start | Problem:
        job = self._job
        deadline = self._call.deadline
        if deadline is not None and time.time() >= deadline:
            return Problem(
                ProblemReason.DEADLINE, "the deadline passed", self._life.run
            )
        self._desk.send_to_actor(Submit(job, self._life.avoid, self._life.attempt))
        decision = job.decisions.get()
        if isinstance(decision, Start):
            return decision
        if isinstance(decision, Abandoned):
            self._desk.send_to_actor(Cancelled(self._call.request))
            detail = f"given up while it waited ({decision.fault.value})"
            return Problem(_ABANDONED[decision.fault], detail, self._life.run)
        return self._refused(decision)

    def _refused(self, refusal: Refuse) -> Problem:
        reason = REASON_BY_REFUSAL[refusal.reason]
        detail = f"refused before it ran ({refusal.reason.value})"
        seconds = seconds_until_retry(time.time(), refusal.retry_at)
        return Problem(reason, detail, self._life.run, seconds)

    # The attempt

    def _run(self, start: Start) -> Response:
        self._begin(start)
        assert self._attempt is not None
        self._attempt.connect()
        self._check_deadlines(time.time(), start)
        self._life.on_sending()
        self._event(EventName.REQUEST_SENT, detail=self._attempt.tag)
        head = self._attempt.send()
        self._life.on_response_head(head.relay_mode is RelayMode.EVENT_STREAM)
        self._event(EventName.REQUEST_FIRST_BYTE)
        return self._answer(head)

    def _check_deadlines(self, now: float, start: Start) -> None:
        if self._send_by is not None and now > self._send_by:
            raise AttemptError(Fault.DEADLINE)
        if now > start.deadline:
            raise AttemptError(Fault.LATE_START)

    def _begin(self, start: Start) -> None:
        row = self._desk.snapshot().table.upstreams.get(start.upstream)
        self._upstream = start.upstream
        self._life.on_assigned(start.upstream)
        self._event(EventName.REQUEST_GRANTED, grant=start.grant)
        url = row.url if row is not None else ""
        self._attempt = Attempt(
            self._desk.connection_pool, self._call, url, self._life.attempt
        )
        self._job.set_attempt(self._attempt)
        if row is None:
            raise AttemptError(Fault.LATE_START)

    def _answer(self, head: UpstreamResponseHead) -> Response:
        self._status = head.status
        self._cost = head.cost
        if head.relay_mode is RelayMode.BUFFERED:
            return self._whole_answer(head)
        headers = self._headers(head)
        if head.content_length is not None:
            headers.append(("Content-Length", str(head.content_length)))
        parts = self._bytes()
        if head.relay_mode is RelayMode.EVENT_STREAM:
            parts = self._events()
        first = next(parts, b"")
        return Response(head.status, headers, self._relay(first, parts))

    def _relay(self, first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
        self._life.on_relaying()
        yield first
        try:
            yield from rest
        except (AttemptError, _UnresumableError) as exc:
            self._break(exc.fault)
        self._finish()

    def _whole_answer(self, head: UpstreamResponseHead) -> Response:
        assert self._attempt is not None
        body = self._attempt.read_body()
        headers = self._headers(head)
        headers.append(("Content-Length", str(len(body))))
        self._kept = (tuple(headers), body)
        self._finish()
        return Response(head.status, headers, iter((body,)))

    def _headers(self, head: UpstreamResponseHead) -> list[tuple[str, str]]:
        own = [
            ("Oleander-Request-Id", str(self._call.request)),
            ("Oleander-Run", RunStatus.RAN.value),
        ]
        return [*head.headers, *own]

    def _bytes(self) -> Iterator[bytes]:
        assert self._attempt is not None
        return self._attempt.iter_chunks()

    def _events(self) -> Iterator[bytes]:
        while not self._reader.done:
            try:
                yield from self._read_events()
                if not self._reader.done:
                    raise AttemptError(Fault.TRUNCATED)
            except AttemptError as exc:
                self._resume(exc.fault)
        self._cost = self._reader.cost

    def _read_events(self) -> Iterator[bytes]:
        assert self._attempt is not None
        try:
            for data in self._attempt.iter_chunks():
                events = self._reader.feed(data)
                self._tell_progress(time.time())
                if events:
                    yield events
        except StreamError as exc:
            raise AttemptError(Fault.MALFORMED) from exc

    def _tell_progress(self, now: float) -> None:
        if now < self._next_progress:
            return
        self._next_progress = now + PROGRESS_INTERVAL_SECONDS
        self._desk.send_to_actor(Progressed(self._call.request, self._reader.cost))

    def _resume(self, fault: Fault) -> None:
        """Go on with the stream where it broke off.

        Raises
        ------
        _UnresumableError
            When that can't be had; the life cycle has decided what follows.
        """
        assert self._attempt is not None
        while True:
            self._life.on_failure(time.time(), fault)
            step = self._life.step
            if not isinstance(step, Resume):
                raise _UnresumableError(fault)
            _pause(step.at)
            try:
                self._reader.discard_partial()
                self._attempt.resume(self._reader.next_index)
            except AttemptError as exc:
                fault = exc.fault
                continue
            self._event(EventName.REQUEST_RETRIED, detail="resumed")
            return

    # Ends

    def _finish(self) -> None:
        assert self._attempt is not None
        self._attempt.mark_complete()
        self._life.on_response_end()
        self._over = True
        self._end_attempt(used=True, healthy=self._status < 500)
        self._report()

    def _break(self, fault: Fault) -> None:
        self._reason = fault.value
        self._over = True
        self._end_attempt(used=True, healthy=_health(fault))
        self._report()
        raise BrokenAnswerError(fault.value)

    def _fail(self, fault: Fault) -> None:
        used = self._life.phase is not Phase.ASSIGNED
        self._life.on_failure(time.time(), fault)
        self._end_attempt(used=used, healthy=_health(fault))

    def _end_attempt(self, used: bool, healthy: bool | None) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None or self._upstream is None:
            return
        self._job.set_attempt(None)
        cost = max(self._cost, self._reader.cost)
        self._desk.send_to_actor(
            AttemptEnded(self._call.request, self._upstream, cost, used, healthy)
        )
        attempt.close()

    def _conclude(self, problem: Problem) -> Response:
        self._over = True
        self._status = problem.status.value
        self._reason = problem.reason.value
        self._report(problem.run)
        return problem_response(self._call.request, problem)

    def _report(self, run: RunStatus | None = None) -> None:
        outcome = Outcome(
            request=self._call.request,
            team=self._call.team,
            service=self._call.service,
            status=self._status,
            run=(run or self._life.run).value,
            reason=self._reason,
            at=time.time(),
            upstream=self._upstream,
        )
        self._desk.send_to_actor(JobEnded(outcome))
        if self._on_end is not None:
            self._on_end(
                ExchangeResult(self._final_run(run), self._status, *self._kept)
            )
        name = EventName.REQUEST_FINISHED
        if run is not None:
            name = EventName.REQUEST_REFUSED
        self._event(name, detail=f"{outcome.status} {outcome.run} {outcome.reason}")

    def _final_run(self, run: RunStatus | None) -> RunStatus:
        if run is None and self._life.phase is not Phase.ENDED:
            return RunStatus.UNKNOWN
        return run or self._life.run

    def _event(self, name: EventName, **fields: str) -> None:
        self._desk.events.write(
            name,
            request=self._call.request,
            team=self._call.team,
            service=self._call.service,
            upstream=self._upstream or "",
            **fields,
        )
