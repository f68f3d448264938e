"""Detection of senders whose bytes are no message, or never end."""

OVERHEAD_PER_BODY_BYTE = 16
"""Largest framing of a body byte: chunks of one byte have 5 bytes of framing, and some
senders add extensions."""


class OverheadMeter:
    """Counts the bytes of a message that are not body: its head and its framing.

    A parser passes a header field or a chunk on when it is complete, so one that never
    ends is seen in the number of bytes only.

    Parameters
    ----------
    limit : int
        Overhead in bytes that any message may have.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._received = 0
        self._body = 0

    def reset(self) -> None:
        """Start the next message."""
        self._received = self._body = 0

    def on_received(self, size: int) -> None:
        """Add bytes that were received."""
        self._received += size

    def on_body(self, size: int) -> None:
        """Add those of the received bytes that are body."""
        self._body += size

    @property
    def is_exceeded(self) -> bool:
        """Whether there is more overhead than any proper message has."""
        overhead = self._received - self._body
        return overhead > self._limit + OVERHEAD_PER_BODY_BYTE * self._body
