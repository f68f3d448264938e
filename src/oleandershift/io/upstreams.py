"""Attempts of requests on upstreams, by urllib3."""

import http.client
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
MAX_IDLE_CONNECTIONS = 16
CANCEL_THREADS = 2
CANCEL_TIMEOUT_SECONDS = 2.0
RELAY_CHUNK_BYTES = 64 * 1024
MAX_BUFFERED_BODY_BYTES = 1 << 20
_BODYLESS = frozenset((204, 304))
_NOT_RETURNED = HOP_BY_HOP_HEADERS | {
    "content-length",
    "date",
    "server",
    "oleander-request-id",
}

_FAILURES = (OSError, http.client.HTTPException, exceptions.HTTPError)


class AttemptError(Exception):
    """An attempt failed.

    Parameters
    ----------
    fault : Fault
        How.
    """

    def __init__(self, fault: Fault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class RelayMode(Enum):
    """How an answer's end is known, and with it how it is relayed."""

    BUFFERED = "whole"
    STREAMED = "bytes"
    EVENT_STREAM = "events"


@dataclass(frozen=True)
class UpstreamResponseHead:
    """Head of an upstream's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of pair
        Headers that the caller gets.
    relay_mode : AnswerForm
        How the body comes.
    content_length : int or None
        Length of the body, where it is known.
    cost : float
        Cost in tokens; 0 where the head does not tell it.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    relay_mode: RelayMode
    content_length: int | None
    cost: float


def _fault(exc: Exception) -> Fault:
    if isinstance(exc, TimeoutError | exceptions.TimeoutError):
        return Fault.TIMEOUT
    if isinstance(exc, http.client.IncompleteRead | exceptions.IncompleteRead):
        return Fault.TRUNCATED
    return Fault.CONNECTION_LOST


class UpstreamConnectionPool:
    """Idle connections to upstreams, each known to stand between two requests.

    Parameters
    ----------
    connect_timeout_seconds : float
        Limit of a connect.
    read_timeout_seconds : float
        Longest silence of an upstream while an answer is due.
    """

    def __init__(
        self, connect_timeout_seconds: float, read_timeout_seconds: float
    ) -> None:
        self.connect_timeout_seconds = connect_timeout_seconds
        self.read_timeout_seconds = read_timeout_seconds
        self._idle: dict[str, list[HTTPConnection]] = {}
        self._lock = threading.Lock()
        self._cancels = ThreadPoolExecutor(CANCEL_THREADS, "cancel")

    def acquire(self, url: str) -> HTTPConnection | None:
        """Return an idle connection on which nothing has arrived, if any."""
        while True:
            with self._lock:
                idle = self._idle.get(url)
                conn = idle.pop() if idle else None
            if conn is None or not is_connection_dropped(conn):
                return conn
            conn.close()

    def release(self, url: str, conn: HTTPConnection) -> None:
        """Keep a connection whose last answer was whole."""
        with self._lock:
            idle = self._idle.setdefault(url, [])
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(conn)
                return
        conn.close()

    def connect(self, url: str) -> HTTPConnection:
        """Return a new connection.

        Raises
        ------
        AttemptError
            With `CONNECT`; no byte of a request has been sent.
        """
        parts = urlsplit(url)
        conn = HTTPConnection(
            parts.hostname or "", parts.port or 80, timeout=self.connect_timeout_seconds
        )
        try:
            conn.connect()
        except _FAILURES as exc:
            conn.close()
            raise AttemptError(Fault.CONNECT) from exc
        conn.timeout = self.read_timeout_seconds
        conn.sock.settimeout(self.read_timeout_seconds)
        return conn

    def cancel_attempt(self, url: str, tag: str) -> None:
        """Ask an upstream, in the background, to end an attempt."""
        self._cancels.submit(self._cancel, url, tag)

    def close(self) -> None:
        """Close idle connections."""
        self._cancels.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            for idle in self._idle.values():
                for conn in idle:
                    conn.close()
            self._idle.clear()

    def _cancel(self, url: str, tag: str) -> None:
        parts = urlsplit(url)
        conn = HTTPConnection(
            parts.hostname or "", parts.port or 80, timeout=CANCEL_TIMEOUT_SECONDS
        )
        try:
            conn.request("POST", f"/-/cancel/{tag}")
            conn.getresponse()
        except _FAILURES:
            return
        finally:
            conn.close()


class Attempt:
    """One attempt of a call on one upstream.

    One thread drives it; any thread may abort it.

    Parameters
    ----------
    connections : Connections
        Shared by all attempts.
    call : Call
        The request.
    url : str
        The upstream's.
    number : int
        Number of the attempt.
    """

    def __init__(
        self, connections: UpstreamConnectionPool, call: Call, url: str, number: int
    ) -> None:
        self.tag = f"{call.request}/{number}"
        self._connections = connections
        self._call = call
        self._url = url
        self._conn: HTTPConnection | None = None
        self._response: BaseHTTPResponse | None = None
        self._aborted: Fault | None = None
        self._sent = False
        self._whole = False

    def connect(self) -> None:
        """Take a connection; a non-idempotent call gets a new one."""
        conn = self._connections.acquire(self._url) if self._call.idempotent else None
        self._conn = conn or self._connections.connect(self._url)
        if self._aborted is not None:
            raise AttemptError(self._aborted)

    def send(self) -> UpstreamResponseHead:
        """Send the request and return the head of the answer to it."""
        self._sent = True
        headers = dict(self._call.headers)
        body = self._call.body or None
        return self._exchange(self._call.method, self._call.target, body, headers)

    def resume(self, index: int) -> UpstreamResponseHead:
        """Ask for the rest of the stream from event `index` on."""
        self._drop()
        self._response = None
        self._conn = self._connections.connect(self._url)
        target = f"/-/resume/{self.tag}?from={index}"
        try:
            head = self._exchange("GET", target, None, {})
        except AttemptError:
            if self._response is not None and self._response.status != 200:
                raise AttemptError(Fault.RESUME_REFUSED) from None
            raise
        if head.status != 200 or head.relay_mode is not RelayMode.EVENT_STREAM:
            raise AttemptError(Fault.RESUME_REFUSED)
        return head

    def read_body(self) -> bytes:
        """Return the whole body."""
        assert self._response is not None
        try:
            body = self._response.read(decode_content=False)
        except _FAILURES as exc:
            raise self._error(exc) from exc
        return body

    def iter_chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives."""
        assert self._response is not None
        try:
            if getattr(self._response, "chunked", False):
                yield from self._response.stream(
                    RELAY_CHUNK_BYTES, decode_content=False
                )
                return
            while data := self._response.read1(RELAY_CHUNK_BYTES, decode_content=False):
                yield data
        except _FAILURES as exc:
            raise self._error(exc) from exc

    def mark_complete(self) -> None:
        """Take note that the answer was whole, so that the connection can be kept."""
        self._whole = True

    def abort(self, fault: Fault) -> None:
        """Wake the driving thread with a failure."""
        self._aborted = fault
        sock = getattr(self._conn, "sock", None)
        if sock is not None:
            try:
                sock.shutdown(2)
            except OSError:
                return

    def close(self) -> None:
        """Release the connection; cancel at the upstream what is not over."""
        if self._whole and self._aborted is None and self._conn is not None:
            conn, self._conn = self._conn, None
            if conn.sock is not None:
                self._connections.release(self._url, conn)
            return
        self._drop()
        if self._sent and not self._whole and self._call.idempotent:
            self._connections.cancel_attempt(self._url, self.tag)

    def _drop(self) -> None:
        conn, self._conn = self._conn, None
        if conn is not None:
            conn.close()

    def _error(self, exc: Exception) -> AttemptError:
        return AttemptError(self._aborted or _fault(exc))

    def _exchange(
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
        except _FAILURES as exc:
            raise self._error(exc) from exc
        return self._head(method, self._response)

    def _head(self, method: str, response: BaseHTTPResponse) -> UpstreamResponseHead:
        if response.headers.get(REQUEST_ID_HEADER) != self.tag:
            raise AttemptError(Fault.WRONG_ID)
        return UpstreamResponseHead(
            status=response.status,
            headers=tuple(
                (name, value)
                for name, value in response.headers.items()
                if name.lower() not in _NOT_RETURNED
            ),
            relay_mode=_form(method, response),
            content_length=_length(method, response),
            cost=_cost(response),
        )


def _length(method: str, response: BaseHTTPResponse) -> int | None:
    if method == "HEAD" or response.status in _BODYLESS:
        return 0
    text = response.headers.get("Content-Length")
    if text is None or getattr(response, "chunked", False):
        return None
    if not text.isdigit():
        raise AttemptError(Fault.MALFORMED)
    return int(text)


def _form(method: str, response: BaseHTTPResponse) -> RelayMode:
    length = _length(method, response)
    media = response.headers.get("Content-Type", "").lower()
    if media.startswith("text/event-stream") and length is None:
        return RelayMode.EVENT_STREAM
    if length is not None and length <= MAX_BUFFERED_BODY_BYTES:
        return RelayMode.BUFFERED
    if length is None and not getattr(response, "chunked", False):
        raise AttemptError(Fault.MALFORMED)
    return RelayMode.STREAMED


def _cost(response: BaseHTTPResponse) -> float:
    try:
        return max(0.0, float(response.headers.get(COST_HEADER, "0")))
    except ValueError:
        return 0.0
