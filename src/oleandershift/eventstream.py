"""Reader of an engine's server-sent events that checks their order and the end mark."""

from dataclasses import dataclass
from enum import Enum

import msgspec

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class StreamFault(Enum):
    """Reason why a stream can't be relayed any further."""

    GAP = "gap"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"


class StreamError(Exception):
    """The events of a stream are out of order, malformed or too large.

    Parameters
    ----------
    fault : StreamFault
        Reason of the error.
    """

    def __init__(self, fault: StreamFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class _Usage(msgspec.Struct):
    total_tokens: float


class _Data(msgspec.Struct):
    index: int | None = None
    tokens: float = 0.0
    usage: _Usage | None = None


@dataclass
class EventReader:
    """Splits the bytes of a stream into whole events, each once and in order.

    Attributes
    ----------
    next_index : int
        Index of the next event, from which the stream can be resumed.
    cost : float
        Tokens so far, or the total after the usage event.
    done : bool
        Whether the end mark of the stream was received.
    """

    next_index: int = 0
    cost: float = 0.0
    done: bool = False
    _buffer: bytes = b""
    _has_usage: bool = False

    def discard_partial(self) -> None:
        """Discard a partial event before reading a resumed stream."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that `data` completes.

        Raises
        ------
        StreamError
            If an event is missing, malformed or too large. None of the events of `data`
            counts then.
        """
        # A line end may be split between two parts.
        unread = (self._buffer + data).replace(b"\r\n", b"\n")
        *events, self._buffer = unread.split(SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamError(StreamFault.TOO_LARGE)
        before = self.next_index, self.cost, self.done, self._has_usage
        try:
            accepted = [event for event in events if self._accept(event)]
        except StreamError:
            self.next_index, self.cost, self.done, self._has_usage = before
            raise
        return b"".join(event + SEPARATOR for event in accepted)

    def _accept(self, event: bytes) -> bool:
        if self.done:
            raise StreamError(StreamFault.MALFORMED)
        lines = [
            line[5:].strip() for line in event.split(b"\n") if line.startswith(b"data:")
        ]
        data = b"\n".join(lines)
        if data == b"[DONE]":
            self.done = True
            return True
        return not data or self._accept_data(data)

    def _accept_data(self, data: bytes) -> bool:
        try:
            decoded = msgspec.json.decode(data, type=_Data)
        except msgspec.DecodeError as exc:
            raise StreamError(StreamFault.MALFORMED) from exc
        if decoded.usage is not None:
            is_duplicate = self._has_usage
            self.cost = decoded.usage.total_tokens
            self._has_usage = True
            return not is_duplicate
        if decoded.index is None:
            return True
        return self._accept_indexed(decoded.index, decoded.tokens)

    def _accept_indexed(self, index: int, tokens: float) -> bool:
        if index < self.next_index:
            return False
        if index > self.next_index:
            raise StreamError(StreamFault.GAP)
        self.next_index += 1
        self.cost += tokens
        return True
