"""Event streams of the engine stand-in, which clients can resume."""

import threading
import time

import msgspec

from standins.server import Exchange

REQUEST_ID_HEADER = "Oleander-Request-Id"
STREAM_HEADERS = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
END_OF_STREAM = b"data: [DONE]\n\n"


class TokenEvent(msgspec.Struct, frozen=True):
    """Event with generated tokens."""

    index: int
    tokens: int
    text: str


class Usage(msgspec.Struct, frozen=True):
    """Total cost of a stream."""

    total_tokens: int


class UsageEvent(msgspec.Struct, frozen=True):
    """Last event of a stream before the end marker."""

    usage: Usage


def encode_event(value: TokenEvent | UsageEvent, index: int) -> bytes:
    """Encode a server-sent event with its index as the id."""
    return b"id: %d\ndata: %s\n\n" % (index, msgspec.json.encode(value))


class RetainedStream:
    """Events of one run, retained for clients that resume the stream.

    Attributes
    ----------
    is_complete : bool
        Whether the stream has ended after all of its tokens.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._events: list[bytes] = []
        self._is_closed = False
        self._client_count = 1
        self._idle_since = time.monotonic()
        self._changed = threading.Condition()

    def append(self, event: bytes) -> None:
        """Append an event and wake up the waiting clients."""
        with self._changed:
            self._events.append(event)
            self._changed.notify_all()

    def close(self, is_complete: bool) -> None:
        """Close the stream to further events."""
        with self._changed:
            self._is_closed = True
            self.is_complete = is_complete
            self._idle_since = time.monotonic()
            self._changed.notify_all()

    def adjust_client_count(self, change: int) -> None:
        """Change the number of clients by `change` and restart the idle time."""
        with self._changed:
            self._client_count += change
            self._idle_since = time.monotonic()

    def wait_for_event(self, index: int) -> bytes | None:
        """Wait for the event at `index`; return None after the end of the stream."""
        with self._changed:
            while index >= len(self._events) and not self._is_closed:
                self._changed.wait()
            return self._events[index] if index < len(self._events) else None

    def is_idle(self, seconds: float) -> bool:
        """Return whether there has been no client for more than `seconds`."""
        with self._changed:
            idle_seconds = time.monotonic() - self._idle_since
            return self._client_count <= 0 and idle_seconds > seconds


class StreamClient:
    """Sends a stream to a client until the client disconnects.

    Parameters
    ----------
    exchange : Exchange
        The client's request.
    stream : RetainedStream
        The stream, which counts its clients.
    request_id : str
        Request id to echo in the response.
    silent : bool
        Whether to send nothing at all.
    """

    def __init__(
        self, exchange: Exchange, stream: RetainedStream, request_id: str, silent: bool
    ) -> None:
        self._exchange = exchange
        self._stream = stream
        self._request_id = request_id
        self._sending = not silent
        self._send_head()

    def send(self, event: bytes) -> None:
        """Send an event unless the client has disconnected."""
        if self._sending and self._exchange.client_disconnected():
            self._detach()
        if not self._sending:
            return
        try:
            self._exchange.write_chunk(event)
        except OSError:
            self._detach()

    def reset(self) -> None:
        """Reset the connection."""
        if self._sending:
            self._exchange.abort()
            self._detach()

    def truncate(self) -> None:
        """End the body correctly before the end of the stream."""
        self._end_body()

    def finish(self, send_twice: bool) -> None:
        """End the body, followed by a second response if `send_twice` is set.

        The connection of an incomplete stream is reset instead.
        """
        if not self._stream.is_complete:
            self.reset()
            return
        was_sending = self._sending
        self.send(END_OF_STREAM)
        self._end_body()
        if send_twice and was_sending:
            self._sending = True
            self._send_head()
            self.send(END_OF_STREAM)
            self._end_body()

    def _send_head(self) -> None:
        if self._sending:
            self._exchange.send_head(
                200, {**STREAM_HEADERS, REQUEST_ID_HEADER: self._request_id}
            )

    def _end_body(self) -> None:
        self.send(b"")
        self._detach()

    def _detach(self) -> None:
        if self._sending:
            self._sending = False
            self._stream.adjust_client_count(-1)
