"""The project's own kind of objects in the platform's store: its VMs' processes."""

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
    """Return the content of a VM's object."""
    address = peer.address
    return {"ip": address.host, "port": address.port, "zone": peer.data_centre}


def decode(name: str, spec: object) -> Result[Peer, Finding]:
    """Decode a VM's object."""
    try:
        raw = msgspec.convert(spec, _Entry)
    except msgspec.ValidationError as exc:
        return Failure(Finding(f"{KIND}/{name}", "spec", str(exc)))
    address = Address(raw.ip, raw.port)
    return Success(Peer(VmId(name), DataCentreId(raw.zone), address))
