"""Tests of the request's state machine: every failure at every phase."""

import random

import pytest

from oleandershift.lifecycle import (
    MAX_RESUMES,
    Break,
    Conclude,
    Fault,
    Lifecycle,
    Phase,
    Requeue,
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
) -> Lifecycle:
    backoff = Backoff(random.Random(1))
    life = Lifecycle(idempotent, deadline, budget or RetryBudget(), backoff)
    reach(life, phase, resumable)
    return life


def reach(life: Lifecycle, phase: Phase, resumable: bool = False) -> None:
    steps = [
        lambda: life.assigned("u1"),
        life.sending,
        lambda: life.answering(resumable),
        life.relaying,
    ]
    for step in steps[: PHASES.index(phase) + 1]:
        step()


STEPS = [
    # phase, idempotent, resumable, fault, step, run told to the caller
    (Phase.ASSIGNED, True, False, Fault.CONNECT, Retry, None),
    (Phase.ASSIGNED, False, False, Fault.CONNECT, Retry, None),
    (Phase.ASSIGNED, False, False, Fault.LATE_START, Requeue, None),
    (Phase.ASSIGNED, False, False, Fault.CALLER_GONE, Conclude, RunStatus.NOT_RUN),
    (Phase.ASSIGNED, False, False, Fault.DEADLINE, Conclude, RunStatus.NOT_RUN),
    (Phase.SENDING, True, False, Fault.CUT, Retry, None),
    (Phase.SENDING, True, False, Fault.WRONG_ID, Retry, None),
    (Phase.SENDING, True, False, Fault.TIMEOUT, Retry, None),
    (Phase.SENDING, False, False, Fault.CUT, Conclude, RunStatus.UNKNOWN),
    (Phase.SENDING, False, False, Fault.CONNECT, Conclude, RunStatus.UNKNOWN),
    (Phase.SENDING, False, False, Fault.WRONG_ID, Conclude, RunStatus.UNKNOWN),
    (Phase.SENDING, False, False, Fault.TIMEOUT, Conclude, RunStatus.UNKNOWN),
    (Phase.SENDING, True, False, Fault.DEADLINE, Conclude, RunStatus.UNKNOWN),
    (Phase.SENDING, True, False, Fault.CALLER_GONE, Conclude, RunStatus.UNKNOWN),
    (Phase.ANSWERING, True, False, Fault.SHORT, Retry, None),
    (Phase.ANSWERING, False, False, Fault.SHORT, Conclude, RunStatus.UNKNOWN),
    (Phase.ANSWERING, True, True, Fault.SHORT, Resume, None),
    (Phase.ANSWERING, False, True, Fault.CUT, Resume, None),
    (Phase.ANSWERING, True, True, Fault.RESUME_REFUSED, Retry, None),
    (Phase.ANSWERING, False, True, Fault.RESUME_REFUSED, Conclude, RunStatus.UNKNOWN),
    (Phase.RELAYING, True, True, Fault.CUT, Resume, None),
    (Phase.RELAYING, True, True, Fault.RESUME_REFUSED, Break, None),
    (Phase.RELAYING, True, False, Fault.SHORT, Break, None),
    (Phase.RELAYING, False, False, Fault.CUT, Break, None),
    (Phase.RELAYING, True, True, Fault.CALLER_GONE, Break, None),
]


@pytest.mark.parametrize(
    ("phase", "idempotent", "resumable", "fault", "step", "run"), STEPS
)
def test_step_after_a_failure(phase, idempotent, resumable, fault, step, run) -> None:
    life = life_at(phase, idempotent, resumable)
    life.failed(0.0, fault)
    assert isinstance(life.step, step)
    if isinstance(life.step, Conclude):
        assert life.step.problem.run is run


@pytest.mark.parametrize("phase", PHASES[1:])
@pytest.mark.parametrize("fault", Fault)
def test_not_run_is_never_said_once_a_byte_was_sent(phase, fault) -> None:
    life = life_at(phase, idempotent=False)
    life.failed(0.0, fault)
    if isinstance(life.step, Conclude):
        assert life.step.problem.run is not RunStatus.NOT_RUN
    assert life.run is not RunStatus.NOT_RUN


def test_what_was_sent_is_remembered_over_attempts() -> None:
    life = life_at(Phase.SENDING)
    life.failed(0.0, Fault.CUT)
    for _ in range(MAX_ATTEMPTS):
        reach(life, Phase.ASSIGNED)
        life.failed(0.0, Fault.CONNECT)
    assert isinstance(life.step, Conclude)
    assert life.step.problem.run is RunStatus.UNKNOWN
    assert life.step.problem.reason is ProblemReason.UPSTREAM_FAILED


def test_resumes_and_attempts_are_bounded() -> None:
    life = life_at(Phase.RELAYING, resumable=True)
    for _ in range(MAX_RESUMES):
        life.failed(0.0, Fault.CUT)
        assert isinstance(life.step, Resume)
    life.failed(0.0, Fault.CUT)
    assert isinstance(life.step, Break)


def test_no_retry_past_the_deadline() -> None:
    life = life_at(Phase.SENDING, deadline=10.0)
    life.failed(9.9999, Fault.CUT)
    life.failed(10.0, Fault.CUT)
    assert isinstance(life.step, Conclude)
    assert life.step.problem.reason is ProblemReason.DEADLINE


def test_retries_add_at_most_their_share_to_the_load() -> None:
    budget = RetryBudget(ratio=0.2, reserve=10.0)
    attempts = 0
    for _ in range(1000):
        life = life_at(Phase.ASSIGNED, budget=budget)
        while not isinstance(life.step, Conclude):
            attempts += 1
            reach(life, Phase.SENDING)
            life.failed(0.0, Fault.CUT)
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
