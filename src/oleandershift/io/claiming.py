"""Runs claims against the platform, on request threads and in the background."""

import threading
import time
from collections import deque
from collections.abc import Callable
from uuid import uuid4

import msgspec
from returns.result import Failure

from oleandershift.breaker import CircuitBreaker
from oleandershift.calls import Call
from oleandershift.claims import (
    Acquired,
    Claim,
    ClaimAcquirer,
    ClaimSettler,
    ClaimState,
    Create,
    Denied,
    ReadBack,
    Replace,
    Replay,
    Settlement,
    claim_name,
    settle_claim,
)
from oleandershift.events import EventName
from oleandershift.ids import AttemptId
from oleandershift.io.answers import ExchangeResult, Response, problem_response
from oleandershift.io.exchange import Exchange
from oleandershift.io.logs import EventLog
from oleandershift.objects import (
    ObjectKind,
    ObjectResult,
    ObjectStore,
    StoreError,
)
from oleandershift.problems import Problem, ProblemReason, RunStatus

SETTLE_CALL_TIMEOUT_SECONDS = 10.0
SETTLE_RETRY_DELAY_SECONDS = 0.5
MAX_SETTLE_CALLS = 1200
SETTLE_THREADS = 4
MAX_QUEUED_SETTLEMENTS = 10_000
_KEPT_HEADERS_EXCEPT = frozenset(("oleander-request-id", "content-length"))
_SILENT = (StoreError.OUTCOME_UNKNOWN, StoreError.REFUSED)


def _perform(
    store: ObjectStore, name: str, step: Create | Replace | ReadBack, deadline: float
) -> ObjectResult:
    kind = ObjectKind.CLAIMS
    if isinstance(step, Create):
        value = msgspec.json.encode(step.claim)
        return store.create(kind, name, value, deadline)
    if isinstance(step, Replace):
        value = msgspec.json.encode(step.claim)
        return store.update(kind, name, value, step.version, deadline)
    return store.get(kind, name, deadline)


def _is_silent(result: ObjectResult) -> bool:
    return isinstance(result, Failure) and result.failure().error in _SILENT


class SettlementExecutor:
    """Writes outcomes to claims in the background, until they are kept.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    events : EventLog
        Time line.
    """

    def __init__(self, store: ObjectStore, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._due: deque[Settlement] = deque()
        self._changed = threading.Condition()
        self._busy = 0
        self._closing = False
        for number in range(SETTLE_THREADS):
            name = f"settler-{number}"
            threading.Thread(target=self._work, name=name, daemon=True).start()

    def submit(self, settlement: Settlement) -> None:
        """Take a settlement to carry out."""
        with self._changed:
            if len(self._due) < MAX_QUEUED_SETTLEMENTS:
                self._due.append(settlement)
            self._changed.notify_all()

    def is_idle(self) -> bool:
        """Tell whether everything is settled."""
        with self._changed:
            return not self._busy and not self._due

    def close(self) -> None:
        """Stop after the current platform call."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()

    def _work(self) -> None:
        while (settlement := self._next()) is not None:
            self._settle(settlement)
            with self._changed:
                self._busy -= 1

    def _next(self) -> Settlement | None:
        with self._changed:
            self._changed.wait_for(lambda: bool(self._due) or self._closing)
            if self._closing:
                return None
            self._busy += 1
            return self._due.popleft()

    def _settle(self, settlement: Settlement) -> None:
        machine = ClaimSettler(settlement)
        for _ in range(MAX_SETTLE_CALLS):
            if machine.step is None or self._closing:
                break
            deadline = time.time() + SETTLE_CALL_TIMEOUT_SECONDS
            result = _perform(self._store, settlement.name, machine.step, deadline)
            machine.on_result(result)
            if _is_silent(result):
                with self._changed:
                    self._changed.wait_for(
                        lambda: self._closing, SETTLE_RETRY_DELAY_SECONDS
                    )
        detail = settlement.claim.state.value if machine.step is None else "given up"
        self._events.write(
            EventName.CLAIM_SETTLED, request=settlement.claim.request, detail=detail
        )


class ClaimClient:
    """What claimed exchanges share.

    Parameters
    ----------
    store : ObjectStore or None
        The platform; None refuses every call.
    settler : Settler or None
        Settles claims in the background.
    call_seconds : float
        Limit of one platform call while a caller waits.
    events : EventLog
        Time line.
    """

    def __init__(
        self,
        store: ObjectStore | None,
        settler: SettlementExecutor | None,
        call_seconds: float,
        events: EventLog,
    ) -> None:
        self.events = events
        self._store = store
        self._settler = settler
        self._call_seconds = call_seconds
        self._breaker = CircuitBreaker()
        self._lock = threading.Lock()

    def execute(
        self, name: str, step: Create | Replace | ReadBack
    ) -> ObjectResult | None:
        """Make one platform call; None when the platform is known to be away."""
        if self._store is None or not self._begin(time.time()):
            return None
        deadline = time.time() + self._call_seconds
        result = _perform(self._store, name, step, deadline)
        self._end(time.time(), result)
        return result

    def settle(self, settlement: Settlement) -> None:
        """Bring a claim to its final state in the background."""
        if self._settler is not None:
            self._settler.submit(settlement)

    def is_idle(self) -> bool:
        """Tell whether everything is settled."""
        return self._settler is None or self._settler.is_idle()

    def _begin(self, now: float) -> bool:
        with self._lock:
            if not self._breaker.allows(now):
                return False
            self._breaker.on_call(now)
            return True

    def _end(self, now: float, result: ObjectResult) -> None:
        with self._lock:
            if _is_silent(result):
                self._breaker.on_failure(now)
            else:
                self._breaker.on_success()


class ClaimedExchange:
    """An exchange of a non-idempotent call.

    Parameters
    ----------
    desk : ClaimDesk
        Shared.
    call : Call
        The call.
    make : callable
        Makes the exchange, from the instant by which the call must be sent and the
        callback for its ending.
    """

    def __init__(
        self,
        desk: ClaimClient,
        call: Call,
        make: Callable[[float, Callable[[ExchangeResult], None]], Exchange],
    ) -> None:
        self._desk = desk
        self._call = call
        self._make = make
        self._name = claim_name(call)
        self._exchange: Exchange | None = None

    def get_response(self) -> Response:
        """Make the claim, then return the answer."""
        attempt = AttemptId(uuid4().hex)
        machine = ClaimAcquirer(time.time(), self._call, attempt)
        claim = machine.step.claim if isinstance(machine.step, Create) else None
        while isinstance(machine.step, Create | Replace | ReadBack):
            result = self._desk.execute(self._name, machine.step)
            if result is None:
                machine.step = _denied_at_once(machine.step)
                break
            machine.on_result(time.time(), result)
        return self._end(machine.step, claim)

    def close(self) -> None:
        """Release everything."""
        if self._exchange is not None:
            self._exchange.close()

    def _end(self, step: object, claim: Claim | None) -> Response:
        if isinstance(step, Acquired):
            return self._send(step)
        if isinstance(step, Replay):
            return _replayed(self._call, step.claim)
        assert isinstance(step, Denied)
        if step.withdraw and claim is not None:
            final = msgspec.structs.replace(claim, state=ClaimState.WITHDRAWN)
            self._desk.settle(Settlement(self._name, final))
        return problem_response(self._call.request, step.problem)

    def _send(self, held: Acquired) -> Response:
        def on_end(ending: ExchangeResult) -> None:
            claim = settle_claim(
                held.claim, ending.run, ending.status, ending.headers, ending.body
            )
            self._desk.settle(Settlement(self._name, claim, held.version))

        self._desk.events.write(EventName.CLAIM_MADE, request=self._call.request)
        self._exchange = self._make(held.send_by, on_end)
        return self._exchange.get_response()


def _denied_at_once(step: Create | Replace | ReadBack) -> Denied:
    problem = Problem(ProblemReason.PLATFORM_UNAVAILABLE, "the platform is away")
    return Denied(problem, withdraw=isinstance(step, ReadBack))


def _replayed(call: Call, claim: Claim) -> Response:
    body = claim.body or b""
    headers = [
        (name, value)
        for name, value in claim.headers
        if name.lower() not in _KEPT_HEADERS_EXCEPT
    ]
    headers.append(("Content-Length", str(len(body))))
    headers.append(("Oleander-Request-Id", call.request))
    if not any(name.lower() == "oleander-run" for name, _ in headers):
        headers.append(("Oleander-Run", RunStatus.RAN.value))
    return Response(claim.status, headers, iter((body,)))
