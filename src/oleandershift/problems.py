"""Problem details (RFC 9457) returned to callers for rejected and failed requests."""

import math
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

import msgspec

from oleandershift.dispatch import RefusalReason
from oleandershift.ids import RequestId

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:oleandershift:problem:"
SHORT_RETRY_SECONDS = 1
LONG_RETRY_SECONDS = 5


class RunStatus(Enum):
    """Whether a request ran on an upstream."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ProblemReason(Enum):
    """Why a request got no response from an upstream."""

    MALFORMED = "malformed"
    UNAUTHORIZED = "unauthorized"
    NO_SERVICE = "no-service"
    NO_IDEMPOTENCY_KEY = "no-idempotency-key"
    KEY_IN_PROGRESS = "idempotency-key-in-progress"
    KEY_OUTCOME_UNKNOWN = "idempotency-key-outcome-unknown"
    KEY_REUSED = "idempotency-key-reused"
    BODY_TOO_LARGE = "body-too-large"
    TEAM_LIMIT = "team-limit"
    ROUTER_FULL = "router-full"
    NO_UPSTREAM = "no-upstream"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    PLATFORM_UNAVAILABLE = "platform-away"
    DEADLINE = "deadline"
    UPSTREAM_FAILED = "upstream-failed"
    CALLER_DISCONNECTED = "caller-gone"
    ROUTER_FAILED = "router-failed"


STATUS_BY_REASON: dict[ProblemReason, HTTPStatus] = {
    ProblemReason.MALFORMED: HTTPStatus.BAD_REQUEST,
    ProblemReason.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    ProblemReason.NO_SERVICE: HTTPStatus.NOT_FOUND,
    ProblemReason.NO_IDEMPOTENCY_KEY: HTTPStatus.BAD_REQUEST,
    ProblemReason.KEY_IN_PROGRESS: HTTPStatus.CONFLICT,
    ProblemReason.KEY_OUTCOME_UNKNOWN: HTTPStatus.CONFLICT,
    ProblemReason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ProblemReason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ProblemReason.TEAM_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    ProblemReason.ROUTER_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemReason.NO_UPSTREAM: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemReason.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemReason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemReason.PLATFORM_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    ProblemReason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    ProblemReason.UPSTREAM_FAILED: HTTPStatus.BAD_GATEWAY,
    ProblemReason.CALLER_DISCONNECTED: HTTPStatus.BAD_GATEWAY,
    ProblemReason.ROUTER_FAILED: HTTPStatus.INTERNAL_SERVER_ERROR,
}

RETRY_AFTER_SECONDS: dict[ProblemReason, int] = {
    ProblemReason.KEY_IN_PROGRESS: SHORT_RETRY_SECONDS,
    ProblemReason.TEAM_LIMIT: SHORT_RETRY_SECONDS,
    ProblemReason.ROUTER_FULL: SHORT_RETRY_SECONDS,
    ProblemReason.NO_UPSTREAM: LONG_RETRY_SECONDS,
    ProblemReason.NOT_READY: SHORT_RETRY_SECONDS,
    ProblemReason.DRAINING: SHORT_RETRY_SECONDS,
    ProblemReason.PLATFORM_UNAVAILABLE: LONG_RETRY_SECONDS,
    ProblemReason.UPSTREAM_FAILED: SHORT_RETRY_SECONDS,
}
"""Value of `Retry-After`; reasons not listed send no such header."""

REASON_BY_REFUSAL: dict[RefusalReason, ProblemReason] = {
    RefusalReason.TEAM_WAITING: ProblemReason.TEAM_LIMIT,
    RefusalReason.TEAM_RATE: ProblemReason.TEAM_LIMIT,
    RefusalReason.ROUTER_FULL: ProblemReason.ROUTER_FULL,
    RefusalReason.NO_UPSTREAM: ProblemReason.NO_UPSTREAM,
    RefusalReason.DEADLINE: ProblemReason.DEADLINE,
    RefusalReason.DRAINING: ProblemReason.DRAINING,
}
"""Reason reported to the caller for each refusal by a scheduling policy."""


class _Document(msgspec.Struct, frozen=True):
    type: str
    title: str
    status: int
    detail: str
    request_id: RequestId
    run: str


@dataclass(frozen=True)
class Problem:
    """Why a request got no response from an upstream, and whether it ran.

    Parameters
    ----------
    reason : ProblemReason
        Why the request failed.
    detail : str
        One sentence for the caller.
    run : RunStatus
        Whether the request ran on an upstream.
    retry_after : int or None
        Seconds until a retry is useful; None uses the default of the reason.
    """

    reason: ProblemReason
    detail: str
    run: RunStatus = RunStatus.NOT_RUN
    retry_after: int | None = None

    @property
    def status(self) -> HTTPStatus:
        """HTTP status of the response."""
        return STATUS_BY_REASON[self.reason]

    def retry_after_seconds(self) -> int | None:
        """Return the value of `Retry-After`, seconds; None omits the header."""
        if self.retry_after is not None:
            return self.retry_after
        return RETRY_AFTER_SECONDS.get(self.reason)

    def to_json(self, request: RequestId) -> bytes:
        """Return the problem details as a JSON document."""
        return msgspec.json.encode(
            _Document(
                type=TYPE_PREFIX + self.reason.value,
                title=self.status.phrase,
                status=self.status.value,
                detail=self.detail,
                request_id=request,
                run=self.run.value,
            )
        )


def seconds_until_retry(now: float, retry_at: float | None) -> int | None:
    """Return the time from `now` until `retry_at` in whole seconds, at least 1."""
    if retry_at is None:
        return None
    return max(1, math.ceil(retry_at - now))
