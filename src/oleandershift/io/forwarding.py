"""Translates messages between callers and upstreams."""

from collections.abc import Callable
from dataclasses import dataclass

from oleandershift.directory import Upstream
from oleandershift.io.call import Call
from oleandershift.io.callers import CallerRequest, Headers
from oleandershift.io.clock import remaining
from oleandershift.io.upstreamconn import Exchange, ResponseHead
from oleandershift.platform import headers

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Header fields that apply to one connection only (RFC 9110, 7.6.1), and framing."""

MAX_BUFFERED_BODY_BYTES = 1 << 20
"""Part of a response that is buffered before it is passed on. A response that breaks
within it can still be replaced by that of another upstream."""


def response_matcher(attempt_id: str) -> Callable[[ResponseHead], bool]:
    """Return a predicate that recognises the response to an attempt.

    A late response to an earlier attempt on the same connection carries the id of that
    attempt and is skipped. Some rejections carry no id.
    """
    expected = attempt_id.encode("latin-1")

    def matches(head: ResponseHead) -> bool:
        return head.get(headers.ATTEMPT_ID) in (expected, None)

    return matches


def proves_not_run(head: ResponseHead) -> bool:
    """Return whether a response proves that the request was not executed."""
    return head.status == 421 or (
        head.status >= 400 and head.get(headers.NOT_RUN) is not None
    )


def is_upstream_response(head: ResponseHead) -> bool:
    """Return whether a response can have been sent by the upstream itself.

    Requests ask for no content coding. An upstream adds a response seal and the attempt
    id to each successful response.
    """
    if head.get(b"content-encoding") is not None:
        return False
    if head.status >= 300:
        return True
    return None not in (head.get(headers.RESPONSE_SEAL), head.get(headers.ATTEMPT_ID))


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response may be a series of events, by its content type."""
    content_type = head.get(b"content-type")
    return content_type is None or content_type.strip().lower().startswith(
        b"text/event-stream"
    )


@dataclass(frozen=True, slots=True)
class BodyStart:
    """Start of a response body.

    Parameters
    ----------
    data : bytes
        The first bytes.
    is_whole : bool
        Whether they are the whole body.
    """

    data: bytes
    is_whole: bool


async def read_body_start(exchange: Exchange) -> BodyStart:
    """Read a response body up to its end or a little over the buffer limit.

    Raises
    ------
    BrokenExchangeError
        When the connection fails before that.
    """
    parts: list[bytes] = []
    size = 0
    while size <= MAX_BUFFERED_BODY_BYTES:
        data = await exchange.read()
        if not data:
            return BodyStart(b"".join(parts), is_whole=True)
        parts.append(data)
        size += len(data)
    return BodyStart(b"".join(parts), is_whole=False)


def declared_length(head: ResponseHead) -> int | None:
    """Return the length of a response body in bytes; None if it is not declared."""
    value = head.get(b"content-length")
    if value is None or head.get(b"transfer-encoding") is not None:
        return None
    return int(value)


def response_headers(head: ResponseHead) -> Headers:
    """Return the response headers that are forwarded to the caller."""
    return [item for item in head.headers if item[0] not in HOP_BY_HOP]


def encode_request(call: Call, upstream: Upstream) -> bytes:
    """Encode a request for an upstream, with the headers that the system adds."""
    req = call.req
    excluded = HOP_BY_HOP | headers.RESERVED_HEADERS | _connection_options(req)
    parts = [b"%b %b HTTP/1.1\r\n" % (req.method, req.target)]
    for name, value in req.headers:
        if name not in excluded and name != headers.LAST_EVENT_ID:
            parts.append(b"%b: %b\r\n" % (name, value))
    remaining_ms = max(1, int(remaining(call.answers_until) * 1000))
    parts.append(b"%b: %d\r\n" % (headers.DEADLINE, remaining_ms))
    parts.append(b"%b: %b\r\n" % (headers.EXPECT_UPSTREAM, upstream.name.encode()))
    if call.team is not None:
        parts.append(b"%b: %b\r\n" % (headers.TEAM, call.team.name.encode()))
    last_id = call.event_stream.last_id
    if last_id is not None:
        parts.append(b"%b: %d\r\n" % (headers.LAST_EVENT_ID, last_id))
    if req.body or req.method not in (b"GET", b"HEAD", b"DELETE"):
        parts.append(b"content-length: %d\r\n" % len(req.body))
    parts.append(b"\r\n")
    parts.append(req.body)
    return b"".join(parts)


def _connection_options(req: CallerRequest) -> frozenset[bytes]:
    return frozenset(
        name.strip().lower()
        for key, value in req.headers
        if key == b"connection"
        for name in value.split(b",")
    )
