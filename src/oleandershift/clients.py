"""Clients of an allocator: the region's routers and other regions' allocators."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oleandershift.backlog import ROUTER_KEY_PREFIX, ClientKey
from oleandershift.ids import RegionId, Seq, ServiceId, UpstreamId, VmId
from oleandershift.messages import Member, MemberState, ProcessId, Role, Snapshot
from oleandershift.rendezvous import allocator_for

ROUTER_ACK_DELAY_SECONDS = 0.5
REMOTE_ALLOCATOR_ACK_DELAY_SECONDS = 2.0
ROUTER_RESEND_SECONDS = 1.0
REMOTE_ALLOCATOR_RESEND_SECONDS = 2.0
"""Unconfirmed grants are sent again at these intervals."""


class SnapshotOrder(Enum):
    """Position of a snapshot relative to those already applied."""

    NEW = "new"
    STALE = "old"
    GAP = "gap"


@dataclass
class Client:
    """State of one client and of its snapshot stream.

    Parameters
    ----------
    key : ClientKey
        Key of the client, the same for all its incarnations.
    process : ProcessId
        Current incarnation.
    region : RegionId
        The client's region.
    address : str
        Link address for grants.
    remote : bool
        Whether the client is another region's allocator.
    applied_seq : Seq
        Position of the newest applied snapshot.
    needs_full_snapshot : bool
        Whether a snapshot was missed, so that only a full one can be applied.
    last_received_at : float
        When the last snapshot arrived.
    ack_due_at : float or None
        When the next acknowledgement is due.
    avoided_upstreams : dict
        Upstreams that the client could not use, with the time until which it gets no
        grants there.
    """

    key: ClientKey
    process: ProcessId
    region: RegionId
    address: str
    remote: bool
    applied_seq: Seq = Seq(0)
    needs_full_snapshot: bool = False
    last_received_at: float = 0.0
    ack_due_at: float | None = None
    avoided_upstreams: dict[UpstreamId, float] = field(default_factory=dict)

    def classify(self, snapshot: Snapshot) -> SnapshotOrder:
        """Return whether a snapshot is new, stale or follows a gap."""
        if snapshot.seq < self.applied_seq:
            return SnapshotOrder.STALE
        if snapshot.base > self.applied_seq or (
            self.needs_full_snapshot and snapshot.base > 0
        ):
            return SnapshotOrder.GAP
        if snapshot.seq == self.applied_seq and not self.needs_full_snapshot:
            return SnapshotOrder.STALE
        return SnapshotOrder.NEW

    def mark_applied(self, snapshot: Snapshot) -> None:
        """Record that a snapshot was applied."""
        self.address = snapshot.reply_to or self.address
        self.applied_seq = snapshot.seq
        self.needs_full_snapshot = False

    @property
    def ack_seq(self) -> Seq:
        """Return the position to acknowledge; 0 requests a full snapshot."""
        return Seq(0) if self.needs_full_snapshot else self.applied_seq

    def request_full_snapshot(self, now: float) -> None:
        """Request a full snapshot with an immediate acknowledgement of 0."""
        self.needs_full_snapshot = True
        self.ack_due_at = now

    def schedule_ack(self, now: float) -> None:
        """Schedule an acknowledgement unless one is already due."""
        if self.ack_due_at is None:
            seconds = (
                REMOTE_ALLOCATOR_ACK_DELAY_SECONDS
                if self.remote
                else ROUTER_ACK_DELAY_SECONDS
            )
            self.ack_due_at = now + seconds

    def resend_seconds(self) -> float:
        """Return the interval at which an unconfirmed grant is sent again, seconds."""
        return REMOTE_ALLOCATOR_RESEND_SECONDS if self.remote else ROUTER_RESEND_SECONDS


def router_key(vm: VmId) -> ClientKey:
    """Return the client key of a VM's router."""
    return ClientKey(f"{ROUTER_KEY_PREFIX}{vm}")


def region_key(region: RegionId) -> ClientKey:
    """Return the client key of another region's allocator."""
    return ClientKey(f"region/{region}")


def client_key(process: ProcessId, region: RegionId) -> ClientKey:
    """Return the client key of a process: one per router, one per other region."""
    if process.role is Role.ALLOCATOR:
        return region_key(region)
    return router_key(process.vm)


class Clients:
    """All clients of one allocator."""

    def __init__(self) -> None:
        self._clients: dict[ClientKey, Client] = {}

    def __iter__(self) -> Iterator[Client]:
        return iter(tuple(self._clients.values()))

    def __contains__(self, key: object) -> bool:
        return key in self._clients

    def __getitem__(self, key: ClientKey) -> Client:
        return self._clients[key]

    def get(self, key: ClientKey) -> Client | None:
        """Return a client, or None if it is unknown."""
        return self._clients.get(key)

    def add(self, snapshot: Snapshot, address: str) -> Client:
        """Add a new client, or a new incarnation of a known one."""
        key = client_key(snapshot.client, snapshot.region)
        client = Client(
            key,
            snapshot.client,
            snapshot.region,
            address,
            snapshot.client.role is Role.ALLOCATOR,
        )
        self._clients[key] = client
        return client

    def remove(self, key: ClientKey) -> None:
        """Remove a client if present."""
        self._clients.pop(key, None)


@dataclass(frozen=True)
class _Location:
    vm: VmId
    address: str
    region: RegionId


class ExpectedClients:
    """Clients that an allocator expects according to the membership.

    Parameters
    ----------
    service : ServiceId
        The service.
    region : RegionId
        The allocator's region.
    """

    def __init__(self, service: ServiceId, region: RegionId) -> None:
        self._service = service
        self._region = region
        self._locations: dict[ClientKey, _Location] = {}
        self._returned: set[tuple[ClientKey, str]] = set()

    def configure(self, members: Mapping[str, Member]) -> None:
        """Apply the current membership."""
        self._locations = {}
        for member in members.values():
            if member.region == self._region and member.state is not MemberState.DEAD:
                address = f"tcp://{member.ip}:{member.router_port}"
                location = _Location(member.vm, address, member.region)
                self._locations[router_key(member.vm)] = location
        for region in sorted({member.region for member in members.values()}):
            allocator = allocator_for(self._service, region, members.values())
            if allocator is not None and region != self._region:
                address = f"tcp://{allocator.ip}:{allocator.allocator_port}"
                self._locations[region_key(region)] = _Location(
                    allocator.vm, address, region
                )

    def pop_missing(self, clients: Clients) -> list[tuple[str, RegionId]]:
        """Return address and region of each missing client, once per address."""
        missing = []
        for key, location in self._locations.items():
            if key not in clients and (key, location.address) not in self._returned:
                self._returned.add((key, location.address))
                missing.append((location.address, location.region))
        return missing

    def all_connected(self, clients: Clients) -> bool:
        """Return whether all expected clients have connected; False if none exist."""
        return bool(self._locations) and all(key in clients for key in self._locations)

    def address(self, key: ClientKey) -> str:
        """Return a client's link address, or an empty string if unknown."""
        location = self._locations.get(key)
        return location.address if location else ""

    def is_expected_on(self, key: ClientKey, vm: VmId) -> bool:
        """Return whether the membership expects a client on a VM."""
        location = self._locations.get(key)
        return location is not None and location.vm == vm
