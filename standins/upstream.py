"""Base class of the upstream stand-ins: requests, ledger, faults and load report."""

import argparse
import threading
import time
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import fields

import msgspec
from loguru import logger

from oleandershift.events import Event, EventName
from oleandershift.ids import RegionId, VmId
from oleandershift.io.logs import configure_logging
from standins.faults import FaultInjector, FaultKind, UpstreamFaults
from standins.ledger import Execution, Ledger, Slots
from standins.run import Activity, LoadReport, Run, UpstreamConfig, decode_work
from standins.server import ControlServer, Exchange, Server

REQUEST_ID_HEADER = "Oleander-Request-Id"
COST_HEADER = "Oleander-Cost"
MAX_STEP_SECONDS = 0.1
WRONG_ID = "00000000/0"


class Upstream(ABC):
    """Upstream stand-in that runs on threads of this process.

    Parameters
    ----------
    cfg : UpstreamConfig, optional
        Settings; the defaults if omitted.
    """

    def __init__(self, cfg: UpstreamConfig | None = None) -> None:
        self.cfg = cfg or UpstreamConfig()
        self.ledger = Ledger()
        self.faults = FaultInjector()
        self.slots = Slots(self.cfg.slots)
        self._active_runs: dict[str, Run] = {}
        self._finished_runs: deque[Run] = deque(maxlen=2)
        self._lock = threading.Lock()
        self._load_reported_at = 0.0
        self._load_report = LoadReport(0, 0, self.cfg.slots, 0.0)
        self._server = Server(self.cfg.ip, self.cfg.port, self._handle)
        routes = {
            "GET /ledger": self._list_ledger,
            "GET /activity": lambda _: self.activity(),
            "GET /faults": lambda _: self.faults.faults,
            "PUT /faults": lambda exchange: self.faults.set(
                msgspec.json.decode(exchange.body, type=UpstreamFaults)
            ),
        }
        self._control = ControlServer(self.cfg.ip, self.cfg.control_port, routes)
        self.url = self._server.url
        self.control_url = self._control.url

    def start(self) -> None:
        """Start serving requests."""
        self._server.start()
        self._control.start()

    def stop(self) -> None:
        """Cancel all runs and stop serving."""
        self.faults.set(UpstreamFaults())
        with self._lock:
            for run in self._active_runs.values():
                run.cancelled.set()
        self._server.stop()
        self._control.stop()

    @abstractmethod
    def serve(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        """Execute the run within `occupied_slot` and send the response."""

    def resume(self, exchange: Exchange, request_id: str) -> None:
        """Respond to a request that resumes a stream; the base class retains none."""
        exchange.send_json(404, {"error": f"{request_id} is not kept"})

    def activity(self) -> Activity:
        """Return the current load and totals."""
        tokens = sum(execution.tokens for execution in self.ledger.executions())
        return Activity(
            self.slots.running,
            self.slots.waiting,
            self.slots.count,
            self.slots.total_busy_seconds(),
            tokens,
        )

    def generate(self, run: Run) -> Iterator[int]:
        """Generate the tokens of a run; yield the number of tokens of each step."""
        tokens_per_second = self._tokens_per_second()
        unyielded = 0.0
        run.cancelled.wait(self.cfg.overhead_seconds * self._slow_factor())
        while not run.is_complete() and not run.cancelled.is_set():
            self.faults.wait_while_frozen()
            remaining = run.work.max_tokens - run.execution.tokens
            seconds = min(MAX_STEP_SECONDS, remaining / tokens_per_second)
            run.cancelled.wait(seconds)
            unyielded += seconds * tokens_per_second
            tokens_per_second = self._tokens_per_second()
            step_tokens = min(remaining, round(unyielded)) or 1
            unyielded -= step_tokens
            run.execution.tokens += step_tokens
            yield step_tokens

    @contextmanager
    def occupied_slot(self, run: Run) -> Iterator[None]:
        """On exit, free the slot that `run` acquired and close its ledger entry."""
        run.execution.started = time.time()
        try:
            yield
        finally:
            run.execution.finished = time.time()
            run.execution.cancelled = not run.is_complete()
            self.slots.release()
            self._remove_run(run)
            self._log_run(run)

    def answered_run(self, run: Run, fault: FaultKind) -> Run:
        """Return the run whose response is sent, which is another one for `CROSSED`."""
        if fault is not FaultKind.CROSSED:
            return run
        with self._lock:
            candidates = (*self._active_runs.values(), *reversed(self._finished_runs))
            return next((other for other in candidates if other is not run), run)

    def response_id(self, run: Run, fault: FaultKind) -> str:
        """Return the request id to echo in the response."""
        if fault is FaultKind.WRONG_ID:
            return WRONG_ID
        return self.answered_run(run, fault).request_id

    def send_json(
        self, exchange: Exchange, run: Run, fault: FaultKind, value: object
    ) -> None:
        """Send a response, modified by the fault."""
        if fault is FaultKind.HANG:
            self.faults.wait_while_hung()
        body = msgspec.json.encode(value)
        headers = {
            "Content-Length": str(len(body)),
            REQUEST_ID_HEADER: self.response_id(run, fault),
            COST_HEADER: str(run.execution.tokens),
        }
        if fault in {FaultKind.SHORT, FaultKind.CUT}:
            exchange.send_head(200, headers)
            exchange.write(body[: len(body) // 2])
            exchange.abort()
            return
        for _ in range(2 if fault is FaultKind.TWICE else 1):
            exchange.send_head(200, headers)
            exchange.write(body)

    def _handle(self, exchange: Exchange) -> None:
        self.faults.wait_while_frozen()
        if exchange.path.startswith("/-/"):
            self._handle_control(exchange)
            return
        fault = self.faults.next_fault()
        if fault is FaultKind.ERROR:
            echoed = {REQUEST_ID_HEADER: exchange.headers.get(REQUEST_ID_HEADER, "")}
            exchange.send_json(500, {"error": "injected"}, echoed)
            return
        run = self._start_run(exchange)
        if self.slots.acquire(
            run.execution,
            lambda: run.cancelled.is_set() or exchange.client_disconnected(),
        ):
            self.serve(exchange, run, fault)
            return
        run.execution.cancelled = True
        self._remove_run(run)
        exchange.abort()

    def _handle_control(self, exchange: Exchange) -> None:
        action, _, request_id = exchange.path.removeprefix("/-/").partition("/")
        if (exchange.method, action) == ("GET", "load"):
            exchange.send_json(200, self._cached_load_report())
        elif (exchange.method, action) == ("GET", "resume"):
            self.resume(exchange, request_id)
        elif (exchange.method, action) == ("POST", "cancel"):
            with self._lock:
                run = self._active_runs.get(request_id)
            if run is not None:
                run.cancelled.set()
            exchange.send_json(404 if run is None else 200, {})
        else:
            exchange.send_json(404, {"error": "no such call"})

    def _start_run(self, exchange: Exchange) -> Run:
        work = decode_work(exchange.body)
        request, _, attempt = exchange.headers.get(REQUEST_ID_HEADER, "").rpartition(
            "/"
        )
        idempotency_key = exchange.headers.get("Idempotency-Key", "")
        execution = self.ledger.add(
            lambda number: Execution(
                number,
                request,
                attempt,
                exchange.method,
                exchange.path,
                idempotency_key,
                work.echo,
                work.kind,
                work.max_tokens,
                time.time(),
            )
        )
        run = Run(execution, work)
        with self._lock:
            self._active_runs[run.request_id] = run
        return run

    def _remove_run(self, run: Run) -> None:
        with self._lock:
            self._finished_runs.append(run)
            if self._active_runs.get(run.request_id) is run:
                del self._active_runs[run.request_id]

    def _slow_factor(self) -> float:
        return self.faults.faults.slow_factor

    def _tokens_per_second(self) -> float:
        others = max(self.slots.running - 1, 0)
        unloaded = self.cfg.speed / self._slow_factor()
        return unloaded / (1 + self.cfg.load_factor * others)

    def _cached_load_report(self) -> LoadReport:
        now = time.monotonic()
        if now - self._load_reported_at >= self.cfg.load_lag_seconds:
            running = self.slots.running
            tokens_per_second = running * self._tokens_per_second()
            self._load_report = LoadReport(
                running, self.slots.waiting, self.slots.count, tokens_per_second
            )
            self._load_reported_at = now
        return self._load_report

    def _list_ledger(self, exchange: Exchange) -> tuple[Execution, ...]:
        offset = int(exchange.query.get("after", 0))
        return self.ledger.executions()[offset:]

    def _log_run(self, run: Run) -> None:
        event = Event(
            wall=time.time_ns(),
            logical=0,
            vm=VmId(self.cfg.name),
            region=RegionId(self.cfg.region),
            process="upstream",
            incarnation=0,
            name=EventName.UPSTREAM_RAN,
            request=run.execution.request,
            upstream=self.cfg.name,
            detail=f"{run.execution.tokens} of {run.work.max_tokens} tokens",
        )
        logger.bind(event=event).info(event.name.value)


def read_config(
    program: str, description: str | None, argv: Sequence[str] | None = None
) -> UpstreamConfig:
    """Parse the settings from the command line and configure logging."""
    parser = argparse.ArgumentParser(program, description=description)
    parser.add_argument("--log-file", default="")
    for field in fields(UpstreamConfig):
        flag = "--" + field.name.replace("_", "-")
        parser.add_argument(flag, type=type(field.default), default=field.default)
    cfg = vars(parser.parse_args(argv))
    configure_logging("INFO", cfg.pop("log_file"))
    return UpstreamConfig(**cfg)
