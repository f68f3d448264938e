"""Carries callers' requests to upstreams and their answers back."""

import asyncio
from collections.abc import Callable

from oleandershift.directory import Upstream
from oleandershift.eventframes import EventOrderError
from oleandershift.io.call import AttemptOutcome, Call
from oleandershift.io.callers import CallerRequest, Headers, Responder
from oleandershift.io.clock import now, remaining
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.forwarding import (
    encode_request,
    is_upstream_response,
    proves_not_run,
    read_body,
    response_headers,
    response_matcher,
)
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.pool import ConnectionPool
from oleandershift.io.requestresolver import RefusalError, RequestResolver, attempt_id
from oleandershift.io.upstreamconn import (
    BrokenExchangeError,
    Exchange,
    FailureCause,
    ResponseHead,
    UpstreamConnection,
)
from oleandershift.outliers import OutlierDetector
from oleandershift.placement import Choice, InFlightRequest, Placement
from oleandershift.retries import RetryBudget
from oleandershift.routing import Limits, Service
from oleandershift.shedding import MIN_RETRY_AFTER_SECONDS, LoadShedder, PendingRequest
from oleandershift.state import FleetState

MAX_CONNECT_ATTEMPTS = 3
"""Upstreams that are tried for one request before it is refused."""


class Relay:
    """Answers callers' requests by upstreams' answers.

    Parameters
    ----------
    state : FleetState
        Beliefs, work and demand.
    pool : Pool
        Connections to upstreams.
    placement : Placement
        Chooses upstreams.
    shedding : Shedding
        Refuses what would come too late.
    outliers : Outliers
        Upstreams to be left out.
    budget : callable
        Returns a service's retry budget.
    log : DecisionLog
        Decisions.
    metrics : GatewayMetrics
        Counts and latencies.
    """

    def __init__(
        self,
        state: FleetState,
        pool: ConnectionPool,
        placement: Placement,
        shedding: LoadShedder,
        outliers: OutlierDetector,
        budget: Callable[[Service], RetryBudget],
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._state = state
        self._beliefs = state.view
        self._loads = state.loads
        self._pool = pool
        self._placement = placement
        self._shedding = shedding
        self._reception = RequestResolver(state)
        self._outliers = outliers
        self._budget = budget
        self._log = log
        self._metrics = metrics
        self.draining = False
        self.active_requests = 0

    def limits(self) -> Limits:
        """Return the bounds for callers now in force."""
        cfg = self._beliefs.configuration
        return Limits() if cfg is None else cfg.limits

    def reject_new_requests(self) -> None:
        """Refuse requests from now on."""
        self._reception.shutting_down = True

    def should_close(self) -> bool:
        """Tell whether connections are to be closed after their answer."""
        return self.draining

    async def handle(self, req: CallerRequest, res: Responder) -> None:
        """Answer a request."""
        self.active_requests += 1
        try:
            await self._handle(req, res)
        except asyncio.CancelledError:
            self._log.info("caller.left", request=attempt_id(req))
        except Exception:
            self._log.exception("request.error", request=attempt_id(req))
            res.abort() if res.started else res.send(502, [], b"internal error")
        finally:
            self.active_requests -= 1

    async def _handle(self, req: CallerRequest, res: Responder) -> None:
        try:
            call = self._reception.resolve(req)
        except RefusalError as exc:
            self._refuse_early(req, res, exc)
            return
        try:
            async with asyncio.timeout(remaining(call.deadline)):
                await self._run(call, res)
        except TimeoutError:
            self._expire(call, res)

    def _refuse_early(
        self, req: CallerRequest, res: Responder, refused: RefusalError
    ) -> None:
        cfg = self._beliefs.configuration
        self._log.info(
            "request.refused",
            request=attempt_id(req),
            status=refused.status,
            reason=refused.detail,
            configuration=cfg.version if cfg else None,
        )
        fields: Headers = []
        if refused.status == 503:
            fields.append((b"retry-after", b"0.5"))
        res.send(refused.status, fields, refused.detail.encode())

    async def _run(self, call: Call, res: Responder) -> None:
        self._budget(call.service).deposit()
        while True:
            choice = self._choose(call)
            if choice is None:
                self._give_up(call, res, "no upstream to send to")
                return
            if not call.sends and not self._admitted(call, choice, res):
                return
            if call.sends:
                self._log.info(
                    "request.retried",
                    request=call.id,
                    upstream=choice.upstream.name,
                    sends=call.sends,
                    last_event=call.event_stream.last_id,
                    left_ms=round(remaining(call.deadline) * 1000),
                )
            end = await self._attempt(call, choice, res)
            self._metrics.attempts.labels(end.value).inc()
            if end is AttemptOutcome.ANSWERED:
                return
            if not self._may_go_on(call, end):
                self._give_up(call, res, f"last attempt: {end.value}")
                return

    def _admitted(self, call: Call, choice: Choice, res: Responder) -> bool:
        """Refuse a generation that would come too late; return whether it may go on."""
        if call.prompt is None or not call.service.generates:
            return True
        applicant = PendingRequest(
            team=call.team.name if call.team else None,
            route=call.route.name,
            prompt=call.prompt,
            target_s=call.route.target_ms / 1000,
            remaining_s=remaining(call.deadline),
        )
        verdict = self._shedding.decide(applicant, choice)
        if verdict.admitted:
            if applicant.team is not None:
                size = call.prompt.weighted_tokens
                self._state.demand.record_admission(now(), applicant.team, size)
            return True
        detail = "beyond the team's share" if not verdict.within_share else "too late"
        self._refuse(call, res, detail, 502, verdict.retry_after_s, choice)
        return False

    def _choose(self, call: Call) -> Choice | None:
        self._state.refresh_loads(now())
        usable = self._beliefs.directory.usable(call.service.name)
        ejected = self._outliers.ejected()
        fresh = [item for item in usable if item.name not in call.tried_upstreams]
        sound = [item for item in fresh if item.name not in ejected]
        return self._placement.choose(
            now(),
            call.service,
            sound or fresh,
            call.prompt,
            call.route.target_ms / 1000,
        )

    def _may_go_on(self, call: Call, end: AttemptOutcome) -> bool:
        """Tell whether another upstream may be tried."""
        if end is AttemptOutcome.NOT_SENT:
            return call.failed_connects < MAX_CONNECT_ATTEMPTS
        if (
            end in (AttemptOutcome.UNKNOWN, AttemptOutcome.FAILED)
            and not call.repeatable
        ):
            return False
        if (
            call.sends >= max(call.route.max_upstreams, 1)
            and end is not AttemptOutcome.NOT_RUN
        ):
            return False
        budget = self._budget(call.service)
        if not budget.allows():
            self._log.info("retry.denied", request=call.id, reason="budget")
            return False
        budget.spend()
        return True

    async def _attempt(
        self, call: Call, choice: Choice, res: Responder
    ) -> AttemptOutcome:
        upstream = choice.upstream
        call.choice = choice
        call.tried_upstreams.add(upstream.name)
        ticket = self._loads.begin(now(), upstream, call.prompt)
        self._state.on_load_change()
        conn = None
        try:
            try:
                conn = await self._pool.acquire(upstream, call.repeatable)
            except (OSError, TimeoutError) as exc:
                call.failed_connects += 1
                self._unreachable(call, upstream, exc)
                return AttemptOutcome.NOT_SENT
            call.sends += 1
            return await self._exchange(call, upstream, ticket, conn, res)
        finally:
            self._loads.end(ticket)
            if conn is not None:
                self._pool.release(upstream, conn)

    async def _exchange(
        self,
        call: Call,
        upstream: Upstream,
        ticket: InFlightRequest,
        conn: UpstreamConnection,
        res: Responder,
    ) -> AttemptOutcome:
        data = encode_request(call, upstream)
        sent = now()
        may_have_run, call.may_have_run = call.may_have_run, True
        exchange = conn.send(data, response_matcher(call.id))
        try:
            head = await exchange.head
            if proves_not_run(head):
                await exchange.read()
                call.may_have_run = may_have_run
                return self._not_run(call, upstream, head)
            return await self._answer(call, upstream, ticket, exchange, head, res)
        except BrokenExchangeError as exc:
            conn.close()
            self._record(call, upstream, False)
            self._log.warning(
                "attempt.broken",
                request=call.id,
                upstream=upstream.name,
                cause=exc.cause.value,
                after_ms=round((now() - sent) * 1000),
                events=call.event_stream.event_count,
            )
            if res.started and not call.repeatable:
                self._cut(call, res, f"upstream {exc.cause.value}")
                return AttemptOutcome.ANSWERED
            return AttemptOutcome.UNKNOWN
        except asyncio.CancelledError:
            conn.close()
            raise

    def _not_run(
        self, call: Call, upstream: Upstream, head: ResponseHead
    ) -> AttemptOutcome:
        self._log.info(
            "attempt.not-run",
            request=call.id,
            upstream=upstream.name,
            status=head.status,
            load=self._loads.total(upstream.name).running,
        )
        return AttemptOutcome.NOT_RUN

    async def _answer(
        self,
        call: Call,
        upstream: Upstream,
        ticket: InFlightRequest,
        exchange: Exchange,
        head: ResponseHead,
        res: Responder,
    ) -> AttemptOutcome:
        if not is_upstream_response(head):
            raise BrokenExchangeError(FailureCause.MALFORMED)
        if call.route.semantics.is_stream and head.status == 200:
            return await self._stream(call, upstream, ticket, exchange, head, res)
        body = await read_body(exchange)
        fields = response_headers(head)
        if head.status >= 500:
            self._record(call, upstream, False)
            if call.repeatable and not res.started:
                call.failed_response = (head.status, fields, body)
                return AttemptOutcome.FAILED
        else:
            self._record(call, upstream, True)
        if res.started:
            self._cut(call, res, f"resumed with status {head.status}")
            return AttemptOutcome.ANSWERED
        call.first_byte_at = now()
        res.send(head.status, fields, body)
        self._finished(call, head.status)
        return AttemptOutcome.ANSWERED

    async def _stream(
        self,
        call: Call,
        upstream: Upstream,
        ticket: InFlightRequest,
        exchange: Exchange,
        head: ResponseHead,
        res: Responder,
    ) -> AttemptOutcome:
        call.event_stream.discard_partial()
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
                res.abort()
                return AttemptOutcome.ANSWERED
            if not events:
                continue
            if ticket.prefill_tokens:
                self._loads.on_first_event(ticket)
                self._state.on_load_change()
            if not call.first_byte_at:
                call.first_byte_at = now()
            if not res.started:
                res.start(head.status, response_headers(head))
            res.write(events)
            await res.drain()
        if not res.started:
            res.start(head.status, response_headers(head))
        if not call.event_stream.is_at_boundary:
            self._cut(call, res, "its end came within an event")
            return AttemptOutcome.ANSWERED
        res.finish()
        self._record(call, upstream, True)
        self._finished(call, head.status)
        return AttemptOutcome.ANSWERED

    def _record(self, call: Call, upstream: Upstream, healthy: bool) -> None:
        peers = len(self._beliefs.directory.usable(call.service.name))
        self._outliers.record(now(), call.service.name, upstream.name, peers, healthy)

    def _unreachable(self, call: Call, upstream: Upstream, exc: Exception) -> None:
        peers = len(self._beliefs.directory.usable(call.service.name))
        self._outliers.record_unreachable(
            now(), call.service.name, upstream.name, peers
        )
        self._log.warning(
            "upstream.unreachable",
            request=call.id,
            upstream=upstream.name,
            reason=repr(exc),
        )

    def _finished(self, call: Call, status: int) -> None:
        first_s = max(0.0, call.first_byte_at - call.req.arrived_at)
        late = first_s > call.route.target_ms / 1000
        self._measure(call, first_s)
        fields = {
            "request": call.id,
            "team": call.team.name if call.team else None,
            "status": status,
            "first_ms": round(first_s * 1000),
            "total_ms": round((now() - call.req.arrived_at) * 1000),
            "events": call.event_stream.event_count,
            "sends": call.sends,
            **_inputs(call.choice),
        }
        if status >= 400:
            self._log.info("request.failed", **fields, reason="its own answer")
            self._count(call, "failed")
        elif late:
            self._log.info("request.late", **fields)
            self._count(call, "late")
        else:
            write = self._log.info if call.was_retried else self._log.debug
            write("request.done", **fields)
            self._count(call, "in-time")

    def _measure(self, call: Call, first_s: float) -> None:
        kind = call.route.semantics.value
        self._metrics.first_byte.labels(kind).observe(first_s)
        if call.choice is not None and call.prompt is not None:
            error = abs(call.choice.first_byte_s - first_s)
            self._metrics.prediction_error.observe(error)

    def _cut(self, call: Call, res: Responder, reason: str) -> None:
        """Close a stream that can't go on, so that it does not look complete."""
        self._log.warning(
            "stream.cut",
            request=call.id,
            reason=reason,
            events=call.event_stream.event_count,
        )
        self._count(call, "cut")
        res.abort()

    def _count(self, call: Call, outcome: str) -> None:
        self._metrics.requests.labels(call.route.semantics.value, outcome).inc()

    def _give_up(self, call: Call, res: Responder, reason: str) -> None:
        """Answer a request that will not be sent again."""
        if res.started:
            self._cut(call, res, reason)
            return
        if call.failed_response is not None:
            status, fields, body = call.failed_response
            res.send(status, fields, body)
            self._log.info(
                "request.failed", request=call.id, status=status, reason=reason
            )
            self._count(call, "failed")
            return
        self._refuse(call, res, reason, 502)

    def _expire(self, call: Call, res: Responder) -> None:
        """Answer a request whose time is up."""
        if res.started:
            self._cut(call, res, "deadline")
            return
        self._refuse(call, res, "deadline", 504)

    def _refuse(
        self,
        call: Call,
        res: Responder,
        reason: str,
        unknown: int,
        wait: float = MIN_RETRY_AFTER_SECONDS,
        choice: Choice | None = None,
    ) -> None:
        status = unknown if call.may_have_run else 503
        fields: Headers = []
        if status == 503:
            fields.append((b"retry-after", b"%.2f" % wait))
        self._log.info(
            "request.refused",
            request=call.id,
            status=status,
            reason=reason,
            route=call.route.name,
            team=call.team.name if call.team else None,
            configuration=call.configuration_version,
            sends=call.sends,
            left_ms=round(remaining(call.deadline) * 1000),
            retry_after_s=round(wait, 2) if status == 503 else None,
            **_inputs(choice or call.choice),
        )
        self._count(call, "refused" if status == 503 else "unknown")
        res.send(status, fields, reason.encode())


def _inputs(choice: Choice | None) -> dict[str, object]:
    """Return what a placement was decided by, for the log."""
    if choice is None:
        return {}
    return {
        "upstream": choice.upstream.name,
        "predicted_ms": round(choice.first_byte_s * 1000),
        "running": choice.load.running,
        "unread": choice.load.prefill_tokens,
        "held": choice.load.kv_tokens,
        "uncached": choice.uncached_tokens,
        "home": choice.is_home,
    }
