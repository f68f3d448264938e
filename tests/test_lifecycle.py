"""Tests of the request state machine: failures at every phase."""

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

PHASES = [Phase.ASSIGNED, Phase.SENDING, Phase.RECEIVING, Phase.RELAYING]


def lifecycle_at(
    phase: Phase,
    idempotent: bool = True,
    resumable: bool = False,
    budget: RetryBudget | None = None,
    deadline: float | None = None,
) -> RequestLifecycle:
    backoff = Backoff(random.Random(1))
    lifecycle = RequestLifecycle(idempotent, deadline, budget or RetryBudget(), backoff)
    advance_to(lifecycle, phase, resumable)
    return lifecycle


def advance_to(
    lifecycle: RequestLifecycle, phase: Phase, resumable: bool = False
) -> None:
    steps = [
        lambda: lifecycle.on_assigned("u1"),
        lifecycle.on_sending,
        lambda: lifecycle.on_response_head(resumable),
        lifecycle.on_relaying,
    ]
    for step in steps[: PHASES.index(phase) + 1]:
        step()


STEP_CASES = [
    # phase, idempotent, resumable, fault, step, run reported to the caller
    (Phase.ASSIGNED, True, False, Fault.CONNECT, Retry, None),
    (Phase.ASSIGNED, False, False, Fault.CONNECT, Retry, None),
    (Phase.ASSIGNED, False, False, Fault.LATE_START, Requeue, None),
    (
        Phase.ASSIGNED,
        False,
        False,
        Fault.CALLER_DISCONNECTED,
        Respond,
        RunStatus.NOT_RUN,
    ),
    (Phase.ASSIGNED, False, False, Fault.DEADLINE, Respond, RunStatus.NOT_RUN),
    (Phase.SENDING, True, False, Fault.CONNECTION_LOST, Retry, None),
    (Phase.SENDING, True, False, Fault.WRONG_ID, Retry, None),
    (Phase.SENDING, True, False, Fault.TIMEOUT, Retry, None),
    (Phase.SENDING, False, False, Fault.CONNECTION_LOST, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, False, False, Fault.CONNECT, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, False, False, Fault.WRONG_ID, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, False, False, Fault.TIMEOUT, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, True, False, Fault.DEADLINE, Respond, RunStatus.UNKNOWN),
    (Phase.SENDING, True, False, Fault.CALLER_DISCONNECTED, Respond, RunStatus.UNKNOWN),
    (Phase.RECEIVING, True, False, Fault.TRUNCATED, Retry, None),
    (Phase.RECEIVING, False, False, Fault.TRUNCATED, Respond, RunStatus.UNKNOWN),
    (Phase.RECEIVING, True, True, Fault.TRUNCATED, Resume, None),
    (Phase.RECEIVING, False, True, Fault.CONNECTION_LOST, Resume, None),
    (Phase.RECEIVING, True, True, Fault.RESUME_REFUSED, Retry, None),
    (Phase.RECEIVING, False, True, Fault.RESUME_REFUSED, Respond, RunStatus.UNKNOWN),
    (Phase.RELAYING, True, True, Fault.CONNECTION_LOST, Resume, None),
    (Phase.RELAYING, True, True, Fault.RESUME_REFUSED, Abort, None),
    (Phase.RELAYING, True, False, Fault.TRUNCATED, Abort, None),
    (Phase.RELAYING, False, False, Fault.CONNECTION_LOST, Abort, None),
    (Phase.RELAYING, True, True, Fault.CALLER_DISCONNECTED, Abort, None),
]


@pytest.mark.parametrize(
    ("phase", "idempotent", "resumable", "fault", "step", "run"), STEP_CASES
)
def test_next_step_after_failure(
    phase, idempotent, resumable, fault, step, run
) -> None:
    lifecycle = lifecycle_at(phase, idempotent, resumable)
    lifecycle.on_failure(0.0, fault)
    assert isinstance(lifecycle.step, step)
    if isinstance(lifecycle.step, Respond):
        assert lifecycle.step.problem.run is run


@pytest.mark.parametrize("phase", PHASES[1:])
@pytest.mark.parametrize("fault", Fault)
def test_never_reports_not_run_after_sending_a_byte(phase, fault) -> None:
    lifecycle = lifecycle_at(phase, idempotent=False)
    lifecycle.on_failure(0.0, fault)
    if isinstance(lifecycle.step, Respond):
        assert lifecycle.step.problem.run is not RunStatus.NOT_RUN
    assert lifecycle.run is not RunStatus.NOT_RUN


def test_run_stays_unknown_across_attempts_after_sending() -> None:
    lifecycle = lifecycle_at(Phase.SENDING)
    lifecycle.on_failure(0.0, Fault.CONNECTION_LOST)
    for _ in range(MAX_ATTEMPTS):
        advance_to(lifecycle, Phase.ASSIGNED)
        lifecycle.on_failure(0.0, Fault.CONNECT)
    assert isinstance(lifecycle.step, Respond)
    assert lifecycle.step.problem.run is RunStatus.UNKNOWN
    assert lifecycle.step.problem.reason is ProblemReason.UPSTREAM_FAILED


def test_connection_is_aborted_after_max_resumes() -> None:
    lifecycle = lifecycle_at(Phase.RELAYING, resumable=True)
    for _ in range(MAX_RESUMES):
        lifecycle.on_failure(0.0, Fault.CONNECTION_LOST)
        assert isinstance(lifecycle.step, Resume)
    lifecycle.on_failure(0.0, Fault.CONNECTION_LOST)
    assert isinstance(lifecycle.step, Abort)


def test_no_retry_past_the_deadline() -> None:
    lifecycle = lifecycle_at(Phase.SENDING, deadline=10.0)
    lifecycle.on_failure(9.9999, Fault.CONNECTION_LOST)
    lifecycle.on_failure(10.0, Fault.CONNECTION_LOST)
    assert isinstance(lifecycle.step, Respond)
    assert lifecycle.step.problem.reason is ProblemReason.DEADLINE


def test_retry_budget_limits_extra_attempts() -> None:
    budget = RetryBudget(ratio=0.2, reserve=10.0)
    attempts = 0
    for _ in range(1000):
        lifecycle = lifecycle_at(Phase.ASSIGNED, budget=budget)
        while not isinstance(lifecycle.step, Respond):
            attempts += 1
            advance_to(lifecycle, Phase.SENDING)
            lifecycle.on_failure(0.0, Fault.CONNECTION_LOST)
    assert attempts <= 1000 * 1.2 + 10


@pytest.mark.parametrize("seed", range(5))
def test_backoff_is_jittered_and_bounded(seed) -> None:
    print("seed", seed)
    backoff = Backoff(random.Random(seed), base=0.1, limit=1.0)
    for attempt in range(1, 12):
        delays = {backoff.next_attempt_at(5.0, attempt) - 5.0 for _ in range(50)}
        assert len(delays) == 50
        assert min(delays) >= 0
        assert max(delays) <= min(1.0, 0.1 * 2 ** (attempt - 1)) + 1e-9
