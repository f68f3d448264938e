"""HTTP connections to upstreams, on an event loop."""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

import httptools

from oleandershift.io.callers import Headers
from oleandershift.io.clock import now

READ_HIGH_WATER_BYTES = 256 * 1024
"""Answer bytes held for a caller before the upstream is made to wait."""

_BODILESS = (204, 304)

_RESET = struct.pack("ii", 1, 0)
"""Linger for no time: the connection is reset. Closed otherwise, the kernel would go on
to send a request that a link holds up, long after its caller left."""


class FailureCause(Enum):
    """Why an exchange ended without a whole answer."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "garbage"


class BrokenExchangeError(Exception):
    """An upstream's connection ended, or sent bytes that are no answer.

    Parameters
    ----------
    cause : Cause
        What happened.
    """

    def __init__(self, cause: FailureCause) -> None:
        super().__init__(cause.value)
        self.cause = cause


@dataclass(slots=True)
class ResponseHead:
    """Status and fields of an answer, names in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Return the last field of a name."""
        found = None
        for key, value in self.headers:
            if key == name:
                found = value
        return found


class Exchange:
    """The answer to one request."""

    def __init__(
        self, conn: "UpstreamConnection", is_own: Callable[[ResponseHead], bool]
    ) -> None:
        loop = asyncio.get_running_loop()
        self._conn = conn
        self.matches = is_own
        self.head: asyncio.Future[ResponseHead] = loop.create_future()
        self._parts: deque[bytes] = deque()
        self._held = 0
        self._wake: asyncio.Future[None] | None = None
        self._ended = False
        self._error: BrokenExchangeError | None = None

    async def read(self) -> bytes:
        """Return the next part of the body; empty at its end.

        Raises
        ------
        BrokenExchangeError
            When the answer breaks off.
        """
        while not self._parts:
            if self._error is not None:
                raise self._error
            if self._ended:
                return b""
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake
        data = b"".join(self._parts)
        self._parts.clear()
        self._held = 0
        self._conn.resume()
        return data

    def abandon(self) -> None:
        """Close the connection before the answer's end."""
        self._conn.close()

    def on_head(self, head: ResponseHead) -> None:
        """Take the answer's head."""
        if not self.head.done():
            self.head.set_result(head)

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(data)
        self._held += len(data)
        if self._held > READ_HIGH_WATER_BYTES:
            self._conn.pause()
        self._notify()

    def on_end(self) -> None:
        """Take the end of a whole answer."""
        self._ended = True
        self._notify()

    def on_error(self, error: BrokenExchangeError) -> None:
        """Take the failure of the connection."""
        if self._ended:
            return
        self._error = error
        if not self.head.done():
            self.head.set_exception(error)
            self.head.exception()
        self._notify()

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream; it carries one exchange at a time.

    Answers that belong to no request are skipped, and bytes outside an exchange end
    the connection.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._headers: Headers = []
        self._framed = False
        self._skipping = False
        self._in_body = False
        self._paused = False
        self.exchange_count = 0
        self.idle_since = now()
        self.idle_timeout_s: float | None = None
        self.reusable = True
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        self._transport = cast(asyncio.Transport, transport)

    def send(self, data: bytes, matches: Callable[[ResponseHead], bool]) -> Exchange:
        """Send a whole request.

        Parameters
        ----------
        data : bytes
            Head and body.
        matches : callable
            Tells whether an answer belongs to this request.
        """
        self.exchange_count += 1
        exchange = Exchange(self, matches)
        if self.closed:
            exchange.on_error(BrokenExchangeError(FailureCause.CLOSED))
            return exchange
        self._exchange = exchange
        self._transport.write(data)
        return exchange

    def close(self) -> None:
        """Close at once; a request under way is dropped, wherever its bytes are."""
        self.reusable = False
        if self._exchange is not None:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._transport.abort()

    def pause(self) -> None:
        """Stop reading."""
        if not self._paused and not self.closed:
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Go on reading."""
        if self._paused and not self.closed:
            self._paused = False
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse an upstream's bytes."""
        if self._exchange is None:
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(FailureCause.MALFORMED)

    def eof_received(self) -> bool:
        """Take the end of the upstream's bytes."""
        if self._in_body and not self._framed:
            self._end()
        self.reusable = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that has no whole answer."""
        self.closed = True
        self.reusable = False
        self._fail(FailureCause.CLOSED if exc is None else FailureCause.RESET)

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = []
        self._framed = False
        if self._exchange is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field."""
        name = name.lower()
        self._headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self._framed = True

    def on_headers_complete(self) -> None:
        """Take the end of the fields."""
        head = ResponseHead(self._parser.get_status_code(), self._headers)
        if head.status < 200 or self._exchange is None:
            return
        self._skipping = not self._exchange.matches(head)
        if self._skipping:
            return
        self._in_body = head.status not in _BODILESS
        self._note_keep_alive(head)
        self._exchange.on_head(head)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self._exchange is not None and not self._skipping:
            self._exchange.on_data(body)

    def on_message_complete(self) -> None:
        """Take the end of an answer."""
        if self._parser.get_status_code() < 200 or self._skipping:
            self._skipping = False
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._end()

    def _end(self) -> None:
        exchange, self._exchange = self._exchange, None
        self._in_body = False
        self.idle_since = now()
        if exchange is not None:
            if self._transport.get_write_buffer_size():
                self.reusable = False
            exchange.on_end()

    def _fail(self, cause: FailureCause) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.on_error(BrokenExchangeError(cause))
        if not self.closed:
            self.close()

    def _note_keep_alive(self, head: ResponseHead) -> None:
        value = head.get(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_timeout_s = float(seconds)
