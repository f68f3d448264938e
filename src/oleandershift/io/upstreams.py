"""Connections to upstreams and attempts of requests on them, with urllib3."""

import http.client
import io
import socket
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum
from urllib.parse import urlsplit

from urllib3 import exceptions
from urllib3.connection import HTTPConnection
from urllib3.response import BaseHTTPResponse
from urllib3.util.connection import is_connection_dropped

from oleandershift.calls import HOP_BY_HOP_HEADERS, Call
from oleandershift.lifecycle import Fault

REQUEST_ID_HEADER = "Oleander-Request-Id"
COST_HEADER = "Oleander-Cost"
MAX_IDLE_CONNECTIONS_PER_UPSTREAM = 16

CANCEL_THREADS = 2
CANCEL_TIMEOUT_SECONDS = 2.0
RELAY_CHUNK_BYTES = 64 * 1024
MAX_BUFFERED_BODY_BYTES = 1 << 20
_BODILESS_STATUSES = frozenset((204, 304))
_DROPPED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS | {
    "content-length",
    "date",
    "server",
    "oleander-request-id",
}

_CONNECTION_ERRORS = (OSError, http.client.HTTPException, exceptions.HTTPError)


class AttemptError(Exception):
    """An attempt failed.

    Parameters
    ----------
    fault : Fault
        Cause of the failure.
    """

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class RelayMode(Enum):
    """How a response body is relayed, chosen by its media type, framing and length."""

    BUFFERED = "whole"
    STREAMED = "bytes"
    EVENT_STREAM = "events"


@dataclass(frozen=True)
class UpstreamResponseHead:
    """Status and headers of an upstream's response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of pair
        Headers to pass on to the caller.
    relay_mode : RelayMode
        How to relay the body.
    content_length : int or None
        Length of the body in bytes, None if unknown.
    cost : float
        Cost in tokens; 0 if the headers don't state it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    relay_mode: RelayMode
    content_length: int | None
    cost: float


def _classify_error(exc: Exception) -> Fault:
    if isinstance(exc, TimeoutError | exceptions.TimeoutError):
        return Fault.TIMEOUT
    if isinstance(exc, http.client.IncompleteRead | exceptions.IncompleteRead):
        return Fault.TRUNCATED
    return Fault.CONNECTION_LOST


class _LineReader(io.BufferedReader):
    """Reader of a response that takes no end of the connection for that of a line.

    `http.client` and urllib3 do, so that a head, the length of a chunk or a trailer
    could be cut off unnoticed.
    """

    _has_begun = False

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line; nothing if the connection ends before the first."""
        line = super().readline(size)
        is_whole = line.endswith(b"\n") or len(line) == size
        if not is_whole and (line or self._has_begun):
            raise http.client.IncompleteRead(line)
        self._has_begun = True
        return line


class _Response(http.client.HTTPResponse):
    """Response whose head and framing have to be complete."""

    def __init__(
        self, sock: socket.socket, debuglevel: int = 0, method: str | None = None
    ) -> None:
        super().__init__(sock, debuglevel, method)
        self.fp = _LineReader(self.fp.detach())


class UpstreamConnectionPool:
    """Pool of idle connections to upstreams.

    A connection is added only after a complete response, so that the rest of an earlier
    response is never read as the response to the next request.

    Parameters
    ----------
    connect_timeout_seconds : float
        Timeout for opening a connection, seconds.
    read_timeout_seconds : float
        Longest time without data while a response is pending, seconds.
    """

    def __init__(
        self, connect_timeout_seconds: float, read_timeout_seconds: float
    ) -> None:
        self.connect_timeout_seconds = connect_timeout_seconds
        self.read_timeout_seconds = read_timeout_seconds
        self._idle: dict[str, list[HTTPConnection]] = {}
        self._lock = threading.Lock()
        self._cancel_executor = ThreadPoolExecutor(CANCEL_THREADS, "cancel")

    def acquire(self, url: str) -> HTTPConnection | None:
        """Return an idle connection that is open and has no unread data, or None."""
        while True:
            with self._lock:
                idle = self._idle.get(url)
                conn = idle.pop() if idle else None
            if conn is None or not is_connection_dropped(conn):
                return conn
            conn.close()

    def release(self, url: str, conn: HTTPConnection) -> None:
        """Add a connection after a complete response; close it if the pool is full."""
        with self._lock:
            idle = self._idle.setdefault(url, [])
            if len(idle) < MAX_IDLE_CONNECTIONS_PER_UPSTREAM:
                idle.append(conn)
                return
        conn.close()

    def connect(self, url: str) -> HTTPConnection:
        """Open a new connection.

        Raises
        ------
        AttemptError
            With `Fault.CONNECT`; no byte of a request has been sent.
        """
        parts = urlsplit(url)
        conn = HTTPConnection(
            parts.hostname or "", parts.port or 80, timeout=self.connect_timeout_seconds
        )
        conn.response_class = _Response
        try:
            conn.connect()
        except _CONNECTION_ERRORS as exc:
            conn.close()
            raise AttemptError(Fault.CONNECT) from exc
        conn.timeout = self.read_timeout_seconds
        conn.sock.settimeout(self.read_timeout_seconds)
        return conn

    def cancel_attempt(self, url: str, tag: str) -> None:
        """Send a cancel request for an attempt to its upstream, in the background."""
        self._cancel_executor.submit(self._send_cancel, url, tag)

    def close(self) -> None:
        """Close idle connections and drop queued cancel requests."""
        self._cancel_executor.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            for idle in self._idle.values():
                for conn in idle:
                    conn.close()
            self._idle.clear()

    def _send_cancel(self, url: str, tag: str) -> None:
        parts = urlsplit(url)
        conn = HTTPConnection(
            parts.hostname or "", parts.port or 80, timeout=CANCEL_TIMEOUT_SECONDS
        )
        try:
            conn.request("POST", f"/-/cancel/{tag}")
            conn.getresponse()
        except _CONNECTION_ERRORS:
            return
        finally:
            conn.close()


class Attempt:
    """One attempt of a call on one upstream.

    A single thread runs it; any thread may abort it.

    Parameters
    ----------
    connection_pool : UpstreamConnectionPool
        Pool shared by all attempts.
    call : Call
        The request.
    url : str
        Base URL of the upstream.
    number : int
        Number of the attempt, from 1.

    Attributes
    ----------
    tag : str
        Id of the attempt, which the upstream must echo.
    """

    def __init__(
        self, connection_pool: UpstreamConnectionPool, call: Call, url: str, number: int
    ) -> None:
        self.tag = f"{call.request}/{number}"
        self._connection_pool = connection_pool
        self._call = call
        self._url = url
        self._conn: HTTPConnection | None = None
        self._response: BaseHTTPResponse | None = None
        self._abort_fault: Fault | None = None
        self._sent = False
        self._is_complete = False

    def connect(self) -> None:
        """Acquire a connection; a non-idempotent call always gets a new one."""
        conn = (
            self._connection_pool.acquire(self._url) if self._call.idempotent else None
        )
        self._conn = conn or self._connection_pool.connect(self._url)
        if self._abort_fault is not None:
            raise AttemptError(self._abort_fault)

    def send(self) -> UpstreamResponseHead:
        """Send the request and return the head of the response."""
        self._sent = True
        headers = dict(self._call.headers)
        body = self._call.body or None
        return self._send_request(self._call.method, self._call.target, body, headers)

    def resume(self, next_index: int) -> UpstreamResponseHead:
        """Request the rest of the stream, starting with event number `next_index`."""
        self._discard_connection()
        self._response = None
        self._conn = self._connection_pool.connect(self._url)
        target = f"/-/resume/{self.tag}?from={next_index}"
        try:
            head = self._send_request("GET", target, None, {})
        except AttemptError:
            if self._response is not None and self._response.status != 200:
                raise AttemptError(Fault.RESUME_REFUSED) from None
            raise
        if head.status != 200 or head.relay_mode is not RelayMode.EVENT_STREAM:
            raise AttemptError(Fault.RESUME_REFUSED)
        return head

    def read_body(self) -> bytes:
        """Return the complete body."""
        assert self._response is not None
        try:
            body = self._response.read(decode_content=False)
        except _CONNECTION_ERRORS as exc:
            raise self._attempt_error(exc) from exc
        return body

    def iter_chunks(self) -> Iterator[bytes]:
        """Yield chunks of the body as they arrive."""
        assert self._response is not None
        try:
            if getattr(self._response, "chunked", False):
                yield from self._response.stream(
                    RELAY_CHUNK_BYTES, decode_content=False
                )
                return
            while data := self._response.read1(RELAY_CHUNK_BYTES, decode_content=False):
                yield data
        except _CONNECTION_ERRORS as exc:
            raise self._attempt_error(exc) from exc

    def mark_complete(self) -> None:
        """Record that the response is complete; the connection can be reused."""
        self._is_complete = True

    def abort(self, fault: Fault) -> None:
        """Shut down the connection; later failures of the attempt count as `fault`."""
        self._abort_fault = fault
        sock = getattr(self._conn, "sock", None)
        if sock is not None:
            try:
                sock.shutdown(2)
            except OSError:
                return

    def close(self) -> None:
        """Release the connection; cancel an unfinished idempotent call upstream."""
        if self._is_complete and self._abort_fault is None and self._conn is not None:
            conn, self._conn = self._conn, None
            if conn.sock is not None:
                self._connection_pool.release(self._url, conn)
            return
        self._discard_connection()
        if self._sent and not self._is_complete and self._call.idempotent:
            self._connection_pool.cancel_attempt(self._url, self.tag)

    def _discard_connection(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()

    def _attempt_error(self, exc: Exception) -> AttemptError:
        return AttemptError(self._abort_fault or _classify_error(exc))

    def _send_request(
        self, method: str, target: str, body: bytes | None, headers: dict[str, str]
    ) -> UpstreamResponseHead:
        assert self._conn is not None
        headers[REQUEST_ID_HEADER] = self.tag
        try:
            self._conn.request(
                method,
                target,
                body=body,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
            self._response = self._conn.getresponse()
        except _CONNECTION_ERRORS as exc:
            raise self._attempt_error(exc) from exc
        return self._parse_head(method, self._response)

    def _parse_head(
        self, method: str, response: BaseHTTPResponse
    ) -> UpstreamResponseHead:
        if response.headers.get(REQUEST_ID_HEADER) != self.tag:
            raise AttemptError(Fault.WRONG_ID)
        return UpstreamResponseHead(
            status=response.status,
            headers=tuple(
                (name, value)
                for name, value in response.headers.items()
                if name.lower() not in _DROPPED_RESPONSE_HEADERS
            ),
            relay_mode=_relay_mode(method, response),
            content_length=_content_length(method, response),
            cost=_reported_cost(response),
        )


def _content_length(method: str, response: BaseHTTPResponse) -> int | None:
    if method == "HEAD" or response.status in _BODILESS_STATUSES:
        return 0
    text = response.headers.get("Content-Length")
    if text is None or getattr(response, "chunked", False):
        return None
    if not text.isdigit():
        raise AttemptError(Fault.MALFORMED)
    return int(text)


def _relay_mode(method: str, response: BaseHTTPResponse) -> RelayMode:
    length = _content_length(method, response)
    media_type = response.headers.get("Content-Type", "").lower()
    if media_type.startswith("text/event-stream") and length is None:
        return RelayMode.EVENT_STREAM
    if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
        return RelayMode.BUFFERED
    if length is None and not getattr(response, "chunked", False):
        raise AttemptError(Fault.MALFORMED)
    return RelayMode.STREAMED


def _reported_cost(response: BaseHTTPResponse) -> float:
    try:
        return max(0.0, float(response.headers.get(COST_HEADER, "0")))
    except ValueError:
        return 0.0
