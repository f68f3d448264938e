"""Tests of a router's team queues."""

import pytest

from oleandershift.dispatch import QueuedRequest, RequestKind
from oleandershift.ids import RequestId, ServiceId, TeamId, UpstreamId
from oleandershift.queues import FAILED_UPSTREAM_AVOIDANCE_SECONDS, TeamQueues

TEAM = TeamId("t")
FAILED = UpstreamId("bad")


def request(
    name: str,
    kind: RequestKind = RequestKind.QUICK,
    arrived: float = 0.0,
    deadline: float | None = None,
    failed_upstreams: frozenset[UpstreamId] = frozenset(),
) -> QueuedRequest:
    return QueuedRequest(
        RequestId(name),
        TEAM,
        ServiceId("s"),
        kind,
        arrived,
        deadline,
        failed_upstreams=failed_upstreams,
    )


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (request("a"), request("b", arrived=1.0), "a"),
        (request("a"), request("b", deadline=3.0), "b"),
        (request("a", RequestKind.LONG), request("b", arrived=1.0), "b"),
        (request("a", RequestKind.LONG), request("b", arrived=58.0), "a"),
        (request("a", RequestKind.LONG, deadline=9.0), request("b", arrived=8.0), "a"),
    ],
    ids=["arrival", "deadline", "quick-before-long", "long-ages", "long-deadline"],
)
def test_earliest_due_request_is_next(
    first: QueuedRequest, second: QueuedRequest, expected: str
) -> None:
    queues = TeamQueues()
    queues.push(0.0, first, 1.0)
    queues.push(0.0, second, 1.0)
    next_request = queues.next_request(0.0, TEAM)
    assert next_request is not None
    assert next_request.request == expected


def test_failed_upstream_is_avoided_until_the_timeout() -> None:
    queues = TeamQueues()
    queues.push(0.0, request("a", failed_upstreams=frozenset({FAILED})), 1.0)
    assert queues.next_request(0.0, TEAM, FAILED) is None
    assert (
        queues.next_request(FAILED_UPSTREAM_AVOIDANCE_SECONDS, TEAM, FAILED) is not None
    )


def test_expired_requests_are_listed_and_removal_lowers_the_cost() -> None:
    queues = TeamQueues()
    queues.push(0.0, request("a", deadline=5.0), 30.0)
    queues.push(0.0, request("b"), 20.0)
    assert [req.request for req in queues.expired(5.0)] == ["a"]
    queues.remove(RequestId("a"))
    assert queues.for_team(TEAM).cost == 20.0
