"""Counters and latency histograms of a gateway, in the Prometheus text format.

prometheus_client writes that format itself; the OpenTelemetry SDK needs an exporter
on top of the same library.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from oleandershift.io.callers import CallerRequest, Responder
from oleandershift.routing import Limits

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

LATENCY_BUCKETS_SECONDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.5,
    0.8,
    1.5,
    3,
    6,
    15,
)
"""Bucket bounds; dense around the latency targets of 0.25 to 0.8 s."""


class GatewayMetrics:
    """Metrics of one gateway."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.requests = Counter(
            "oleander_requests",
            "Requests by kind and outcome.",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self.first_byte = Histogram(
            "oleander_first_byte_seconds",
            "Time from a request's arrival to its answer's first byte.",
            ["kind"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.prediction_error = Histogram(
            "oleander_prediction_error_seconds",
            "Distance of the predicted from the seen first byte.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.attempts = Counter(
            "oleander_attempts",
            "Attempts at upstreams by their end.",
            ["end"],
            registry=self._registry,
        )
        self.answers = Counter(
            "oleander_answers",
            "Complete answers of upstreams by what stated their end.",
            ["end"],
            registry=self._registry,
        )
        self.turned_away = Counter(
            "oleander_turned_away",
            "Requests refused unresolved, for want of room.",
            registry=self._registry,
        )
        self.store_events = Counter(
            "oleander_store_events",
            "Answers of the store and failed calls by kind.",
            ["kind", "outcome"],
            registry=self._registry,
        )
        self.leaving_reports = Counter(
            "oleander_leaving_reports",
            "Upstreams that said that they leave, by how this VM learned it.",
            ["source"],
            registry=self._registry,
        )
        self.take_ups = Counter(
            "oleander_take_ups",
            "Streams that callers take up, by whether their version is known.",
            ["version"],
            registry=self._registry,
        )
        self.blocks = Counter(
            "oleander_blocks",
            "Blocks and releases of requests and prompt parts that crash upstreams.",
            ["kind", "change"],
            registry=self._registry,
        )
        self.gauges = {
            name: Gauge(f"oleander_{name}", text, registry=self._registry)
            for name, text in (
                ("configuration_version", "Version in force."),
                ("reads_store", "Whether this VM reads the store itself."),
                ("store_age_seconds", "Time since the store answered any VM."),
                ("upstreams_revision", "Store revision of the list of upstreams."),
                ("store_era", "How often the store has come back from a copy."),
                ("upstreams", "Upstreams believed in."),
                ("upstreams_limited", "Upstreams that have named a limit."),
                ("upstreams_ejected", "Upstreams left out for failures."),
                ("vms", "Live VMs, this one included."),
                ("active_requests", "Requests under way."),
                ("connections_opened", "Connections opened to upstreams."),
                ("caller_connections", "Open connections of callers."),
                ("connections_accepted", "Connections of callers accepted."),
                ("loop_delay_seconds", "Delay of the event loop's latest tick."),
                ("upstreams_leaving", "Registered upstreams that leave."),
                ("upstreams_away", "Upstreams that want no work for a while."),
                ("suspects_blocked", "Requests and prompt parts that are rejected."),
                ("retry_budget", "Retries left of the tightest service."),
                ("digest_entries_omitted", "Entries beyond the limits of digests."),
                ("log_lines_dropped", "Log lines dropped for a slow reader."),
            )
        }

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)


class MetricsHandler:
    """Serves the metrics endpoint.

    Parameters
    ----------
    metrics : GatewayMetrics
        Metrics to serve.
    """

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def limits(self) -> Limits:
        """Return the default limits."""
        return Limits()

    def should_close(self) -> bool:
        """Return whether connections are closed after each response."""
        return False

    def team_of(self, req: CallerRequest) -> None:
        """Return None, as scrapes are of no team."""

    def turn_away(self, req: CallerRequest, res: Responder) -> None:
        """Reject a scrape."""
        res.send(503, [], b"too many scrapes")

    async def handle(self, req: CallerRequest, res: Responder) -> None:
        """Respond to a scrape."""
        if req.target.partition(b"?")[0] != b"/metrics":
            res.send(404, [], b"metrics are at /metrics")
            return
        res.send(200, [(b"content-type", CONTENT_TYPE)], self._metrics.render())
