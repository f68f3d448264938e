"""Tests of the per-team limits at a router."""

import pytest

from oleandershift.admission import Admission
from oleandershift.dispatch import QueuedRequest, RefusalReason, RequestKind
from oleandershift.ids import RequestId, ServiceId, TeamId
from oleandershift.rows import TeamRow

TEAM = TeamId("t")
ROW = TeamRow(name=TEAM, max_waiting=2, max_rate=2.0)


def request(deadline: float | None = None, attempt: int = 1) -> QueuedRequest:
    return QueuedRequest(
        RequestId("r"),
        TEAM,
        ServiceId("s"),
        RequestKind.QUICK,
        0.0,
        deadline,
        attempt=attempt,
    )


@pytest.mark.parametrize(
    ("req", "waiting", "reason"),
    [
        (request(), 0, None),
        (request(), 2, RefusalReason.TEAM_WAITING),
        (request(attempt=2), 2, None),
        (request(deadline=9.0), 0, RefusalReason.DEADLINE),
        (request(deadline=11.0), 0, None),
    ],
    ids=["room", "full", "repeated", "late", "in-time"],
)
def test_admission_decision(
    req: QueuedRequest, waiting: int, reason: RefusalReason | None
) -> None:
    refusal = Admission().admit(10.0, req, ROW, waiting)
    assert (refusal.reason if refusal else None) is reason


def test_request_above_the_rate_limit_is_admitted_at_retry_time() -> None:
    admission = Admission()
    refusals = [admission.admit(10.0, request(), ROW, 0) for _ in range(3)]
    assert refusals[:2] == [None, None]
    refusal = refusals[2]
    assert refusal is not None
    assert refusal.reason is RefusalReason.TEAM_RATE
    assert refusal.retry_at is not None
    assert admission.admit(refusal.retry_at, request(), ROW, 0) is None


def test_full_queue_sets_retry_time_from_departures() -> None:
    admission = Admission()
    for second in range(0, 100, 10):
        admission.record_departure(float(second), TEAM)
    refusal = admission.admit(100.0, request(), ROW, 2)
    assert refusal is not None
    assert refusal.retry_at is not None
    assert 105.0 < refusal.retry_at <= 110.0
