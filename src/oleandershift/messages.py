"""Typed messages between the processes of a fleet.

Every message carries state, not a change: a lost, repeated or reordered message does
no harm, as the receiver keeps the newest by incarnation and sequence number. Instants
are seconds since the Unix epoch (float); costs are tokens (float).
"""

from enum import Enum
from typing import TypeAlias

import msgspec

from oleandershift.ids import (
    DataCentreId,
    FleetId,
    GrantId,
    Incarnation,
    RegionId,
    RequestId,
    Seq,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)


class Role(Enum):
    """The daemon that a process runs."""

    ROUTER = 1
    ALLOCATOR = 2
    AGENT = 3

    @property
    def label(self) -> str:
        """Return the name for logs, flags and file names."""
        return self.name.lower()


class MemberState(Enum):
    """What the fleet believes about a VM."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class ProcessId(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one run of one process.

    Parameters
    ----------
    vm : VmId
        The VM that it runs on.
    role : Role
        The daemon.
    incarnation : Incarnation
        Start instant in nanoseconds.
    """

    vm: VmId
    role: Role
    incarnation: Incarnation


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of every message body; tags and roles are numbers to save bytes."""


# Membership


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One VM as the fleet knows it.

    Parameters
    ----------
    vm, region, data_centre
        Who and where it is.
    ip : str
        Address of its processes.
    agent_port, query_port, allocator_port, router_port, http_port : int
        TCP ports of the agent's link, the agent's query socket, the allocator's and
        the router's links, and the router's HTTP.
    incarnation : Incarnation
        Of the VM's agent.
    state : MemberState
        The belief at this incarnation.
    """

    vm: VmId
    region: RegionId
    data_centre: DataCentreId
    ip: str
    agent_port: int
    query_port: int
    allocator_port: int
    router_port: int
    http_port: int
    incarnation: Incarnation
    state: MemberState = MemberState.ALIVE


class Ping(Message, frozen=True, tag=1, array_like=True):
    """Probe of a member, with gossip.

    Parameters
    ----------
    seq : Seq
        Number of the probe; the `Ack` repeats it.
    target : VmId
        The probed VM; the receiver relays the probe when it is another.
    reply_to : str
        Link address that the `Ack` goes to.
    updates : tuple of Member
        Membership changes that ride on the probe.
    table_digest : bytes
        Digest of the sender's table replica.
    """

    seq: Seq
    target: VmId
    reply_to: str
    updates: tuple[Member, ...] = ()
    table_digest: bytes = b""


class Ack(Message, frozen=True, tag=2, array_like=True):
    """Answer to a `Ping`, with gossip."""

    seq: Seq
    target: VmId
    updates: tuple[Member, ...] = ()
    table_digest: bytes = b""


class MembersView(Message, frozen=True, tag=3, array_like=True):
    """All members, from an agent to its own VM's processes or to a joining agent.

    Parameters
    ----------
    seq : Seq
        Grows with every change at the sending agent.
    members : tuple of Member
        Every known VM, whatever its state.
    leaving_upstreams : tuple of UpstreamId
        Upstreams that the platform's list calls leaving.
    """

    seq: Seq
    members: tuple[Member, ...]
    leaving_upstreams: tuple[UpstreamId, ...] = ()


# Table


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One row of the operators' table, at one version.

    Parameters
    ----------
    kind : str
        `services`, `upstreams` or `teams`.
    name : str
        Key of the row within its kind.
    version : int
        The platform's version of the object; only a larger one replaces a row.
    value : bytes
        JSON of the row's cells.
    deleted : bool
        The row was removed at this version.
    """

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False


class RowsUpdate(Message, frozen=True, tag=4, array_like=True):
    """Rows that the receiver may lack.

    Parameters
    ----------
    rows : tuple of Row
        Rows with their versions.
    complete : bool
        The sender has a whole table; a receiver without one may use it from here on.
    query_id : Seq
        The `query` of the `Subscribe` that it answers; 0 for none. It is sent after
        everything else that the receiver lacks.
    """

    rows: tuple[Row, ...]
    complete: bool = False
    query_id: Seq = Seq(0)


class RowVersion(msgspec.Struct, frozen=True, array_like=True):
    """Version of one row in a replica."""

    kind: str
    name: str
    version: int


class TableSummary(Message, frozen=True, tag=5, array_like=True):
    """What a replica holds, sent when digests differ so that gaps can be filled.

    Parameters
    ----------
    reply_to : str
        Link address that missing rows go to.
    digest : bytes
        Digest of the sender's replica.
    bucket_digests : tuple of bytes
        Digest of each hash bucket of row names.
    buckets : tuple of int
        Buckets whose versions are listed in `versions`.
    versions : tuple of RowVersion
        The sender's versions in these buckets.
    """

    reply_to: str
    digest: bytes
    bucket_digests: tuple[bytes, ...] = ()
    buckets: tuple[int, ...] = ()
    versions: tuple[RowVersion, ...] = ()


class Subscribe(Message, frozen=True, tag=6, array_like=True):
    """A local process asks its VM's agent for members and table, at every heartbeat.

    Parameters
    ----------
    address : str
        Link address of the process.
    digest : bytes
        Digest of its table replica.
    members_seq : Seq
        The `MembersView` it has.
    ready : bool
        The process takes work.
    query_id : Seq
        Above 0 the process was paused and asks for an answer that repeats this
        number, even when it lacks nothing.
    """

    address: str
    digest: bytes
    members_seq: Seq
    ready: bool
    query_id: Seq = Seq(0)


# Allocation


class TeamLoad(msgspec.Struct, frozen=True, array_like=True):
    """One team's state at a client of an allocator.

    Parameters
    ----------
    team : TeamId
        The team.
    waiting : int
        Requests that wait for a grant, net of unused grants in hand.
    running : int
        Requests running on grants.
    waiting_cost : float
        Rough cost of the waiting requests, tokens.
    oldest_arrival : float
        Instant at which the oldest waiting request arrived; 0 when none waits.
    earliest_deadline : float
        Earliest caller's deadline among the waiting; 0 when none has one.
    """

    team: TeamId
    waiting: int
    running: int = 0
    waiting_cost: float = 0.0
    oldest_arrival: float = 0.0
    earliest_deadline: float = 0.0


class GrantUse(msgspec.Struct, frozen=True, array_like=True):
    """A grant in a client's hands.

    To save bytes, a snapshot that builds on an earlier one leaves out what its receiver
    knows of its own grants: `allocator` is 0, and `upstream` and `team` are empty.

    Parameters
    ----------
    allocator : Incarnation
        Incarnation of the allocator that made the grant; 0 is the receiver's.
    grant : GrantId
        The grant.
    upstream : UpstreamId
        Where it runs.
    team : TeamId
        The team that it is charged to.
    cost : float
        Cost so far, tokens.
    done : bool
        The work is over and `cost` is final; the slot is free. False means running.
    unused : bool
        Handed back without having been used (`done` is true as well). Without `done`:
        the holder has vanished and may have used it.
    charged : float
        What the granting allocator had charged when it made the grant, tokens.
    """

    allocator: Incarnation
    grant: GrantId
    upstream: UpstreamId
    team: TeamId
    cost: float = 0.0
    done: bool = False
    unused: bool = False
    charged: float = 0.0


class Snapshot(Message, frozen=True, tag=7, array_like=True):
    """State of an allocator's client (a router, or another region's allocator).

    Holds what changed since `base`, the last position that the allocator
    acknowledged; `base` 0 is a full snapshot. Entries are absolute values.

    Parameters
    ----------
    service : ServiceId
        The service it speaks of.
    client : ProcessId
        The sender.
    region : RegionId
        The sender's region.
    reply_to : str
        Link address that grants go to; empty in a snapshot that builds on another.
    base : Seq
        Position up to which the receiver has everything.
    seq : Seq
        Position of this snapshot.
    teams : tuple of TeamLoad
        Teams changed since `base`; a team absent from a full snapshot has no work.
    grants : tuple of GrantUse
        Grants changed since `base`; a full snapshot holds every one not acknowledged
        as done.
    draining : bool
        The client takes no new grants.
    service_totals : tuple of AllocatorTotals
        Between allocators only: service charged, for totals over the fleet.
    """

    service: ServiceId
    client: ProcessId
    region: RegionId
    reply_to: str
    base: Seq
    seq: Seq
    teams: tuple[TeamLoad, ...] = ()
    grants: tuple[GrantUse, ...] = ()
    draining: bool = False
    service_totals: "tuple[AllocatorTotals, ...]" = ()


class TeamTotal(msgspec.Struct, frozen=True, array_like=True):
    """Virtual service of one team (cost over weight) charged by one allocator.

    Parameters
    ----------
    team : TeamId
        The team.
    seq : Seq
        Number of the entry's last change.
    virtual_service : float
        Charged by this allocator, tokens over weight.
    lift : float
        Largest lift that this allocator has given the team.
    unsettled : float
        Part of `virtual_service` that stands for requests which have not ended.
    """

    team: TeamId
    seq: Seq
    virtual_service: float
    lift: float = 0.0
    unsettled: float = 0.0


class AllocatorTotals(msgspec.Struct, frozen=True, array_like=True):
    """Entries of one allocator incarnation's register of virtual service.

    The incarnation is the only writer; a receiver keeps the newest `seq` of each team.
    Allocators pass on the registers of others, dead ones included.
    """

    allocator: ProcessId
    region: RegionId
    teams: tuple[TeamTotal, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Leave to run one request of a team on an upstream.

    Parameters
    ----------
    grant : GrantId
        Unique within the allocator's incarnation.
    upstream : UpstreamId
        Where to run.
    team : TeamId
        Whose request.
    deadline : float
        Instant by which the request must have been started; past it the grant is
        void and handed back.
    charged : float
        Cost charged at the grant, tokens.
    """

    grant: GrantId
    upstream: UpstreamId
    team: TeamId
    deadline: float
    charged: float = 0.0


class Grants(Message, frozen=True, tag=8, array_like=True):
    """An allocator's answer to a client.

    Parameters
    ----------
    service : ServiceId
        The service.
    region : RegionId
        Region whose upstreams the allocator grants.
    allocator : ProcessId
        The sender.
    ack : Seq
        Position of the client's snapshots that the allocator has; 0 asks for a full
        one.
    grants : tuple of Grant
        Grants that no snapshot has mentioned yet; repeated until one does.
    """

    service: ServiceId
    region: RegionId
    allocator: ProcessId
    ack: Seq
    grants: tuple[Grant, ...] = ()


# Status, from daemons to their VM's agent


class TeamStatus(msgspec.Struct, frozen=True, array_like=True):
    """One team's figures at one router, since its start."""

    team: TeamId
    service: ServiceId
    waiting: int
    running: int
    served_cost: float
    served: int
    refused: int


class UpstreamStatus(msgspec.Struct, frozen=True, array_like=True):
    """One upstream's figures at its allocator."""

    upstream: UpstreamId
    service: ServiceId
    slots: int
    slots_in_use: int
    state: str
    busy_seconds: float = 0.0
    idle_while_waiting_seconds: float = 0.0


class TrafficCount(msgspec.Struct, frozen=True, array_like=True):
    """Control bytes and messages sent to other VMs of a region since the start."""

    region: RegionId
    messages: int
    sent_bytes: int


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """How one request ended, for `oleander explain`."""

    request: RequestId
    team: TeamId
    service: ServiceId
    status: int
    run: str
    reason: str
    at: float
    upstream: UpstreamId | None = None


class StatusReport(Message, frozen=True, tag=9, array_like=True):
    """What a daemon tells its VM's agent at every heartbeat."""

    process: ProcessId
    reported_at: float
    ready: bool
    draining: bool
    table_digest: bytes
    teams: tuple[TeamStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    traffic: tuple[TrafficCount, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    cpu_seconds: float = 0.0
    resident_bytes: int = 0


class DrainCommand(Message, frozen=True, tag=10, array_like=True):
    """Order to a local daemon to finish its work, take no more and exit.

    Parameters
    ----------
    deadline : float
        Instant at which it exits even with work running.
    """

    deadline: float


# Operators


class QueryKind(Enum):
    """What an operator asks an agent."""

    STATUS = "status"
    EXPLAIN = "explain"
    MEMBERS = "members"
    TABLE = "table"
    DRAIN = "drain"


class OperatorQuery(Message, frozen=True, tag=11, array_like=True):
    """An operator's question or order to one agent.

    Parameters
    ----------
    kind : QueryKind
        What is asked.
    subject : str
        Request id for `EXPLAIN`, unused otherwise.
    deadline : float
        For `DRAIN`, see `DrainCommand`.
    """

    kind: QueryKind
    subject: str = ""
    deadline: float = 0.0


class TeamWeight(msgspec.Struct, frozen=True, array_like=True):
    """Weight of one team in an agent's table."""

    team: TeamId
    weight: float


class OperatorReply(Message, frozen=True, tag=12, array_like=True):
    """An agent's answer.

    Parameters
    ----------
    vm : VmId
        The answering VM.
    members : tuple of Member
        For `MEMBERS`: members it knows.
    reports : tuple of StatusReport
        Newest report of each local process.
    outcomes : tuple of Outcome
        For `EXPLAIN`: outcomes of that request.
    table_digest : bytes
        Digest of the agent's replica.
    versions : tuple of RowVersion
        For `TABLE`: versions in force at the least advanced local process.
    platform : str
        `ok`, `slow`, `away` or, where the agent does not watch it, `unwatched`.
    weights : tuple of TeamWeight
        For `STATUS`: weights of the teams in `reports`.
    """

    vm: VmId
    members: tuple[Member, ...] = ()
    reports: tuple[StatusReport, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    table_digest: bytes = b""
    versions: tuple[RowVersion, ...] = ()
    platform: str = "ok"
    weights: tuple[TeamWeight, ...] = ()


Body: TypeAlias = (
    Ping
    | Ack
    | MembersView
    | RowsUpdate
    | TableSummary
    | Subscribe
    | Snapshot
    | Grants
    | StatusReport
    | DrainCommand
    | OperatorQuery
    | OperatorReply
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What goes over a link: a body, its sender and the sender's clock.

    Parameters
    ----------
    fleet : FleetId
        Name of the fleet.
    sender : ProcessId
        Who sent it.
    wall, logical : int
        The sender's hybrid logical clock: nanoseconds and tie-breaker.
    body : Body
        The message.
    """

    fleet: FleetId
    sender: ProcessId
    wall: int
    logical: int
    body: Body


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)

MAX_MESSAGE_BYTES = 1 << 20
"""Largest message that a process accepts."""


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as MessagePack."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Decode an envelope.

    Raises
    ------
    msgspec.DecodeError
        When the data is not a valid envelope, or exceeds `MAX_MESSAGE_BYTES`.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise msgspec.DecodeError(f"message of {len(data)} bytes is too large")
    return _DECODER.decode(data)
