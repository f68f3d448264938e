"""Typed messages between the processes of a fleet.

Every message carries state, not a delta. Lost, duplicated and reordered messages are
harmless, because the receiver keeps the newest state by incarnation and sequence
number. Times are seconds since the Unix epoch (float); costs are tokens (float).
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
    """Daemon that a process runs."""

    ROUTER = 1
    ALLOCATOR = 2
    AGENT = 3

    @property
    def label(self) -> str:
        """Name in logs, flags and file names."""
        return self.name.lower()


class MemberState(Enum):
    """Membership state of a VM."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class ProcessId(msgspec.Struct, frozen=True, array_like=True):
    """Identity of one run of a process.

    Parameters
    ----------
    vm : VmId
        VM that the process runs on.
    role : Role
        Daemon that the process runs.
    incarnation : Incarnation
        Start time, nanoseconds since the Unix epoch.
    """

    vm: VmId
    role: Role
    incarnation: Incarnation


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of message bodies; tags and roles are numbers to save bytes."""


# Membership


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Membership entry of one VM.

    Parameters
    ----------
    vm, region, data_centre
        Name and location of the VM.
    ip : str
        IP address of the VM's processes.
    agent_port, query_port, allocator_port, router_port, http_port : int
        TCP ports of the agent's link, the agent's query socket, the allocator's and
        the router's links, and the router's HTTP server.
    incarnation : Incarnation
        Incarnation of the VM's agent.
    state : MemberState
        State of the VM at this incarnation.
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
    """Probe of a member, with piggybacked gossip.

    Parameters
    ----------
    seq : Seq
        Number of the probe, repeated in the `Ack`.
    target : VmId
        Probed VM; a receiver on another VM relays the probe.
    reply_to : str
        Link address to send the `Ack` to.
    updates : tuple of Member
        Membership changes piggybacked on the probe.
    table_digest : bytes
        Digest of the sender's table replica.
    """

    seq: Seq
    target: VmId
    reply_to: str
    updates: tuple[Member, ...] = ()
    table_digest: bytes = b""


class Ack(Message, frozen=True, tag=2, array_like=True):
    """Response to a `Ping`, with piggybacked gossip."""

    seq: Seq
    target: VmId
    updates: tuple[Member, ...] = ()
    table_digest: bytes = b""


class MembersView(Message, frozen=True, tag=3, array_like=True):
    """All members, sent by an agent to its VM's processes or to a joining agent.

    Parameters
    ----------
    seq : Seq
        Version of the view, incremented with every change at the sending agent.
    members : tuple of Member
        All known VMs in any state.
    leaving_upstreams : tuple of UpstreamId
        Upstreams listed as leaving by the platform.
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
        Version of the object in the platform; a row is replaced only by a larger
        version.
    value : bytes
        Cells of the row as JSON.
    deleted : bool
        Whether the row was removed at this version.
    """

    kind: str
    name: str
    version: int
    value: bytes
    deleted: bool = False


class RowsUpdate(Message, frozen=True, tag=4, array_like=True):
    """Rows that the receiver may be missing.

    Parameters
    ----------
    rows : tuple of Row
        Rows with their versions.
    complete : bool
        Whether the sender has the complete table; a receiver without one may use its
        replica from now on.
    query_id : Seq
        `query_id` of the `Subscribe` that this message answers; 0 for none. The answer
        is sent after all other rows that the receiver is missing.
    """

    rows: tuple[Row, ...]
    complete: bool = False
    query_id: Seq = Seq(0)


class RowVersion(msgspec.Struct, frozen=True, array_like=True):
    """Version of a row in a replica."""

    kind: str
    name: str
    version: int


class TableSummary(Message, frozen=True, tag=5, array_like=True):
    """Summary of a replica, sent when digests differ to find the missing rows.

    Parameters
    ----------
    reply_to : str
        Link address to send missing rows to.
    digest : bytes
        Digest of the sender's replica.
    bucket_digests : tuple of bytes
        Digest of each hash bucket of row names.
    buckets : tuple of int
        Buckets whose versions are listed in `versions`.
    versions : tuple of RowVersion
        Versions of the sender's rows in these buckets.
    """

    reply_to: str
    digest: bytes
    bucket_digests: tuple[bytes, ...] = ()
    buckets: tuple[int, ...] = ()
    versions: tuple[RowVersion, ...] = ()


class Subscribe(Message, frozen=True, tag=6, array_like=True):
    """Subscription of a process to its VM's agent, renewed at every heartbeat.

    The agent sends members and table rows that the process is missing.

    Parameters
    ----------
    address : str
        Link address of the process.
    digest : bytes
        Digest of the process's table replica.
    members_seq : Seq
        Sequence number of the process's `MembersView`.
    ready : bool
        Whether the process accepts work.
    query_id : Seq
        A number above 0 means that the process was paused and requests an answer with
        the same number, even if it is missing nothing.
    """

    address: str
    digest: bytes
    members_seq: Seq
    ready: bool
    query_id: Seq = Seq(0)


# Allocation


class TeamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one team at a client of an allocator.

    Parameters
    ----------
    team : TeamId
        The team.
    waiting : int
        Requests waiting for a grant, minus the client's unused grants.
    running : int
        Requests running on grants.
    waiting_cost : float
        Estimated cost of the waiting requests, tokens.
    oldest_arrival : float
        Arrival time of the oldest waiting request; 0 if none is waiting.
    earliest_deadline : float
        Earliest deadline set by a caller among the waiting requests; 0 if none is set.
    """

    team: TeamId
    waiting: int
    running: int = 0
    waiting_cost: float = 0.0
    oldest_arrival: float = 0.0
    earliest_deadline: float = 0.0


class GrantUse(msgspec.Struct, frozen=True, array_like=True):
    """State of a grant at a client.

    To save bytes, an incremental snapshot omits what the receiver knows of its own
    grants: `allocator` is 0, and `upstream` and `team` are empty.

    Parameters
    ----------
    allocator : Incarnation
        Incarnation of the allocator that issued the grant; 0 means the receiver's.
    grant : GrantId
        Id of the grant.
    upstream : UpstreamId
        Upstream that the request runs on.
    team : TeamId
        Team that the grant is charged to.
    cost : float
        Cost so far, tokens.
    done : bool
        Whether the request has ended, so that `cost` is final and the slot is free;
        False means that it is running.
    unused : bool
        With `done`, the grant was returned unused. Without `done`, its client was
        lost and may have used it.
    charged : float
        Cost charged by the allocator when it issued the grant, tokens.
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

    Contains what changed since `base`, the last position that the allocator
    acknowledged; with `base` 0 it is a full snapshot. Entries are absolute values.

    Parameters
    ----------
    service : ServiceId
        Service that the snapshot is about.
    client : ProcessId
        Sender of the snapshot.
    region : RegionId
        Region of the sender.
    reply_to : str
        Link address to send grants to; empty in an incremental snapshot.
    base : Seq
        Position up to which the receiver has all changes.
    seq : Seq
        Position of this snapshot.
    teams : tuple of TeamLoad
        Teams changed since `base`; a team missing from a full snapshot has no work.
    grants : tuple of GrantUse
        Grants changed since `base`; a full snapshot contains every grant not
        acknowledged as done.
    draining : bool
        Whether the client accepts no new grants.
    service_totals : tuple of AllocatorTotals
        Service charged, for totals over the fleet; sent between allocators only.
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
        Sequence number of the entry's last change.
    virtual_service : float
        Virtual service charged by this allocator, tokens over weight.
    lift : float
        Largest lift that this allocator has applied to the team.
    unsettled : float
        Part of `virtual_service` charged for requests that have not ended.
    """

    team: TeamId
    seq: Seq
    virtual_service: float
    lift: float = 0.0
    unsettled: float = 0.0


class AllocatorTotals(msgspec.Struct, frozen=True, array_like=True):
    """Virtual service charged by one incarnation of an allocator.

    The incarnation is the only writer; a receiver keeps the newest `seq` of each team.
    Allocators forward the totals of other allocators, including dead ones.
    """

    allocator: ProcessId
    region: RegionId
    teams: tuple[TeamTotal, ...]


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Permission to run one request of a team on an upstream.

    Parameters
    ----------
    grant : GrantId
        Id of the grant, unique within the allocator's incarnation.
    upstream : UpstreamId
        Upstream to run the request on.
    team : TeamId
        Team whose request may run.
    deadline : float
        Time by which the request must have started; after it the grant is void and
        is returned.
    charged : float
        Cost charged when the grant was issued, tokens.
    """

    grant: GrantId
    upstream: UpstreamId
    team: TeamId
    deadline: float
    charged: float = 0.0


class Grants(Message, frozen=True, tag=8, array_like=True):
    """Response of an allocator to a client.

    Parameters
    ----------
    service : ServiceId
        Service that the grants are for.
    region : RegionId
        Region whose upstreams the allocator grants.
    allocator : ProcessId
        Sender of the message.
    ack : Seq
        Position of the last snapshot that the allocator applied; 0 requests a full
        snapshot.
    grants : tuple of Grant
        Grants not mentioned in any snapshot yet; resent until one mentions them.
    """

    service: ServiceId
    region: RegionId
    allocator: ProcessId
    ack: Seq
    grants: tuple[Grant, ...] = ()


# Status reports of daemons to their VM's agent


class TeamStatus(msgspec.Struct, frozen=True, array_like=True):
    """Load and counters of one team at one router.

    Parameters
    ----------
    team, service
        Team, and service that it calls.
    waiting, running : int
        Current number of waiting and running requests.
    served_cost : float
        Cost of the served requests since the router's start, tokens.
    served, refused : int
        Number of served and refused requests since the router's start.
    """

    team: TeamId
    service: ServiceId
    waiting: int
    running: int
    served_cost: float
    served: int
    refused: int


class UpstreamStatus(msgspec.Struct, frozen=True, array_like=True):
    """State and counters of one upstream at its allocator.

    Parameters
    ----------
    upstream, service
        Name of the upstream and service that it serves.
    slots, slots_in_use : int
        Total slots, and slots in use.
    state : str
        `active`, or `leaving` if the upstream accepts no new requests.
    busy_seconds, idle_while_waiting_seconds : float
        Slot-seconds in use, and slot-seconds free while requests were waiting, since
        the allocator's start.
    """

    upstream: UpstreamId
    service: ServiceId
    slots: int
    slots_in_use: int
    state: str
    busy_seconds: float = 0.0
    idle_while_waiting_seconds: float = 0.0


class TrafficCount(msgspec.Struct, frozen=True, array_like=True):
    """Control messages and bytes sent to other VMs of a region since the start."""

    region: RegionId
    messages: int
    sent_bytes: int


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of one request, for `oleander explain`.

    Parameters
    ----------
    request, team, service
        Id of the request, team that sent it and service that it addressed.
    status : int
        HTTP status of the response.
    run : str
        Value of the `RunStatus`.
    reason : str
        Why the request failed; empty if it did not.
    at : float
        Time at which the request ended.
    upstream : UpstreamId or None
        Upstream of the last attempt; None if there was no attempt.
    """

    request: RequestId
    team: TeamId
    service: ServiceId
    status: int
    run: str
    reason: str
    at: float
    upstream: UpstreamId | None = None


class StatusReport(Message, frozen=True, tag=9, array_like=True):
    """Status of a daemon, sent to its VM's agent at every heartbeat."""

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
    """Command to a local daemon to accept no more work, finish and exit.

    Parameters
    ----------
    deadline : float
        Time at which the daemon exits even if work is still running.
    """

    deadline: float


# Operator queries


class QueryKind(Enum):
    """Type of an operator's query to an agent."""

    STATUS = "status"
    EXPLAIN = "explain"
    MEMBERS = "members"
    TABLE = "table"
    DRAIN = "drain"


class OperatorQuery(Message, frozen=True, tag=11, array_like=True):
    """Query or command of an operator to one agent.

    Parameters
    ----------
    kind : QueryKind
        Type of the query.
    subject : str
        Request id for `EXPLAIN`; unused otherwise.
    deadline : float
        Deadline for `DRAIN`, see `DrainCommand`; unused otherwise.
    """

    kind: QueryKind
    subject: str = ""
    deadline: float = 0.0


class TeamWeight(msgspec.Struct, frozen=True, array_like=True):
    """Weight of a team in an agent's table."""

    team: TeamId
    weight: float


class OperatorReply(Message, frozen=True, tag=12, array_like=True):
    """Response of an agent to an operator's query.

    Parameters
    ----------
    vm : VmId
        VM of the responding agent.
    members : tuple of Member
        For `MEMBERS`: all members known to the agent.
    reports : tuple of StatusReport
        Newest report of each local process.
    outcomes : tuple of Outcome
        For `EXPLAIN`: outcomes of the request.
    table_digest : bytes
        Digest of the agent's replica.
    versions : tuple of RowVersion
        For `TABLE`: row versions in force at the local process that is furthest
        behind.
    platform : str
        `ok`, `slow` or `away` (unavailable); `unwatched` if the agent does not watch
        the platform.
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
    """Message body with its sender and the sender's clock, as sent over a link.

    Parameters
    ----------
    fleet : FleetId
        Name of the fleet.
    sender : ProcessId
        Process that sent the message.
    wall, logical : int
        Sender's hybrid logical clock: nanoseconds since the Unix epoch, and
        tie-breaker.
    body : Body
        Message body.
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
        If the data is not a valid envelope or exceeds `MAX_MESSAGE_BYTES`.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise msgspec.DecodeError(f"message of {len(data)} bytes is too large")
    return _DECODER.decode(data)
