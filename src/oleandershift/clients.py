"""Clients of an allocator: routers of its region and other regions' allocators."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from oleandershift.backlog import ROUTER_KEY_PREFIX, ClientKey
from oleandershift.ids import RegionId, Seq, ServiceId, UpstreamId, VmId
from oleandershift.messages import Member, MemberState, ProcessId, Role, Snapshot
from oleandershift.rendezvous import allocator_for

ROUTER_ACK_DELAY_SECONDS = 0.5
PEER_ACK_DELAY_SECONDS = 2.0
ROUTER_RESEND_SECONDS = 1.0
PEER_RESEND_SECONDS = 2.0


class SnapshotOrder(Enum):
    """What a snapshot is worth to its receiver."""

    NEW = "new"
    STALE = "old"
    GAP = "gap"


@dataclass
class Client:
    """One client and how far its snapshots have been taken.

    Parameters
    ----------
    key : ClientKey
        Name of the client, kept over its incarnations.
    process : ProcessId
        Its present incarnation.
    region : RegionId
        Where it is.
    address : str
        Link address that grants go to.
    remote : bool
        It is another region's allocator.
    applied_seq : Seq
        Position of the newest snapshot taken.
    needs_full_snapshot : bool
        A snapshot was missed; only a full one is taken.
    last_received_at : float
        When it was last heard.
    ack_due_at : float or None
        When the position is to be acknowledged.
    avoided_upstreams : dict
        Upstreams that it could not use, each with the instant until which it gets no
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
        """Tell what a snapshot is worth."""
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
        """Note that a snapshot has been taken."""
        self.address = snapshot.reply_to or self.address
        self.applied_seq = snapshot.seq
        self.needs_full_snapshot = False

    @property
    def ack_seq(self) -> Seq:
        """Return the position to acknowledge; 0 asks for a full snapshot."""
        return Seq(0) if self.needs_full_snapshot else self.applied_seq

    def request_full_snapshot(self, now: float) -> None:
        """Acknowledge nothing, at once."""
        self.needs_full_snapshot = True
        self.ack_due_at = now

    def schedule_ack(self, now: float) -> None:
        """See that the position is acknowledged within a while."""
        if self.ack_due_at is None:
            seconds = (
                PEER_ACK_DELAY_SECONDS if self.remote else ROUTER_ACK_DELAY_SECONDS
            )
            self.ack_due_at = now + seconds

    def resend_seconds(self) -> float:
        """Return the seconds after which an unmentioned grant is sent again."""
        return PEER_RESEND_SECONDS if self.remote else ROUTER_RESEND_SECONDS


def router_key(vm: VmId) -> ClientKey:
    """Return the name of a VM's router as a client."""
    return ClientKey(f"{ROUTER_KEY_PREFIX}{vm}")


def region_key(region: RegionId) -> ClientKey:
    """Return the name of another region's allocator as a client."""
    return ClientKey(f"region/{region}")


def client_key(process: ProcessId, region: RegionId) -> ClientKey:
    """Return the name of a client: one for each router, and one for each region."""
    if process.role is Role.ALLOCATOR:
        return region_key(region)
    return router_key(process.vm)


class Clients:
    """All clients of one allocator."""

    def __init__(self) -> None:
        self._held: dict[ClientKey, Client] = {}

    def __iter__(self) -> Iterator[Client]:
        return iter(tuple(self._held.values()))

    def __contains__(self, key: object) -> bool:
        return key in self._held

    def __getitem__(self, key: ClientKey) -> Client:
        return self._held[key]

    def get(self, key: ClientKey) -> Client | None:
        """Return a client, or None when it is not known."""
        return self._held.get(key)

    def add(self, snapshot: Snapshot, address: str) -> Client:
        """Take a client that is new, or new in this incarnation."""
        key = client_key(snapshot.client, snapshot.region)
        made = Client(
            key,
            snapshot.client,
            snapshot.region,
            address,
            snapshot.client.role is Role.ALLOCATOR,
        )
        self._held[key] = made
        return made

    def remove(self, key: ClientKey) -> None:
        """Drop a client."""
        self._held.pop(key, None)


@dataclass(frozen=True)
class _Place:
    vm: VmId
    address: str
    region: RegionId


class ExpectedClients:
    """Clients that an allocator should hear of, by the membership.

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
        self._places: dict[ClientKey, _Place] = {}
        self._greeted: set[tuple[ClientKey, str]] = set()

    def configure(self, members: Mapping[str, Member]) -> None:
        """Take the members now in force."""
        self._places = {}
        for member in members.values():
            if member.region == self._region and member.state is not MemberState.DEAD:
                address = f"tcp://{member.ip}:{member.router_port}"
                place = _Place(member.vm, address, member.region)
                self._places[router_key(member.vm)] = place
        for region in sorted({member.region for member in members.values()}):
            found = allocator_for(self._service, region, members.values())
            if found is not None and region != self._region:
                address = f"tcp://{found.ip}:{found.allocator_port}"
                self._places[region_key(region)] = _Place(found.vm, address, region)

    def pop_missing(self, clients: Clients) -> list[tuple[str, RegionId]]:
        """Return the places of clients not heard of, each only once."""
        found = []
        for key, place in self._places.items():
            if key not in clients and (key, place.address) not in self._greeted:
                self._greeted.add((key, place.address))
                found.append((place.address, place.region))
        return found

    def all_seen(self, clients: Clients) -> bool:
        """Tell whether every client has been heard of; False when none is known."""
        return bool(self._places) and all(key in clients for key in self._places)

    def address(self, key: ClientKey) -> str:
        """Return a client's link address; empty when it is not known."""
        place = self._places.get(key)
        return place.address if place else ""

    def is_expected_on(self, key: ClientKey, vm: VmId) -> bool:
        """Tell whether the membership expects a client on a VM."""
        place = self._places.get(key)
        return place is not None and place.vm == vm
