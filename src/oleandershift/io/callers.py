"""Callers' HTTP connections, on an event loop."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol, cast

import httptools

from oleandershift.io.clock import now
from oleandershift.routing import Limits

Headers = list[tuple[bytes, bytes]]

MAX_PIPELINED_REQUESTS = 4
"""Requests of one connection that are read ahead of their turn."""

BODY_READ_TIMEOUT_SECONDS = 10.0
"""Longest pause within a body; callers' own deadlines are of this order."""

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class CallerRequest:
    """A caller's whole request.

    Parameters
    ----------
    method, target : bytes
        As sent.
    headers : list of tuple
        Fields in order, names in lower case.
    body : bytes
        Without transfer coding.
    arrived_at : float
        When its last byte was read.
    keep_alive : bool
        Whether the caller wants to use the connection again.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: float
    keep_alive: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the only field of this name; None when absent or repeated."""
        found = [value for key, value in self.headers if key == name]
        return found[0] if len(found) == 1 else None


class Handler(Protocol):
    """Answers requests."""

    def limits(self) -> Limits:
        """Return the bounds for callers now in force."""

    def should_close(self) -> bool:
        """Tell whether connections are to be closed after their answer."""

    def handle(self, req: CallerRequest, res: "Responder") -> Coroutine[Any, Any, None]:
        """Answer a request."""


class Responder:
    """Writes the answer of one request."""

    def __init__(self, conn: "CallerConnection", req: CallerRequest) -> None:
        self._conn = conn
        self._keep_alive = req.keep_alive
        self._chunked = False
        self.started = False
        self.finished = False

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""
        if self.started or self._conn.closed:
            return
        fields = [*headers, (b"content-length", b"%d" % len(body))]
        self._conn.write(self._head(status, fields) + body)
        self._finish()

    def start(self, status: int, headers: Headers) -> None:
        """Write the head of an answer whose length is not known."""
        self._chunked = True
        fields = [*headers, (b"transfer-encoding", b"chunked")]
        self._conn.write(self._head(status, fields))

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            self._conn.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """End a body of unknown length as complete."""
        self._conn.write(b"0\r\n\r\n")
        self._finish()

    def abort(self) -> None:
        """Close the connection, so that what was sent does not look complete."""
        self.finished = True
        self._conn.close()

    async def drain(self) -> None:
        """Wait until the caller takes more."""
        await self._conn.drain()

    def _head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        if self._conn.handler.should_close():
            self._keep_alive = False
        parts = [b"HTTP/1.1 %d %b\r\n" % (status, _REASONS.get(status, b"Status"))]
        parts.extend(b"%b: %b\r\n" % field for field in headers)
        if not self._keep_alive:
            parts.append(b"connection: close\r\n")
        parts.append(b"\r\n")
        return b"".join(parts)

    def _finish(self) -> None:
        self.finished = True
        if not self._keep_alive:
            self._conn.close()


@dataclass(slots=True)
class _Reading:
    """The request that is being read."""

    target: list[bytes] = field(default_factory=list)
    headers: Headers = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    header_bytes: int = 0
    body_bytes: int = 0
    whole_head: bool = False


class CallerConnection(asyncio.Protocol):
    """One caller's connection; answers its requests one after the other.

    Parameters
    ----------
    handler : Handler
        Answers requests.
    registry : set
        Holds the open connections.
    """

    def __init__(self, handler: Handler, registry: set["CallerConnection"]) -> None:
        self.handler = handler
        self._registry = registry
        self._parser = httptools.HttpRequestParser(self)
        self._reading: _Reading | None = None
        self._queue: deque[CallerRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._paused = False
        self.closed = False

    @property
    def idle(self) -> bool:
        """Tell whether no request is read or answered."""
        return self._task is None and self._reading is None and not self._queue

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._registry.add(self)
        self._arm(self.handler.limits().idle_timeout_ms / 1000)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the work for a caller that has left."""
        self.closed = True
        self._registry.discard(self)
        self._disarm()
        self.resume_writing()
        if self._task is not None:
            self._task.cancel()
        self._queue.clear()

    def eof_received(self) -> bool:
        """Take the end of the caller's bytes as its leaving."""
        return False

    def pause_writing(self) -> None:
        """Hold answers back while the caller does not read."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let answers go on."""
        waiter, self._writable = self._writable, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def drain(self) -> None:
        """Wait until the caller takes more."""
        if self._writable is not None:
            await self._writable

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closed."""
        if not self.closed:
            self._transport.write(data)

    def close(self) -> None:
        """Close once everything written is sent."""
        if not self.closed:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse a caller's bytes."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass
        except httptools.HttpParserError as exc:
            self._reject(400, f"malformed request: {exc}")
            return
        if self._reading is not None and self._reading.whole_head:
            self._arm(BODY_READ_TIMEOUT_SECONDS)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._reading = _Reading()
        if self._task is None:
            self._arm(self.handler.limits().header_timeout_ms / 1000)

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        assert self._reading is not None
        self._reading.target.append(url)
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field."""
        assert self._reading is not None
        self._reading.headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Take the end of the fields."""
        assert self._reading is not None
        self._reading.whole_head = True
        wants = [v for k, v in self._reading.headers if k == b"expect"]
        if wants and wants[0].lower() == b"100-continue" and self._task is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        assert self._reading is not None
        self._reading.body_bytes += len(body)
        if self._reading.body_bytes > self.handler.limits().body_bytes:
            self._reject(413, "the body is too large")
            return
        self._reading.body.append(body)

    def on_message_complete(self) -> None:
        """Take the end of a request."""
        reading, self._reading = self._reading, None
        if reading is None or self.closed:
            return
        self._disarm()
        req = CallerRequest(
            method=self._parser.get_method(),
            target=b"".join(reading.target),
            headers=reading.headers,
            body=b"".join(reading.body),
            arrived_at=now(),
            keep_alive=self._parser.should_keep_alive(),
        )
        self._queue.append(req)
        if self._task is None:
            self._next()
        elif len(self._queue) >= MAX_PIPELINED_REQUESTS:
            self._paused = True
            self._transport.pause_reading()

    def _next(self) -> None:
        if self._paused and len(self._queue) < MAX_PIPELINED_REQUESTS:
            self._paused = False
            self._transport.resume_reading()
        if not self._queue:
            if self._reading is None:
                self._arm(self.handler.limits().idle_timeout_ms / 1000)
            return
        req = self._queue.popleft()
        res = Responder(self, req)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self.handler.handle(req, res))
        self._task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._task = None
        if not self.closed and not self._transport.is_closing():
            self._next()

    def _count_head(self, size: int) -> None:
        assert self._reading is not None
        self._reading.header_bytes += size
        if self._reading.header_bytes > self.handler.limits().header_bytes:
            self._reject(431, "the header block is too large")

    def _reject(self, status: int, detail: str) -> None:
        """Answer a request that can't be read, and close."""
        if self.closed or self._transport.is_closing():
            return
        if self._task is None:
            body = detail.encode()
            head = b"HTTP/1.1 %d %b\r\nconnection: close\r\ncontent-length: %d\r\n\r\n"
            self.write(head % (status, _REASONS[status], len(body)) + body)
        self._reading = None
        self.close()

    def _arm(self, seconds: float) -> None:
        self._disarm()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._expire)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _expire(self) -> None:
        self._timer = None
        if self._reading is not None:
            self._reject(408, "the request was not sent in time")
        elif self._task is None:
            self.close()


def protocol_factory(
    handler: Handler, registry: set[CallerConnection]
) -> Callable[[], CallerConnection]:
    """Return what makes the protocol of each accepted connection."""
    return lambda: CallerConnection(handler, registry)
