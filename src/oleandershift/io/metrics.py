"""Metrics of one process and the choice of their exporter.

The I/O layer records events, sent messages and status reports; the setting `metrics`
selects the exporter. The metrics SDK is imported only when it is used, as control
processes have little memory.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from oleandershift.events import Event, EventName
from oleandershift.ids import RegionId
from oleandershift.messages import ProcessId, StatusReport

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

MAX_TRACKED_REQUESTS = 20_000
NANOSECONDS_PER_SECOND = 1e9

_COUNTER_NAMES = {
    EventName.REQUEST_RETRIED: "retries",
    EventName.REQUEST_CANCELLED: "cancellations",
    EventName.UPSTREAM_EJECTED: "upstream_ejections",
    EventName.MESSAGE_DROPPED: "dropped_messages",
    EventName.PLATFORM_UNAVAILABLE: "platform_outages",
    EventName.GRANT_MADE: "grants",
    EventName.GRANT_RETURNED: "grants_returned",
}


class MetricsExporter(Enum):
    """Exporter of the metrics, as named in the settings."""

    NONE = "none"
    OTLP = "otlp"


class Metrics(Protocol):
    """Interface through which the I/O layer of a process records metrics."""

    def on_event(self, event: Event) -> None:
        """Record a timeline event."""

    def on_message_sent(self, kind: str, target: RegionId, size: int) -> None:
        """Record a sent control message of `size` bytes."""

    def on_report(self, report: StatusReport) -> None:
        """Record the process's own status report."""

    def close(self) -> None:
        """Export pending metrics and stop."""


class NoMetrics:
    """Metrics that discard everything they record."""

    def on_event(self, event: Event) -> None:
        """Do nothing."""

    def on_message_sent(self, kind: str, target: RegionId, size: int) -> None:
        """Do nothing."""

    def on_report(self, report: StatusReport) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


@dataclass
class _RequestTimers:
    """Start times of requests in progress; evicts the oldest over a limit."""

    start_times: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def start(self, request: str, wall: int) -> None:
        self.start_times.setdefault(request, wall)
        if len(self.start_times) > MAX_TRACKED_REQUESTS:
            self.start_times.popitem(last=False)

    def finish(self, request: str, wall: int) -> float | None:
        started = self.start_times.pop(request, None)
        return (
            None if started is None else max(wall - started, 0) / NANOSECONDS_PER_SECOND
        )


class MeterMetrics:
    """Metrics recorded with an OpenTelemetry meter.

    Parameters
    ----------
    meter : Meter
        Meter that creates the instruments.
    region : RegionId
        Region of this process, the source region of its control traffic.
    """

    def __init__(self, meter: "Meter", region: RegionId) -> None:
        self._region = region
        self._queued_requests = _RequestTimers()
        self._running_requests = _RequestTimers()
        self._queue_wait = meter.create_histogram("oleander.queue_wait", "s")
        self._service_time = meter.create_histogram("oleander.service_time", "s")
        self._refusals = meter.create_counter("oleander.refusals")
        self._requests = meter.create_counter("oleander.requests")
        self._event_counters = {
            name: meter.create_counter(f"oleander.{suffix}")
            for name, suffix in _COUNTER_NAMES.items()
        }
        self._control_bytes = meter.create_counter("oleander.control_sent", "By")
        self._control_messages = meter.create_counter("oleander.control_messages")
        self._waiting = meter.create_gauge("oleander.waiting")
        self._running = meter.create_gauge("oleander.running")
        self._served_cost = meter.create_gauge("oleander.served_cost")
        self._slots = meter.create_gauge("oleander.slots")
        self._slots_in_use = meter.create_gauge("oleander.slots_taken")
        self._slots_busy = meter.create_gauge("oleander.slots_busy", "s")
        self._slots_idle_while_waiting = meter.create_gauge(
            "oleander.slots_idle_while_waiting", "s"
        )
        self._process_cpu = meter.create_gauge("oleander.process_cpu", "s")
        self._process_resident = meter.create_gauge("oleander.process_resident", "By")
        self._process_ready = meter.create_gauge("oleander.process_ready")

    def on_event(self, event: Event) -> None:
        """Record a timeline event."""
        counter = self._event_counters.get(event.name)
        if counter is not None:
            counter.add(1, {"service": event.service} if event.service else {})
        elif event.request:
            self._on_request(event)

    def _on_request(self, event: Event) -> None:
        labels = {"service": event.service}
        if event.name is EventName.REQUEST_ACCEPTED:
            self._queued_requests.start(event.request, event.wall)
        elif event.name is EventName.REQUEST_GRANTED:
            seconds = self._queued_requests.finish(event.request, event.wall)
            if seconds is not None:
                self._queue_wait.record(seconds, labels)
        elif event.name is EventName.REQUEST_SENT:
            self._running_requests.start(event.request, event.wall)
        elif event.name is EventName.REQUEST_FINISHED:
            self._on_request_finished(event, labels)
        elif event.name is EventName.REQUEST_REFUSED:
            self._queued_requests.finish(event.request, event.wall)
            self._running_requests.finish(event.request, event.wall)
            self._refusals.add(1, {**labels, "reason": event.detail})

    def _on_request_finished(self, event: Event, labels: dict[str, str]) -> None:
        self._queued_requests.finish(event.request, event.wall)
        seconds = self._running_requests.finish(event.request, event.wall)
        if seconds is not None:
            self._service_time.record(seconds, {**labels, "upstream": event.upstream})
        self._requests.add(1, {**labels, "team": event.team})

    def on_message_sent(self, kind: str, target: RegionId, size: int) -> None:
        """Record a sent control message of `size` bytes."""
        labels = {"kind": kind, "source": self._region, "target": target}
        self._control_bytes.add(size, labels)
        self._control_messages.add(1, labels)

    def on_report(self, report: StatusReport) -> None:
        """Record the process's own status report."""
        self._process_cpu.set(report.cpu_seconds)
        self._process_resident.set(report.resident_bytes)
        self._process_ready.set(int(report.ready))
        for team in report.teams:
            labels = {"team": team.team, "service": team.service}
            self._waiting.set(team.waiting, labels)
            self._running.set(team.running, labels)
            self._served_cost.set(team.served_cost, labels)
        for upstream in report.upstreams:
            labels = {"upstream": upstream.upstream, "service": upstream.service}
            self._slots.set(upstream.slots, labels)
            self._slots_in_use.set(upstream.slots_in_use, labels)
            self._slots_busy.set(upstream.busy_seconds, labels)
            self._slots_idle_while_waiting.set(
                upstream.idle_while_waiting_seconds, labels
            )

    def close(self) -> None:
        """Do nothing; exporting is up to the provider of the meter."""


def make_metrics(
    exporter: MetricsExporter, process: ProcessId, region: RegionId
) -> Metrics:
    """Return the metrics of a process for the configured exporter."""
    if exporter is MetricsExporter.NONE:
        return NoMetrics()
    from oleandershift.io.otlp import OtlpMetrics

    return OtlpMetrics(process, region)
