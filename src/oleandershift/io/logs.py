"""JSON-lines logs and timeline events, written with loguru."""

import logging
import sys
import threading
import time
from typing import Any

import msgspec
from loguru import logger

from oleandershift.clock import HybridLogicalClock, Stamp, is_credible
from oleandershift.events import Event, EventName
from oleandershift.ids import RegionId
from oleandershift.io.metrics import Metrics, NoMetrics
from oleandershift.messages import ProcessId

_NOISY_LOGGERS = ("waitress.queue",)


class EventLog:
    """Logs the events of one process with stamps of its hybrid logical clock.

    Parameters
    ----------
    process : ProcessId
        Process that logs the events.
    region : RegionId
        Region of the process.
    metrics : Metrics, optional
        Also receives every event.
    """

    def __init__(
        self, process: ProcessId, region: RegionId, metrics: Metrics | None = None
    ) -> None:
        self._process = process
        self._region = region
        self._clock = HybridLogicalClock()
        self._lock = threading.Lock()
        self._metrics = metrics or NoMetrics()

    def stamp(self) -> Stamp:
        """Advance the clock and return the stamp of a local event or a sent message."""
        with self._lock:
            return self._clock.tick(time.time_ns())

    def update_clock(self, remote: Stamp) -> bool:
        """Advance the clock past the stamp of a received message.

        Returns
        -------
        bool
            False if the stamp is not credible; the clock is then unchanged.
        """
        now_ns = time.time_ns()
        if not is_credible(now_ns, remote):
            return False
        with self._lock:
            self._clock.receive(now_ns, remote)
        return True

    def write(self, name: EventName, level: str = "INFO", **fields: str) -> None:
        """Log an event; `fields` are further fields of `Event`."""
        stamp = self.stamp()
        event = Event(
            wall=stamp.wall,
            logical=stamp.logical,
            vm=self._process.vm,
            region=self._region,
            process=self._process.role.label,
            incarnation=self._process.incarnation,
            name=name,
            **fields,
        )
        self._metrics.on_event(event)
        logger.bind(event=event).log(level, name.value)


def _format_record(record: Any) -> str:
    event = record["extra"].get("event")
    line: dict[str, object] = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
    }
    line.update(record["extra"].get("fields", {}))
    if event is not None:
        line["event"] = msgspec.to_builtins(event)
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    record["extra"]["line"] = msgspec.json.encode(line).decode()
    return "{extra[line]}\n"


class _LoguruHandler(logging.Handler):
    """Forwards records of the standard `logging` module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        fields = {"logger": record.name}
        bound = logger.bind(fields=fields).opt(exception=record.exc_info)
        bound.log(record.levelname, record.getMessage())


def configure_logging(level: str, path: str) -> None:
    """Write logs of at least `level` to a file or to standard error.

    Parameters
    ----------
    level : str
        Lowest level that is logged.
    path : str
        File to append to; empty means standard error.
    """
    logger.remove()
    logger.add(path or sys.stderr, level=level, format=_format_record, catch=True)
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)
    for name in _NOISY_LOGGERS:
        logging.getLogger(name).setLevel(logging.ERROR)
