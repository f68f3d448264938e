"""Daemon startup and main loop: settings, logs, links, actor, ticks and signals."""

import argparse
import faulthandler
import os
import signal
import sys
import threading
import time
from abc import abstractmethod
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, ClassVar, NoReturn

import pykka
import pynng
from loguru import logger
from returns.result import Failure

from oleandershift.events import EventName
from oleandershift.exceptions import SettingsError
from oleandershift.ids import FleetId, Incarnation, RegionId, VmId
from oleandershift.io.links import Links
from oleandershift.io.logs import EventLog, configure_logging
from oleandershift.io.metrics import Metrics, MetricsExporter, NoMetrics, make_metrics
from oleandershift.messages import Envelope, ProcessId, Role
from oleandershift.settings import Setting, build_parser, load_settings

TICK_INTERVAL_SECONDS = 0.05
STOP_TIMEOUT_SECONDS = 30.0
THREAD_STACK_BYTES = 256 * 1024
EXIT_FAILURE = 1
"""Exit code when a daemon can't listen or its actor fails."""
MAX_FAILED_TICKS = 100
"""Failed ticks in a row after which a daemon ends, as it does no periodic work."""


@dataclass(frozen=True)
class Tick:
    """Message to an actor: run the periodic work that is due."""


@dataclass(frozen=True)
class DrainRequested:
    """Message to an actor: finish the work under way, accept no more, then stop.

    Parameters
    ----------
    deadline : float
        Unix time at which to stop even with work running.
    """

    deadline: float


class StopEvent(threading.Event):
    """Event that is set when an actor has stopped.

    Attributes
    ----------
    failed : bool
        Whether it stopped because of an error.
    """

    def __init__(self) -> None:
        super().__init__()
        self.failed = False


class DaemonActor(pykka.ThreadingActor):
    """Base class of a daemon's actor, which stops itself once it has drained.

    A message whose handler fails is logged and dropped, as other requests depend on the
    process.

    Parameters
    ----------
    stopped : StopEvent
        Set when the actor has stopped.
    """

    asked_types: ClassVar[tuple[type, ...]] = ()
    """Types of messages whose senders wait for a reply, and get the error instead."""

    def __init__(self, stopped: StopEvent) -> None:
        super().__init__()
        self._stopped = stopped
        self._failed_ticks = 0

    def on_stop(self) -> None:
        """Let the main loop end."""
        self._stopped.set()

    def on_failure(self, *_: Any) -> None:
        """Let the main loop end after an error."""
        self._stopped.failed = True
        self._stopped.set()

    def on_receive(self, message: object) -> Any:
        """Dispatch a message to its handler."""
        if isinstance(message, Envelope):
            return self._handle_envelope(message)
        if isinstance(message, Tick):
            return self._tick()
        if isinstance(message, DrainRequested):
            return self.on_drain(time.time(), message.deadline)
        if isinstance(message, self.asked_types):
            return self.on_internal_message(message)
        return self._handle_internal_message(message)

    def _handle_envelope(self, envelope: Envelope) -> None:
        """Handle a message from another process; drop it if its handler fails."""
        try:
            self.on_envelope(envelope)
        except Exception:
            sender = envelope.sender
            kind = type(envelope.body).__name__
            logger.exception(
                "handler failed, dropped {} from {}/{}",
                kind,
                sender.vm,
                sender.role.label,
            )

    def _handle_internal_message(self, message: object) -> Any:
        """Handle a message from a thread of this process; drop it if that fails."""
        try:
            return self.on_internal_message(message)
        except Exception:
            logger.exception("handler failed, dropped {}", type(message).__name__)

    def _tick(self) -> None:
        """Run the periodic work; fail only after many failures in a row."""
        try:
            self.on_tick(time.time())
        except Exception:
            self._failed_ticks += 1
            if self._failed_ticks >= MAX_FAILED_TICKS:
                raise
            logger.exception("periodic work failed, {} in a row", self._failed_ticks)
        else:
            self._failed_ticks = 0

    @abstractmethod
    def on_envelope(self, envelope: Envelope) -> None:
        """Handle a message from another process."""

    @abstractmethod
    def on_tick(self, now: float) -> None:
        """Run the periodic work that is due."""

    @abstractmethod
    def on_drain(self, now: float, deadline: float) -> None:
        """Start draining."""

    def on_internal_message(self, message: object) -> Any:
        """Handle a message from a thread of this process."""
        raise NotImplementedError(type(message).__name__)


@dataclass(frozen=True)
class Runtime:
    """Dependencies of a daemon's actor.

    Parameters
    ----------
    cfg : argparse.Namespace
        Validated settings.
    process : ProcessId
        Identity of this run of the process.
    events : EventLog
        Event log.
    links : Links
        Message links, not yet listening.
    stopped : StopEvent
        Set by the actor when the process may exit.
    metrics : Metrics
        Records the process's status reports.
    """

    cfg: argparse.Namespace
    process: ProcessId
    events: EventLog
    links: Links
    stopped: StopEvent
    metrics: Metrics = field(default_factory=NoMetrics)

    @property
    def region(self) -> RegionId:
        """Return the region of this VM."""
        return RegionId(self.cfg.region)

    @property
    def agent_address(self) -> str:
        """Return the link address of this VM's agent."""
        return f"tcp://{self.cfg.ip}:{self.cfg.agent_port}"


class _Inbox:
    """Passes received messages to an actor that is created after the links."""

    def __init__(self) -> None:
        self.actor: pykka.ActorRef[Any] | None = None

    def __call__(self, envelope: Envelope) -> None:
        if self.actor is not None and self.actor.is_alive():
            self.actor.tell(envelope)


def read_settings(
    program: str,
    description: str,
    settings: Sequence[Setting],
    argv: Sequence[str] | None,
) -> argparse.Namespace:
    """Return validated settings, or print every finding and exit.

    Raises
    ------
    SystemExit
        With code 2 when a setting is invalid.
    """
    args = build_parser(program, description, settings).parse_args(argv)
    result = load_settings(settings, args, os.environ)
    if isinstance(result, Failure):
        error = SettingsError(result.failure())
        print(error.message, file=sys.stderr)
        raise SystemExit(error.exit_code)
    return result.unwrap()


def run(
    role: Role,
    link_port: int,
    cfg: argparse.Namespace,
    start: Callable[[Runtime], pykka.ActorRef[Any]],
) -> int:
    """Run a daemon until its actor has stopped.

    Parameters
    ----------
    role : Role
        Role of the process.
    link_port : int
        Port on which its links listen.
    cfg : argparse.Namespace
        Validated settings, with `drain_seconds`.
    start : callable
        Starts the actor and returns its reference.

    Returns
    -------
    int
        Exit code.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    configure_logging(cfg.log_level, cfg.log_file)
    process = ProcessId(VmId(cfg.vm), role, Incarnation(time.time_ns()))
    region = RegionId(cfg.region)
    metrics = make_metrics(MetricsExporter(cfg.metrics), process, region)
    events = EventLog(process, region, metrics)
    inbox = _Inbox()
    links = Links(
        FleetId(cfg.fleet),
        process,
        region,
        f"tcp://{cfg.ip}:{link_port}",
        inbox,
        events,
        metrics,
    )
    stopped = StopEvent()
    try:
        ref = start(Runtime(cfg, process, events, links, stopped, metrics))
        inbox.actor = ref
        links.start()
    except (OSError, pynng.NNGException) as exc:
        _exit_with_error(f"can't listen on {cfg.ip}: {exc}")
    events.write(EventName.STARTED)
    faulthandler.register(signal.SIGUSR1)
    signals = StopSignals(cfg.drain_seconds)
    signals.install()
    run_ticks(ref, stopped, signals)
    events.write(EventName.STOPPED)
    links.close()
    metrics.close()
    return EXIT_FAILURE if stopped.failed else 0


def _exit_with_error(message: str) -> NoReturn:
    """Exit immediately, without waiting for threads.

    When the links can't listen, no work has been started. When the actor has ended
    without setting `stopped`, it either failed in `on_start`, before any work, or it
    failed or hangs in `on_stop`, after draining or the drain deadline.
    """
    logger.error(message)
    print(message, file=sys.stderr, flush=True)
    os._exit(EXIT_FAILURE)


class StopSignals:
    """Signals that ask a daemon to stop.

    Their handler records them only: it may interrupt a thread that holds a lock, such
    as that of the queue in which the actor's messages wait.

    Parameters
    ----------
    drain_seconds : float
        Longest time from the first signal to the stop.
    """

    def __init__(self, drain_seconds: float) -> None:
        self._drain_seconds = drain_seconds
        self._received: deque[tuple[int, float]] = deque()
        self._is_draining = False

    def install(self) -> None:
        """Handle the signals from now on."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, _frame: object) -> None:
        self._received.append((number, time.time()))

    def take(self) -> Iterator[DrainRequested]:
        """Return a request to drain for the first signal; log further ones."""
        while self._received:
            number, received_at = self._received.popleft()
            if self._is_draining:
                logger.warning("already draining; signal {} ignored", number)
                continue
            self._is_draining = True
            yield DrainRequested(received_at + self._drain_seconds)


def run_ticks(
    ref: pykka.ActorRef[Any], stopped: StopEvent, signals: StopSignals
) -> None:
    """Send an actor ticks and requests to stop until it has stopped."""
    while not stopped.wait(TICK_INTERVAL_SECONDS):
        if ref.is_alive():
            for request in signals.take():
                ref.tell(request)
            ref.tell(Tick())
        elif not stopped.wait(STOP_TIMEOUT_SECONDS):
            _exit_with_error("the daemon's actor has failed; see the log")
