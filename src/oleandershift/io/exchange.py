"""Runs one request, from queueing to the end of its response, on its own thread."""

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
_REASON_BY_FAULT = {
    Fault.CALLER_DISCONNECTED: ProblemReason.CALLER_DISCONNECTED,
    Fault.DEADLINE: ProblemReason.DEADLINE,
}
_UNHEALTHY_FAULTS = frozenset(Fault) - {
    Fault.LATE_START,
    Fault.DEADLINE,
    Fault.CALLER_DISCONNECTED,
}


class ExchangeContext(Protocol):
    """The router's interface to a request's thread."""

    connection_pool: UpstreamConnectionPool
    events: EventLog
    retry_budget: RetryBudget

    def send_to_actor(self, message: object) -> None:
        """Send a message to the router's actor."""

    def snapshot(self) -> Snapshot:
        """Return the current state of the router."""


class _UnresumableError(Exception):
    """A stream was interrupted and can't be resumed.

    Parameters
    ----------
    fault : Fault
        Cause of the last failure.
    """

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.value)
        self.fault = fault


def _health_verdict(fault: Fault) -> bool | None:
    return False if fault in _UNHEALTHY_FAULTS else None


def _sleep_until(wake_at: float) -> None:
    threading.Event().wait(max(0.0, wake_at - time.time()))


class Exchange:
    """Runs one request, with its retries and stream resumptions.

    Parameters
    ----------
    context : ExchangeContext
        Interface to the router.
    job : Job
        The request.
    send_by : float or None
        Time after which the request must not be sent, seconds since the Unix epoch.
    on_end : callable or None
        Called once with the result of the exchange.
    """

    def __init__(
        self,
        context: ExchangeContext,
        job: Job,
        send_by: float | None = None,
        on_end: Callable[[ExchangeResult], None] | None = None,
    ) -> None:
        self._context = context
        self._send_by = send_by
        self._on_end = on_end
        self._job = job
        self._call = job.call
        self._lifecycle = RequestLifecycle(
            job.call.idempotent,
            job.call.deadline,
            context.retry_budget,
            Backoff(random.Random(job.call.request)),
        )
        self._attempt: Attempt | None = None
        self._upstream: UpstreamId | None = None
        self._reader = EventReader()
        self._cost = 0.0
        self._status = 0
        self._reason = ""
        self._is_closed = False
        self._stored_response: tuple[tuple[tuple[str, str], ...], bytes | None] = (
            (),
            None,
        )
        self._next_progress_at = 0.0

    def get_response(self) -> Response:
        """Block until the response is complete or its body has begun, and return it."""
        while True:
            start = self._wait_for_start()
            if isinstance(start, Problem):
                return self._respond_with_problem(start)
            try:
                return self._run_attempt(start)
            except AttemptError as exc:
                self._record_failure(exc.fault)
            except _UnresumableError as exc:
                self._end_attempt(was_sent=True, healthy=_health_verdict(exc.fault))
            step = self._lifecycle.step
            if isinstance(step, Respond):
                return self._respond_with_problem(step.problem)
            if isinstance(step, Retry):
                self._log_event(EventName.REQUEST_RETRIED)
                _sleep_until(step.at)

    def close(self) -> None:
        """Release all resources.

        Must be called after `get_response`, once the body is complete or abandoned.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._reason = Fault.CALLER_DISCONNECTED.value
        self._end_attempt(was_sent=True, healthy=None)
        self._report_end()

    # Queueing

    def _wait_for_start(self) -> Start | Problem:
        job = self._job
        deadline = self._call.deadline
        if deadline is not None and time.time() >= deadline:
            return Problem(
                ProblemReason.DEADLINE, "the deadline passed", self._lifecycle.run
            )
        self._context.send_to_actor(
            Submit(job, self._lifecycle.avoid, self._lifecycle.attempt)
        )
        decision = job.decisions.get()
        if isinstance(decision, Start):
            return decision
        if isinstance(decision, Abandoned):
            self._context.send_to_actor(Cancelled(self._call.request))
            detail = f"given up while it waited ({decision.fault.value})"
            return Problem(
                _REASON_BY_FAULT[decision.fault], detail, self._lifecycle.run
            )
        return self._refusal_problem(decision)

    def _refusal_problem(self, refusal: Refuse) -> Problem:
        reason = REASON_BY_REFUSAL[refusal.reason]
        detail = f"refused before it ran ({refusal.reason.value})"
        seconds = seconds_until_retry(time.time(), refusal.retry_at)
        return Problem(reason, detail, self._lifecycle.run, seconds)

    # Attempts

    def _run_attempt(self, start: Start) -> Response:
        self._start_attempt(start)
        assert self._attempt is not None
        self._attempt.connect()
        self._check_deadlines(time.time(), start)
        self._lifecycle.on_sending()
        self._log_event(EventName.REQUEST_SENT, detail=self._attempt.tag)
        head = self._attempt.send()
        self._lifecycle.on_response_head(head.relay_mode is RelayMode.EVENT_STREAM)
        self._log_event(EventName.REQUEST_FIRST_BYTE)
        return self._build_response(head)

    def _check_deadlines(self, now: float, start: Start) -> None:
        if self._send_by is not None and now > self._send_by:
            raise AttemptError(Fault.DEADLINE)
        if now > start.deadline:
            raise AttemptError(Fault.LATE_START)

    def _start_attempt(self, start: Start) -> None:
        row = self._context.snapshot().table.upstreams.get(start.upstream)
        self._upstream = start.upstream
        self._lifecycle.on_assigned(start.upstream)
        self._log_event(EventName.REQUEST_GRANTED, grant=start.grant)
        url = row.url if row is not None else ""
        self._attempt = Attempt(
            self._context.connection_pool, self._call, url, self._lifecycle.attempt
        )
        self._job.set_attempt(self._attempt)
        if row is None:
            raise AttemptError(Fault.LATE_START)

    def _build_response(self, head: UpstreamResponseHead) -> Response:
        self._status = head.status
        self._cost = head.cost
        if head.relay_mode is RelayMode.BUFFERED:
            return self._buffered_response(head)
        headers = self._response_headers(head)
        if head.content_length is not None:
            headers.append(("Content-Length", str(head.content_length)))
        chunks = self._stream_body()
        if head.relay_mode is RelayMode.EVENT_STREAM:
            chunks = self._stream_events()
        first = next(chunks, b"")
        return Response(head.status, headers, self._relay(first, chunks))

    def _relay(self, first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
        self._lifecycle.on_relaying()
        yield first
        try:
            yield from rest
        except (AttemptError, _UnresumableError) as exc:
            self._abort_response(exc.fault)
        self._complete()

    def _buffered_response(self, head: UpstreamResponseHead) -> Response:
        assert self._attempt is not None
        body = self._attempt.read_body()
        headers = self._response_headers(head)
        headers.append(("Content-Length", str(len(body))))
        self._stored_response = (tuple(headers), body)
        self._complete()
        return Response(head.status, headers, iter((body,)))

    def _response_headers(self, head: UpstreamResponseHead) -> list[tuple[str, str]]:
        oleander_headers = [
            ("Oleander-Request-Id", str(self._call.request)),
            ("Oleander-Run", RunStatus.RAN.value),
        ]
        return [*head.headers, *oleander_headers]

    def _stream_body(self) -> Iterator[bytes]:
        assert self._attempt is not None
        return self._attempt.iter_chunks()

    def _stream_events(self) -> Iterator[bytes]:
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
                self._report_progress(time.time())
                if events:
                    yield events
        except StreamError as exc:
            raise AttemptError(Fault.MALFORMED) from exc

    def _report_progress(self, now: float) -> None:
        if now < self._next_progress_at:
            return
        self._next_progress_at = now + PROGRESS_INTERVAL_SECONDS
        self._context.send_to_actor(Progressed(self._call.request, self._reader.cost))

    def _resume(self, fault: Fault) -> None:
        """Resume the stream after the last complete event.

        Raises
        ------
        _UnresumableError
            If the stream can't be resumed; the lifecycle's `step` says what to do next.
        """
        assert self._attempt is not None
        while True:
            self._lifecycle.on_failure(time.time(), fault)
            step = self._lifecycle.step
            if not isinstance(step, Resume):
                raise _UnresumableError(fault)
            _sleep_until(step.at)
            try:
                self._reader.discard_partial()
                self._attempt.resume(self._reader.next_index)
            except AttemptError as exc:
                fault = exc.fault
                continue
            self._log_event(EventName.REQUEST_RETRIED, detail="resumed")
            return

    # Completion and failure

    def _complete(self) -> None:
        assert self._attempt is not None
        self._attempt.mark_complete()
        self._lifecycle.on_response_end()
        self._is_closed = True
        self._end_attempt(was_sent=True, healthy=self._status < 500)
        self._report_end()

    def _abort_response(self, fault: Fault) -> None:
        self._reason = fault.value
        self._is_closed = True
        self._end_attempt(was_sent=True, healthy=_health_verdict(fault))
        self._report_end()
        raise BrokenAnswerError(fault.value)

    def _record_failure(self, fault: Fault) -> None:
        was_sent = self._lifecycle.phase is not Phase.ASSIGNED
        self._lifecycle.on_failure(time.time(), fault)
        self._end_attempt(was_sent=was_sent, healthy=_health_verdict(fault))

    def _end_attempt(self, was_sent: bool, healthy: bool | None) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None or self._upstream is None:
            return
        self._job.set_attempt(None)
        cost = max(self._cost, self._reader.cost)
        self._context.send_to_actor(
            AttemptEnded(self._call.request, self._upstream, cost, was_sent, healthy)
        )
        attempt.close()

    def _respond_with_problem(self, problem: Problem) -> Response:
        self._is_closed = True
        self._status = problem.status.value
        self._reason = problem.reason.value
        self._report_end(problem.run)
        return problem_response(self._call.request, problem)

    def _report_end(self, run: RunStatus | None = None) -> None:
        outcome = Outcome(
            request=self._call.request,
            team=self._call.team,
            service=self._call.service,
            status=self._status,
            run=(run or self._lifecycle.run).value,
            reason=self._reason,
            at=time.time(),
            upstream=self._upstream,
        )
        self._context.send_to_actor(JobEnded(outcome))
        if self._on_end is not None:
            self._on_end(
                ExchangeResult(
                    self._final_run_status(run), self._status, *self._stored_response
                )
            )
        name = EventName.REQUEST_FINISHED
        if run is not None:
            name = EventName.REQUEST_REFUSED
        self._log_event(name, detail=f"{outcome.status} {outcome.run} {outcome.reason}")

    def _final_run_status(self, run: RunStatus | None) -> RunStatus:
        if run is None and self._lifecycle.phase is not Phase.ENDED:
            return RunStatus.UNKNOWN
        return run or self._lifecycle.run

    def _log_event(self, name: EventName, **fields: str) -> None:
        self._context.events.write(
            name,
            request=self._call.request,
            team=self._call.team,
            service=self._call.service,
            upstream=self._upstream or "",
            **fields,
        )
