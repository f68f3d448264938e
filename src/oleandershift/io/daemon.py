"""Frame of a daemon: settings, logs, links, an actor, ticks and signals."""

import argparse
import faulthandler
import os
import signal
import sys
import threading
import time
from abc import abstractmethod
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NoReturn

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
"""Exit code of a daemon that can't run."""


@dataclass(frozen=True)
class Tick:
    """Message to an actor: time has passed."""


@dataclass(frozen=True)
class DrainRequested:
    """Message to an actor: finish the work, take no more, then stop.

    Parameters
    ----------
    deadline : float
        Instant at which to stop even with work running.
    """

    deadline: float


class DaemonActor(pykka.ThreadingActor):
    """Base of a daemon's actor; stops itself when it has drained.

    Parameters
    ----------
    stopped : threading.Event
        Set when the actor has stopped.
    """

    def __init__(self, stopped: threading.Event) -> None:
        super().__init__()
        self._stopped = stopped

    def on_stop(self) -> None:
        """Tell the frame that the process may exit."""
        self._stopped.set()

    def on_failure(self, *_: Any) -> None:
        """Tell the frame to exit after an error."""
        self._stopped.set()

    def on_receive(self, message: object) -> Any:
        """Pass a message to its handler."""
        if isinstance(message, Envelope):
            return self._take_envelope(message)
        if isinstance(message, Tick):
            return self.on_tick(time.time())
        if isinstance(message, DrainRequested):
            return self.on_drain(time.time(), message.deadline)
        return self.on_internal_message(message)

    def _take_envelope(self, envelope: Envelope) -> None:
        """Take a message of another process; one that can't be handled is dropped."""
        try:
            self.on_envelope(envelope)
        except Exception:
            sender = envelope.sender
            kind = type(envelope.body).__name__
            logger.exception("dropped {} of {}/{}", kind, sender.vm, sender.role.label)

    @abstractmethod
    def on_envelope(self, envelope: Envelope) -> None:
        """Take a message of another process."""

    @abstractmethod
    def on_tick(self, now: float) -> None:
        """Take the passage of time."""

    @abstractmethod
    def on_drain(self, now: float, deadline: float) -> None:
        """Begin to drain."""

    def on_internal_message(self, message: object) -> Any:
        """Take a message of the process's own kinds."""
        raise NotImplementedError(type(message).__name__)


@dataclass(frozen=True)
class Runtime:
    """What a daemon's actor is built from.

    Parameters
    ----------
    cfg : argparse.Namespace
        Checked settings.
    process : ProcessId
        This run of the process.
    events : EventLog
        Time line.
    links : Links
        Message links; not yet listening.
    stopped : threading.Event
        To be set when the process may exit.
    metrics : Metrics
        Takes the process's status reports.
    """

    cfg: argparse.Namespace
    process: ProcessId
    events: EventLog
    links: Links
    stopped: threading.Event
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
    """Hands received messages to an actor that is made after the links."""

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
    """Return checked settings, or print every finding and exit.

    Raises
    ------
    SystemExit
        With code 2 when a setting is wrong.
    """
    given = build_parser(program, description, settings).parse_args(argv)
    result = load_settings(settings, given, os.environ)
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
    """Run a daemon until it has drained.

    Parameters
    ----------
    role : Role
        What it is.
    link_port : int
        Port of its links.
    cfg : argparse.Namespace
        Checked settings, with `drain_seconds`.
    start : callable
        Starts the actor.

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
    stopped = threading.Event()
    try:
        ref = start(Runtime(cfg, process, events, links, stopped, metrics))
        inbox.actor = ref
        links.start()
    except (OSError, pynng.NNGException) as exc:
        _give_up(f"can't listen on {cfg.ip}: {exc}")
    events.write(EventName.STARTED)
    faulthandler.register(signal.SIGUSR1)
    _handle_signals(ref, cfg.drain_seconds)
    _run_ticks(ref, stopped)
    events.write(EventName.STOPPED)
    links.close()
    metrics.close()
    return 0


def _give_up(why: str) -> NoReturn:
    """End the process at once, whatever its threads do; it has not begun to work."""
    logger.error(why)
    print(why, file=sys.stderr, flush=True)
    os._exit(EXIT_FAILURE)


def _run_ticks(ref: pykka.ActorRef[Any], stopped: threading.Event) -> None:
    while not stopped.wait(TICK_INTERVAL_SECONDS):
        if ref.is_alive():
            ref.tell(Tick())
        elif not stopped.wait(STOP_TIMEOUT_SECONDS):
            _give_up("the daemon's actor has failed; see the log")


def _handle_signals(ref: pykka.ActorRef[Any], drain_seconds: float) -> None:
    signals = []

    def on_signal(number: int, _frame: object) -> None:
        signals.append(number)
        if len(signals) > 1:
            logger.warning("already draining; signal {} ignored", number)
            return
        ref.tell(DrainRequested(time.time() + drain_seconds))

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
