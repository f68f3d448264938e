"""Random calls of the soak test, and what their callers saw."""

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
    """What a call asks for."""

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
    """One call.

    Parameters
    ----------
    kind : CallForm
        What it asks for.
    echo : str
        Its own text, which the answer repeats; shared by the calls of one key.
    router_url : str
        Where it goes.
    fault : FaultName
        What the upstream does to it.
    timeout_seconds : float
        Seconds after which its caller hangs up.
    """

    kind: CallKind
    echo: str
    router_url: str
    fault: FaultName
    timeout_seconds: float


class CallOutcome(Enum):
    """What a caller saw."""

    COMPLETE = "whole"
    WRONG = "wrong"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"
    BROKEN = "broken"


@dataclass(frozen=True)
class SoakRecord:
    """A call and what its caller saw.

    Parameters
    ----------
    call : SoakCall
        The call.
    outcome : Seen
        What was seen; `BROKEN` covers no answer and a visibly cut one.
    request_id : str
        The router's id; empty without an answer.
    status : int
        HTTP status; 0 without an answer.
    detail : str
        Reason of a problem, or what was wrong.
    """

    call: SoakCall
    outcome: CallOutcome
    request_id: str = ""
    status: int = 0
    detail: str = ""


def generate_calls(
    rng: random.Random, count: int, routers: list[str]
) -> list[SoakCall]:
    """Return random calls; a charge comes once to `MAX_REPEATS` times."""
    calls: list[SoakCall] = []
    while len(calls) < count:
        form = rng.choice(list(CallKind))
        mark = f"m{len(calls)}"
        repeats = rng.randint(1, MAX_CALLS_PER_KEY) if form is CallKind.CHARGE else 1
        for _ in range(repeats):
            faulty = rng.random() < FAULT_PROBABILITY
            fault = rng.choice(_FAULTS[form]) if faulty else FaultName.NONE
            hangs_up = rng.random() < DISCONNECT_PROBABILITY
            timeout = DISCONNECT_TIMEOUT_SECONDS if hangs_up else TIMEOUT_SECONDS
            calls.append(SoakCall(form, mark, rng.choice(routers), fault, timeout))
    return calls[:count]


class SoakClient:
    """Sends calls and judges the answers by content."""

    def __init__(self) -> None:
        self._http = urllib3.PoolManager(retries=False, maxsize=100)

    def send(self, call: SoakCall) -> SoakRecord:
        """Send a call and return what was seen."""
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
            answer = self._http.request(
                "POST",
                f"{call.router_url}/v1/{SERVICE}{path}",
                body=json.dumps(body),
                headers=headers,
                timeout=call.timeout_seconds,
            )
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            return SoakRecord(call, CallOutcome.BROKEN, detail=type(exc).__name__)
        return _seen(call, answer)


def _seen(call: SoakCall, answer: urllib3.BaseHTTPResponse) -> SoakRecord:
    request = answer.headers.get("Oleander-Request-Id", "")
    run = answer.headers.get("Oleander-Run", "")
    seen, detail = CallOutcome.COMPLETE, ""
    if answer.status != 200:
        seen, detail = CallOutcome(run), _reason(answer.data)
    elif not _is_own(call, answer.data):
        seen, detail = CallOutcome.WRONG, repr(answer.data[:400])
    return SoakRecord(call, seen, request, answer.status, detail)


def _reason(body: bytes) -> str:
    try:
        return str(json.loads(body)["type"]).removeprefix(TYPE_PREFIX)
    except (ValueError, KeyError):
        return "no problem document"


def _is_own(call: SoakCall, body: bytes) -> bool:
    try:
        if call.kind is CallKind.STREAM:
            return _stream_text(body) == _expected_text(call.echo)
        return bool(json.loads(body)["echo"] == call.echo)
    except (ValueError, KeyError, IndexError):
        return False


def _expected_text(mark: str) -> str:
    return "".join(f"{mark}:{index} " for index in range(EVENT_COUNT))


def _stream_text(body: bytes) -> str:
    datas = [part.split(b"data: ")[1] for part in body.strip().split(b"\n\n")]
    if datas[-1] != b"[DONE]":
        return ""
    return "".join(json.loads(data)["text"] for data in datas[:-2])
