"""Tests of claims against a store that loses and delays responses."""

import random
from collections.abc import Callable

import msgspec
import pytest
from returns.result import Failure, Success

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
    Replay,
    Settlement,
    call_digest,
    settle_claim,
)
from oleandershift.dispatch import RequestKind
from oleandershift.objects import ObjectResult, StoredObject, StoreError, StoreFailure
from oleandershift.problems import ProblemReason, RunStatus


class Store:
    """Store of one object that can lose a response or delay a change."""

    def __init__(self) -> None:
        self.stored: StoredObject | None = None
        self.delayed_change: Callable[[], object] | None = None

    def run(self, step: object, fault: str = "") -> ObjectResult:
        """Perform a step.

        Parameters
        ----------
        step : Create, Replace or ReadBack
            Platform call to make.
        fault : str
            `lost`: the change is applied, its response is lost. `away`: no response,
            not applied. `late`: no response, applied by `delayed_change`. `refused`:
            not applied. Empty: no fault.
        """
        if fault in ("away", "refused", "late"):
            if fault == "late":
                self.delayed_change = lambda: self._apply(step)
            error = (
                StoreError.REFUSED if fault == "refused" else StoreError.OUTCOME_UNKNOWN
            )
            return Failure(StoreFailure(error))
        result = self._apply(step)
        return (
            Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN))
            if fault == "lost"
            else result
        )

    def _apply(self, step: object) -> ObjectResult:
        if isinstance(step, ReadBack):
            if self.stored is None:
                return Failure(StoreFailure(StoreError.NOT_FOUND))
            return Success(self.stored)
        version = 0 if isinstance(step, Create) else step.version
        stored_version = self.stored.version if self.stored else 0
        if version != stored_version:
            return Failure(StoreFailure(StoreError.CONFLICT, "", self.stored))
        self.stored = StoredObject(
            kind="claims",
            name="n",
            version=stored_version + 1,
            revision=0,
            value=msgspec.Raw(msgspec.json.encode(step.claim)),
        )
        return Success(self.stored)

    def claim(self) -> Claim:
        """Return the stored claim."""
        return msgspec.json.decode(self.stored.value, type=Claim)


@pytest.fixture
def call() -> Call:
    return Call(
        "r", "t", "s", "POST", "/x", (), b"1", RequestKind.QUICK, None, None, False, "k"
    )


def acquire(store: Store, call: Call, name: str, faults=(), now: float = 0.0):
    """Run one acquisition to its result; the last fault repeats."""
    machine = ClaimAcquirer(now, call, name)
    pending_faults = list(faults) or [""]
    while not isinstance(machine.step, Acquired | Denied | Replay):
        machine.on_result(now, store.run(machine.step, pending_faults[0]))
        if len(pending_faults) > 1:
            pending_faults.pop(0)
    return machine.step


FAULTS = [
    # faults of successive platform calls, type of the result, withdraw
    ([""], Acquired, None),
    (["lost", ""], Acquired, None),
    (["lost", "away"], Denied, True),
    (["away", ""], Denied, True),
    (["late", ""], Denied, True),
    (["refused"], Denied, False),
]


@pytest.mark.parametrize(("faults", "result", "withdraw"), FAULTS)
def test_call_is_sent_only_with_a_confirmed_claim(
    call, faults, result, withdraw
) -> None:
    step = acquire(Store(), call, "a", faults)
    assert isinstance(step, result)
    assert getattr(step, "withdraw", None) == withdraw
    if isinstance(step, Denied):
        assert step.problem.reason is ProblemReason.PLATFORM_UNAVAILABLE
        assert step.problem.run is RunStatus.NOT_RUN


OUTCOMES = [
    (RunStatus.RAN, b"1", Replay, None),
    (RunStatus.RAN, None, Denied, ProblemReason.KEY_OUTCOME_UNKNOWN),
    (RunStatus.UNKNOWN, None, Denied, ProblemReason.KEY_OUTCOME_UNKNOWN),
    (RunStatus.NOT_RUN, None, Acquired, None),
    (None, None, Denied, ProblemReason.KEY_IN_PROGRESS),
]


@pytest.mark.parametrize(("run", "body", "result", "reason"), OUTCOMES)
def test_repeated_key_returns_the_first_outcome(
    call, run, body, result, reason
) -> None:
    store = Store()
    acquired = acquire(store, call, "a")
    if run is not None:
        final = settle_claim(acquired.claim, run, 200, (), body)
        machine = ClaimSettler(Settlement("n", final, acquired.version))
        machine.on_result(store.run(machine.step))
        assert machine.step is None
    step = acquire(store, call, "b")
    assert isinstance(step, result)
    if isinstance(step, Denied):
        assert step.problem.reason is reason


def test_same_key_with_another_body_is_rejected(call) -> None:
    store = Store()
    acquire(store, call, "a")
    changed = Call(**{**vars(call), "body": b"2"})
    assert call_digest(call) != call_digest(changed)
    assert acquire(store, changed, "b").problem.reason is ProblemReason.KEY_REUSED


def test_delayed_create_does_not_replace_a_withdrawn_claim(call) -> None:
    store = Store()
    assert acquire(store, call, "a", ["late", ""]).withdraw
    unconfirmed = ClaimAcquirer(0.0, call, "a").step.claim
    final = msgspec.structs.replace(unconfirmed, state=ClaimState.WITHDRAWN)
    machine = ClaimSettler(Settlement("n", final))
    machine.on_result(store.run(machine.step))
    store.delayed_change()
    assert store.claim().state is ClaimState.WITHDRAWN
    assert isinstance(acquire(store, call, "b"), Acquired)


def test_expired_claim_is_replaced_long_after_the_send_window(call) -> None:
    store = Store()
    first = acquire(store, call, "a")
    assert isinstance(acquire(store, call, "b", now=first.claim.expires - 1), Denied)
    assert isinstance(acquire(store, call, "c", now=first.claim.expires), Acquired)
    assert first.send_by < first.claim.expires / 2


@pytest.mark.parametrize("seed", range(20))
def test_random_faults_never_yield_two_holders(call, seed) -> None:
    print("seed", seed)
    rng = random.Random(seed)
    for _ in range(50):
        store = Store()
        holders = 0
        for name in "abcdef":
            faults = rng.choices(["", "lost", "away", "late", "refused"], k=8)
            step = acquire(store, call, name, faults)
            holders += isinstance(step, Acquired)
            if store.delayed_change is not None and rng.random() < 0.5:
                store.delayed_change()
                store.delayed_change = None
            if isinstance(step, Denied) and step.withdraw and rng.random() < 0.7:
                withdraw(store, call, name, rng)
        assert holders <= 1


def withdraw(store: Store, call: Call, name: str, rng: random.Random) -> None:
    unconfirmed = ClaimAcquirer(0.0, call, name).step.claim
    final = msgspec.structs.replace(unconfirmed, state=ClaimState.WITHDRAWN)
    machine = ClaimSettler(Settlement("n", final))
    for _ in range(10):
        if machine.step is None:
            return
        machine.on_result(store.run(machine.step, rng.choice(["", "lost", "away"])))
