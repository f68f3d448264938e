"""One call to a router, with a check of the content of the response."""

import time
from collections.abc import Iterator
from enum import Enum

import msgspec
import urllib3

from standins.engine import EngineResponse
from standins.plain import PlainResponse
from standins.stream import TokenEvent, UsageEvent
from standins.workload import WorkItem

READ_TIMEOUT_SECONDS = 40.0
EVENT_PREFIX = "data: "
STREAM_END = "[DONE]"


class Verdict(Enum):
    """Outcome of a call."""

    WHOLE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    WRONG = "wrong"
    PENDING = "pending"


class CallRecord(msgspec.Struct, frozen=True):
    """One call; times are seconds since the Unix epoch.

    Parameters
    ----------
    team, service, kind : str
        Caller's team, service called and kind of request.
    echo : str
        Unique text that the response must repeat.
    tokens : int
        Cost requested.
    router : str
        URL of the router that was called.
    sent, first_byte, finished : float
        Timestamps; `first_byte` is 0 when there was no response.
    status : int
        HTTP status; 0 when there was no response.
    run : str
        `Oleander-Run` of the response.
    request : str
        `Oleander-Request-Id` of the response.
    verdict : Verdict
        `REFUSED` is an error response with `Oleander-Run: not-run`, `FAILED` one
        without it, `BROKEN` a connection error, a timeout or a response that ended
        early, `WRONG` a response with unexpected content, and `PENDING` a call without
        a response so far.
    detail : str
        Reason for a verdict other than `WHOLE`.
    retry_after : float
        Seconds of the `Retry-After` header; 0 when there was none.
    """

    team: str
    service: str
    kind: str
    echo: str
    tokens: int
    router: str
    sent: float
    first_byte: float
    finished: float
    status: int
    run: str
    request: str
    verdict: Verdict
    detail: str = ""
    retry_after: float = 0.0


def pending_record(item: WorkItem, sent: float) -> CallRecord:
    """Return the record of a call that has no response so far."""
    return CallRecord(
        team=item.team.name,
        service=item.service,
        kind=item.kind.value,
        echo=item.echo,
        tokens=item.tokens,
        router=item.router,
        sent=sent,
        first_byte=0.0,
        finished=0.0,
        status=0,
        run="",
        request="",
        verdict=Verdict.PENDING,
    )


class WrongResponseError(Exception):
    """A response does not have the expected content."""


class Caller:
    """Sends requests over a pool of persistent connections.

    Parameters
    ----------
    timeout_seconds : float
        Timeout of connecting and of each read.
    """

    def __init__(self, timeout_seconds: float = READ_TIMEOUT_SECONDS) -> None:
        self._http = urllib3.PoolManager(retries=False, timeout=timeout_seconds)

    def call(self, item: WorkItem) -> CallRecord:
        """Send a request, check the response and return the record of the call."""
        record = pending_record(item, time.time())
        try:
            response = self._send(item)
            record = msgspec.structs.replace(
                record,
                first_byte=time.time(),
                status=response.status,
                run=response.headers.get("Oleander-Run", ""),
                request=response.headers.get("Oleander-Request-Id", ""),
                retry_after=_parse_seconds(response.headers.get("Retry-After", "")),
            )
            verdict, detail = _check_response(item, response, record.run)
        except WrongResponseError as exc:
            verdict, detail = Verdict.WRONG, str(exc)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            verdict, detail = Verdict.BROKEN, f"{type(exc).__name__}: {exc}"
        return msgspec.structs.replace(
            record, finished=time.time(), verdict=verdict, detail=detail
        )

    def close(self) -> None:
        """Close the pooled connections."""
        self._http.clear()

    def _send(self, item: WorkItem) -> urllib3.BaseHTTPResponse:
        headers = {
            "Authorization": f"Bearer {item.team.key}",
            "Oleander-Kind": item.kind.value,
        }
        if item.hint is not None:
            headers["Oleander-Cost-Hint"] = f"{item.hint:.1f}"
        if item.idempotency_key is not None:
            headers["Idempotency-Key"] = item.idempotency_key
        return self._http.request(
            item.method,
            f"{item.router}/v1/{item.service}{item.path}",
            headers=headers,
            json={
                "max_tokens": item.tokens,
                "stream": item.stream,
                "echo": item.echo,
                "kind": item.kind.value,
            },
            preload_content=False,
        )


def _parse_seconds(header: str) -> float:
    try:
        return float(header)
    except ValueError:
        return 0.0


def _check_response(
    item: WorkItem, response: urllib3.BaseHTTPResponse, run: str
) -> tuple[Verdict, str]:
    if response.status != 200:
        detail = response.read().decode(errors="replace")[:300]
        refused = run == "not-run"
        return (Verdict.REFUSED if refused else Verdict.FAILED), detail
    try:
        if item.stream:
            _check_stream(item, response)
        else:
            _check_body(item, response.read())
    except msgspec.DecodeError as exc:
        raise WrongResponseError(str(exc)) from exc
    return Verdict.WHOLE, ""


def _check_body(item: WorkItem, body: bytes) -> None:
    if item.path == "/generate":
        engine_response = msgspec.json.decode(body, type=EngineResponse)
        _expect(engine_response.text, f"{item.echo}:0 ")
    else:
        plain_response = msgspec.json.decode(body, type=PlainResponse)
        _expect(plain_response.method, item.method)
        _expect(plain_response.path.endswith(item.path), True)
    response = msgspec.json.decode(body, type=_CommonFields)
    _expect(response.echo, item.echo)
    _expect(response.tokens, item.tokens)


class _CommonFields(msgspec.Struct):
    echo: str
    tokens: int


def _check_stream(item: WorkItem, response: urllib3.BaseHTTPResponse) -> None:
    tokens = 0
    events = list(_read_events(response))
    if events[-1:] != [STREAM_END]:
        raise WrongResponseError("the stream has no end marker")
    for index, text in enumerate(events[:-2]):
        event = msgspec.json.decode(text, type=TokenEvent)
        _expect(event.index, index)
        _expect(event.text, f"{item.echo}:{index} ")
        tokens += event.tokens
    usage = msgspec.json.decode(events[-2], type=UsageEvent).usage
    _expect(usage.total_tokens, item.tokens)
    _expect(tokens, item.tokens)


def _read_events(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    body = b"".join(response.stream()).decode()
    for line in body.split("\n"):
        if line.startswith(EVENT_PREFIX):
            yield line.removeprefix(EVENT_PREFIX)


def _expect(actual: object, expected: object) -> None:
    if actual != expected:
        raise WrongResponseError(f"got {actual!r}, expected {expected!r}")
