"""Claims that limit a non-idempotent call to at most one execution.

A claim is an object in the platform's store. Only the attempt that created it may send
the call. A pending claim is never taken over before it expires, so an attempt that was
paused for a long time can't run the call a second time.
"""

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

import msgspec
from returns.result import Success

from oleandershift.calls import Call
from oleandershift.ids import AttemptId, RequestId
from oleandershift.objects import ObjectResult, StoredObject, StoreError, StoreFailure
from oleandershift.problems import Problem, ProblemReason, RunStatus

CLAIM_EXPIRY_SECONDS = 7 * 24 * 3600.0
SEND_WINDOW_SECONDS = 3600.0
"""Far below the expiry: an attempt must not send after its claim was replaced."""

MAX_STORED_BODY_BYTES = 64 * 1024


class ClaimState(Enum):
    """Known outcome of a claimed call."""

    PENDING = "held"
    DONE = "done"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A claim as stored in the platform.

    Parameters
    ----------
    attempt : AttemptId
        Attempt that owns the claim.
    request : RequestId
        Request that created the claim, for operators.
    digest : str
        SHA-256 of method, target and body.
    expires : float
        Time after which the idempotency key may be reused, seconds since the Unix
        epoch.
    state : ClaimState
        Known outcome of the call.
    status : int
        HTTP status of the response; 0 until the call is done.
    headers : tuple of pair
        Headers of the response.
    body : bytes or None
        Body of the response; None when it exceeds `MAX_STORED_BODY_BYTES` or was not
        available.
    """

    attempt: AttemptId
    request: RequestId
    digest: str
    expires: float
    state: ClaimState = ClaimState.PENDING
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


def claim_name(call: Call) -> str:
    """Return the object name of a call's claim, a hash of team, service and key."""
    parts = "\0".join((call.team, call.service, call.idempotency_key))
    return hashlib.sha256(parts.encode()).hexdigest()


def call_digest(call: Call) -> str:
    """Return a digest that detects a different call with the same key."""
    request_line = f"{call.method} {call.target}\n".encode()
    return hashlib.sha256(request_line + call.body).hexdigest()


@dataclass(frozen=True)
class Create:
    """Step: create the claim if it does not exist."""

    claim: Claim


@dataclass(frozen=True)
class Replace:
    """Step: replace the stored claim if it still has this version."""

    claim: Claim
    version: int


@dataclass(frozen=True)
class ReadBack:
    """Step: read the stored claim to find out which attempt owns it."""


@dataclass(frozen=True)
class Acquired:
    """Result: the claim is acquired and the call may be sent.

    Parameters
    ----------
    claim : Claim
        The claim as stored.
    version : int
        Version of the stored claim.
    send_by : float
        Time after which the call must not be sent, seconds since the Unix epoch.
    """

    claim: Claim
    version: int
    send_by: float


@dataclass(frozen=True)
class Replay:
    """Result: the call has run before; return its stored response."""

    claim: Claim


@dataclass(frozen=True)
class Denied:
    """Result: the call must not be sent.

    Parameters
    ----------
    problem : Problem
        Error returned to the caller.
    withdraw : bool
        Whether the claim may exist or be created later, and must be withdrawn.
    """

    problem: Problem
    withdraw: bool = False


ClaimStep: TypeAlias = Create | Replace | ReadBack | Acquired | Replay | Denied

_PLATFORM_UNAVAILABLE = Problem(
    ProblemReason.PLATFORM_UNAVAILABLE,
    "the platform, which makes sure that the call runs at most once, is away",
)
_CONCURRENT_CLAIM = Problem(
    ProblemReason.KEY_IN_PROGRESS,
    "another call used the key just now",
)
_KEY_REUSED = Problem(
    ProblemReason.KEY_REUSED, "the idempotency key was used for another request"
)
_IN_PROGRESS = Problem(
    ProblemReason.KEY_IN_PROGRESS,
    "a call with this key is in progress, or its outcome was lost",
    RunStatus.UNKNOWN,
)
_OUTCOME_UNKNOWN = Problem(
    ProblemReason.KEY_OUTCOME_UNKNOWN,
    "whether the call with this key ran is unknown",
    RunStatus.UNKNOWN,
)
_RESPONSE_NOT_STORED = Problem(
    ProblemReason.KEY_OUTCOME_UNKNOWN,
    "the call with this key ran; its answer is not kept",
    RunStatus.RAN,
)


class ClaimAcquirer:
    """State machine that acquires a claim, one platform call at a time.

    Parameters
    ----------
    now : float
        Current time, seconds since the Unix epoch.
    call : Call
        Call to acquire the claim for.
    attempt : AttemptId
        Unique id of this attempt.

    Attributes
    ----------
    step : ClaimStep
        Next platform call to make, or the result.
    """

    def __init__(self, now: float, call: Call, attempt: AttemptId) -> None:
        self._send_by = now + SEND_WINDOW_SECONDS
        self._claim = Claim(
            attempt=attempt,
            request=call.request,
            digest=call_digest(call),
            expires=now + CLAIM_EXPIRY_SECONDS,
        )
        self._write_unconfirmed = False
        self._replaced = False
        self.step: ClaimStep = Create(self._claim)

    def on_result(self, now: float, result: ObjectResult) -> None:
        """Advance to the next step from the platform's response to the current one."""
        if isinstance(result, Success):
            self.step = self._on_stored_claim(now, result.unwrap())
            return
        self.step = self._on_failure(now, result.failure())

    def _on_failure(self, now: float, failure: StoreFailure) -> ClaimStep:
        if failure.error is StoreError.CONFLICT and failure.current is not None:
            return self._on_stored_claim(now, failure.current)
        if isinstance(self.step, ReadBack):
            return Denied(_PLATFORM_UNAVAILABLE, withdraw=self._write_unconfirmed)
        if failure.error is StoreError.OUTCOME_UNKNOWN:
            self._write_unconfirmed = True
            return ReadBack()
        if failure.error is StoreError.CONFLICT:
            return Denied(_CONCURRENT_CLAIM)
        return Denied(_PLATFORM_UNAVAILABLE)

    def _on_stored_claim(self, now: float, stored: StoredObject) -> ClaimStep:
        try:
            claim = msgspec.json.decode(stored.value, type=Claim)
        except msgspec.DecodeError:
            return Denied(_OUTCOME_UNKNOWN)
        if claim.attempt == self._claim.attempt:
            return Acquired(claim, stored.version, self._send_by)
        if claim.state is ClaimState.WITHDRAWN or claim.expires <= now:
            return self._replace(stored.version)
        return self._reject_or_replay(claim)

    def _replace(self, version: int) -> ClaimStep:
        if self._replaced:
            return Denied(_CONCURRENT_CLAIM, withdraw=self._write_unconfirmed)
        self._replaced = True
        return Replace(self._claim, version)

    def _reject_or_replay(self, claim: Claim) -> ClaimStep:
        if claim.digest != self._claim.digest:
            return Denied(_KEY_REUSED)
        if claim.state is ClaimState.PENDING:
            return Denied(_IN_PROGRESS)
        if claim.state is ClaimState.UNKNOWN:
            return Denied(_OUTCOME_UNKNOWN)
        if claim.body is None:
            return Denied(_RESPONSE_NOT_STORED)
        return Replay(claim)


def settle_claim(
    claim: Claim,
    run: RunStatus,
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes | None,
) -> Claim:
    """Return a claim with the outcome of its call.

    Parameters
    ----------
    claim : Claim
        The pending claim.
    run : RunStatus
        Whether the call ran; `RAN` requires a complete response, and `NOT_RUN`
        withdraws the claim.
    status : int
        HTTP status of the response.
    headers : tuple of pair
        Headers of the response.
    body : bytes or None
        Body of the response, if available. A body larger than
        `MAX_STORED_BODY_BYTES` is not stored.
    """
    if run is RunStatus.NOT_RUN:
        return msgspec.structs.replace(claim, state=ClaimState.WITHDRAWN)
    if run is RunStatus.UNKNOWN:
        return msgspec.structs.replace(claim, state=ClaimState.UNKNOWN)
    if body is not None and len(body) > MAX_STORED_BODY_BYTES:
        body = None
    return msgspec.structs.replace(
        claim, state=ClaimState.DONE, status=status, headers=headers, body=body
    )


@dataclass(frozen=True)
class Settlement:
    """A claim in its final state that must be written to the platform.

    Parameters
    ----------
    name : str
        Object name of the claim.
    claim : Claim
        The claim in its final state.
    version : int or None
        Last known version of the stored claim; None when its creation was not
        confirmed.
    """

    name: str
    claim: Claim
    version: int | None = None


class ClaimSettler:
    """State machine that stores a claim's final state, one platform call at a time.

    A claim of another attempt is never changed. If the creation of the claim was not
    confirmed, the settler creates it in the withdrawn state, so that a delayed create
    can't take effect later.

    Parameters
    ----------
    settlement : Settlement
        Claim to store.

    Attributes
    ----------
    step : Create, Replace, ReadBack or None
        Next platform call to make; None when the claim is settled.
    """

    def __init__(self, settlement: Settlement) -> None:
        self._claim = settlement.claim
        self.step: Create | Replace | ReadBack | None = Create(self._claim)
        if settlement.version is not None:
            self.step = Replace(self._claim, settlement.version)

    def on_result(self, result: ObjectResult) -> None:
        """Advance to the next step; a step that was not applied is repeated."""
        if isinstance(result, Success):
            self.step = self._on_stored_claim(result.unwrap())
            return
        failure = result.failure()
        if failure.error is StoreError.CONFLICT and failure.current is not None:
            self.step = self._on_stored_claim(failure.current)
        elif failure.error in (StoreError.OUTCOME_UNKNOWN, StoreError.CONFLICT):
            self.step = ReadBack()
        elif failure.error is StoreError.NOT_FOUND:
            self.step = Create(self._claim)

    def _on_stored_claim(self, stored: StoredObject) -> Replace | None:
        claim = msgspec.json.decode(stored.value, type=Claim)
        if claim.attempt != self._claim.attempt or claim.state is self._claim.state:
            return None
        return Replace(self._claim, stored.version)
