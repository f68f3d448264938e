"""Upstreams' registrations as the platform's store holds them."""

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.directory import Upstream, UpstreamState
from oleandershift.exceptions import Finding
from oleandershift.ids import DataCentreId, ServiceId, UpstreamId
from oleandershift.platform.settings import parse_address

KIND = "servers"


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: UpstreamState
    # The upstream's start instant, in Unix milliseconds.
    born: int = 0


def decode(name: str, spec: object) -> Result[Upstream, Finding]:
    """Decode one registration; other writers' entries give a finding."""
    place = f"{KIND}/{name}"
    try:
        raw = msgspec.convert(spec, _Entry)
        found = parse_address(raw.address)
    except (msgspec.ValidationError, ValueError) as exc:
        return Failure(Finding(place, "spec", str(exc)))
    return Success(
        Upstream(
            name=UpstreamId(name),
            incarnation=raw.born,
            service=ServiceId(raw.service),
            host=found.host,
            port=found.port,
            data_centre=DataCentreId(raw.zone),
            slots=raw.slots,
            state=raw.state,
        )
    )
