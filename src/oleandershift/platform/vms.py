"""Registrations of gateways in the platform's store, a kind that this project owns."""

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.exceptions import Finding
from oleandershift.ids import DataCentreId, ServiceId, SoftwareVersion, VmId
from oleandershift.neighbours import Peer, Registration
from oleandershift.vmsettings import Address

KIND = "gateways"


class _Entry(msgspec.Struct):
    ip: str
    port: int
    zone: str
    # Missing in registrations of earlier versions.
    versions: dict[str, tuple[str, ...]] = {}


def encode(registration: Registration) -> object:
    """Encode the registration of a VM."""
    peer = registration.peer
    return {
        "ip": peer.address.host,
        "port": peer.address.port,
        "zone": peer.data_centre,
        "versions": registration.versions,
    }


def decode(name: str, spec: object) -> Result[Registration, Finding]:
    """Decode the registration of a VM; a finding when it is invalid."""
    try:
        raw = msgspec.convert(spec, _Entry)
    except msgspec.ValidationError as exc:
        return Failure(Finding(f"{KIND}/{name}", "spec", str(exc)))
    address = Address(raw.ip, raw.port)
    if not address.is_valid:
        found = f"{raw.ip}:{raw.port}"
        return Failure(Finding(f"{KIND}/{name}", found, "an IPv4 address and a port"))
    versions = {
        ServiceId(service): tuple(map(SoftwareVersion, found))
        for service, found in raw.versions.items()
    }
    peer = Peer(VmId(name), DataCentreId(raw.zone), address)
    return Success(Registration(peer, versions))
