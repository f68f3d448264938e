"""Tests of claims, against a store that loses answers."""

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
    """One object; a change may take effect and its answer get lost, or come late."""

    def __init__(self) -> None:
        self.held: StoredObject | None = None
        self.late: Callable[[], object] | None = None

    def run(self, step: object, fault: str = "") -> ObjectResult:
        """Carry a step out; `fault` is lost, away, late or refused."""
        if fault in ("away", "refused", "late"):
            if fault == "late":
                self.late = lambda: self._apply(step)
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
            if self.held is None:
                return Failure(StoreFailure(StoreError.NOT_FOUND))
            return Success(self.held)
        version = 0 if isinstance(step, Create) else step.version
        held = self.held.version if self.held else 0
        if version != held:
            return Failure(StoreFailure(StoreError.CONFLICT, "", self.held))
        self.held = StoredObject(
            kind="claims",
            name="n",
            version=held + 1,
            revision=0,
            value=msgspec.Raw(msgspec.json.encode(step.claim)),
        )
        return Success(self.held)

    def claim(self) -> Claim:
        """Return the stored claim."""
        return msgspec.json.decode(self.held.value, type=Claim)


@pytest.fixture
def call() -> Call:
    return Call(
        "r", "t", "s", "POST", "/x", (), b"1", RequestKind.QUICK, None, None, False, "k"
    )


def attempt(store: Store, call: Call, name: str, faults=(), now: float = 0.0):
    """Run one claiming to its end; the last fault stays in force."""
    machine = ClaimAcquirer(now, call, name)
    due = list(faults) or [""]
    while not isinstance(machine.step, Acquired | Denied | Replay):
        machine.on_result(now, store.run(machine.step, due[0]))
        if len(due) > 1:
            due.pop(0)
    return machine.step


FAULTS = [
    # faults of the calls, step at the end, withdraw
    ([""], Acquired, None),
    (["lost", ""], Acquired, None),
    (["lost", "away"], Denied, True),
    (["away", ""], Denied, True),
    (["late", ""], Denied, True),
    (["refused"], Denied, False),
]


@pytest.mark.parametrize(("faults", "end", "withdraw"), FAULTS)
def test_only_a_proved_claim_may_send(call, faults, end, withdraw) -> None:
    step = attempt(Store(), call, "a", faults)
    assert isinstance(step, end)
    assert getattr(step, "withdraw", None) == withdraw
    if isinstance(step, Denied):
        assert step.problem.reason is ProblemReason.PLATFORM_UNAVAILABLE
        assert step.problem.run is RunStatus.NOT_RUN


OUTCOMES = [
    (RunStatus.RAN, b"1", Replay, None),
    (RunStatus.RAN, None, Denied, ProblemReason.KEY_UNKNOWN),
    (RunStatus.UNKNOWN, None, Denied, ProblemReason.KEY_UNKNOWN),
    (RunStatus.NOT_RUN, None, Acquired, None),
    (None, None, Denied, ProblemReason.KEY_IN_PROGRESS),
]


@pytest.mark.parametrize(("run", "body", "end", "reason"), OUTCOMES)
def test_repeated_key_gets_the_outcome(call, run, body, end, reason) -> None:
    store = Store()
    held = attempt(store, call, "a")
    if run is not None:
        final = settle_claim(held.claim, run, 200, (), body)
        machine = ClaimSettler(Settlement("n", final, held.version))
        machine.on_result(store.run(machine.step))
        assert machine.step is None
    step = attempt(store, call, "b")
    assert isinstance(step, end)
    if isinstance(step, Denied):
        assert step.problem.reason is reason


def test_same_key_with_another_body_is_told_so(call) -> None:
    store = Store()
    attempt(store, call, "a")
    changed = Call(**{**vars(call), "body": b"2"})
    assert call_digest(call) != call_digest(changed)
    assert attempt(store, changed, "b").problem.reason is ProblemReason.KEY_REUSED


def test_create_that_takes_effect_late_meets_the_withdrawn_claim(call) -> None:
    store = Store()
    assert attempt(store, call, "a", ["late", ""]).withdraw
    lost = ClaimAcquirer(0.0, call, "a").step.claim
    final = msgspec.structs.replace(lost, state=ClaimState.WITHDRAWN)
    machine = ClaimSettler(Settlement("n", final))
    machine.on_result(store.run(machine.step))
    store.late()
    assert store.claim().state is ClaimState.WITHDRAWN
    assert isinstance(attempt(store, call, "b"), Acquired)


def test_expired_claim_is_replaced_but_its_holder_may_not_send(call) -> None:
    store = Store()
    first = attempt(store, call, "a")
    assert isinstance(attempt(store, call, "b", now=first.claim.expires - 1), Denied)
    assert isinstance(attempt(store, call, "c", now=first.claim.expires), Acquired)
    assert first.send_by < first.claim.expires / 2


@pytest.mark.parametrize("seed", range(20))
def test_random_faults_never_give_two_holders(call, seed) -> None:
    print("seed", seed)
    rng = random.Random(seed)
    for _ in range(50):
        store = Store()
        holders = 0
        for name in "abcdef":
            faults = rng.choices(["", "lost", "away", "late", "refused"], k=8)
            step = attempt(store, call, name, faults)
            holders += isinstance(step, Acquired)
            if store.late is not None and rng.random() < 0.5:
                store.late()
                store.late = None
            if isinstance(step, Denied) and step.withdraw and rng.random() < 0.7:
                withdraw(store, call, name, rng)
        assert holders <= 1


def withdraw(store: Store, call: Call, name: str, rng: random.Random) -> None:
    lost = ClaimAcquirer(0.0, call, name).step.claim
    final = msgspec.structs.replace(lost, state=ClaimState.WITHDRAWN)
    machine = ClaimSettler(Settlement("n", final))
    for _ in range(10):
        if machine.step is None:
            return
        machine.on_result(store.run(machine.step, rng.choice(["", "lost", "away"])))
