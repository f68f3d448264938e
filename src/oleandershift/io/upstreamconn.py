"""HTTP/1.1 client protocol for connections to upstreams."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

import httptools

from oleandershift.io.callers import Headers
from oleandershift.io.clock import now
from oleandershift.io.lingering import reset_on_close
from oleandershift.io.peeking import peek
from oleandershift.overhead import OverheadMeter
from oleandershift.platform import headers

READ_HIGH_WATER_BYTES = 256 * 1024
"""Buffered response bytes above which the connection stops reading."""

MAX_OVERHEAD_BYTES = 256 * 1024
"""Heads and framing that responses to one request may have, late and interim ones
included; more is allowed for the framing of a large body."""

MAX_HEADER_FIELDS = 256
"""Header fields that a response may have, trailers included. A short one takes forty
times its size in memory."""

MAX_SKIPPED_BYTES = 16 << 20
"""Bodies of late responses to earlier requests that are skipped before a response."""

MAX_EXCHANGES = 1000
"""Exchanges after which a connection is closed; it remembers the id of each."""

_BODILESS_STATUSES = (204, 304)


class FailureCause(Enum):
    """Why an exchange ended without a complete response.

    `GONE` is the end of a connection, and of a response without another end, whose
    upstream is not found any more.
    """

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "garbage"
    ENDLESS = "endless"
    GONE = "gone"


class AnswerEnd(Enum):
    """What stated the end of a complete response.

    Attributes
    ----------
    FRAMING
        Its length or its last chunk, or its status.
    CLOSE
        The end of its connection, which is also how the response of an upstream that
        was killed ends.
    """

    FRAMING = "framing"
    CLOSE = "close"


class BrokenExchangeError(Exception):
    """The connection to an upstream was lost, or received a malformed response.

    Parameters
    ----------
    cause : FailureCause
        How the exchange failed.
    """

    def __init__(self, cause: FailureCause) -> None:
        super().__init__(cause.value)
        self.cause = cause


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response, header names in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the last value of a header; None when it is absent."""
        values = self.get_all(name)
        return values[-1] if values else None

    def get_all(self, name: bytes) -> list[bytes]:
        """Return all values of a header."""
        return [value for key, value in self.headers if key == name]


class Exchange:
    """One request on a connection, and its response.

    Parameters
    ----------
    conn : UpstreamConnection
        Connection that carries the exchange.
    matches : callable
        Returns whether a response belongs to this request.

    Attributes
    ----------
    end : AnswerEnd
        What stated the end of the response, once it is complete.
    ended_at : float
        Clock time in seconds at which that was read.
    """

    def __init__(
        self, conn: "UpstreamConnection", matches: Callable[[ResponseHead], bool]
    ) -> None:
        loop = asyncio.get_running_loop()
        self._conn = conn
        self.matches = matches
        self.head: asyncio.Future[ResponseHead] = loop.create_future()
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False
        self.end = AnswerEnd.FRAMING
        self.ended_at = math.inf
        self._error: BrokenExchangeError | None = None

    async def read(self) -> bytes:
        """Return the next part of the body; empty at its end.

        Raises
        ------
        BrokenExchangeError
            When the connection fails before the end of the body.
        """
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self._ended:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        data = b"".join(self._parts)
        self._parts.clear()
        self._buffered_bytes = 0
        self._conn.resume()
        return data

    def abandon(self) -> None:
        """Close the connection without waiting for the rest of the response."""
        self._conn.close()

    def on_head(self, head: ResponseHead) -> None:
        """Set the head of the response."""
        if not self.head.done():
            self.head.set_result(head)

    def on_data(self, data: bytes) -> None:
        """Buffer a part of the body, and pause reading above the high-water mark."""
        self._parts.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > READ_HIGH_WATER_BYTES:
            self._conn.pause()
        self._wake_reader()

    def on_end(self, end: AnswerEnd) -> None:
        """Mark the response as complete."""
        self._ended = True
        self.end = end
        self.ended_at = now()
        self._wake_reader()

    def on_error(self, error: BrokenExchangeError) -> None:
        """Fail the exchange unless its response is complete."""
        if self._ended:
            return
        self._error = error
        if not self.head.done():
            self.head.set_exception(error)
            self.head.exception()
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """Proof that a connection carries no exchange, so that it may be used again.

    Only `UpstreamConnection.settle` creates it.

    Parameters
    ----------
    conn : UpstreamConnection
        The connection.
    """

    conn: "UpstreamConnection"


class UpstreamConnection(asyncio.Protocol):
    """Connection to an upstream; it carries one exchange at a time.

    Responses that don't match the current request are skipped. Bytes received outside
    an exchange close the connection. After a response without an attempt id it is not
    used again, and such a response to any but the first request breaks the exchange: it
    may be a copy of an earlier one.

    Parameters
    ----------
    on_response : callable
        Called with the head of every response, also interim and late ones, and with the
        time in seconds at which the answered request was sent; None if the response is
        not the final one to the current request. It may be replaced between two
        exchanges.
    """

    def __init__(
        self, on_response: Callable[[ResponseHead, float | None], None]
    ) -> None:
        self.on_response = on_response
        self._sent_at = 0.0
        self._exchange_count = 0
        self.attempt_ids: set[str] = set()
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._headers: Headers = []
        self._header_count = 0
        self._has_framing = False
        self._skipping = False
        self._in_body = False
        self._expects_body = True
        self._paused = False
        self._overhead = OverheadMeter(MAX_OVERHEAD_BYTES)
        self._skipped_bytes = 0
        self.idle_since = now()
        self.idle_timeout_s: float | None = None
        self.reusable = True
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def send(
        self,
        data: bytes,
        matches: Callable[[ResponseHead], bool],
        expects_body: bool = True,
    ) -> Exchange:
        """Send a complete request.

        Parameters
        ----------
        data : bytes
            Head and body of the request.
        matches : callable
            Returns whether a response belongs to this request.
        expects_body : bool
            Whether the response may have a body; False for a HEAD request.
        """
        self._expects_body = expects_body
        exchange = Exchange(self, matches)
        if self.closed:
            exchange.on_error(BrokenExchangeError(FailureCause.CLOSED))
            return exchange
        self._exchange = exchange
        self._overhead.reset()
        self._skipped_bytes = 0
        self._sent_at = now()
        self._exchange_count += 1
        if self._exchange_count >= MAX_EXCHANGES:
            self.reusable = False
        self._transport.write(data)
        return exchange

    def settle(self) -> IdleConnection | None:
        """End the use of the connection for an exchange.

        Returns
        -------
        IdleConnection or None
            None if the connection can't be used again. It is closed then: the end of
            the response was not read, or the upstream announced that it closes.
        """
        is_idle = self._exchange is None and not self._paused
        if is_idle and self.reusable and not self.closed:
            return IdleConnection(self)
        self.close()
        return None

    def is_quiet(self) -> bool:
        """Return whether nothing is unread: no bytes behind a response and no close."""
        return not self.closed and peek(self._transport) is None

    def close(self) -> None:
        """Close immediately; during an exchange, reset to discard unsent bytes."""
        self.reusable = False
        if self._exchange is not None:
            # After an ordinary close, the kernel would keep sending a request that a
            # slow link holds up, long after its caller disconnected.
            reset_on_close(self._transport.get_extra_info("socket"))
        self._transport.abort()

    def pause(self) -> None:
        """Pause reading."""
        if not self._paused and not self.closed:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self._paused and not self.closed:
            self._paused = False
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the upstream."""
        if self._exchange is None:
            self.close()
            return
        self._overhead.on_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(FailureCause.MALFORMED)
            return
        if (
            self._overhead.is_exceeded
            or self._has_too_many_fields
            or self._skipped_bytes > MAX_SKIPPED_BYTES
        ):
            self._fail(FailureCause.ENDLESS)

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection."""
        if self._in_body and not self._has_framing:
            self._complete(AnswerEnd.CLOSE)
        self.reusable = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange whose response is incomplete."""
        self.closed = True
        self.reusable = False
        self._fail(FailureCause.CLOSED if exc is None else FailureCause.RESET)

    @property
    def _has_too_many_fields(self) -> bool:
        """Whether the current response is given up for its header fields."""
        return self._header_count > MAX_HEADER_FIELDS

    def on_message_begin(self) -> None:
        """Start a response."""
        self._headers = []
        self._header_count = 0
        self._has_framing = False
        if self._exchange is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field."""
        self._header_count += 1
        if self._has_too_many_fields:
            return
        name = name.lower()
        self._headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._has_framing = True

    def on_headers_complete(self) -> None:
        """Pass a final response head to the exchange that it matches."""
        if self._has_too_many_fields:
            return
        head = ResponseHead(self._parser.get_status_code(), self._headers)
        is_final = head.status >= 200 and self._exchange is not None
        is_answer = self._exchange is not None and self._exchange.matches(head)
        self.on_response(head, self._sent_at if is_final and is_answer else None)
        if head.status < 200 or self._exchange is None:
            return
        self._skipping = not is_answer
        if self._skipping:
            return
        if head.get(headers.ATTEMPT_ID) is None and self._exchange_count > 1:
            self._fail(FailureCause.MALFORMED)
            return
        self._in_body = head.status not in _BODILESS_STATUSES
        self._read_keep_alive(head)
        if head.get(headers.ATTEMPT_ID) is None:
            # A late copy could not be told from the next response.
            self.reusable = False
        self._exchange.on_head(head)
        if not self._expects_body:
            # The parser can't know that the announced body does not follow.
            self.reusable = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the exchange."""
        self._overhead.on_body(len(body))
        if self._skipping:
            self._skipped_bytes += len(body)
        elif self._exchange is not None:
            self._exchange.on_data(body)

    def on_message_complete(self) -> None:
        """Complete the exchange unless the response was skipped or informational."""
        if self._has_too_many_fields:
            return
        if self._parser.get_status_code() < 200 or self._skipping:
            self._skipping = False
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._complete()

    def _complete(self, end: AnswerEnd = AnswerEnd.FRAMING) -> None:
        exchange, self._exchange = self._exchange, None
        self._in_body = False
        self.idle_since = now()
        if exchange is not None:
            if self._transport.get_write_buffer_size():
                self.reusable = False
            exchange.on_end(end)

    def _fail(self, cause: FailureCause) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.on_error(BrokenExchangeError(cause))
        if not self.closed:
            self.close()

    def _read_keep_alive(self, head: ResponseHead) -> None:
        value = head.get(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_timeout_s = float(seconds)
