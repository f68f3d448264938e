"""Carries callers' requests to upstreams and their answers back."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from oleandershift.directory import Upstream
from oleandershift.eventframes import EventCutter, EventOrderError
from oleandershift.exceptions import MalformedRequestError
from oleandershift.ids import RouteId, UpstreamId
from oleandershift.io.callers import CallerRequest, Headers, Responder
from oleandershift.io.clock import now, remaining
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.pool import Pool
from oleandershift.io.upstreamconn import (
    BrokenExchangeError,
    Cause,
    Exchange,
    ResponseHead,
    UpstreamConnection,
)
from oleandershift.outliers import Outliers
from oleandershift.placement import Choice, Placement, Ticket
from oleandershift.platform import headers as names
from oleandershift.prompts import Prompt
from oleandershift.retries import RetryBudget
from oleandershift.routing import Configuration, Limits, Route, Service, Team
from oleandershift.shedding import MIN_RETRY_SECONDS, Applicant, Shedding
from oleandershift.state import FleetState

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Fields that concern one connection only (RFC 9110, 7.6.1), and framing."""

MAX_CONNECTS = 3
"""Upstreams that are tried for one request before it is refused."""

RETURN_SECONDS = 0.1
"""Least difference of callers' waits that tells a return from jitter."""

MAX_BODY_BYTES = 1 << 22
"""Largest plain answer that is held until it is whole."""


class End(Enum):
    """How one attempt at an upstream ended."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(slots=True)
class Call:
    """A caller's request under way.

    Parameters
    ----------
    id : str
        Id of the caller's attempt.
    deadline : float
        Instant at which its answer is of no use, or may not be waited for.
    age_s : float
        Seconds since the caller's first attempt.
    last_event : int
        Event after which a stream goes on.
    sends : int
        Upstreams that it was sent to.
    may_have_run : bool
        Whether a send's outcome is unknown.
    failure : tuple or None
        An upstream's own failure, returned when no other upstream answers.
    """

    id: str
    req: CallerRequest
    route: Route
    service: Service
    team: Team | None
    deadline: float
    prompt: Prompt | None
    age_s: float
    last_event: int
    version: int
    tried: set[UpstreamId] = field(default_factory=set)
    first_at: float = 0.0
    choice: Choice | None = None
    sends: int = 0
    connects: int = 0
    may_have_run: bool = False
    refusals: int = 0
    failure: tuple[int, Headers, bytes] | None = None
    cutter: EventCutter = field(default_factory=EventCutter)

    @property
    def repeatable(self) -> bool:
        """Tell whether a second run does no harm."""
        return self.route.semantics.repeatable


class _RefusalError(Exception):
    """A request that is answered without being sent."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


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
        pool: Pool,
        placement: Placement,
        shedding: Shedding,
        outliers: Outliers,
        budget: Callable[[Service], RetryBudget],
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._state = state
        self._beliefs = state.beliefs
        self._loads = state.loads
        self._pool = pool
        self._placement = placement
        self._shedding = shedding
        self._longest_waits: dict[RouteId, float] = {}
        self._outliers = outliers
        self._budget = budget
        self._log = log
        self._metrics = metrics
        self.draining = False
        self.stopped = False
        self.active = 0

    def limits(self) -> Limits:
        """Return the bounds for callers now in force."""
        cfg = self._beliefs.configuration
        return Limits() if cfg is None else cfg.limits

    def closing(self) -> bool:
        """Tell whether connections are to be closed after their answer."""
        return self.draining

    async def handle(self, req: CallerRequest, res: Responder) -> None:
        """Answer a request."""
        self.active += 1
        try:
            await self._handle(req, res)
        except asyncio.CancelledError:
            self._log.info("caller.left", request=_attempt_id(req))
        except Exception:
            self._log.exception("request.error", request=_attempt_id(req))
            res.abort() if res.started else res.send(502, [], b"internal error")
        finally:
            self.active -= 1

    async def _handle(self, req: CallerRequest, res: Responder) -> None:
        try:
            call = self._admit(req)
        except _RefusalError as exc:
            self._refuse_early(req, res, exc)
            return
        try:
            async with asyncio.timeout(remaining(call.deadline)):
                await self._run(call, res)
        except TimeoutError:
            self._expire(call, res)

    def _admit(self, req: CallerRequest) -> Call:
        cfg = self._beliefs.configuration
        if cfg is None or not self._beliefs.directory.loaded:
            raise _RefusalError(503, "no configuration yet")
        if self.stopped:
            raise _RefusalError(503, "shutting down")
        route = self._route(cfg, req)
        team = self._team(cfg, route, req)
        try:
            read = names.read(req.headers)
        except MalformedRequestError as exc:
            raise _RefusalError(400, exc.message) from None
        wait_ms = route.timeout_ms
        age_s = 0.0
        if read.wait_ms is not None:
            age_s = self._age(route, read.wait_ms)
            wait_ms = min(wait_ms, read.wait_ms)
        if read.prompt is not None and team is not None:
            self._state.demand.ask(now(), team.name, read.prompt.size)
        name = route.service_for(read.attempt)
        return Call(
            id=read.attempt,
            req=req,
            route=route,
            service=cfg.service(name) or Service(name, 0),
            team=team,
            deadline=req.arrived + wait_ms / 1000,
            prompt=read.prompt,
            age_s=age_s,
            last_event=read.last_event,
            version=cfg.version,
            cutter=EventCutter(last_id=read.last_event),
        )

    def _route(self, cfg: Configuration, req: CallerRequest) -> Route:
        host = req.header(b"host")
        if host is None:
            raise _RefusalError(400, "exactly one Host header is required")
        path = req.target.partition(b"?")[0].decode("latin-1")
        name = host.decode("latin-1").lower().partition(":")[0]
        route = cfg.route_for(name, path)
        if route is None:
            raise _RefusalError(404, f"no route for host {name!r} and path {path!r}")
        return route

    def _team(
        self, cfg: Configuration, route: Route, req: CallerRequest
    ) -> Team | None:
        value = req.header(b"authorization")
        scheme, _, key = (value or b"").partition(b" ")
        team = None
        if scheme.lower() == b"bearer":
            team = cfg.team_for(key.strip().decode("latin-1"))
        if team is None and cfg.requires_keys and not route.public:
            raise _RefusalError(401, "the key is missing or not known")
        return team

    def _refuse_early(
        self, req: CallerRequest, res: Responder, refused: _RefusalError
    ) -> None:
        cfg = self._beliefs.configuration
        self._log.info(
            "request.refused",
            request=_attempt_id(req),
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
                    last_event=call.cutter.last_id,
                    left_ms=round(remaining(call.deadline) * 1000),
                )
            end = await self._attempt(call, choice, res)
            self._metrics.attempts.labels(end.value).inc()
            if end is End.ANSWERED:
                return
            if not self._may_go_on(call, end):
                self._give_up(call, res, f"last attempt: {end.value}")
                return

    def _admitted(self, call: Call, choice: Choice, res: Responder) -> bool:
        """Refuse a generation that would come too late; return whether it may go on."""
        if call.prompt is None or not call.service.generates:
            return True
        applicant = Applicant(
            team=call.team.name if call.team else None,
            prompt=call.prompt,
            target_s=call.route.target_ms / 1000,
            age_s=call.age_s,
            left_s=remaining(call.deadline),
        )
        verdict = self._shedding.decide(applicant, choice)
        if verdict.admitted:
            if applicant.team is not None:
                size = call.prompt.size
                self._state.demand.admit(now(), applicant.team, size)
            return True
        detail = "beyond the team's share" if not verdict.within_share else "too late"
        self._refuse(call, res, detail, 502, verdict.retry_after_s, choice)
        return False

    def _age(self, route: Route, wait_ms: float) -> float:
        """Return the seconds since a caller's first attempt.

        A caller that comes back after a refusal waits only for what is left of the
        time that first attempts on the route are given.
        """
        longest = max(wait_ms, self._longest_waits.get(route.name, 0.0))
        self._longest_waits[route.name] = longest
        age = (longest - wait_ms) / 1000
        return age if age >= RETURN_SECONDS else 0.0

    def _choose(self, call: Call) -> Choice | None:
        self._state.refresh(now())
        usable = self._beliefs.directory.usable(call.service.name)
        ejected = self._outliers.ejected()
        fresh = [item for item in usable if item.name not in call.tried]
        sound = [item for item in fresh if item.name not in ejected]
        return self._placement.choose(
            now(),
            call.service,
            sound or fresh,
            call.prompt,
            call.route.target_ms / 1000,
        )

    def _may_go_on(self, call: Call, end: End) -> bool:
        """Tell whether another upstream may be tried."""
        if end is End.NOT_SENT:
            return call.connects < MAX_CONNECTS
        if end in (End.UNKNOWN, End.FAILED) and not call.repeatable:
            return False
        if call.sends >= max(call.route.max_upstreams, 1) and end is not End.NOT_RUN:
            return False
        budget = self._budget(call.service)
        if not budget.allows():
            self._log.info("retry.denied", request=call.id, reason="budget")
            return False
        budget.spend()
        return True

    async def _attempt(self, call: Call, choice: Choice, res: Responder) -> End:
        upstream = choice.upstream
        call.choice = choice
        call.tried.add(upstream.name)
        ticket = self._loads.begin(now(), upstream, call.prompt)
        self._state.work_changed()
        conn = None
        try:
            try:
                conn = await self._pool.take(upstream, call.repeatable)
            except (OSError, TimeoutError) as exc:
                call.connects += 1
                self._unreachable(call, upstream, exc)
                return End.NOT_SENT
            call.sends += 1
            return await self._exchange(call, upstream, ticket, conn, res)
        finally:
            self._loads.end(ticket)
            if conn is not None:
                self._pool.give_back(upstream, conn)

    async def _exchange(
        self,
        call: Call,
        upstream: Upstream,
        ticket: Ticket,
        conn: UpstreamConnection,
        res: Responder,
    ) -> End:
        data = _request_bytes(call, upstream)
        sent = now()
        may_have_run, call.may_have_run = call.may_have_run, True
        exchange = conn.send(data, _is_own(call.id))
        try:
            head = await exchange.head
            if _says_not_run(head):
                await exchange.read()
                call.may_have_run = may_have_run
                call.refusals += 1
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
                events=call.cutter.events,
            )
            if res.started and not call.repeatable:
                self._cut(call, res, f"upstream {exc.cause.value}")
                return End.ANSWERED
            return End.UNKNOWN
        except asyncio.CancelledError:
            conn.close()
            raise

    def _not_run(self, call: Call, upstream: Upstream, head: ResponseHead) -> End:
        self._log.info(
            "attempt.not-run",
            request=call.id,
            upstream=upstream.name,
            status=head.status,
            load=self._loads.at(upstream.name).running,
        )
        return End.NOT_RUN

    async def _answer(
        self,
        call: Call,
        upstream: Upstream,
        ticket: Ticket,
        exchange: Exchange,
        head: ResponseHead,
        res: Responder,
    ) -> End:
        if not _is_genuine(head):
            raise BrokenExchangeError(Cause.GARBAGE)
        if call.route.semantics.streams and head.status == 200:
            return await self._stream(call, upstream, ticket, exchange, head, res)
        body = await _whole(exchange)
        fields = _answer_fields(head)
        if head.status >= 500:
            self._record(call, upstream, False)
            if call.repeatable and not res.started:
                call.failure = (head.status, fields, body)
                return End.FAILED
        else:
            self._record(call, upstream, True)
        if res.started:
            self._cut(call, res, f"resumed with status {head.status}")
            return End.ANSWERED
        call.first_at = now()
        res.send(head.status, fields, body)
        self._finished(call, upstream, head.status)
        return End.ANSWERED

    async def _stream(
        self,
        call: Call,
        upstream: Upstream,
        ticket: Ticket,
        exchange: Exchange,
        head: ResponseHead,
        res: Responder,
    ) -> End:
        call.cutter.restart()
        while data := await exchange.read():
            try:
                events = call.cutter.feed(data)
            except EventOrderError as exc:
                self._log.warning(
                    "stream.disorder",
                    request=call.id,
                    upstream=upstream.name,
                    detail=str(exc),
                )
                exchange.abandon()
                res.abort()
                return End.ANSWERED
            if not events:
                continue
            if ticket.unread:
                self._loads.started(ticket)
                self._state.work_changed()
            if not call.first_at:
                call.first_at = now()
            if not res.started:
                res.start(head.status, _answer_fields(head))
            res.write(events)
            await res.drain()
        if not res.started:
            res.start(head.status, _answer_fields(head))
        if not call.cutter.whole:
            self._cut(call, res, "its end came within an event")
            return End.ANSWERED
        res.finish()
        self._record(call, upstream, True)
        self._finished(call, upstream, head.status)
        return End.ANSWERED

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

    def _finished(self, call: Call, upstream: Upstream, status: int) -> None:
        first_s = max(0.0, call.first_at - call.req.arrived)
        late = first_s + call.age_s > call.route.target_ms / 1000
        self._measure(call, first_s)
        fields = {
            "request": call.id,
            "upstream": upstream.name,
            "status": status,
            "first_ms": round(first_s * 1000),
            "age_ms": round(call.age_s * 1000),
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
            self._log.debug("request.done", **fields)
            self._count(call, "in-time")

    def _measure(self, call: Call, first_s: float) -> None:
        kind = call.route.semantics.value
        self._metrics.first_byte.labels(kind).observe(first_s)
        if call.choice is not None and call.prompt is not None:
            error = abs(call.choice.seconds - first_s)
            self._metrics.prediction_error.observe(error)

    def _cut(self, call: Call, res: Responder, reason: str) -> None:
        """Close a stream that can't go on, so that it does not look complete."""
        self._log.warning(
            "stream.cut", request=call.id, reason=reason, events=call.cutter.events
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
        if call.failure is not None:
            status, fields, body = call.failure
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
        wait: float = MIN_RETRY_SECONDS,
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
            configuration=call.version,
            sends=call.sends,
            left_ms=round(remaining(call.deadline) * 1000),
            retry_after_s=round(wait, 2) if status == 503 else None,
            **_inputs(choice),
        )
        self._count(call, "refused" if status == 503 else "unknown")
        res.send(status, fields, reason.encode())


def _inputs(choice: Choice | None) -> dict[str, object]:
    """Return what a placement was decided by, for the log."""
    if choice is None:
        return {}
    return {
        "predicted_ms": round(choice.seconds * 1000),
        "running": choice.load.running,
        "unread": choice.load.unread,
        "held": choice.load.held,
        "uncached": choice.uncached,
        "home": choice.is_home,
    }


def _attempt_id(req: CallerRequest) -> str:
    return (req.header(names.ATTEMPT_ID) or b"").decode("latin-1")


def _is_own(attempt: str) -> Callable[[ResponseHead], bool]:
    """Return what recognises the answer to an attempt on its connection.

    A late answer to an earlier attempt carries that one's id and is skipped. Some
    refusals carry none.
    """
    wanted = attempt.encode("latin-1")

    def is_own(head: ResponseHead) -> bool:
        return head.get(names.ATTEMPT_ID) in (wanted, None)

    return is_own


def _says_not_run(head: ResponseHead) -> bool:
    return head.status == 421 or (
        head.status >= 400 and head.get(names.NOT_RUN) is not None
    )


def _is_genuine(head: ResponseHead) -> bool:
    """Tell whether an answer can be the upstream's own.

    Requests ask for no content coding, and upstreams sign each success and name the
    attempt.
    """
    if head.get(b"content-encoding") is not None:
        return False
    if head.status >= 300:
        return True
    return None not in (head.get(names.RECEIPT), head.get(names.ATTEMPT_ID))


async def _whole(exchange: Exchange) -> bytes:
    parts = []
    size = 0
    while data := await exchange.read():
        parts.append(data)
        size += len(data)
        if size > MAX_BODY_BYTES:
            raise MalformedRequestError(f"an answer exceeds {MAX_BODY_BYTES} bytes")
    return b"".join(parts)


def _answer_fields(head: ResponseHead) -> Headers:
    return [item for item in head.headers if item[0] not in HOP_BY_HOP]


def _request_bytes(call: Call, upstream: Upstream) -> bytes:
    req = call.req
    dropped = HOP_BY_HOP | names.SET_BY_SYSTEM | _named_by_connection(req)
    parts = [b"%b %b HTTP/1.1\r\n" % (req.method, req.target)]
    for name, value in req.headers:
        if name not in dropped and name != names.LAST_EVENT_ID:
            parts.append(b"%b: %b\r\n" % (name, value))
    left = max(1, int(remaining(call.deadline) * 1000))
    parts.append(b"%b: %d\r\n" % (names.DEADLINE, left))
    parts.append(b"%b: %b\r\n" % (names.EXPECT_UPSTREAM, upstream.name.encode()))
    if call.team is not None:
        parts.append(b"%b: %b\r\n" % (names.TEAM, call.team.name.encode()))
    if call.cutter.last_id:
        parts.append(b"%b: %d\r\n" % (names.LAST_EVENT_ID, call.cutter.last_id))
    if req.body or req.method not in (b"GET", b"HEAD", b"DELETE"):
        parts.append(b"content-length: %d\r\n" % len(req.body))
    parts.append(b"\r\n")
    parts.append(req.body)
    return b"".join(parts)


def _named_by_connection(req: CallerRequest) -> frozenset[bytes]:
    return frozenset(
        name.strip().lower()
        for key, value in req.headers
        if key == b"connection"
        for name in value.split(b",")
    )
