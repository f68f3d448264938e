"""Polling of the upstreams' load reports on a background thread."""

import threading
import time
from collections.abc import Callable

import msgspec
import urllib3
from loguru import logger

from oleandershift.dispatch import UpstreamLoad
from oleandershift.io.supervision import supervised_thread
from oleandershift.rows import UpstreamRow

POLL_INTERVAL_SECONDS = 1.0
PROBES_PER_SECOND = 20
PROBE_TIMEOUT_SECONDS = 0.5
MAX_REPORT_BYTES = 4096
PROBE_INTERVAL_SECONDS = 1.0 / PROBES_PER_SECOND


class _LoadReport(msgspec.Struct, frozen=True):
    """Body of an upstream's response to `GET /-/load`."""

    running: int
    waiting: int
    slots: int = 0
    tokens_per_second: float = 0.0


class LoadPoller:
    """Polls upstreams one after another, limited to `PROBES_PER_SECOND` in total.

    Parameters
    ----------
    on_load : callable
        Called on the polling thread with each report.
    """

    def __init__(self, on_load: Callable[[UpstreamLoad], None]) -> None:
        self._on_load = on_load
        self._rows: tuple[UpstreamRow, ...] = ()
        self._closing = threading.Event()
        self._http = urllib3.PoolManager(num_pools=100, maxsize=1)
        self._decoder = msgspec.json.Decoder(_LoadReport)
        self._thread = supervised_thread("loads", self._run, self._closing)

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the polling thread and close its connections."""
        self._closing.set()
        self._thread.join()
        self._http.clear()

    def set_upstreams(self, rows: tuple[UpstreamRow, ...]) -> None:
        """Replace the upstreams to poll."""
        self._rows = rows

    def _run(self) -> None:
        while not self._closing.wait(PROBE_INTERVAL_SECONDS):
            rows = self._rows
            next_round = time.monotonic() + POLL_INTERVAL_SECONDS
            for row in rows:
                if self._closing.wait(PROBE_INTERVAL_SECONDS):
                    return
                self._poll(row)
            self._closing.wait(max(0.0, next_round - time.monotonic()))

    def _poll(self, row: UpstreamRow) -> None:
        try:
            res = self._http.request(
                "GET",
                f"{row.url}/-/load",
                timeout=PROBE_TIMEOUT_SECONDS,
                retries=False,
                preload_content=False,
            )
            data = res.read(MAX_REPORT_BYTES)
            res.drain_conn()
            res.release_conn()
            report = self._decoder.decode(data)
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
            logger.debug("no load report from {}: {}", row.name, exc)
            return
        self._on_load(
            UpstreamLoad(row.name, time.time(), report.running, report.waiting)
        )
