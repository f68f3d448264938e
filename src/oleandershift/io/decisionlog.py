"""Log lines of decisions: bounded, and never waiting for their reader."""

import os
import sys
import time
from collections import deque
from typing import Any

import msgspec
from loguru import logger

MAX_BUFFERED_LINES = 2_000
"""Lines held for a reader that is slow; about half a megabyte."""

MAX_LINES_PER_SECOND = 400.0
"""Lines that are written in the mean; a VM refuses some tens of requests a second under
overload, and a line costs about a tenth of a millisecond."""

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class BoundedWriter:
    """Writes lines to a descriptor without blocking; drops and counts the excess.

    Parameters
    ----------
    descriptor : int
        Where to write; is made non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._allowed = MAX_LINES_PER_SECOND
        self._refilled = time.monotonic()
        self.dropped = 0

    def __call__(self, message: Any) -> None:
        """Take a line."""
        if len(self._lines) >= MAX_BUFFERED_LINES or not self._is_allowed():
            self.dropped += 1
            return
        self._lines.append(str(message).encode())
        self.flush()

    def _is_allowed(self) -> bool:
        at = time.monotonic()
        gained = (at - self._refilled) * MAX_LINES_PER_SECOND
        self._allowed = min(MAX_LINES_PER_SECOND, self._allowed + gained)
        self._refilled = at
        if self._allowed < 1.0:
            return False
        self._allowed -= 1.0
        return True

    def flush(self) -> None:
        """Write as much as the reader takes."""
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


def _format(record: Any) -> str:
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
    """Logs of one process.

    Parameters
    ----------
    vm : str
        Name of the VM, on every line.
    level : str
        Least level that is written.
    """

    def __init__(self, vm: str, level: str) -> None:
        self.writer = BoundedWriter(sys.stdout.fileno())
        logger.remove()
        logger.add(self.writer, level=level, format=_format, catch=True)
        self._vm = vm

    def debug(self, event: str, **fields: object) -> None:
        """Log what only a closer look needs."""
        self._write("DEBUG", event, fields)

    def info(self, event: str, **fields: object) -> None:
        """Log a decision or a change of belief."""
        self._write("INFO", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log something that went wrong."""
        self._write("WARNING", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Log an error with the exception being handled."""
        bound = logger.bind(fields={"vm": self._vm, **fields})
        bound.opt(exception=True).error(event)

    def _write(self, level: str, event: str, fields: dict[str, object]) -> None:
        logger.bind(fields={"vm": self._vm, **fields}).log(level, event)
