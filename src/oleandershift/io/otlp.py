"""Export of metrics over OTLP; imported only when it is used.

The standard environment variables of the exporter, such as
`OTEL_EXPORTER_OTLP_ENDPOINT` and `OTEL_METRIC_EXPORT_INTERVAL`, set the endpoint and
the interval.
"""

from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource

from oleandershift.ids import RegionId
from oleandershift.io.metrics import MeterMetrics
from oleandershift.messages import ProcessId
from oleandershift.settings import program_version

METER_NAME = "oleandershift"


def _resource(process: ProcessId, region: RegionId) -> Resource:
    return Resource.create(
        {
            "service.name": f"oleander-{process.role.label}",
            "service.version": program_version(),
            "service.instance.id": f"{process.vm}/{process.incarnation}",
            "host.name": process.vm,
            "cloud.region": region,
        }
    )


class OtlpMetrics(MeterMetrics):
    """Metrics exported periodically over OTLP.

    Parameters
    ----------
    process : ProcessId
        Process that the metrics describe.
    region : RegionId
        Region of the process.
    """

    def __init__(self, process: ProcessId, region: RegionId) -> None:
        reader = PeriodicExportingMetricReader(OTLPMetricExporter())
        self._provider = MeterProvider([reader], resource=_resource(process, region))
        super().__init__(self._provider.get_meter(METER_NAME), region)

    def close(self) -> None:
        """Export pending metrics and stop."""
        self._provider.shutdown()
