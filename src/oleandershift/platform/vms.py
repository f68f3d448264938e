"""Registrations of gateways in the platform's store, a kind that this project owns."""

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.exceptions import Finding
from oleandershift.ids import DataCentreId, VmId
from oleandershift.neighbours import Peer
from oleandershift.vmsettings import Address

KIND = "gateways"


class _Entry(msgspec.Struct):
    ip: str
    port: int
    zone: str


def encode(peer: Peer) -> object:
    """Encode the registration of a VM."""
    address = peer.address
    return {"ip": address.host, "port": address.port, "zone": peer.data_centre}


def decode(name: str, spec: object) -> Result[Peer, Finding]:
    """Decode the registration of a VM; a finding when it is invalid."""
    try:
        raw = msgspec.convert(spec, _Entry)
    except msgspec.ValidationError as exc:
        return Failure(Finding(f"{KIND}/{name}", "spec", str(exc)))
    address = Address(raw.ip, raw.port)
    if not address.is_valid:
        found = f"{raw.ip}:{raw.port}"
        return Failure(Finding(f"{KIND}/{name}", found, "an IPv4 address and a port"))
    return Success(Peer(VmId(name), DataCentreId(raw.zone), address))
