"""Streams of an engine stand-in: kept events, and the client that gets them."""

import threading
import time

import msgspec

from standins.server import Exchange

REQUEST_ID_HEADER = "Oleander-Request-Id"
STREAM_HEADERS = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
END_OF_STREAM = b"data: [DONE]\n\n"


class TokenEvent(msgspec.Struct, frozen=True):
    """One event of a stream."""

    index: int
    tokens: int
    text: str


class Usage(msgspec.Struct, frozen=True):
    """Cost of a stream."""

    total_tokens: int


class UsageEvent(msgspec.Struct, frozen=True):
    """Event before the end of a stream."""

    usage: Usage


def encode_event(value: TokenEvent | UsageEvent, index: int) -> bytes:
    """Encode a server-sent event."""
    return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(value))


class RetainedStream:
    """Events of one run, kept for clients that resume it.

    Attributes
    ----------
    is_complete : bool
        The stream is over and its answer is whole.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._events: list[bytes] = []
        self._over = False
        self._readers = 1
        self._idle_since = time.monotonic()
        self._changed = threading.Condition()

    def append(self, event: bytes) -> None:
        """Add an event."""
        with self._changed:
            self._events.append(event)
            self._changed.notify_all()

    def close(self, whole: bool) -> None:
        """End the stream."""
        with self._changed:
            self._over = True
            self.is_complete = whole
            self._idle_since = time.monotonic()
            self._changed.notify_all()

    def adjust_readers(self, step: int) -> None:
        """Count a client that comes or goes."""
        with self._changed:
            self._readers += step
            self._idle_since = time.monotonic()

    def wait_for_event(self, index: int) -> bytes | None:
        """Wait for the event at `index`; return None past the end."""
        with self._changed:
            while index >= len(self._events) and not self._over:
                self._changed.wait()
            return self._events[index] if index < len(self._events) else None

    def is_idle(self, seconds: float) -> bool:
        """Tell whether there has been no client for some time."""
        with self._changed:
            idle = time.monotonic() - self._idle_since
            return self._readers <= 0 and idle > seconds


class StreamClient:
    """Connection that a stream is sent on until its client goes.

    Parameters
    ----------
    exchange : Exchange
        The call.
    stream : KeptStream
        The stream, which counts its clients.
    request_id : str
        Id to echo.
    silent : bool
        Send nothing at all.
    """

    def __init__(
        self, exchange: Exchange, stream: RetainedStream, request_id: str, silent: bool
    ) -> None:
        self._exchange = exchange
        self._stream = stream
        self._request_id = request_id
        self._sending = not silent
        self._begin()

    def send(self, event: bytes) -> None:
        """Send an event."""
        if self._sending and self._exchange.client_disconnected():
            self._leave()
        if not self._sending:
            return
        try:
            self._exchange.write_chunk(event)
        except OSError:
            self._leave()

    def reset(self) -> None:
        """Reset the connection."""
        if self._sending:
            self._exchange.abort()
            self._leave()

    def truncate(self) -> None:
        """End the body in good form before the stream is over."""
        self._end()

    def finish(self, send_twice: bool) -> None:
        """End the body; `send_twice` sends one more answer after it.

        A stream that is not whole is cut.
        """
        if not self._stream.is_complete:
            self.reset()
            return
        was_sending = self._sending
        self.send(END_OF_STREAM)
        self._end()
        if send_twice and was_sending:
            self._sending = True
            self._begin()
            self.send(END_OF_STREAM)
            self._end()

    def _begin(self) -> None:
        if self._sending:
            self._exchange.send_head(
                200, {**STREAM_HEADERS, REQUEST_ID_HEADER: self._request_id}
            )

    def _end(self) -> None:
        self.send(b"")
        self._leave()

    def _leave(self) -> None:
        if self._sending:
            self._sending = False
            self._stream.adjust_readers(-1)
