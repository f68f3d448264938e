"""Datagrams in which VMs tell each other what they have sent to upstreams.

Every message is the sender's whole state, so that loss, repeats and reordering do no
harm.
"""

from enum import Enum
from typing import TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    Seq,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.records import Record


class Scope(Enum):
    """Whose work a digest sums up."""

    VM = 1
    DATA_CENTRE = 2


class UpstreamWork(msgspec.Struct, array_like=True, frozen=True):
    """Work at one upstream.

    Parameters
    ----------
    upstream : UpstreamId
        Where.
    running : int
        Requests sent and not ended.
    prefill_tokens : int
        Prompt tokens of requests whose first event has not come.
    kv_tokens : int
        Tokens in memory that only these requests use.
    """

    upstream: UpstreamId
    running: int
    prefill_tokens: int
    kv_tokens: int


class TeamDemand(msgspec.Struct, array_like=True, frozen=True):
    """What a team asks for and what of it is let in, in tokens a second."""

    team: TeamId
    requested: int
    admitted: int


class Digest(msgspec.Struct, array_like=True, frozen=True):
    """State of one VM, or the sum over a data centre's.

    Parameters
    ----------
    vm : VmId
        The sender.
    data_centre : DataCentreId
        Where it stands.
    incarnation : Incarnation
        Start of its process.
    seq : Seq
        Counts its digests.
    scope : Scope
        Whose work this is.
    vms : int
        VMs that are summed up.
    configuration : int
        Newest version in force at the sender.
    revision : int
        Store revision of its list of upstreams.
    host : str
    port : int
        Where it listens, by datagrams and connections.
    work, demand : tuple
        Largest first.
    """

    vm: VmId
    data_centre: DataCentreId
    incarnation: Incarnation
    seq: Seq
    scope: Scope
    vms: int
    configuration: int
    revision: int
    host: str
    port: int
    work: tuple[UpstreamWork, ...]
    demand: tuple[TeamDemand, ...]


class StoreSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """What a VM read from the store, for one that the store turns away.

    Parameters
    ----------
    configuration : Record or None
        The configuration's object.
    revision : int
        Store revision of the list of upstreams.
    upstreams : tuple of Record
        Their objects.
    """

    configuration: Record | None
    revision: int
    upstreams: tuple[Record, ...]


PeerMessage: TypeAlias = Digest | StoreSnapshot

_ENCODER = msgspec.msgpack.Encoder()
_DIGESTS = msgspec.msgpack.Decoder(Digest)
_SNAPSHOTS = msgspec.msgpack.Decoder(StoreSnapshot)


def encode(message: PeerMessage) -> bytes:
    """Return a message's bytes."""
    return _ENCODER.encode(message)


def decode_digest(data: bytes) -> Result[Digest, str]:
    """Decode a datagram; a foreign or damaged one gives the reason."""
    try:
        return Success(_DIGESTS.decode(data))
    except msgspec.DecodeError as exc:
        return Failure(str(exc))


def decode_snapshot(data: bytes) -> Result[StoreSnapshot, str]:
    """Decode a snapshot; a damaged one gives the reason."""
    try:
        return Success(_SNAPSHOTS.decode(data))
    except msgspec.DecodeError as exc:
        return Failure(str(exc))
