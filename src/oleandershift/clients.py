"""Clients of an allocator: routers of its region and other regions' allocators."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from oleandershift.backlog import ROUTER_PREFIX, ClientKey
from oleandershift.ids import RegionId, Seq, UpstreamId
from oleandershift.messages import ProcessId, Role, Snapshot

ROUTER_ACK_SECONDS = 0.5
PEER_ACK_SECONDS = 2.0
ROUTER_REPEAT_SECONDS = 1.0
PEER_REPEAT_SECONDS = 2.0


class Receipt(Enum):
    """What a snapshot is worth to its receiver."""

    NEW = "new"
    OLD = "old"
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
    taken : Seq
        Position of the newest snapshot taken.
    incomplete : bool
        A snapshot was missed; only a full one is taken.
    heard_at : float
        When it was last heard.
    ack_due_at : float or None
        When the position is to be acknowledged.
    avoid : dict
        Upstreams that it could not use, each with the instant until which it gets no
        grants there.
    """

    key: ClientKey
    process: ProcessId
    region: RegionId
    address: str
    remote: bool
    taken: Seq = Seq(0)
    incomplete: bool = False
    heard_at: float = 0.0
    ack_due_at: float | None = None
    avoid: dict[UpstreamId, float] = field(default_factory=dict)

    def receipt(self, snapshot: Snapshot) -> Receipt:
        """Tell what a snapshot is worth."""
        if snapshot.seq < self.taken:
            return Receipt.OLD
        if snapshot.base > self.taken or (self.incomplete and snapshot.base > 0):
            return Receipt.GAP
        if snapshot.seq == self.taken and not self.incomplete:
            return Receipt.OLD
        return Receipt.NEW

    def take(self, snapshot: Snapshot) -> None:
        """Note that a snapshot has been taken."""
        self.address = snapshot.reply_to or self.address
        self.taken = snapshot.seq
        self.incomplete = False

    @property
    def have(self) -> Seq:
        """Return the position to acknowledge; 0 asks for a full snapshot."""
        return Seq(0) if self.incomplete else self.taken

    def ask_for_full(self, now: float) -> None:
        """Acknowledge nothing, at once."""
        self.incomplete = True
        self.ack_due_at = now

    def acknowledge_later(self, now: float) -> None:
        """See that the position is acknowledged within a while."""
        if self.ack_due_at is None:
            seconds = PEER_ACK_SECONDS if self.remote else ROUTER_ACK_SECONDS
            self.ack_due_at = now + seconds

    def repeat_seconds(self) -> float:
        """Return the seconds after which an unmentioned grant is sent again."""
        return PEER_REPEAT_SECONDS if self.remote else ROUTER_REPEAT_SECONDS


def client_key(process: ProcessId, region: RegionId) -> ClientKey:
    """Return the name of a client: one for each router, and one for each region."""
    if process.role is Role.ALLOCATOR:
        return ClientKey(f"region/{region}")
    return ClientKey(f"{ROUTER_PREFIX}{process.vm}")


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
