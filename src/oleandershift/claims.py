"""At most one execution of a non-idempotent call, proved by a claim in the platform.

Only the attempt that made the claim may send the call. Nobody takes over a claim that
is held: a holder that was paused for long can then never run the call a second time.
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
MAX_STORED_BODY_BYTES = 64 * 1024


class ClaimState(Enum):
    """What is known of a claimed call."""

    PENDING = "held"
    DONE = "done"
    UNKNOWN = "unknown"
    WITHDRAWN = "withdrawn"


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A claim as the platform keeps it.

    Parameters
    ----------
    attempt : AttemptId
        The attempt that holds it.
    request : RequestId
        The request that made it, for operators.
    digest : str
        SHA-256 of method, target and body.
    expires : float
        Instant past which the key may be used anew.
    state : ClaimState
        What is known of the call.
    status : int
        HTTP status of the answer, once done.
    headers : tuple of pair
        Headers of the answer.
    body : bytes or None
        The answer, when it is small enough to be kept.
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
    """Return the name of a call's claim."""
    parts = "\0".join((call.team, call.service, call.idempotency_key))
    return hashlib.sha256(parts.encode()).hexdigest()


def call_digest(call: Call) -> str:
    """Return a digest that tells a repeated call from another with the same key."""
    head = f"{call.method} {call.target}\n".encode()
    return hashlib.sha256(head + call.body).hexdigest()


@dataclass(frozen=True)
class Create:
    """Step: create the claim if it is absent."""

    claim: Claim


@dataclass(frozen=True)
class Replace:
    """Step: replace a withdrawn or expired claim at this version."""

    claim: Claim
    version: int


@dataclass(frozen=True)
class ReadBack:
    """Step: read the claim, to learn whose it is."""


@dataclass(frozen=True)
class Acquired:
    """End: the call may be sent.

    Parameters
    ----------
    claim : Claim
        As stored.
    version : int
        Its version.
    send_by : float
        Instant past which the call must not be sent any more.
    """

    claim: Claim
    version: int
    send_by: float


@dataclass(frozen=True)
class Replay:
    """End: the call ran before; repeat its answer."""

    claim: Claim


@dataclass(frozen=True)
class Denied:
    """End: the call is not sent.

    Parameters
    ----------
    problem : Problem
        What the caller is told.
    withdraw : bool
        The claim may exist, or come to exist, and has to be withdrawn.
    """

    problem: Problem
    withdraw: bool = False


ClaimStep: TypeAlias = Create | Replace | ReadBack | Acquired | Replay | Denied

_AWAY = Problem(
    ProblemReason.PLATFORM_UNAVAILABLE,
    "the platform, which makes sure that the call runs at most once, is away",
)
_RACED = Problem(ProblemReason.KEY_IN_PROGRESS, "another call used the key just now")
_OTHER_BODY = Problem(
    ProblemReason.KEY_REUSED, "the idempotency key was used for another request"
)
_IN_PROGRESS = Problem(
    ProblemReason.KEY_IN_PROGRESS,
    "a call with this key is in progress, or its outcome was lost",
    RunStatus.UNKNOWN,
)
_OUTCOME_UNKNOWN = Problem(
    ProblemReason.KEY_UNKNOWN,
    "whether the call with this key ran is unknown",
    RunStatus.UNKNOWN,
)
_NOT_KEPT = Problem(
    ProblemReason.KEY_UNKNOWN,
    "the call with this key ran; its answer is not kept",
    RunStatus.RAN,
)


class ClaimAcquirer:
    """Makes a claim, one platform call at a time.

    Parameters
    ----------
    now : float
        The current instant.
    call : Call
        The call.
    attempt : AttemptId
        Unique id of this attempt.

    Attributes
    ----------
    step : ClaimStep
        What to do next.
    """

    def __init__(self, now: float, call: Call, attempt: AttemptId) -> None:
        self._send_by = now + SEND_WINDOW_SECONDS
        self._claim = Claim(
            attempt=attempt,
            request=call.request,
            digest=call_digest(call),
            expires=now + CLAIM_EXPIRY_SECONDS,
        )
        self._unsettled = False
        self._replaced = False
        self.step: ClaimStep = Create(self._claim)

    def on_result(self, now: float, result: ObjectResult) -> None:
        """Take the platform's answer to the current step."""
        if isinstance(result, Success):
            self.step = self._on_object(now, result.unwrap())
            return
        self.step = self._on_failure(now, result.failure())

    def _on_failure(self, now: float, failure: StoreFailure) -> ClaimStep:
        if failure.error is StoreError.CONFLICT and failure.current is not None:
            return self._on_object(now, failure.current)
        if isinstance(self.step, ReadBack):
            return Denied(_AWAY, withdraw=self._unsettled)
        if failure.error is StoreError.OUTCOME_UNKNOWN:
            self._unsettled = True
            return ReadBack()
        if failure.error is StoreError.CONFLICT:
            return Denied(_RACED)
        return Denied(_AWAY)

    def _on_object(self, now: float, stored: StoredObject) -> ClaimStep:
        try:
            claim = msgspec.json.decode(stored.value, type=Claim)
        except msgspec.DecodeError:
            return Denied(_OUTCOME_UNKNOWN)
        if claim.attempt == self._claim.attempt:
            return Acquired(claim, stored.version, self._send_by)
        if claim.state is ClaimState.WITHDRAWN or claim.expires <= now:
            return self._replace(stored.version)
        return self._judge(claim)

    def _replace(self, version: int) -> ClaimStep:
        if self._replaced:
            return Denied(_RACED, withdraw=self._unsettled)
        self._replaced = True
        return Replace(self._claim, version)

    def _judge(self, claim: Claim) -> ClaimStep:
        if claim.digest != self._claim.digest:
            return Denied(_OTHER_BODY)
        if claim.state is ClaimState.PENDING:
            return Denied(_IN_PROGRESS)
        if claim.state is ClaimState.UNKNOWN:
            return Denied(_OUTCOME_UNKNOWN)
        if claim.body is None:
            return Denied(_NOT_KEPT)
        return Replay(claim)


def settle_claim(
    claim: Claim,
    run: RunStatus,
    status: int,
    headers: tuple[tuple[str, str], ...],
    body: bytes | None,
) -> Claim:
    """Return a held claim with the outcome of its call.

    Parameters
    ----------
    claim : Claim
        As held.
    run : Run
        `RAN` for a whole answer, `NOT_RUN` withdraws the claim.
    status : int
        HTTP status of the answer.
    headers : tuple of pair
        Its headers.
    body : bytes or None
        Its body, where it is at hand.
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
    """A claim that has to reach the platform in its final state.

    Parameters
    ----------
    name : str
        The claim's name.
    claim : Claim
        Its final state.
    version : int or None
        The version that the holder has; None when its creation was never proved.
    """

    name: str
    claim: Claim
    version: int | None = None


class ClaimSettler:
    """Brings a claim to its final state, one platform call at a time.

    Never touches a claim of another attempt. Where the creation was not proved, a
    withdrawn claim is created, so that the first create can't take effect late.

    Parameters
    ----------
    settlement : Settlement
        What to bring about.

    Attributes
    ----------
    step : Create, Replace, ReadBack or None
        What to do next; None when nothing is left to do.
    """

    def __init__(self, settlement: Settlement) -> None:
        self._claim = settlement.claim
        self.step: Create | Replace | ReadBack | None = Create(self._claim)
        if settlement.version is not None:
            self.step = Replace(self._claim, settlement.version)

    def on_result(self, result: ObjectResult) -> None:
        """Take the platform's answer; after a failure the same is tried again."""
        if isinstance(result, Success):
            self.step = self._on_object(result.unwrap())
            return
        failure = result.failure()
        if failure.error is StoreError.CONFLICT and failure.current is not None:
            self.step = self._on_object(failure.current)
        elif failure.error in (StoreError.OUTCOME_UNKNOWN, StoreError.CONFLICT):
            self.step = ReadBack()
        elif failure.error is StoreError.NOT_FOUND:
            self.step = Create(self._claim)

    def _on_object(self, stored: StoredObject) -> Replace | None:
        claim = msgspec.json.decode(stored.value, type=Claim)
        if claim.attempt != self._claim.attempt or claim.state is self._claim.state:
            return None
        return Replace(self._claim, stored.version)
