"""Decoder of upstream registrations in the platform's store."""

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.directory import Upstream, UpstreamState
from oleandershift.exceptions import Finding
from oleandershift.ids import DataCentreId, ServiceId, SoftwareVersion, UpstreamId
from oleandershift.platform.settings import parse_address
from oleandershift.records import MAX_INTEGER

KIND = "servers"


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: UpstreamState
    sequence: int
    # Of its software, not of the weights.
    version: str
    # Not used; an entry that lacks it was stored by another writer.
    cold_remaining_ms: float
    # Start time of the upstream's process, in Unix milliseconds; sent in digests.
    born: Annotated[int, msgspec.Meta(le=MAX_INTEGER)] = 0


def decode(name: str, spec: object) -> Result[Upstream, Finding]:
    """Decode one registration; a finding when another writer stored it malformed."""
    place = f"{KIND}/{name}"
    try:
        raw = msgspec.convert(spec, _Entry)
        endpoint = parse_address(raw.address)
    except (msgspec.ValidationError, ValueError) as exc:
        return Failure(Finding(place, "spec", str(exc)))
    return Success(
        Upstream(
            name=UpstreamId(name),
            incarnation=raw.born,
            service=ServiceId(raw.service),
            host=endpoint.host,
            port=endpoint.port,
            data_centre=DataCentreId(raw.zone),
            slots=raw.slots,
            state=raw.state,
            sequence=raw.sequence,
            version=SoftwareVersion(raw.version),
        )
    )
