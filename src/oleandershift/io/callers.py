"""HTTP/1.1 server protocol for callers' connections."""

import asyncio
import functools
import math
from collections import deque
from collections.abc import Callable, Coroutine, Hashable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol, cast

import httptools

from oleandershift.bytebudget import ByteBudget
from oleandershift.io.clock import now
from oleandershift.io.intake import Intake
from oleandershift.io.lingering import end_on_close, reset_on_close
from oleandershift.io.peeking import peek
from oleandershift.overhead import OverheadMeter
from oleandershift.routing import Limits

Headers = list[tuple[bytes, bytes]]

MAX_PIPELINED_REQUESTS = 4
"""Pipelined requests buffered on one connection before it stops reading."""

READ_BYTES = 256 * 1024
"""Largest part that the event loop reads at once. It may end within a request."""

BODY_READ_TIMEOUT_SECONDS = 10.0
"""Longest pause between two parts of a body; callers' deadlines are of this order."""

UNSENT_TIMEOUT_SECONDS = 10.0
"""Longest time for which a closing connection sends nothing of what is left."""

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class CallerRequest:
    """A complete request of a caller.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line, as sent.
    headers : list of tuple
        Header fields in order, names in lower case.
    body : bytes
        Body without transfer coding.
    arrived_at : float
        Clock time in seconds at which the last byte was read.
    keep_alive : bool
        Whether the connection may be reused for another request.
    began_at : float
        Clock time in seconds at which the first byte was read.
    is_body_read : bool
        Whether the body was kept; False if there was no memory for it.
    reads_chunks : bool
        Whether its answer may be sent in chunks; False for HTTP/1.0.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: float
    keep_alive: bool
    began_at: float = 0.0
    is_body_read: bool = True
    reads_chunks: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; None when it is absent or repeated."""
        values = [value for key, value in self.headers if key == name]
        return values[0] if len(values) == 1 else None


class Handler(Protocol):
    """Handles the requests of a server."""

    def limits(self) -> Limits:
        """Return the size limits and timeouts for callers."""

    def should_close(self) -> bool:
        """Return whether connections are closed after the current response."""

    def team_of(self, req: CallerRequest) -> Hashable:
        """Return whose turn a request takes while requests have to wait."""

    def turn_away(self, req: CallerRequest, res: "Responder") -> None:
        """Reject a request that this process has no room for."""

    def handle(self, req: CallerRequest, res: "Responder") -> Coroutine[Any, Any, None]:
        """Handle one request."""


class Responder:
    """Writes the response to one request."""

    def __init__(self, conn: "CallerConnection", req: CallerRequest) -> None:
        self._conn = conn
        self._keep_alive = req.keep_alive
        self._is_head = req.method == b"HEAD"
        self._reads_chunks = req.reads_chunks
        self._chunked = False
        self._ends_by_close = False
        self.started = False
        self.finished = False

    def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response; one to HEAD only names the size of its body."""
        if self.started or self._conn.closed:
            return
        fields = [*headers, (b"content-length", b"%d" % len(body))]
        head = self._head(status, fields)
        self._conn.write(head if self._is_head else head + body)
        self._finish()

    def start(self, status: int, headers: Headers, length: int | None = None) -> None:
        """Write the head of a response whose body follows in parts.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : list of tuple
            Header fields without framing.
        length : int or None
            Length of the body in bytes; a body of unknown length is sent in chunks,
            or ends with the connection. Only `finish` lets that end in good order.
        """
        fields = [*headers]
        if length is not None:
            fields.append((b"content-length", b"%d" % length))
        elif self._reads_chunks:
            self._chunked = True
            fields.append((b"transfer-encoding", b"chunked"))
        else:
            self._ends_by_close, self._keep_alive = True, False
            self._conn.reset_on_close()
        self._conn.write(self._head(status, fields))

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            chunk = b"%x\r\n%b\r\n" % (len(data), data)
            self._conn.write(chunk if self._chunked else data)

    def finish(self) -> None:
        """Mark the body as complete."""
        if self._chunked:
            self._conn.write(b"0\r\n\r\n")
        if self._ends_by_close:
            self._conn.end_when_sent()
        self._finish()

    def caller_has_left(self) -> bool:
        """Return whether nobody waits for the response any more."""
        return self._conn.has_left()

    def abort(self) -> None:
        """Close the connection so that the response looks incomplete."""
        self.finished = True
        self._conn.close()

    async def drain(self) -> None:
        """Wait until the caller has read enough to write more."""
        await self._conn.drain()

    def _head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        if self._conn.handler.should_close():
            self._keep_alive = False
        parts = [
            b"HTTP/1.1 %d %b\r\n" % (status, _REASON_PHRASES.get(status, b"Status"))
        ]
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
class _PartialRequest:
    """A request of which only a part has been read."""

    began_at: float
    target: list[bytes] = field(default_factory=list)
    headers: Headers = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    header_bytes: int = 0
    body_bytes: int = 0
    reserved_bytes: int = 0
    is_body_read: bool = True
    head_complete: bool = False


class CallerConnection(asyncio.Protocol):
    """Connection of one caller; its requests are handled one at a time.

    Parameters
    ----------
    handler : Handler
        Handles the requests.
    open_connections : set
        Contains this connection while it is open.
    intake : Intake
        Decides when a request is begun.
    bodies : ByteBudget
        Bounds the bodies of all callers' requests.
    """

    def __init__(
        self,
        handler: Handler,
        open_connections: set["CallerConnection"],
        intake: Intake,
        bodies: ByteBudget,
    ) -> None:
        self.handler = handler
        self._bodies = bodies
        self._open_connections = open_connections
        self._intake = intake
        self._is_waiting = False
        self._parser = httptools.HttpRequestParser(self)
        self._partial: _PartialRequest | None = None
        self._queue: deque[CallerRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._unsent_timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._is_ending = False
        self._overhead = OverheadMeter(handler.limits().header_bytes + READ_BYTES)
        self.closed = False

    @property
    def idle(self) -> bool:
        """Return whether no request is being read or handled."""
        return not self._is_busy and self._partial is None and not self._queue

    @property
    def _is_http_1_1(self) -> bool:
        """Whether the request has chunks and interim responses."""
        return self._parser.get_http_version() not in ("0.9", "1.0")

    @property
    def _is_busy(self) -> bool:
        """Whether a request waits for its turn or is being handled."""
        return self._is_waiting or self._task is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the idle timeout."""
        self._transport = cast(asyncio.Transport, transport)
        self._open_connections.add(self)
        self._start_timer(self.handler.limits().idle_timeout_ms / 1000)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected."""
        self.closed = True
        self._open_connections.discard(self)
        self._stop_timer()
        if self._unsent_timer is not None:
            self._unsent_timer.cancel()
        self.resume_writing()
        self._discard_partial()
        if self._task is not None:
            self._task.cancel()
        for req in self._queue:
            self._bodies.release(len(req.body))
        self._queue.clear()

    def has_left(self) -> bool:
        """Return whether the caller has disconnected, even if that is not read yet."""
        return self._peek() == b""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is waiting, also an unread one."""
        if self.idle and not self._peek():
            self.close()

    def _peek(self) -> bytes | None:
        """Return the next unread byte, nothing if the caller has left, else None."""
        return b"" if self.closed else peek(self._transport)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed by the caller."""
        return False

    def pause_writing(self) -> None:
        """Make `drain` wait while the caller does not read."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let `drain` return."""
        if self._is_ending and not self.closed:
            end_on_close(self._transport.get_extra_info("socket"))
        waiter, self._writable = self._writable, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def drain(self) -> None:
        """Wait until the caller has read enough to write more."""
        if self._writable is not None:
            await self._writable

    def write(self, data: bytes) -> None:
        """Write bytes unless the connection is closed."""
        if not self.closed:
            self._transport.write(data)

    def reset_on_close(self) -> None:
        """Let the connection end with a reset."""
        if not self._is_closing():
            reset_on_close(self._transport.get_extra_info("socket"))

    def end_when_sent(self) -> None:
        """Let the connection end in good order once all bytes are sent."""
        if self._is_closing():
            return
        self._is_ending = True
        if self._transport.get_write_buffer_size():
            # `resume_writing` is called when nothing is left.
            self._transport.set_write_buffer_limits(0)
        else:
            end_on_close(self._transport.get_extra_info("socket"))

    def close(self) -> None:
        """Close after the write buffer was sent, or if the caller stops reading."""
        if not self.closed:
            self._transport.close()
            if self._unsent_timer is None:
                self._watch_unsent()

    def _watch_unsent(self, previous_bytes: int = 0) -> None:
        """Abort if no byte was sent since the last look, else look again later."""
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes and unsent_bytes == previous_bytes:
            self._transport.abort()
        elif unsent_bytes:
            self._unsent_timer = asyncio.get_running_loop().call_later(
                UNSENT_TIMEOUT_SECONDS, self._watch_unsent, unsent_bytes
            )

    def data_received(self, data: bytes) -> None:
        """Parse bytes from the caller."""
        self._overhead.on_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            self._decline_upgrade(data[exc.args[0] :])
            return
        except httptools.HttpParserError as exc:
            self._reject(400, f"malformed request: {exc}")
            return
        if self._partial is not None and self._overhead.is_exceeded:
            self._reject(431, "the header block or the framing is too large")
            return
        if self._partial is not None and self._partial.head_complete:
            self._start_timer(BODY_READ_TIMEOUT_SECONDS)

    def _decline_upgrade(self, rest: bytes) -> None:
        """Read a request as if it had not offered another protocol.

        The parser ends at the head of a request with an offer. It is given the head
        again without the offer, and then what follows in the connection.
        """
        partial, self._partial = self._partial, None
        if partial is None or self._is_closing():
            return
        if self._parser.get_method() == b"CONNECT":
            self._reject(501, "CONNECT is not supported")
            return
        parts = [
            b"%b %b HTTP/%b\r\n"
            % (
                self._parser.get_method(),
                b"".join(partial.target),
                self._parser.get_http_version().encode(),
            )
        ]
        for name, value in partial.headers:
            if name == b"connection":
                value = _without_upgrade(value)
            if name != b"upgrade":
                parts.append(b"%b: %b\r\n" % (name, value))
        self._parser = httptools.HttpRequestParser(self)
        self._overhead.reset()
        self.data_received(b"".join([*parts, b"\r\n", rest]))

    def on_message_begin(self) -> None:
        """Start a request, and its header timeout unless another one is in progress."""
        self._partial = _PartialRequest(now())
        if not self._is_busy:
            self._start_timer(self.handler.limits().header_timeout_ms / 1000)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        assert self._partial is not None
        self._partial.target.append(url)
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header field."""
        assert self._partial is not None
        self._add_header_bytes(len(name) + len(value) + 4)
        if self._partial is not None and not self._partial.head_complete:
            # A trailer is no header (RFC 9110, 6.5.1).
            self._partial.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Answer `Expect: 100-continue` unless another request is in progress."""
        if self._parser.should_upgrade():
            return
        assert self._partial is not None
        self._partial.head_complete = True
        lengths = [v for k, v in self._partial.headers if k == b"content-length"]
        if lengths:
            # The parser has checked it.
            self._reserve(self._partial, int(lengths[0]))
        expectations = [v for k, v in self._partial.headers if k == b"expect"]
        if (
            expectations
            and expectations[0].lower() == b"100-continue"
            and self._is_http_1_1
            and not self._is_busy
        ):
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        assert self._partial is not None
        self._overhead.on_body(len(body))
        self._partial.body_bytes += len(body)
        if self._partial.body_bytes > self.handler.limits().body_bytes:
            self._reject(413, "the body is too large")
            return
        self._reserve(self._partial, self._partial.body_bytes)
        if self._partial.is_body_read:
            self._partial.body.append(body)

    def _reserve(self, partial: _PartialRequest, size: int) -> None:
        """Reserve memory for a body; let go of the body if there is none."""
        missing = size - partial.reserved_bytes
        if not partial.is_body_read or missing <= 0:
            return
        if self._bodies.try_reserve(missing):
            partial.reserved_bytes = size
            return
        self._bodies.release(partial.reserved_bytes)
        partial.reserved_bytes = 0
        partial.is_body_read = False
        partial.body.clear()

    def _discard_partial(self) -> None:
        if self._partial is not None:
            self._bodies.release(self._partial.reserved_bytes)
            self._partial = None

    def on_message_complete(self) -> None:
        """Queue a complete request, unless it offers another protocol."""
        if self._parser.should_upgrade():
            return
        partial, self._partial = self._partial, None
        self._overhead.reset()
        if partial is None:
            return
        if self.closed:
            self._bodies.release(partial.reserved_bytes)
            return
        self._stop_timer()
        req = CallerRequest(
            method=self._parser.get_method(),
            target=b"".join(partial.target),
            headers=partial.headers,
            body=b"".join(partial.body),
            arrived_at=now(),
            keep_alive=self._parser.should_keep_alive(),
            began_at=partial.began_at,
            is_body_read=partial.is_body_read,
            reads_chunks=self._is_http_1_1,
        )
        self._queue.append(req)
        if not self._is_busy:
            self._start_next()
        elif len(self._queue) >= MAX_PIPELINED_REQUESTS:
            self._reading_paused = True
            self._transport.pause_reading()

    def _start_next(self) -> None:
        if self._reading_paused and len(self._queue) < MAX_PIPELINED_REQUESTS:
            self._reading_paused = False
            self._transport.resume_reading()
        if not self._queue:
            if self._partial is None:
                self._start_timer(self.handler.limits().idle_timeout_ms / 1000)
            return
        req = self._queue.popleft()
        res = Responder(self, req)
        self._is_waiting = True
        begin = functools.partial(self._begin, req, res)
        team_of = functools.partial(self.handler.team_of, req)
        if not req.is_body_read or not self._intake.offer(team_of, begin):
            self._is_waiting = False
            self._bodies.release(len(req.body))
            self.handler.turn_away(req, res)
            self._continue()

    def _begin(self, req: CallerRequest, res: Responder) -> None:
        self._is_waiting = False
        if self._is_closing():
            self._bodies.release(len(req.body))
            return
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self.handler.handle(req, res))
        on_handled = functools.partial(self._on_handled, len(req.body))
        self._task.add_done_callback(on_handled)

    def _on_handled(self, body_bytes: int, task: asyncio.Task[None]) -> None:
        self._bodies.release(body_bytes)
        self._task = None
        self._continue()

    def _continue(self) -> None:
        if not self._is_closing():
            self._start_next()

    def _is_closing(self) -> bool:
        return self.closed or self._transport.is_closing()

    def _add_header_bytes(self, size: int) -> None:
        assert self._partial is not None
        self._partial.header_bytes += size
        if self._partial.header_bytes > self.handler.limits().header_bytes:
            self._reject(431, "the header block is too large")

    def _reject(self, status: int, detail: str) -> None:
        """Send an error unless a response is in progress, and close the connection."""
        if self._is_closing():
            return
        if not self._is_busy:
            body = detail.encode()
            head = b"HTTP/1.1 %d %b\r\nconnection: close\r\ncontent-length: %d\r\n\r\n"
            self.write(head % (status, _REASON_PHRASES[status], len(body)) + body)
        self._discard_partial()
        self.close()

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if self._partial is not None:
            self._reject(408, "the request was not sent in time")
        elif not self._is_busy:
            self.close()


def _without_upgrade(options: bytes) -> bytes:
    """Return the options of a `Connection` header but for `Upgrade`."""
    kept = [item for item in options.split(b",") if item.strip().lower() != b"upgrade"]
    return b",".join(kept)


def protocol_factory(
    handler: Handler,
    open_connections: set[CallerConnection],
    max_body_bytes: float = math.inf,
    intake: Intake | None = None,
) -> Callable[[], CallerConnection]:
    """Return a factory of protocols for accepted connections.

    Parameters
    ----------
    handler : Handler
        Handles the requests.
    open_connections : set
        Contains the connections while they are open.
    max_body_bytes : float
        Limit of the bodies of all requests together.
    intake : Intake or None
        Decides when a request is begun; None for one of these connections' own.
    """
    bodies = ByteBudget(max_body_bytes)
    shared = intake or Intake()
    return lambda: CallerConnection(handler, open_connections, shared, bodies)
