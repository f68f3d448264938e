"""Messages between VMs about the requests that they have sent to upstreams.

Every message contains the complete state of its sender, so that loss, duplication and
reordering are harmless.
"""

from enum import Enum
from typing import TypeAlias, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.directory import UpstreamRun
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    Seq,
    ServiceId,
    SoftwareVersion,
    StreamKey,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.records import Record, StorePosition
from oleandershift.suspects import SuspectKind


class Scope(Enum):
    """What a message covers: one VM, all VMs of a data centre, or all VMs.

    No digest covers all VMs.
    """

    VM = 1
    DATA_CENTRE = 2
    FLEET = 3


class UpstreamWork(msgspec.Struct, array_like=True, frozen=True):
    """Load that the VMs of a digest cause on one upstream.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    running : int
        Requests in flight.
    prefill_tokens : int
        Prompt tokens of requests that have not received their first event.
    kv_tokens : int
        Tokens in the KV cache that only these requests use.
    """

    upstream: UpstreamId
    running: int
    prefill_tokens: int
    kv_tokens: int


class TeamDemand(msgspec.Struct, array_like=True, frozen=True):
    """Requested and admitted rate of a team, in tokens per second."""

    team: TeamId
    requested: int
    admitted: int


class RemovedUpstream(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Upstream whose registration was removed.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    incarnation : int
        Its run, as in `UpstreamRun`.
    revision : int
        Store revision of the removal.
    left_ms : int
        Milliseconds for which the sender still uses it.
    """

    upstream: UpstreamId
    incarnation: int
    revision: int
    left_ms: int


class Digest(msgspec.Struct, array_like=True, frozen=True):
    """State of one VM, or the sum over the VMs of a data centre.

    Parameters
    ----------
    vm : VmId
        The sender.
    data_centre : DataCentreId
        Data centre of the sender.
    incarnation : Incarnation
        Start time of the sender's process.
    seq : Seq
        Sequence number of the digest.
    scope : Scope
        What the digest covers.
    vms : int
        Number of VMs that the digest covers.
    configuration : int
        Version of the configuration in force at the sender.
    revision : int
        Store revision of the sender's list of upstreams.
    host : str
    port : int
        Address at which the sender accepts datagrams and connections.
    work, demand : tuple
        Load on upstreams and rates of teams.
    absent : tuple of UpstreamRun
        Upstreams that are not at their address any more. VMs of an earlier version do
        not send it.
    reads_store : bool
        Whether the sender reads the store itself, successfully. VMs of an earlier
        version do not send it.
    part, parts : int
        Number of this part, and number of parts over which the entries of one sequence
        number are divided. `vms` is 0 but in the first.
    leaving : tuple of UpstreamRun
        Upstreams that said in a response that they leave, though the store lists them
        as ready; from a hub also those that the store lists as draining. VMs of an
        earlier version do not send it.
    era : int
        Era of the store in which `revision` was read. VMs of an earlier version do not
        send it.
    read_age_ms : int
        Milliseconds since the store last answered the sender; 0 if it does not read the
        store. VMs of an earlier version do not send it.
    removed : tuple of RemovedUpstream
        From a hub, registrations that were removed lately though the store was well.
        VMs of an earlier version do not send it.
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
    absent: tuple[UpstreamRun, ...] = ()
    reads_store: bool = False
    part: int = 0
    parts: int = 1
    leaving: tuple[UpstreamRun, ...] = ()
    era: int = 0
    read_age_ms: int = 0
    removed: tuple[RemovedUpstream, ...] = ()

    @property
    def position(self) -> StorePosition:
        """Return up to where in the store's history the sender has read upstreams."""
        return StorePosition(self.era, self.revision)

    def read_until(self, received_at: float) -> float:
        """Return the instant up to which the sender has read the store, seconds."""
        return received_at - max(0, self.read_age_ms) / 1000


class CrashRecord(msgspec.Struct, array_like=True, frozen=True):
    """Crash of an upstream before it had answered a request.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    incarnation : int
        Its run, as in `UpstreamRun`.
    age_ms : int
        Time since the crash, milliseconds. Clocks of VMs may differ.
    after_ms : int
        Time from the sending of the request to the crash, milliseconds. VMs of an
        earlier version do not send it.
    """

    upstream: UpstreamId
    incarnation: int
    age_ms: int
    after_ms: int = 0


class SuspectRecord(msgspec.Struct, array_like=True, frozen=True):
    """What a VM knows of a suspect, under which upstreams crashed.

    Parameters
    ----------
    name : str
        Name of the prompt part, or fingerprint of the request.
    crashes : tuple of CrashRecord
        Crashes under it since its latest answer, the latest first.
    answer_age_ms : int
        Time since the start of its latest answer, milliseconds; -1 without one.
    kind : SuspectKind
        Kind of the suspect. VMs of an earlier version know only parts.
    """

    name: str
    crashes: tuple[CrashRecord, ...]
    answer_age_ms: int
    kind: SuspectKind = SuspectKind.PART


class CrashNotice(msgspec.Struct, tag="crashes", frozen=True):
    """What a VM knows of suspects, under which upstreams crashed.

    VMs of an earlier version log it as a damaged digest and ignore it.

    Parameters
    ----------
    vm : VmId
        The sender.
    records : tuple of SuspectRecord
        Its knowledge, from its own requests and from other VMs.
    """

    vm: VmId
    records: tuple[SuspectRecord, ...]


class LimitEntry(msgspec.Struct, array_like=True, frozen=True):
    """What an upstream said last of its limit.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    incarnation : int
        Its run, as in `UpstreamRun`.
    thousandths : int
        Thousandths of a request a second; -1 if it names no limit any more.
    age_ms : int
        Time since it said so, milliseconds. Clocks of VMs may differ.
    """

    upstream: UpstreamId
    incarnation: int
    thousandths: int
    age_ms: int


class ServiceNeed(msgspec.Struct, array_like=True, frozen=True):
    """Rate at which VMs need a service, in thousandths of a request a second."""

    service: ServiceId
    thousandths: int


class LimitNotice(msgspec.Struct, tag="limits", frozen=True):
    """What is known of upstreams' limits, and how much the services are needed.

    VMs of an earlier version log it as a damaged digest and ignore it.

    Parameters
    ----------
    vm : VmId
        The sender.
    data_centre : DataCentreId
        Its data centre.
    scope : Scope
        What the needs cover: one VM, its data centre, or the whole fleet.
    limits : tuple of LimitEntry
        What upstreams said lately.
    needs : tuple of ServiceNeed
        Need by service.
    """

    vm: VmId
    data_centre: DataCentreId
    scope: Scope
    limits: tuple[LimitEntry, ...]
    needs: tuple[ServiceNeed, ...]


class StreamGroup(msgspec.Struct, array_like=True, frozen=True):
    """Streams that began at one version of their service."""

    version: SoftwareVersion
    keys: tuple[StreamKey, ...]


class StreamNotice(msgspec.Struct, tag="streams", frozen=True):
    """Versions that streams began at.

    VMs of an earlier version log it as a damaged digest and ignore it.

    Parameters
    ----------
    vm : VmId
        The sender.
    groups : tuple of StreamGroup
        The streams.
    """

    vm: VmId
    groups: tuple[StreamGroup, ...]


class StreamQuery(msgspec.Struct, tag="stream-query", frozen=True):
    """Question for the version that a stream began at.

    VMs of an earlier version log it as a damaged digest and ignore it.

    Parameters
    ----------
    vm : VmId
        The VM that asks.
    host : str
    port : int
        Address for the answer.
    scope : Scope
        Whether the recipient answers for itself or also asks its data centre.
    key : StreamKey
        The stream.
    """

    vm: VmId
    host: str
    port: int
    scope: Scope
    key: StreamKey


Notice: TypeAlias = CrashNotice | LimitNotice | StreamNotice | StreamQuery


class SnapshotRequest(msgspec.Struct, array_like=True, frozen=True):
    """What the requesting VM knows, so that it is sent only what is newer.

    Parameters
    ----------
    configuration : int
        Version of the configuration in force; 0 without one.
    revision : int
        Store revision of the list of upstreams.
    era : int
        Era of the store in which it was read.
    """

    configuration: int
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return up to where in the store's history the VM has read upstreams."""
        return StorePosition(self.era, self.revision)


class StoreSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """A VM's copy of the store's content, whole or what is newer than a request.

    Parameters
    ----------
    configuration : Record or None
        Object of the configuration; None if the requesting VM has it.
    revision : int
        Store revision of the list of upstreams.
    upstreams : tuple of Record
        Objects of the upstreams.
    since : int
        Revision after which `upstreams` and `removed` are all changes; 0 if `upstreams`
        are all upstreams.
    removed : tuple of tuple
        Name and revision of each upstream that was removed, and the milliseconds for
        which the sender still keeps it. In a whole snapshot, those that were removed
        after the sender's last list from the store.
    list_grace_ms : int
        Milliseconds for which the sender still keeps upstreams that its last list from
        the store lacked; -1 if unknown, from VMs of an earlier version.
    era : int
        Era of the store in which all revisions of the snapshot were read.
    """

    configuration: Record | None
    revision: int
    upstreams: tuple[Record, ...]
    since: int = 0
    removed: tuple[tuple[str, int, int], ...] = ()
    list_grace_ms: int = -1
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the place in the store's history of the list of upstreams."""
        return StorePosition(self.era, self.revision)


_T = TypeVar("_T")

PeerMessage: TypeAlias = Digest | Notice | SnapshotRequest | StoreSnapshot

_MAP_MASK, _FIXMAP = 0xF0, 0x80
"""MessagePack's mark of a small map. A notice is one, a digest is an array."""

_ENCODER = msgspec.msgpack.Encoder()
_DIGEST_DECODER = msgspec.msgpack.Decoder(Digest)
_NOTICE_DECODER: msgspec.msgpack.Decoder[Notice] = msgspec.msgpack.Decoder(
    CrashNotice | LimitNotice | StreamNotice | StreamQuery
)
_REQUEST_DECODER = msgspec.msgpack.Decoder(SnapshotRequest)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(StoreSnapshot)


def encode(message: PeerMessage) -> bytes:
    """Encode a message as MessagePack."""
    return _ENCODER.encode(message)


def decode_digest(data: bytes) -> Result[Digest, str]:
    """Decode a digest; return the reason if the data is foreign or damaged."""
    return _decode(_DIGEST_DECODER, data)


def decode_datagram(data: bytes) -> Result[Digest | Notice, str]:
    """Decode a datagram; return the reason if the data is foreign or damaged."""
    if data and data[0] & _MAP_MASK == _FIXMAP:
        return _decode(_NOTICE_DECODER, data)
    return decode_digest(data)


def decode_request(data: bytes) -> Result[SnapshotRequest, str]:
    """Decode a request for a snapshot; return the reason if the data is damaged."""
    return _decode(_REQUEST_DECODER, data)


def decode_snapshot(data: bytes) -> Result[StoreSnapshot, str]:
    """Decode a snapshot; return the reason if the data is damaged."""
    return _decode(_SNAPSHOT_DECODER, data)


def _decode(decoder: msgspec.msgpack.Decoder[_T], data: bytes) -> Result[_T, str]:
    try:
        return Success(decoder.decode(data))
    except (msgspec.DecodeError, RecursionError) as exc:
        return Failure(str(exc))
