"""What the upstream stand-ins have in common: calls, ledger, faults, load report."""

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
    """Upstream stand-in on threads of this process.

    Parameters
    ----------
    cfg : UpstreamConfig, optional
        Settings.
    """

    def __init__(self, cfg: UpstreamConfig | None = None) -> None:
        self.cfg = cfg or UpstreamConfig()
        self.ledger = Ledger()
        self.faults = FaultInjector()
        self.slots = Slots(self.cfg.slots)
        self._runs: dict[str, Run] = {}
        self._past: deque[Run] = deque(maxlen=2)
        self._lock = threading.Lock()
        self._load_at = 0.0
        self._load = LoadReport(0, 0, self.cfg.slots, 0.0)
        self._server = Server(self.cfg.ip, self.cfg.port, self._handle)
        routes = {
            "GET /ledger": self._list_ledger,
            "GET /activity": lambda _: self.activity(),
            "GET /faults": lambda _: self.faults.faults,
            "PUT /faults": lambda call: self.faults.set(
                msgspec.json.decode(call.body, type=UpstreamFaults)
            ),
        }
        self._control = ControlServer(self.cfg.ip, self.cfg.control_port, routes)
        self.url = self._server.url
        self.control_url = self._control.url

    def start(self) -> None:
        """Begin to answer."""
        self._server.start()
        self._control.start()

    def stop(self) -> None:
        """Stop answering."""
        self.faults.set(UpstreamFaults())
        with self._lock:
            for run in self._runs.values():
                run.cancelled.set()
        self._server.stop()
        self._control.stop()

    @abstractmethod
    def serve(self, exchange: Exchange, run: Run, fault: FaultKind) -> None:
        """Do the work, in `slot`, and answer."""

    def resume(self, exchange: Exchange, request_id: str) -> None:
        """Answer a call to resume a stream."""
        exchange.send_json(404, {"error": f"{request_id} is not kept"})

    def activity(self) -> Activity:
        """Return exact figures."""
        tokens = sum(execution.tokens for execution in self.ledger.executions())
        return Activity(
            self.slots.running,
            self.slots.waiting,
            self.slots.count,
            self.slots.total_busy_seconds(),
            tokens,
        )

    def generate(self, run: Run) -> Iterator[int]:
        """Make the tokens of a run; yield how many each step made."""
        speed = self._speed()
        due = 0.0
        run.cancelled.wait(self.cfg.overhead_seconds * self._slow_factor())
        while not run.is_complete() and not run.cancelled.is_set():
            self.faults.wait_while_frozen()
            left = run.work.max_tokens - run.execution.tokens
            seconds = min(MAX_STEP_SECONDS, left / speed)
            run.cancelled.wait(seconds)
            due += seconds * speed
            speed = self._speed()
            made = min(left, round(due)) or 1
            due -= made
            run.execution.tokens += made
            yield made

    @contextmanager
    def occupied_slot(self, run: Run) -> Iterator[None]:
        """Hold the slot that `run` has entered; close its ledger entry at the end."""
        run.execution.started = time.time()
        try:
            yield
        finally:
            run.execution.finished = time.time()
            run.execution.cancelled = not run.is_complete()
            self.slots.release()
            self._forget(run)
            self._log(run)

    def answered_run(self, run: Run, fault: FaultKind) -> Run:
        """Return the run whose answer goes out: another one when crossed."""
        if fault is not FaultKind.CROSSED:
            return run
        with self._lock:
            candidates = (*self._runs.values(), *reversed(self._past))
            return next((other for other in candidates if other is not run), run)

    def response_id(self, run: Run, fault: FaultKind) -> str:
        """Return the request id to echo."""
        if fault is FaultKind.WRONG_ID:
            return WRONG_ID
        return self.answered_run(run, fault).request_id

    def send_json(
        self, exchange: Exchange, run: Run, fault: FaultKind, value: object
    ) -> None:
        """Send a whole answer, or what the fault makes of it."""
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
            self._manage(exchange)
            return
        fault = self.faults.next_fault()
        if fault is FaultKind.ERROR:
            echoed = {REQUEST_ID_HEADER: exchange.headers.get(REQUEST_ID_HEADER, "")}
            exchange.send_json(500, {"error": "injected"}, echoed)
            return
        run = self._open(exchange)
        if self.slots.acquire(
            run.execution,
            lambda: run.cancelled.is_set() or exchange.client_disconnected(),
        ):
            self.serve(exchange, run, fault)
            return
        run.execution.cancelled = True
        self._forget(run)
        exchange.abort()

    def _manage(self, exchange: Exchange) -> None:
        action, _, key = exchange.path.removeprefix("/-/").partition("/")
        if (exchange.method, action) == ("GET", "load"):
            exchange.send_json(200, self._lagging_load())
        elif (exchange.method, action) == ("GET", "resume"):
            self.resume(exchange, key)
        elif (exchange.method, action) == ("POST", "cancel"):
            with self._lock:
                run = self._runs.get(key)
            if run is not None:
                run.cancelled.set()
            exchange.send_json(404 if run is None else 200, {})
        else:
            exchange.send_json(404, {"error": "no such call"})

    def _open(self, exchange: Exchange) -> Run:
        work = decode_work(exchange.body)
        request, _, attempt = exchange.headers.get(REQUEST_ID_HEADER, "").rpartition(
            "/"
        )
        key = exchange.headers.get("Idempotency-Key", "")
        execution = self.ledger.add(
            lambda number: Execution(
                number,
                request,
                attempt,
                exchange.method,
                exchange.path,
                key,
                work.echo,
                work.kind,
                work.max_tokens,
                time.time(),
            )
        )
        run = Run(execution, work)
        with self._lock:
            self._runs[run.request_id] = run
        return run

    def _forget(self, run: Run) -> None:
        with self._lock:
            self._past.append(run)
            if self._runs.get(run.request_id) is run:
                del self._runs[run.request_id]

    def _slow_factor(self) -> float:
        return self.faults.faults.slow_factor

    def _speed(self) -> float:
        others = max(self.slots.running - 1, 0)
        alone = self.cfg.speed / self._slow_factor()
        return alone / (1 + self.cfg.load_factor * others)

    def _lagging_load(self) -> LoadReport:
        now = time.monotonic()
        if now - self._load_at >= self.cfg.load_lag_seconds:
            running = self.slots.running
            speed = running * self._speed()
            self._load = LoadReport(
                running, self.slots.waiting, self.slots.count, speed
            )
            self._load_at = now
        return self._load

    def _list_ledger(self, call: Exchange) -> tuple[Execution, ...]:
        since = int(call.query.get("after", 0))
        return self.ledger.executions()[since:]

    def _log(self, run: Run) -> None:
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
    program: str, purpose: str | None, argv: Sequence[str] | None = None
) -> UpstreamConfig:
    """Return the settings in the flags, and send the log where they say."""
    parser = argparse.ArgumentParser(program, description=purpose)
    parser.add_argument("--log-file", default="")
    for field in fields(UpstreamConfig):
        flag = "--" + field.name.replace("_", "-")
        parser.add_argument(flag, type=type(field.default), default=field.default)
    cfg = vars(parser.parse_args(argv))
    configure_logging("INFO", cfg.pop("log_file"))
    return UpstreamConfig(**cfg)
