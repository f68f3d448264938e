"""Registrations of upstreams for tests."""

from oleandershift.directory import Upstream, UpstreamState
from oleandershift.ids import DataCentreId, ServiceId, UpstreamId


def make_upstream(
    name: str = "e1", data_centre: str = "here", port: int = 1, slots: int = 8
) -> Upstream:
    """Return an upstream that accepts new requests."""
    return Upstream(
        name=UpstreamId(name),
        incarnation=1,
        service=ServiceId("model"),
        host="127.0.0.1",
        port=port,
        data_centre=DataCentreId(data_centre),
        slots=slots,
        state=UpstreamState.READY,
    )
