"""Tests of the request's state machine: every failure at every phase."""

import random

import pytest

from oleandershift.lifecycle import (
    MAX_RESUMES,
    Abort,
    Fault,
    Phase,
    RequestLifecycle,
    Requeue,
    Respond,
    Resume,
    Retry,
)
from oleandershift.problems import ProblemReason, RunStatus
from oleandershift.retries import MAX_ATTEMPTS, Backoff, RetryBudget

PHASES = [Phase.ASSIGNED, Phase.SENDING, Phase.ANSWERING, Phase.RELAYING]


def life_at(
    phase: Phase,
    idempotent: bool = True,
    resumable: bool = False,
    budget: RetryBudget | None = None,
    deadline: float | None = None,
) -> RequestLifecycle:
    backoff = Backoff(random.Random(1))
    life = RequestLifecycle(idempotent, deadline, budget or RetryBudget(), backoff)
    reach(life, phase, resumable)
    return life


def reach(life: RequestLifecycle, phase: Phase, resumable: bool = False) -> None:
    steps = [
        lambda: life.on_assigned("u1"),
        life.on_sending,
        lambda: life.on_response_head(resumable),
        life.on_relaying,
    ]
    for step in steps[: PHASES.index(phase) + 1]:
        step()


STEPS = [
    # phase, idempotent, resumable, fault, step, run told to the caller
    (Phase.ASSIGNED, True, False, Fault.CONNECT, Retry, None),
    (Phase.ASSIGNED, False, False, Fault.CONNECT, Retry, None),
    (Phase.ASSIGNED, False, False, Fault.LATE_START, Requeue, None),
    (Phase.ASSIGNED, False, False, Fault.CALLER_GONE, Respond, RunStatus.NOT_RUN),
    (Phase.ASSIGNED, False, False, Fault.DEADLINE, Respond, RunStatus.NOT_RUN),
    (Phase.SENDING, True, False, Fault.CONNECTION_LOST, Retry, None),
    (Phase.SENDING, True, False, Fault.WRONG_ID, Retry, None),
    (Phase.SENDING, True, False, Fault.TIMEOUT, Retry, None),
    (Phase.SENDING, False, False, Fault.CONNECTION_LOST, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, False, False, Fault.CONNECT, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, False, False, Fault.WRONG_ID, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, False, False, Fault.TIMEOUT, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, True, False, Fault.DEADLINE, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, True, False, Fault.CALLER_GONE, Respond, RunStatus.UNKNOWN),
    (Phase.ANSWERING, True, False, Fault.TRUNCATED, Retry, None),
    (Phase.ANSWERING, False, False, Fault.TRUNCATED, Respond, RunStatus.UNKNOWN),
    (Phase.ANSWERING, True, True, Fault.TRUNCATED, Resume, None),
    (Phase.ANSWERING, False, True, Fault.CONNECTION_LOST, Resume, None),
    (Phase.ANSWERING, True, True, Fault.RESUME_REFUSED, Retry, None),
    (Phase.ANSWERING, False, True, Fault.RESUME_REFUSED, Respond, RunStatus.UNKNOWN),
    (Phase.RELAYING, True, True, Fault.CONNECTION_LOST, Resume, None),
    (Phase.RELAYING, True, True, Fault.RESUME_REFUSED, Abort, None),
    (Phase.RELAYING, True, False, Fault.TRUNCATED, Abort, None),
    (Phase.RELAYING, False, False, Fault.CONNECTION_LOST, Abort, None),
    (Phase.RELAYING, True, True, Fault.CALLER_GONE, Abort, None),
]


@pytest.mark.parametrize(
    ("phase", "idempotent", "resumable", "fault", "step", "run"), STEPS
)
def test_step_after_a_failure(phase, idempotent, resumable, fault, step, run) -> None:
    life = life_at(phase, idempotent, resumable)
    life.on_failure(0.0, fault)
    assert isinstance(life.step, step)
    if isinstance(life.step, Respond):
        assert life.step.problem.run is run


@pytest.mark.parametrize("phase", PHASES[1:])
@pytest.mark.parametrize("fault", Fault)
def test_not_run_is_never_said_once_a_byte_was_sent(phase, fault) -> None:
    life = life_at(phase, idempotent=False)
    life.on_failure(0.0, fault)
    if isinstance(life.step, Respond):
        assert life.step.problem.run is not RunStatus.NOT_RUN
    assert life.run is not RunStatus.NOT_RUN


def test_what_was_sent_is_remembered_over_attempts() -> None:
    life = life_at(Phase.SENDING)
    life.on_failure(0.0, Fault.CONNECTION_LOST)
    for _ in range(MAX_ATTEMPTS):
        reach(life, Phase.ASSIGNED)
        life.on_failure(0.0, Fault.CONNECT)
    assert isinstance(life.step, Respond)
    assert life.step.problem.run is RunStatus.UNKNOWN
    assert life.step.problem.reason is ProblemReason.UPSTREAM_FAILED


def test_resumes_and_attempts_are_bounded() -> None:
    life = life_at(Phase.RELAYING, resumable=True)
    for _ in range(MAX_RESUMES):
        life.on_failure(0.0, Fault.CONNECTION_LOST)
        assert isinstance(life.step, Resume)
    life.on_failure(0.0, Fault.CONNECTION_LOST)
    assert isinstance(life.step, Abort)


def test_no_retry_past_the_deadline() -> None:
    life = life_at(Phase.SENDING, deadline=10.0)
    life.on_failure(9.9999, Fault.CONNECTION_LOST)
    life.on_failure(10.0, Fault.CONNECTION_LOST)
    assert isinstance(life.step, Respond)
    assert life.step.problem.reason is ProblemReason.DEADLINE


def test_retries_add_at_most_their_share_to_the_load() -> None:
    budget = RetryBudget(ratio=0.2, reserve=10.0)
    attempts = 0
    for _ in range(1000):
        life = life_at(Phase.ASSIGNED, budget=budget)
        while not isinstance(life.step, Respond):
            attempts += 1
            reach(life, Phase.SENDING)
            life.on_failure(0.0, Fault.CONNECTION_LOST)
    assert attempts <= 1000 * 1.2 + 10


@pytest.mark.parametrize("seed", range(5))
def test_backoff_is_spread_and_bounded(seed) -> None:
    print("seed", seed)
    backoff = Backoff(random.Random(seed), base=0.1, limit=1.0)
    for attempt in range(1, 12):
        waits = {backoff.next_attempt_at(5.0, attempt) - 5.0 for _ in range(50)}
        assert len(waits) == 50
        assert min(waits) >= 0
        assert max(waits) <= min(1.0, 0.1 * 2 ** (attempt - 1)) + 1e-9
