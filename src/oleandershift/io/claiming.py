"""Creates claims on request threads and settles them in the background."""

import threading
import time
from collections import deque
from collections.abc import Callable
from uuid import uuid4

import msgspec
from loguru import logger
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
_REPLACED_HEADERS = frozenset(("oleander-request-id", "content-length"))
_UNAVAILABLE_ERRORS = (StoreError.OUTCOME_UNKNOWN, StoreError.REFUSED)


def _execute_step(
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


def _is_unavailable(result: ObjectResult) -> bool:
    return isinstance(result, Failure) and result.failure().error in _UNAVAILABLE_ERRORS


class SettlementExecutor:
    """Writes the outcomes of calls to their claims, on background threads.

    A write is retried until the claim is settled, with at most `MAX_SETTLE_CALLS`
    platform calls.

    Parameters
    ----------
    store : ObjectStore
        The platform's object store.
    events : EventLog
        Event log of the process.
    """

    def __init__(self, store: ObjectStore, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._queue: deque[Settlement] = deque()
        self._condition = threading.Condition()
        self._active_count = 0
        self._closing = False
        for number in range(SETTLE_THREADS):
            name = f"settler-{number}"
            threading.Thread(target=self._run_worker, name=name, daemon=True).start()

    def submit(self, settlement: Settlement) -> None:
        """Queue a settlement; it is dropped if the queue is full."""
        with self._condition:
            if len(self._queue) < MAX_QUEUED_SETTLEMENTS:
                self._queue.append(settlement)
            else:
                logger.warning("settlement of {} dropped: queue full", settlement.name)
            self._condition.notify_all()

    def is_idle(self) -> bool:
        """Return whether all settlements are done."""
        with self._condition:
            return not self._active_count and not self._queue

    def close(self) -> None:
        """Stop the threads after their current platform calls and drop the queue."""
        with self._condition:
            self._closing = True
            self._condition.notify_all()

    def _run_worker(self) -> None:
        while (settlement := self._next_settlement()) is not None:
            try:
                self._settle(settlement)
            except Exception:
                logger.exception("failed to settle {}", settlement.name)
            finally:
                with self._condition:
                    self._active_count -= 1

    def _next_settlement(self) -> Settlement | None:
        with self._condition:
            self._condition.wait_for(lambda: bool(self._queue) or self._closing)
            if self._closing:
                return None
            self._active_count += 1
            return self._queue.popleft()

    def _settle(self, settlement: Settlement) -> None:
        settler = ClaimSettler(settlement)
        for _ in range(MAX_SETTLE_CALLS):
            if settler.step is None or self._closing:
                break
            deadline = time.time() + SETTLE_CALL_TIMEOUT_SECONDS
            result = _execute_step(self._store, settlement.name, settler.step, deadline)
            settler.on_result(result)
            if _is_unavailable(result):
                with self._condition:
                    self._condition.wait_for(
                        lambda: self._closing, SETTLE_RETRY_DELAY_SECONDS
                    )
        detail = settlement.claim.state.value if settler.step is None else "given up"
        self._events.write(
            EventName.CLAIM_SETTLED, request=settlement.claim.request, detail=detail
        )


class ClaimClient:
    """Platform access for all claimed exchanges, behind a circuit breaker.

    Parameters
    ----------
    store : ObjectStore or None
        The platform's object store; None refuses every call.
    settlement_executor : SettlementExecutor or None
        Settles claims in the background; None discards settlements.
    call_timeout_seconds : float
        Timeout of one platform call while a caller waits, seconds.
    events : EventLog
        Event log of the process.
    """

    def __init__(
        self,
        store: ObjectStore | None,
        settlement_executor: SettlementExecutor | None,
        call_timeout_seconds: float,
        events: EventLog,
    ) -> None:
        self.events = events
        self._store = store
        self._settlement_executor = settlement_executor
        self._call_timeout_seconds = call_timeout_seconds
        self._breaker = CircuitBreaker()
        self._lock = threading.Lock()

    def execute(
        self, name: str, step: Create | Replace | ReadBack
    ) -> ObjectResult | None:
        """Make one platform call.

        Return None without a store or while the circuit breaker is open.
        """
        if self._store is None or not self._allow_call(time.time()):
            return None
        deadline = time.time() + self._call_timeout_seconds
        result = _execute_step(self._store, name, step, deadline)
        self._record_result(time.time(), result)
        return result

    def settle(self, settlement: Settlement) -> None:
        """Write the final state of a claim in the background."""
        if self._settlement_executor is not None:
            self._settlement_executor.submit(settlement)

    def is_idle(self) -> bool:
        """Return whether all settlements are done."""
        return self._settlement_executor is None or self._settlement_executor.is_idle()

    def _allow_call(self, now: float) -> bool:
        with self._lock:
            if not self._breaker.allows(now):
                return False
            self._breaker.on_call(now)
            return True

    def _record_result(self, now: float, result: ObjectResult) -> None:
        with self._lock:
            if _is_unavailable(result):
                self._breaker.on_failure(now)
            else:
                self._breaker.on_success()


class ClaimedExchange:
    """Exchange of a non-idempotent call, which needs a claim before it is sent.

    Parameters
    ----------
    claim_client : ClaimClient
        Access to the platform, shared by all claimed exchanges.
    call : Call
        The call.
    make_exchange : callable
        Creates the exchange from the time by which the call must be sent and the
        callback for its result.
    """

    def __init__(
        self,
        claim_client: ClaimClient,
        call: Call,
        make_exchange: Callable[[float, Callable[[ExchangeResult], None]], Exchange],
    ) -> None:
        self._claim_client = claim_client
        self._call = call
        self._make_exchange = make_exchange
        self._claim_name = claim_name(call)
        self._exchange: Exchange | None = None

    def get_response(self) -> Response:
        """Acquire the claim, then return the response."""
        attempt = AttemptId(uuid4().hex)
        acquirer = ClaimAcquirer(time.time(), self._call, attempt)
        claim = acquirer.step.claim if isinstance(acquirer.step, Create) else None
        while isinstance(acquirer.step, Create | Replace | ReadBack):
            result = self._claim_client.execute(self._claim_name, acquirer.step)
            if result is None:
                acquirer.step = _platform_unavailable(acquirer.step)
                break
            acquirer.on_result(time.time(), result)
        return self._respond(acquirer.step, claim)

    def close(self) -> None:
        """Release all resources."""
        if self._exchange is not None:
            self._exchange.close()

    def _respond(self, step: object, claim: Claim | None) -> Response:
        if isinstance(step, Acquired):
            return self._start_exchange(step)
        if isinstance(step, Replay):
            return _replayed_response(self._call, step.claim)
        assert isinstance(step, Denied)
        if step.withdraw and claim is not None:
            withdrawn = msgspec.structs.replace(claim, state=ClaimState.WITHDRAWN)
            self._claim_client.settle(Settlement(self._claim_name, withdrawn))
        return problem_response(self._call.request, step.problem)

    def _start_exchange(self, acquired: Acquired) -> Response:
        def on_end(result: ExchangeResult) -> None:
            claim = settle_claim(
                acquired.claim, result.run, result.status, result.headers, result.body
            )
            self._claim_client.settle(
                Settlement(self._claim_name, claim, acquired.version)
            )

        self._claim_client.events.write(
            EventName.CLAIM_MADE, request=self._call.request
        )
        self._exchange = self._make_exchange(acquired.send_by, on_end)
        return self._exchange.get_response()


def _platform_unavailable(step: Create | Replace | ReadBack) -> Denied:
    problem = Problem(ProblemReason.PLATFORM_UNAVAILABLE, "the platform is away")
    return Denied(problem, withdraw=isinstance(step, ReadBack))


def _replayed_response(call: Call, claim: Claim) -> Response:
    body = claim.body or b""
    headers = [
        (name, value)
        for name, value in claim.headers
        if name.lower() not in _REPLACED_HEADERS
    ]
    headers.append(("Content-Length", str(len(body))))
    headers.append(("Oleander-Request-Id", call.request))
    if not any(name.lower() == "oleander-run" for name, _ in headers):
        headers.append(("Oleander-Run", RunStatus.RAN.value))
    return Response(claim.status, headers, iter((body,)))
