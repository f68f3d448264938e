"""Proxies callers' requests to upstreams and their responses back."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from http import HTTPStatus

from oleandershift.absences import AbsenceProof
from oleandershift.arrivals import ArrivalClock
from oleandershift.directory import Upstream
from oleandershift.eventframes import EventOrderError
from oleandershift.exceptions import CallerLeftError
from oleandershift.ids import TeamId
from oleandershift.io.call import AttemptOutcome, Call
from oleandershift.io.callers import CallerRequest, Responder
from oleandershift.io.clock import now, remaining
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.endings import CallEndings
from oleandershift.io.forwarding import (
    BodyStart,
    declared_length,
    encode_request,
    is_event_stream,
    is_upstream_response,
    proves_not_run,
    read_body_start,
    response_headers,
    response_matcher,
)
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.intake import Intake
from oleandershift.io.pool import ConnectionPool
from oleandershift.io.requestresolver import RefusalError, RequestResolver, attempt_id
from oleandershift.io.takeups import TakeUps
from oleandershift.io.upstreamconn import (
    AnswerEnd,
    BrokenExchangeError,
    Exchange,
    FailureCause,
    ResponseHead,
    UpstreamConnection,
)
from oleandershift.io.upstreamhealth import UpstreamHealth
from oleandershift.outliers import OutlierDetector
from oleandershift.placement import Choice, InFlightRequest, Placement
from oleandershift.platform import headers
from oleandershift.retries import RetryBudget
from oleandershift.routing import Limits, Service
from oleandershift.shedding import (
    MIN_RETRY_AFTER_SECONDS,
    LoadShedder,
    PendingRequest,
    ShareClass,
)
from oleandershift.state import FleetState
from oleandershift.stopping import NO_STOP, PlannedStop

CATCH_UP_PAUSE_SECONDS = 0.01
"""Delay of requests that are read just after a pause of the process."""

NOT_RUN_BODY_SECONDS = 0.25
"""Longest wait for the end of a response that proves that the request was not run."""

MAX_CONNECT_ATTEMPTS = 3
"""Failed connects after which a request is rejected."""

LIMIT_PATIENCE = 0.5
"""Fraction of the target for which a request may wait until an upstream's limit allows
it. A later one is refused at once, as its caller may find another VM with room."""


class Relay:
    """Forwards callers' requests to upstreams, with retries.

    Parameters
    ----------
    state : FleetState
        Fleet view, upstream loads and team demand of this VM.
    arrivals : ArrivalClock
        Detects pauses of the process.
    delayed : Intake
        Lets requests go on that were delayed after a pause; refuses none.
    is_crowded : callable
        Returns whether callers hold too many connections.
    is_overloaded : callable
        Returns whether the event loop has too much work.
    pool : ConnectionPool
        Connections to upstreams.
    placement : Placement
        Chooses an upstream for each attempt.
    load_shedder : LoadShedder
        Rejects generations whose first byte is predicted to be too late.
    outliers : OutlierDetector
        Upstreams that are ejected because of failures.
    budget_for : callable
        Returns the retry budget of a service.
    take_ups : TakeUps
        Finds the versions of streams that callers take up.
    log : DecisionLog
        Receives one line per decision.
    metrics : GatewayMetrics
        Request counters and latency histograms.
    """

    def __init__(
        self,
        state: FleetState,
        arrivals: ArrivalClock,
        delayed: Intake,
        is_crowded: Callable[[], bool],
        is_overloaded: Callable[[], bool],
        pool: ConnectionPool,
        placement: Placement,
        load_shedder: LoadShedder,
        outliers: OutlierDetector,
        budget_for: Callable[[Service], RetryBudget],
        take_ups: TakeUps,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._state = state
        self._view = state.view
        self._eligibility = state.eligibility
        self._loads = state.loads
        self._pool = pool
        self._placement = placement
        self._load_shedder = load_shedder
        self._arrivals = arrivals
        self._delayed = delayed
        self._is_crowded = is_crowded
        self._is_overloaded = is_overloaded
        self._resolver = RequestResolver(state, arrivals)
        self._outliers = outliers
        self._budget_for = budget_for
        self._take_ups = take_ups
        self._log = log
        self._metrics = metrics
        self._endings = CallEndings(log, metrics)
        self._health = UpstreamHealth(state, outliers, pool, log)
        self._stop = NO_STOP
        # Deadlines of the calls that are processed.
        self._timeouts: dict[asyncio.Timeout, Call] = {}
        self.draining = False
        self.active_requests = 0

    def limits(self) -> Limits:
        """Return the caller limits of the current configuration."""
        cfg = self._view.configuration
        return Limits() if cfg is None else cfg.limits

    def stop_by(self, stop: PlannedStop) -> None:
        """Answer all requests by the time at which the process stops."""
        self._stop = stop
        loop = asyncio.get_running_loop()
        for timeout, call in self._timeouts.items():
            call.answers_until = min(call.deadline, stop.answers_until)
            timeout.reschedule(loop.time() + remaining(call.answers_until))

    def reject_new_requests(self) -> None:
        """Reject every request that arrives from now on."""
        self._resolver.shutting_down = True

    def should_close(self) -> bool:
        """Return whether connections are closed after the current response."""
        return self.draining or self._is_crowded()

    def team_of(self, req: CallerRequest) -> TeamId | None:
        """Return the team of a request; None if its key is not known."""
        return self._resolver.team_of(req)

    def turn_away(self, req: CallerRequest, res: Responder) -> None:
        """Reject a request that this VM has no room for."""
        reason = "too many requests of the team wait"
        if not req.is_body_read:
            reason = "the bodies of other requests take the memory"
        retry_after_s = self._load_shedder.overload_retry_after_s()
        self._endings.turn_away(req, res, self.team_of(req), reason, retry_after_s)

    async def handle(self, req: CallerRequest, res: Responder) -> None:
        """Process one request until its response is complete or aborted."""
        self.active_requests += 1
        try:
            if self._arrivals.is_catching_up(now()):
                # Lets disconnects be read that arrived behind their requests.
                await asyncio.sleep(CATCH_UP_PAUSE_SECONDS)
                # Many delays may end in one iteration of the event loop.
                await self._take_turn(req)
            await self._handle(req, res)
        except (asyncio.CancelledError, CallerLeftError):
            self._log.info("caller.left", request=attempt_id(req))
        except Exception:
            self._log.exception("request.error", request=attempt_id(req))
            res.abort() if res.started else res.send(502, [], b"internal error")
        finally:
            self.active_requests -= 1

    async def _take_turn(self, req: CallerRequest) -> None:
        """Wait until few other delayed requests go on in the same iteration."""
        turn = asyncio.get_running_loop().create_future()
        self._delayed.offer(partial(self.team_of, req), partial(_end_wait, turn))
        await turn

    async def _handle(self, req: CallerRequest, res: Responder) -> None:
        try:
            call = self._resolver.resolve(req)
        except RefusalError as exc:
            cfg = self._view.configuration
            self._endings.reject(req, res, exc, cfg.version if cfg else None)
            return
        call.answers_until = min(call.deadline, self._stop.answers_until)
        timeout = asyncio.timeout(remaining(call.answers_until))
        self._timeouts[timeout] = call
        try:
            async with timeout:
                await self._run_attempts(call, res)
        except TimeoutError:
            self._endings.on_deadline(call, res)
        finally:
            del self._timeouts[timeout]
            self._withdraw_unstarted(call)

    async def _run_attempts(self, call: Call, res: Responder) -> None:
        self._budget_for(call.service).deposit()
        if call.is_take_up and not await self._find_version(call, res):
            return
        if self._is_overloaded() and self._reject_beyond_share(call, res):
            return
        while True:
            if self._reject_unsendable(call, res):
                return
            choice = self._choose(call)
            if choice is None:
                self._record_need(call)
                self._endings.give_up(
                    call, res, "no upstream to send to", self._return_s(call)
                )
                return
            if not call.send_count and not self._admit(call, choice, res):
                return
            if call.send_count:
                self._log.info(
                    "request.retried",
                    request=call.id,
                    upstream=choice.upstream.name,
                    version=choice.upstream.version,
                    sends=call.send_count,
                    last_event=call.event_stream.last_id,
                    left_ms=round(remaining(call.deadline) * 1000),
                )
            outcome = await self._attempt(call, choice, res)
            self._metrics.attempts.labels(outcome.value).inc()
            if outcome is AttemptOutcome.ANSWERED:
                return
            if not self._may_retry(call, outcome):
                self._endings.give_up(call, res, f"last attempt: {outcome.value}")
                return

    async def _find_version(self, call: Call, res: Responder) -> bool:
        """Find the version of a stream; reject the request if it is not known."""
        call.version = await self._take_ups.find_version(call)
        is_known = call.version is not None
        self._metrics.take_ups.labels("known" if is_known else "unknown").inc()
        self._log.info(
            "stream.taken-up",
            request=call.id,
            resumes=call.resumes,
            last_event=call.last_event_id,
            version=call.version,
        )
        if not is_known:
            reason = "the version that began the stream is not known"
            self._endings.send_error(call, res, reason, 503)
        return is_known

    def _may_send(self, call: Call) -> bool:
        """Return whether a planned stop leaves time for the answer."""
        return self._stop.allows_send(
            now(), call.deadline, call.route.target_ms / 1000, call.repeatable
        )

    def _reject_unsendable(self, call: Call, res: Responder) -> bool:
        """Reject a request that may go to no upstream; return whether it is one."""
        if not self._may_send(call):
            self._endings.give_up(call, res, "shutting down")
            return True
        quarantine = self._state.quarantine
        suspect = quarantine.rejected(now(), call.suspects)
        if suspect is None:
            return False
        reason = f"{suspect.kind.name.lower()} {suspect.name!r} crashes upstreams"
        if res.started:
            self._endings.abort_stream(call, res, reason)
            return True
        retry_after_s = max(
            MIN_RETRY_AFTER_SECONDS, quarantine.retry_after_s(now(), suspect)
        )
        self._endings.send_error(call, res, reason, 502, retry_after_s)
        return True

    def _reject_beyond_share(self, call: Call, res: Responder) -> bool:
        """Reject a generation beyond its team's share; return whether it is one."""
        pending = _pending_request(call)
        if pending is None:
            return False
        call.share = self._load_shedder.classify(pending)
        if call.share is not ShareClass.BEYOND:
            return False
        call.admission = self._load_shedder.reject_beyond_share(pending)
        retry_after_s = call.admission.retry_after_s
        self._endings.send_error(call, res, "VM overloaded", 502, retry_after_s)
        return True

    def _admit(self, call: Call, choice: Choice, res: Responder) -> bool:
        """Apply load shedding; return whether the request may be sent.

        A request whose connect failed is checked again for its next upstream, but is
        counted as admitted only once.
        """
        pending = _pending_request(call)
        if pending is None:
            self._record_need(call)
            return True
        if call.admission is None:
            decision = self._load_shedder.decide(pending, choice, call.share)
            if decision.admitted and pending.team is not None:
                size = pending.prompt.weighted_tokens
                call.admitted = self._state.demand.record_admission(
                    now(), pending.team, size
                )
        else:
            decision = self._load_shedder.recheck(call.admission, pending, choice)
        call.admission = decision
        within_share = decision.share is ShareClass.WITHIN
        if decision.admitted or within_share:
            self._record_need(call)
        if decision.admitted:
            return True
        detail = "too late" if within_share else "beyond the team's share"
        self._endings.send_error(call, res, detail, 502, decision.retry_after_s, choice)
        return False

    def _withdraw_unstarted(self, call: Call) -> None:
        """Stop counting a request as admitted that ended before its first event."""
        if call.admitted is not None and not call.first_byte_at:
            self._state.demand.withdraw_admission(now(), call.admitted)

    def _choose(self, call: Call) -> Choice | None:
        self._state.refresh_loads(now())
        usable = self._eligibility.eligible(now(), call.service.name, call.requirements)
        ejected = self._outliers.ejected()
        absent = self._state.absent(now())
        untried = [item for item in usable if item.run not in call.tried_runs]
        present = [item for item in untried if item.run not in absent]
        healthy = [item for item in present if item.name not in ejected]
        candidates = healthy or present
        if call.version is None:
            # Another version may have started at the address of an absent upstream.
            candidates = self._prefer_recorded(call, candidates or untried)
        target_s = call.route.target_ms / 1000
        waits = self._state.allowances.waits(now(), candidates)
        choice = self._placement.choose(
            now(), call.service, candidates, call.prompt, target_s, waits
        )
        if choice is not None and choice.wait_s > LIMIT_PATIENCE * target_s:
            return None
        return choice

    def _prefer_recorded(self, call: Call, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams at whose version a stream may begin, if there are any.

        Versions are recorded before, as no VM may be left to tell which began a stream.
        """
        if call.version is not None or not call.resumable:
            return upstreams
        versions = self._state.stream_versions
        recorded = [
            item
            for item in upstreams
            if versions.is_recorded(item.service, item.version)
        ]
        return recorded or upstreams

    def _record_need(self, call: Call) -> None:
        if not call.is_needed:
            call.is_needed = True
            self._state.allowances.record_need(now(), call.service.name)

    def _may_retry(self, call: Call, outcome: AttemptOutcome) -> bool:
        """Return whether the request may be sent to another upstream."""
        if outcome is AttemptOutcome.NOT_SENT:
            return call.failed_connects < MAX_CONNECT_ATTEMPTS
        if (
            outcome in (AttemptOutcome.UNKNOWN, AttemptOutcome.FAILED)
            and not call.repeatable
        ):
            return False
        if not self._state.quarantine.may_retry(call.suspects):
            self._log.info("retry.denied", request=call.id, reason="crashes")
            return False
        if (
            call.send_count >= max(call.route.max_upstreams, 1)
            and outcome is not AttemptOutcome.NOT_RUN
        ):
            return False
        budget = self._budget_for(call.service)
        if not budget.allows():
            self._log.info("retry.denied", request=call.id, reason="budget")
            return False
        budget.spend()
        return True

    async def _attempt(
        self, call: Call, choice: Choice, res: Responder
    ) -> AttemptOutcome:
        upstream = choice.upstream
        call.choice, call.chosen_at = choice, now()
        call.tried_runs.add(upstream.run)
        in_flight = self._loads.begin(now(), upstream, call.prompt)
        self._state.on_load_change()
        conn = None
        try:
            await self._wait_for_limit(call, upstream)
            try:
                conn = await self._pool.acquire(upstream, call.repeatable, call.id)
                call.connected_at = now()
            except (OSError, TimeoutError) as exc:
                call.failed_connects += 1
                self._health.record_unreachable(upstream, exc, call.id)
                return AttemptOutcome.NOT_SENT
            return await self._exchange_once(call, upstream, in_flight, conn, res)
        finally:
            self._cancel_booking(call)
            self._loads.end(in_flight)
            if conn is not None:
                self._pool.release(upstream, conn)

    async def _wait_for_limit(self, call: Call, upstream: Upstream) -> None:
        """Wait until the upstream's limit, if it has one, allows the request."""
        send_at = self._state.allowances.book(now(), upstream)
        if send_at is None:
            return
        call.booked_run = upstream.run
        wait_s = remaining(send_at)
        if wait_s > 0.0:
            await asyncio.sleep(wait_s)

    def _cancel_booking(self, call: Call) -> None:
        """Give back the booking of a request that was not sent."""
        if call.booked_run is not None:
            self._state.allowances.cancel(call.booked_run)
            call.booked_run = None

    async def _exchange_once(
        self,
        call: Call,
        upstream: Upstream,
        in_flight: InFlightRequest,
        conn: UpstreamConnection,
        res: Responder,
    ) -> AttemptOutcome:
        if remaining(call.answers_until) <= 0:
            raise TimeoutError
        if res.caller_has_left():
            raise CallerLeftError
        if self._withdraw_attempt(call, upstream):
            return AttemptOutcome.NOT_SENT
        if call.booked_run is None:
            # The limit was named since the choice.
            self._state.allowances.book(now(), upstream)
        call.booked_run = None
        self._state.quarantine.on_sent(now(), call.suspects)
        call.answer_began_at = None
        call.send_count += 1
        call.sent_at = now()
        ran_before, call.may_have_run = call.may_have_run, True
        exchange = conn.send(
            encode_request(call, upstream), response_matcher(call.id), call.expects_body
        )
        try:
            head = await exchange.head
            if proves_not_run(head):
                call.may_have_run = ran_before
                with suppress(BrokenExchangeError, TimeoutError):
                    # Its end allows the connection to be used again, no more.
                    async with asyncio.timeout(NOT_RUN_BODY_SECONDS):
                        await read_body_start(exchange)
                return self._log_not_run(call, upstream, head)
            return await self._forward_response(
                call, upstream, in_flight, exchange, head, res
            )
        except BrokenExchangeError as exc:
            self._health.record_outcome(upstream, False)
            if not call.shows_sound_upstream(now()):
                self._health.suspect_crash(call, upstream)
            self._log.warning(
                "attempt.broken",
                request=call.id,
                upstream=upstream.name,
                version=upstream.version,
                cause=exc.cause.value,
                after_ms=round((now() - call.sent_at) * 1000),
                events=call.event_stream.event_count,
                suspects=[suspect.name for suspect in call.suspects.all()],
            )
            if res.started and not call.may_go_on:
                self._endings.abort_stream(call, res, f"upstream {exc.cause.value}")
                return AttemptOutcome.ANSWERED
            if call.repeatable:
                await self._health.confirm_crash(upstream)
            return AttemptOutcome.UNKNOWN

    def _withdraw_attempt(self, call: Call, upstream: Upstream) -> bool:
        """Ask again what the choice asked; return whether the request is not sent.

        A new connection or a pause of the process can lie between the two.
        """
        instant = now()
        is_booked = call.booked_run is not None
        refusal = self._eligibility.refusal(
            instant, upstream.run, call.requirements, is_booked=is_booked
        )
        if refusal is None and self._may_send(call):
            return False
        self._log.info(
            "attempt.withdrawn",
            request=call.id,
            upstream=upstream.name,
            reason="shutting down" if refusal is None else refusal.value,
            chosen_ms=round((instant - call.chosen_at) * 1000),
        )
        return True

    def _log_not_run(
        self, call: Call, upstream: Upstream, head: ResponseHead
    ) -> AttemptOutcome:
        self._log.info(
            "attempt.not-run",
            request=call.id,
            upstream=upstream.name,
            status=head.status,
            load=self._loads.total(upstream.name).running,
        )
        if head.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._health.record_absence(upstream, AbsenceProof.ADDRESS_REUSED)
        return AttemptOutcome.NOT_RUN

    async def _forward_response(
        self,
        call: Call,
        upstream: Upstream,
        in_flight: InFlightRequest,
        exchange: Exchange,
        head: ResponseHead,
        res: Responder,
    ) -> AttemptOutcome:
        if not is_upstream_response(head):
            raise BrokenExchangeError(FailureCause.MALFORMED)
        if call.route.semantics.is_stream and head.status == 200 and call.expects_body:
            return await self._forward_stream(
                call, upstream, in_flight, exchange, head, res
            )
        start = await self._read_answer_start(upstream, exchange, head)
        fields = response_headers(head)
        if head.status >= 500:
            self._health.record_outcome(upstream, False)
            if call.repeatable and start.is_whole:
                if not res.started:
                    call.failed_response = (head.status, fields, start.data)
                return AttemptOutcome.FAILED
        else:
            self._health.record_outcome(upstream, True)
        if res.started:
            self._endings.abort_stream(call, res, f"resumed with status {head.status}")
            return AttemptOutcome.ANSWERED
        call.first_byte_at = call.answer_began_at = now()
        if head.status < 300 and start.is_whole:
            self._record_answer(call, upstream, exchange)
        if start.is_whole and call.expects_body:
            res.send(head.status, fields, start.data)
        else:
            await self._forward_parts(upstream, exchange, head, start, res)
        self._endings.complete(call, head.status, exchange.end)
        return AttemptOutcome.ANSWERED

    async def _read_answer_start(
        self, upstream: Upstream, exchange: Exchange, head: ResponseHead
    ) -> BodyStart:
        start = await read_body_start(exchange)
        if start.is_whole:
            await self._confirm_end(upstream, exchange)
        elif head.get(headers.RESPONSE_SEAL) is None:
            raise BrokenExchangeError(FailureCause.ENDLESS)
        return start

    async def _forward_parts(
        self,
        upstream: Upstream,
        exchange: Exchange,
        head: ResponseHead,
        start: BodyStart,
        res: Responder,
    ) -> None:
        """Forward a body that is not buffered as a whole, or the head of one."""
        length = declared_length(head)
        if not start.data:
            length = length or 0
        res.start(head.status, response_headers(head), length)
        res.write(start.data)
        while not start.is_whole and (data := await exchange.read()):
            res.write(data)
            await res.drain()
        await self._confirm_end(upstream, exchange)
        res.finish()

    async def _forward_stream(
        self,
        call: Call,
        upstream: Upstream,
        in_flight: InFlightRequest,
        exchange: Exchange,
        head: ResponseHead,
        res: Responder,
    ) -> AttemptOutcome:
        call.event_stream.discard_partial()
        is_resumed = res.started
        if is_resumed and not is_event_stream(head):
            raise BrokenExchangeError(FailureCause.MALFORMED)
        has_events = False
        count_before = call.event_stream.event_count
        while data := await exchange.read():
            try:
                events = call.event_stream.feed(data)
            except EventOrderError as exc:
                self._log.warning(
                    "stream.disorder",
                    request=call.id,
                    upstream=upstream.name,
                    detail=str(exc),
                )
                exchange.abandon()
                raise BrokenExchangeError(FailureCause.MALFORMED) from exc
            if not events:
                continue
            has_events = call.event_stream.event_count > count_before
            if in_flight.prefill_tokens:
                self._loads.on_first_event(in_flight)
                self._state.on_load_change()
            self._record_event(call)
            if not res.started:
                self._begin_stream(call, upstream)
                res.start(head.status, response_headers(head))
            res.write(events)
            await res.drain()
        # What resumes a stream and has no event may be an error without a text.
        may_be_empty = exchange.end is AnswerEnd.FRAMING and not is_resumed
        if not call.event_stream.is_at_boundary or not (has_events or may_be_empty):
            raise BrokenExchangeError(FailureCause.CLOSED)
        await self._confirm_end(upstream, exchange)
        if not res.started:
            res.start(head.status, response_headers(head))
        self._record_answer(call, upstream, exchange)
        res.finish()
        self._health.record_outcome(upstream, True)
        self._endings.complete(call, head.status, exchange.end)
        return AttemptOutcome.ANSWERED

    def _begin_stream(self, call: Call, upstream: Upstream) -> None:
        """Record at which version a stream begins; it goes on at no other."""
        call.version = upstream.version
        call.has_begun_stream = True
        if call.resumable:
            self._state.stream_versions.on_begun(
                now(), call.service.name, call.stream_key, upstream.version
            )

    async def _confirm_end(self, upstream: Upstream, exchange: Exchange) -> None:
        """Find out whether a response that its connection ended is complete.

        Raises
        ------
        BrokenExchangeError
            If the connection may have ended with the upstream.
        """
        if exchange.end is AnswerEnd.FRAMING:
            return
        # The end of an earlier run may have waited to be read.
        is_late = self._arrivals.earliest_arrival(exchange.ended_at) < exchange.ended_at
        if is_late or not await self._health.outlives_answer(upstream):
            raise BrokenExchangeError(FailureCause.GONE)

    def _record_answer(
        self, call: Call, upstream: Upstream, exchange: Exchange
    ) -> None:
        """Record a complete answer, unless it may have ended with its upstream."""
        if exchange.end is AnswerEnd.CLOSE and not call.shows_sound_upstream(now()):
            self._health.suspect_crash(call, upstream)
        elif call.answer_began_at is not None:
            self._state.quarantine.on_answer(call.answer_began_at, call.suspects)

    def _record_event(self, call: Call) -> None:
        instant = now()
        if not call.first_byte_at:
            call.first_byte_at = instant
            self._record_start(call)
        if call.answer_began_at is None:
            call.answer_began_at = instant
        elif call.shows_sound_upstream(instant) and not call.is_counted_as_answer:
            call.is_counted_as_answer = True
            self._state.quarantine.on_answer(call.answer_began_at, call.suspects)

    def _record_start(self, call: Call) -> None:
        if call.team is not None and call.prompt is not None:
            size = call.prompt.weighted_tokens
            self._state.demand.record_start(now(), call.team.name, size)

    def _return_s(self, call: Call) -> float:
        """Return the seconds until an upstream of the service accepts requests."""
        return_s = self._eligibility.return_s(
            now(), call.service.name, call.requirements
        )
        return max(MIN_RETRY_AFTER_SECONDS, return_s or 0.0)


def _end_wait(turn: asyncio.Future[None]) -> None:
    """End a wait, unless its request has been cancelled."""
    if not turn.done():
        turn.set_result(None)


def _pending_request(call: Call) -> PendingRequest | None:
    """Return what load shedding decides by; None if the call is no generation."""
    if call.prompt is None or not call.service.generates:
        return None
    return PendingRequest(
        team=call.team.name if call.team else None,
        route=call.route.name,
        prompt=call.prompt,
        target_s=call.route.target_ms / 1000,
        remaining_s=remaining(call.deadline),
    )
