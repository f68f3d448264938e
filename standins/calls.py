"""One call of a router, and the check of its answer by content."""

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
    """What became of a call."""

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
        Whose and what.
    echo : str
        Its unique text.
    tokens : int
        Cost asked for.
    router : str
        Where it entered.
    sent, first_byte, finished : float
        When; `first_byte` is 0 when there was no answer.
    status : int
        HTTP status; 0 when there was no answer.
    run : str
        `Oleander-Run` of the answer.
    request : str
        `Oleander-Request-Id` of the answer.
    verdict : Verdict
        `FAILED` is a problem document that does not say `not-run`; `BROKEN` an answer
        that ended early; `WRONG` one with other content; `PENDING` none as yet.
    detail : str
        What was wrong.
    retry_after : float
        Seconds after which the router asks to come back.
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
    """Return the record of a call that has no answer yet."""
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
    """An answer does not have the content that was asked for."""


class Caller:
    """Sends requests over kept connections.

    Parameters
    ----------
    timeout_seconds : float
        Longest silence.
    """

    def __init__(self, timeout_seconds: float = READ_TIMEOUT_SECONDS) -> None:
        self._http = urllib3.PoolManager(retries=False, timeout=timeout_seconds)

    def call(self, item: WorkItem) -> CallRecord:
        """Send a request and check the answer."""
        record = pending_record(item, time.time())
        try:
            answer = self._send(item)
            record = msgspec.structs.replace(
                record,
                first_byte=time.time(),
                status=answer.status,
                run=answer.headers.get("Oleander-Run", ""),
                request=answer.headers.get("Oleander-Request-Id", ""),
                retry_after=_seconds(answer.headers.get("Retry-After", "")),
            )
            verdict, detail = _judge(item, answer, record.run)
        except WrongResponseError as exc:
            verdict, detail = Verdict.WRONG, str(exc)
        except (urllib3.exceptions.HTTPError, OSError) as exc:
            verdict, detail = Verdict.BROKEN, f"{type(exc).__name__}: {exc}"
        return msgspec.structs.replace(
            record, finished=time.time(), verdict=verdict, detail=detail
        )

    def close(self) -> None:
        """Close the connections."""
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


def _seconds(field: str) -> float:
    try:
        return float(field)
    except ValueError:
        return 0.0


def _judge(
    item: WorkItem, answer: urllib3.BaseHTTPResponse, run: str
) -> tuple[Verdict, str]:
    if answer.status != 200:
        detail = answer.read().decode(errors="replace")[:300]
        refused = run == "not-run"
        return (Verdict.REFUSED if refused else Verdict.FAILED), detail
    try:
        if item.stream:
            _check_stream(item, answer)
        else:
            _check_whole(item, answer.read())
    except msgspec.DecodeError as exc:
        raise WrongResponseError(str(exc)) from exc
    return Verdict.WHOLE, ""


def _check_whole(item: WorkItem, body: bytes) -> None:
    if item.path == "/generate":
        made = msgspec.json.decode(body, type=EngineResponse)
        _expect(made.text, f"{item.echo}:0 ")
    else:
        done = msgspec.json.decode(body, type=PlainResponse)
        _expect(done.method, item.method)
        _expect(done.path.endswith(item.path), True)
    answer = msgspec.json.decode(body, type=_Common)
    _expect(answer.echo, item.echo)
    _expect(answer.tokens, item.tokens)


class _Common(msgspec.Struct):
    echo: str
    tokens: int


def _check_stream(item: WorkItem, answer: urllib3.BaseHTTPResponse) -> None:
    tokens = 0
    events = list(_events(answer))
    if events[-1:] != [STREAM_END]:
        raise WrongResponseError("the stream has no end")
    for index, text in enumerate(events[:-2]):
        event = msgspec.json.decode(text, type=TokenEvent)
        _expect(event.index, index)
        _expect(event.text, f"{item.echo}:{index} ")
        tokens += event.tokens
    usage = msgspec.json.decode(events[-2], type=UsageEvent).usage
    _expect(usage.total_tokens, item.tokens)
    _expect(tokens, item.tokens)


def _events(answer: urllib3.BaseHTTPResponse) -> Iterator[str]:
    body = b"".join(answer.stream()).decode()
    for line in body.split("\n"):
        if line.startswith(EVENT_PREFIX):
            yield line.removeprefix(EVENT_PREFIX)


def _expect(found: object, wanted: object) -> None:
    if found != wanted:
        raise WrongResponseError(f"{found!r} instead of {wanted!r}")
