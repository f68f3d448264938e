"""What of a request reaches an upstream, and what of an answer reaches a caller."""

from collections.abc import Callable

from oleandershift.directory import Upstream
from oleandershift.exceptions import MalformedRequestError
from oleandershift.io.call import Call
from oleandershift.io.callers import CallerRequest, Headers
from oleandershift.io.clock import remaining
from oleandershift.io.upstreamconn import Exchange, ResponseHead
from oleandershift.platform import headers as names

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
"""Fields that concern one connection only (RFC 9110, 7.6.1), and framing."""

MAX_RESPONSE_BODY_BYTES = 1 << 22
"""Largest plain answer that is held until it is whole."""


def response_matcher(attempt: str) -> Callable[[ResponseHead], bool]:
    """Return what recognises the answer to an attempt on its connection.

    A late answer to an earlier attempt carries that one's id and is skipped. Some
    refusals carry none.
    """
    wanted = attempt.encode("latin-1")

    def is_own(head: ResponseHead) -> bool:
        return head.get(names.ATTEMPT_ID) in (wanted, None)

    return is_own


def proves_not_run(head: ResponseHead) -> bool:
    """Tell whether an answer proves that its request has not run."""
    return head.status == 421 or (
        head.status >= 400 and head.get(names.NOT_RUN) is not None
    )


def is_upstream_response(head: ResponseHead) -> bool:
    """Tell whether an answer can be the upstream's own.

    Requests ask for no content coding, and upstreams sign each success and name the
    attempt.
    """
    if head.get(b"content-encoding") is not None:
        return False
    if head.status >= 300:
        return True
    return None not in (head.get(names.RESPONSE_SEAL), head.get(names.ATTEMPT_ID))


async def read_body(exchange: Exchange) -> bytes:
    """Return an answer's body once it is whole.

    Raises
    ------
    BrokenExchangeError
        When it breaks off.
    MalformedRequestError
        When it is larger than is held for a caller.
    """
    parts = []
    size = 0
    while data := await exchange.read():
        parts.append(data)
        size += len(data)
        if size > MAX_RESPONSE_BODY_BYTES:
            raise MalformedRequestError(
                f"an answer exceeds {MAX_RESPONSE_BODY_BYTES} bytes"
            )
    return b"".join(parts)


def response_headers(head: ResponseHead) -> Headers:
    """Return the fields of an answer that reach its caller."""
    return [item for item in head.headers if item[0] not in HOP_BY_HOP]


def encode_request(call: Call, upstream: Upstream) -> bytes:
    """Return a request as it is sent to an upstream."""
    req = call.req
    dropped = HOP_BY_HOP | names.RESERVED_HEADERS | _named_by_connection(req)
    parts = [b"%b %b HTTP/1.1\r\n" % (req.method, req.target)]
    for name, value in req.headers:
        if name not in dropped and name != names.LAST_EVENT_ID:
            parts.append(b"%b: %b\r\n" % (name, value))
    left = max(1, int(remaining(call.deadline) * 1000))
    parts.append(b"%b: %d\r\n" % (names.DEADLINE, left))
    parts.append(b"%b: %b\r\n" % (names.EXPECT_UPSTREAM, upstream.name.encode()))
    if call.team is not None:
        parts.append(b"%b: %b\r\n" % (names.TEAM, call.team.name.encode()))
    if call.event_stream.last_id:
        parts.append(b"%b: %d\r\n" % (names.LAST_EVENT_ID, call.event_stream.last_id))
    if req.body or req.method not in (b"GET", b"HEAD", b"DELETE"):
        parts.append(b"content-length: %d\r\n" % len(req.body))
    parts.append(b"\r\n")
    parts.append(req.body)
    return b"".join(parts)


def _named_by_connection(req: CallerRequest) -> frozenset[bytes]:
    return frozenset(
        name.strip().lower()
        for key, value in req.headers
        if key == b"connection"
        for name in value.split(b",")
    )
