"""Random calls of the soak test, and their outcomes."""

import json
import random
from dataclasses import dataclass
from enum import Enum

import urllib3

from oleandershift.problems import TYPE_PREFIX
from standins.faulty import EVENT_COUNT, FaultName
from standins.soak_fleet import KEY, SERVICE

TIMEOUT_SECONDS = 30.0
FAULT_PROBABILITY = 0.3
DISCONNECT_PROBABILITY = 0.03
DISCONNECT_TIMEOUT_SECONDS = 0.05
MAX_CALLS_PER_KEY = 3


class CallKind(Enum):
    """Kind of request; a charge is a non-idempotent one with an idempotency key."""

    NON_STREAMING = "whole"
    STREAM = "stream"
    CHARGE = "charge"


_FAULTS = {
    CallKind.NON_STREAMING: (
        FaultName.LATE,
        FaultName.WRONG_ID,
        FaultName.NO_ID,
        FaultName.CROSSED,
        FaultName.SHORT,
        FaultName.TWICE,
        FaultName.CLOSE_BEFORE,
        FaultName.CLOSE_AFTER,
        FaultName.NO_LENGTH,
        FaultName.BAD_STATUS,
        FaultName.CHUNKED,
        FaultName.CUT_CHUNKED,
    ),
    CallKind.STREAM: (
        FaultName.CUT_STREAM,
        FaultName.CUT_STREAM_START,
        FaultName.GAP,
        FaultName.REPEAT,
        FaultName.NO_DONE,
        FaultName.FORGET,
        FaultName.CLOSE_BEFORE,
    ),
}
_FAULTS[CallKind.CHARGE] = _FAULTS[CallKind.NON_STREAMING]


@dataclass(frozen=True)
class SoakCall:
    """One call of the soak test.

    Parameters
    ----------
    kind : CallKind
        Kind of request.
    echo : str
        Text that the response repeats; also the idempotency key of a charge, shared by
        all calls for that charge.
    router_url : str
        URL of the router to call.
    fault : FaultName
        Fault that the upstream injects.
    timeout_seconds : float
        Timeout in seconds, after which the caller disconnects.
    """

    kind: CallKind
    echo: str
    router_url: str
    fault: FaultName
    timeout_seconds: float


class CallOutcome(Enum):
    """Outcome of a call as its caller saw it."""

    COMPLETE = "whole"
    WRONG = "wrong"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"
    BROKEN = "broken"


@dataclass(frozen=True)
class SoakRecord:
    """A call and its outcome.

    Parameters
    ----------
    call : SoakCall
        The call.
    outcome : CallOutcome
        Outcome; `BROKEN` if there was no response or a visibly truncated one.
    request_id : str
        Request id set by the router; empty without a response.
    status : int
        HTTP status; 0 without a response.
    detail : str
        Problem type, exception name or unexpected body.
    """

    call: SoakCall
    outcome: CallOutcome
    request_id: str = ""
    status: int = 0
    detail: str = ""


def generate_calls(
    rng: random.Random, count: int, routers: list[str]
) -> list[SoakCall]:
    """Return random calls; each charge has 1 to `MAX_CALLS_PER_KEY` calls."""
    calls: list[SoakCall] = []
    while len(calls) < count:
        kind = rng.choice(list(CallKind))
        echo = f"m{len(calls)}"
        repeats = rng.randint(1, MAX_CALLS_PER_KEY) if kind is CallKind.CHARGE else 1
        for _ in range(repeats):
            is_faulty = rng.random() < FAULT_PROBABILITY
            fault = rng.choice(_FAULTS[kind]) if is_faulty else FaultName.NONE
            disconnects = rng.random() < DISCONNECT_PROBABILITY
            timeout = DISCONNECT_TIMEOUT_SECONDS if disconnects else TIMEOUT_SECONDS
            calls.append(SoakCall(kind, echo, rng.choice(routers), fault, timeout))
    return calls[:count]


class SoakClient:
    """Sends calls and classifies the responses by their content."""

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(retries=False, maxsize=100)

    def send(self, call: SoakCall) -> SoakRecord:
        """Send a call and return its outcome."""
        path = "/charge" if call.kind is CallKind.CHARGE else "/generate"
        body = {"stream": call.kind is CallKind.STREAM}
        headers = {
            "Authorization": f"Bearer {KEY}",
            "X-Echo": call.echo,
            "X-Fault": call.fault.value,
        }
        if call.kind is CallKind.CHARGE:
            headers["Idempotency-Key"] = call.echo
        try:
            res = self._http.request(
                "POST",
                f"{call.router_url}/v1/{SERVICE}{path}",
                body=json.dumps(body),
                headers=headers,
                timeout=call.timeout_seconds,
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return SoakRecord(call, CallOutcome.BROKEN, detail=type(exc).__name__)
        return _record(call, res)


def _record(call: SoakCall, res: urllib3.BaseHTTPResponse) -> SoakRecord:
    request_id = res.headers.get("Oleander-Request-Id", "")
    run = res.headers.get("Oleander-Run", "")
    outcome, detail = CallOutcome.COMPLETE, ""
    if res.status != 200:
        outcome, detail = CallOutcome(run), _problem_type(res.data)
    elif not _has_expected_body(call, res.data):
        outcome, detail = CallOutcome.WRONG, repr(res.data[:400])
    return SoakRecord(call, outcome, request_id, res.status, detail)


def _problem_type(body: bytes) -> str:
    try:
        return str(json.loads(body)["type"]).removeprefix(TYPE_PREFIX)
    except (ValueError, KeyError):
        return "no problem document"


def _has_expected_body(call: SoakCall, body: bytes) -> bool:
    try:
        if call.kind is CallKind.STREAM:
            return _stream_text(body) == _expected_text(call.echo)
        return bool(json.loads(body)["echo"] == call.echo)
    except (ValueError, KeyError, IndexError):
        return False


def _expected_text(echo: str) -> str:
    return "".join(f"{echo}:{index} " for index in range(EVENT_COUNT))


def _stream_text(body: bytes) -> str:
    events = [part.split(b"data: ")[1] for part in body.strip().split(b"\n\n")]
    if events[-1] != b"[DONE]":
        return ""
    return "".join(json.loads(event)["text"] for event in events[:-2])
