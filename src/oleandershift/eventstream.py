"""Server-sent events of an engine: split, checked for order and for their end."""

from dataclasses import dataclass
from enum import Enum

import msgspec

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class StreamFault(Enum):
    """Why a stream can't be relayed any further."""

    GAP = "gap"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"


class StreamError(Exception):
    """A stream that broke its own order or form.

    Parameters
    ----------
    fault : StreamFault
        What is wrong.
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
    """Takes a stream's bytes and gives whole events, each once and in order.

    Attributes
    ----------
    next_index : int
        Index of the first event not given yet, from which to resume.
    cost : float
        Tokens so far, or the total once the usage event came.
    done : bool
        The stream's end mark came.
    """

    next_index: int = 0
    cost: float = 0.0
    done: bool = False
    _buffer: bytes = b""
    _has_usage: bool = False

    def discard_partial(self) -> None:
        """Forget a partial event before reading a resumed stream."""
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that `data` completes.

        Raises
        ------
        StreamError
            When an event is missing, is too large or has the wrong form.
        """
        self._buffer += data.replace(b"\r\n", b"\n")
        *events, self._buffer = self._buffer.split(SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamError(StreamFault.TOO_LARGE)
        return b"".join(event + SEPARATOR for event in events if self._take(event))

    def _take(self, event: bytes) -> bool:
        if self.done:
            raise StreamError(StreamFault.MALFORMED)
        lines = [
            line[5:].strip() for line in event.split(b"\n") if line.startswith(b"data:")
        ]
        data = b"\n".join(lines)
        if data == b"[DONE]":
            self.done = True
            return True
        return not data or self._take_data(data)

    def _take_data(self, data: bytes) -> bool:
        try:
            decoded = msgspec.json.decode(data, type=_Data)
        except msgspec.DecodeError as exc:
            raise StreamError(StreamFault.MALFORMED) from exc
        if decoded.usage is not None:
            repeated = self._has_usage
            self.cost = decoded.usage.total_tokens
            self._has_usage = True
            return not repeated
        if decoded.index is None:
            return True
        return self._take_indexed(decoded.index, decoded.tokens)

    def _take_indexed(self, index: int, tokens: float) -> bool:
        if index < self.next_index:
            return False
        if index > self.next_index:
            raise StreamError(StreamFault.GAP)
        self.next_index += 1
        self.cost += tokens
        return True
