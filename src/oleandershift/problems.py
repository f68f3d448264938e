"""Refusals and failures as the caller sees them (RFC 9457)."""

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


class Run(Enum):
    """Whether a request ran on an upstream."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Why a request got no answer of an upstream."""

    MALFORMED = "malformed"
    UNAUTHORIZED = "unauthorized"
    NO_SERVICE = "no-service"
    NO_KEY = "no-idempotency-key"
    KEY_IN_PROGRESS = "idempotency-key-in-progress"
    KEY_UNKNOWN = "idempotency-key-outcome-unknown"
    KEY_REUSED = "idempotency-key-reused"
    BODY_TOO_LARGE = "body-too-large"
    TEAM_LIMIT = "team-limit"
    ROUTER_FULL = "router-full"
    NO_UPSTREAM = "no-upstream"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    PLATFORM_AWAY = "platform-away"
    DEADLINE = "deadline"
    UPSTREAM_FAILED = "upstream-failed"
    CALLER_GONE = "caller-gone"
    ROUTER_FAILED = "router-failed"


STATUSES: dict[Reason, HTTPStatus] = {
    Reason.MALFORMED: HTTPStatus.BAD_REQUEST,
    Reason.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    Reason.NO_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.NO_KEY: HTTPStatus.BAD_REQUEST,
    Reason.KEY_IN_PROGRESS: HTTPStatus.CONFLICT,
    Reason.KEY_UNKNOWN: HTTPStatus.CONFLICT,
    Reason.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.TEAM_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.ROUTER_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_UPSTREAM: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NOT_READY: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.PLATFORM_AWAY: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.UPSTREAM_FAILED: HTTPStatus.BAD_GATEWAY,
    Reason.CALLER_GONE: HTTPStatus.BAD_GATEWAY,
    Reason.ROUTER_FAILED: HTTPStatus.INTERNAL_SERVER_ERROR,
}

RETRY_SECONDS: dict[Reason, int] = {
    Reason.KEY_IN_PROGRESS: SHORT_RETRY_SECONDS,
    Reason.TEAM_LIMIT: SHORT_RETRY_SECONDS,
    Reason.ROUTER_FULL: SHORT_RETRY_SECONDS,
    Reason.NO_UPSTREAM: LONG_RETRY_SECONDS,
    Reason.NOT_READY: SHORT_RETRY_SECONDS,
    Reason.DRAINING: SHORT_RETRY_SECONDS,
    Reason.PLATFORM_AWAY: LONG_RETRY_SECONDS,
    Reason.UPSTREAM_FAILED: SHORT_RETRY_SECONDS,
}
"""Seconds of `Retry-After`; a reason not listed gives none."""

QUEUE_REASONS: dict[RefusalReason, Reason] = {
    RefusalReason.TEAM_WAITING: Reason.TEAM_LIMIT,
    RefusalReason.TEAM_RATE: Reason.TEAM_LIMIT,
    RefusalReason.ROUTER_FULL: Reason.ROUTER_FULL,
    RefusalReason.NO_UPSTREAM: Reason.NO_UPSTREAM,
    RefusalReason.DEADLINE: Reason.DEADLINE,
    RefusalReason.DRAINING: Reason.DRAINING,
}
"""The caller's reason for each of a scheduling policy's."""


class _Document(msgspec.Struct, frozen=True):
    type: str
    title: str
    status: int
    detail: str
    request_id: RequestId
    run: str


@dataclass(frozen=True)
class Problem:
    """Why a request got no answer, and whether it ran.

    Parameters
    ----------
    reason : Reason
        Why.
    detail : str
        One sentence for the caller.
    run : Run
        Whether it ran.
    retry_after : int or None
        Seconds after which coming back helps; None uses that of the reason.
    """

    reason: Reason
    detail: str
    run: Run = Run.NOT_RUN
    retry_after: int | None = None

    @property
    def status(self) -> HTTPStatus:
        """Return the HTTP status."""
        return STATUSES[self.reason]

    def retry_seconds(self) -> int | None:
        """Return the seconds of `Retry-After`, if any."""
        if self.retry_after is not None:
            return self.retry_after
        return RETRY_SECONDS.get(self.reason)

    def document(self, request: RequestId) -> bytes:
        """Return the JSON document."""
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


def retry_after(now: float, retry_at: float | None) -> int | None:
    """Return whole seconds from `now` until `retry_at`, at least one."""
    if retry_at is None:
        return None
    return max(1, math.ceil(retry_at - now))
