"""Tests of the metrics that a process records."""

import subprocess
import sys
import time
from typing import Any

import pytest
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from oleandershift.events import EventName
from oleandershift.ids import RegionId
from oleandershift.io.logs import EventLog
from oleandershift.io.metrics import MAX_TRACKED_REQUESTS, MeterMetrics
from tests.samples import REGION, REPORT, ROUTER


class RecordedMetrics:
    """Metrics recorded in memory, with access to their data points."""

    def __init__(self) -> None:
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider([self._reader])
        self.metrics = MeterMetrics(self._provider.get_meter("test"), REGION)
        self.events = EventLog(ROUTER, REGION, self.metrics)

    def points(self, name: str) -> list[Any]:
        """Return the data points of one metric."""
        data = self._reader.get_metrics_data()
        matches = [
            list(metric.data.data_points)
            for resource in (data.resource_metrics if data else [])
            for scope in resource.scope_metrics
            for metric in scope.metrics
            if metric.name == name
        ]
        return matches[0] if matches else []


@pytest.fixture
def recorded() -> RecordedMetrics:
    return RecordedMetrics()


def test_queue_wait_and_service_time_are_measured_between_events(
    recorded: RecordedMetrics,
) -> None:
    for name in (
        EventName.REQUEST_ACCEPTED,
        EventName.REQUEST_GRANTED,
        EventName.REQUEST_SENT,
        EventName.REQUEST_FINISHED,
    ):
        recorded.events.write(name, request="r1", service="draft", team="a")
        time.sleep(0.01)
    (wait,) = recorded.points("oleander.queue_wait")
    assert (wait.count, wait.sum >= 0.01) == (1, True)
    (service,) = recorded.points("oleander.service_time")
    assert (service.count, service.sum >= 0.01) == (1, True)


def test_refusals_are_counted_by_reason(recorded: RecordedMetrics) -> None:
    recorded.events.write(
        EventName.REQUEST_REFUSED, request="r", service="draft", detail="429 team-rate"
    )
    (point,) = recorded.points("oleander.refusals")
    assert (point.value, point.attributes["reason"]) == (1, "429 team-rate")


def test_control_bytes_are_labelled_by_kind_and_regions(
    recorded: RecordedMetrics,
) -> None:
    recorded.metrics.on_message_sent("Grants", RegionId("north"), 100)
    recorded.metrics.on_message_sent("Grants", RegionId("north"), 50)
    (point,) = recorded.points("oleander.control_sent")
    assert point.value == 150
    assert dict(point.attributes) == {
        "kind": "Grants",
        "source": "south",
        "target": "north",
    }


def test_status_report_sets_gauges(recorded: RecordedMetrics) -> None:
    recorded.metrics.on_report(REPORT)
    (point,) = recorded.points("oleander.slots_taken")
    assert (point.value, point.attributes["upstream"]) == (3, "u1")


def test_oldest_unfinished_requests_are_evicted_over_the_limit(
    recorded: RecordedMetrics,
) -> None:
    for number in range(MAX_TRACKED_REQUESTS + 10):
        recorded.metrics._queued_requests.start(str(number), number)
    assert len(recorded.metrics._queued_requests.start_times) == MAX_TRACKED_REQUESTS


def test_metrics_sdk_is_not_imported_unless_used() -> None:
    code = (
        "import sys, oleandershift.cli.router, oleandershift.cli.allocator,"
        " oleandershift.cli.agent;"
        "print([m for m in sys.modules if m.startswith('opentelemetry')])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
