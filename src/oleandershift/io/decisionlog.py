"""Structured log of decisions; bounded, so that a slow reader never blocks it."""

import os
import sys
import time
from collections import deque
from typing import Any

import msgspec
from loguru import logger

MAX_BUFFERED_LINES = 2_000
"""Lines buffered for a slow reader; about half a megabyte."""

MAX_LINES_PER_SECOND = 400.0
"""Average rate of lines. An overloaded VM rejects some tens of requests a second, and a
line takes about a tenth of a millisecond."""

RESERVED_LINES = 100.0
"""Lines of a second that are kept for what is not about one request, such as changes of
the fleet view; an overloaded VM would drop them behind the refusals of its callers."""

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class BoundedWriter:
    """Writes lines to a file descriptor without blocking; counts lines that it drops.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._tokens = MAX_LINES_PER_SECOND
        self._refilled_at = time.monotonic()
        self.dropped = 0

    def __call__(self, message: Any) -> None:
        """Write or buffer a line; drop it above the rate or the buffer limit."""
        if self.drops_next(_is_about_request(message)):
            return
        self._tokens -= 1.0
        self._lines.append(str(message).encode())
        self.flush()

    def drops_next(self, is_about_request: bool) -> bool:
        """Return whether the next line would be dropped; count it if so."""
        reserved = RESERVED_LINES if is_about_request else 0.0
        self._refill()
        is_dropped = (
            len(self._lines) >= MAX_BUFFERED_LINES or self._tokens < 1.0 + reserved
        )
        self.dropped += is_dropped
        return is_dropped

    def _refill(self) -> None:
        instant = time.monotonic()
        refill = (instant - self._refilled_at) * MAX_LINES_PER_SECOND
        self._tokens = min(MAX_LINES_PER_SECOND, self._tokens + refill)
        self._refilled_at = instant

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._lines)
                self._lines.clear()
                return
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()


def _is_about_request(message: Any) -> bool:
    record = getattr(message, "record", None)
    return record is not None and "request" in record["extra"].get("fields", {})


def _format_record(record: Any) -> str:
    extra = record["extra"]
    line = {
        "time": f"{record['time']:YYYY-MM-DDTHH:mm:ss.SSSSSS}",
        "level": record["level"].name,
        "event": record["message"],
        **extra.get("fields", {}),
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    extra["line"] = _ENCODER.encode(line).decode()
    return "{extra[line]}\n"


class DecisionLog:
    """JSON log of one process, written to standard output.

    Parameters
    ----------
    vm : str
        Name of the VM, added to every line.
    level : str
        Lowest level that is written.
    """

    def __init__(self, vm: str, level: str) -> None:
        self.writer = BoundedWriter(sys.stdout.fileno())
        logger.remove()
        logger.add(self.writer, level=level, format=_format_record, catch=True)
        self._vm = vm
        self._lowest_number = logger.level(level).no

    def debug(self, event: str, **fields: object) -> None:
        """Log a detail that only debugging needs."""
        self._write("DEBUG", event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log a decision or a change of the fleet view."""
        self._write("INFO", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log a failure that the process recovers from."""
        self._write("WARNING", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Log an error with the exception that is being handled."""
        bound = logger.bind(fields={"vm": self._vm, **fields})
        bound.opt(exception=True).error(event)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        # A flooded VM would spend a third of its processor on lines that are dropped.
        if logger.level(level).no < self._lowest_number or self.writer.drops_next(
            "request" in fields
        ):
            return
        logger.bind(fields={"vm": self._vm, **fields}).log(level, event)
