"""Digests and addresses of the other VMs, and recipients of this VM's digests."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from copy import copy
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from oleandershift.allowances import Fleet
from oleandershift.demand import TeamRate
from oleandershift.digests import (
    Digest,
    PeerMessage,
    RemovedUpstream,
    Scope,
    TeamDemand,
    UpstreamWork,
)
from oleandershift.directory import UpstreamRun
from oleandershift.hashing import weight_of
from oleandershift.ids import DataCentreId, TeamId, UpstreamId, VmId
from oleandershift.placement import Load
from oleandershift.records import StorePosition
from oleandershift.streamversions import VersionRecord
from oleandershift.summaries import Summary, summarise
from oleandershift.vmsettings import Address

DIGEST_TTL_SECONDS = 0.7
"""Age at which a digest expires, after the loss of seven consecutive digests."""

PEER_TTL_SECONDS = 60.0
"""Time without a digest after which nothing is sent to a VM any more."""

STORE_READERS = 2
"""VMs of a data centre that watch the store: the hub and its successor."""

READER_TTL_SECONDS = 1.7
"""Age of what other VMs have read of the store from which on a VM reads it itself. A
new hub reads it earlier, as it takes over when the digest of its predecessor expires;
0.8 s of the shortest time for applying a configuration remain."""


class StoreRole(Enum):
    """How a VM learns of changes in the store.

    Attributes
    ----------
    HUB
        It watches the store, and other VMs rely on it.
    STANDBY
        It watches the store less closely.
    FOLLOWER
        It reads from other VMs when their digests name a newer state.
    """

    HUB = "hub"
    STANDBY = "standby"
    FOLLOWER = "follower"


@dataclass(frozen=True, slots=True)
class Peer:
    """Process of another VM, from its registration or from its latest digest."""

    vm: VmId
    data_centre: DataCentreId
    address: Address


_Message = TypeVar("_Message", bound=PeerMessage, covariant=True)


@dataclass(frozen=True, slots=True)
class Addressed(Generic[_Message]):
    """A message with its recipients."""

    message: _Message
    peers: Sequence[Peer]


@dataclass(frozen=True, slots=True)
class Registration:
    """What a VM has in the store.

    Parameters
    ----------
    peer : Peer
        The VM.
    versions : VersionRecord
        Software versions at which it may have begun streams.
    """

    peer: Peer
    versions: VersionRecord


_Sender = TypeVar("_Sender", VmId, DataCentreId)


@dataclass(slots=True)
class _ReceivedDigest:
    digest: Digest
    received_at: float


class PeerTable:
    """Digests and addresses of the other VMs.

    The VMs of a data centre send each other digests of their own work. One of them, the
    hub, also sends a summary of the data centre to the hubs of the other data centres
    and forwards their summaries to its own data centre. The hub is the live VM with the
    largest rendezvous weight. While two VMs both consider themselves the hub, both send
    the summary, which is harmless.

    Parameters
    ----------
    vm : VmId
        This VM.
    data_centre : DataCentreId
        Data centre of this VM.
    digests_known_at : float
        Time by which the digests of the other VMs have arrived, seconds.
    """

    def __init__(
        self, vm: VmId, data_centre: DataCentreId, digests_known_at: float = 0.0
    ) -> None:
        self.vm = vm
        self.data_centre = data_centre
        self._own_weight = weight_of(data_centre, vm)
        self._weights: dict[VmId, int] = {}
        self._peers: dict[VmId, Peer] = {}
        self._last_seen: dict[VmId, float] = {}
        # By part of the digest.
        self._vm_digests: dict[tuple[VmId, int], _ReceivedDigest] = {}
        self._data_centre_digests: dict[tuple[DataCentreId, int], _ReceivedDigest] = {}
        self._digests_known_at = digests_known_at
        # Instant up to which VMs on which this one relies have read the store.
        self._read_until = digests_known_at

    def add_registered(self, now: float, peers: Iterable[Peer]) -> None:
        """Add or update registered VMs."""
        for peer in peers:
            if peer.vm != self.vm:
                self._peers[peer.vm] = peer
                self._last_seen.setdefault(peer.vm, now)

    def merge(self, now: float, digest: Digest) -> bool:
        """Store a digest; return whether it is a new summary that a hub forwards.

        Digests are ordered by the start of their process and their number. An expired
        one orders no more, as a process may start while its clock is behind. The sender
        is a known peer from then on, even before its registration is read.
        """
        if digest.vm == self.vm:
            return False
        stored = self._stored(digest)
        if (
            stored is not None
            and _is_live(now, stored)
            and _version(stored.digest) >= _version(digest)
        ):
            return False
        self._refresh_peer(now, digest)
        if digest.reads_store and self._reads_before(digest):
            self._read_until = max(self._read_until, digest.read_until(now))
        if digest.scope is Scope.VM:
            _store(self._vm_digests, digest.vm, _ReceivedDigest(digest, now))
            return False
        if digest.data_centre == self.data_centre:
            return False
        received = _ReceivedDigest(digest, now)
        _store(self._data_centre_digests, digest.data_centre, received)
        return True

    def is_hub(self, now: float) -> bool:
        """Return whether this VM is the hub of its data centre."""
        # Called for each datagram; most VMs find a larger weight at once.
        return not any(
            _is_live(now, entry)
            and entry.digest.data_centre == self.data_centre
            and self._weight(vm) > self._own_weight
            for (vm, _), entry in self._vm_digests.items()
        )

    def store_role(self, now: float) -> StoreRole:
        """Return whether this VM watches the store, and how closely.

        A follower relies on any VM that reads the store, as every digest names what its
        sender has read, and up to when. If that is `READER_TTL_SECONDS` ago, it watches
        the store. In its own data centre it relies on VMs of higher rank only, so that
        one of several that begin to read goes on.
        Until the other VMs' digests have arrived, registered VMs count as live.
        """
        members = self._live_members(now)
        if now < self._digests_known_at:
            members |= {peer.vm for peer in self.local_peers(now)}
        rank = self._rank_among(members)
        if rank == 0:
            return StoreRole.HUB
        if rank < STORE_READERS or now > self._read_until + READER_TTL_SECONDS:
            return StoreRole.STANDBY
        return StoreRole.FOLLOWER

    def rank(self, now: float, subject: str) -> int:
        """Return how many VMs come before this one in the order for a subject.

        One VM of all comes first. The order goes by the data centre, and by the VM in
        its data centre, so that all VMs find it without knowing each other.
        """
        centres = {
            data_centre
            for (data_centre, _), entry in self._data_centre_digests.items()
            if _is_live(now, entry)
        }
        return max(
            _count_preceding(subject, self.data_centre, centres),
            _count_preceding(subject, self.vm, self._live_members(now)),
        )

    def local_peers(self, now: float) -> list[Peer]:
        """Return the peers in the data centre of this VM."""
        return [
            peer
            for peer in self._known_peers(now)
            if peer.data_centre == self.data_centre
        ]

    def local_hub(self, now: float) -> Peer | None:
        """Return the hub of this data centre; None if this VM is it."""
        members = self._live_members(now)
        hub = max(members, key=self._weight, default=None)
        if hub is None or self._weight(hub) < self._own_weight:
            return None
        return self._peers.get(hub)

    def fleet(self, now: float) -> Fleet:
        """Return the other live VMs."""
        sizes: defaultdict[DataCentreId, int] = defaultdict(int)
        for (data_centre, _), entry in self._data_centre_digests.items():
            if _is_live(now, entry):
                sizes[data_centre] += entry.digest.vms
        return Fleet(self._live_members(now), sizes)

    def remote_hubs(self, now: float, all_members: bool) -> list[Peer]:
        """Return the peers in other data centres to which a hub sends its summary.

        Parameters
        ----------
        now : float
            Current time, seconds.
        all_members : bool
            Whether to return all peers of a data centre whose hub is unknown.
        """
        recipients: list[Peer] = []
        for data_centre, members in self._peers_by_data_centre(now).items():
            entry = self._data_centre_digests.get((data_centre, 0))
            hub = None
            if entry is not None and _is_live(now, entry):
                hub = self._peers.get(entry.digest.vm)
            if hub is not None:
                recipients.append(hub)
            elif all_members:
                recipients.extend(members)
        return recipients

    def remote_loads(self, now: float) -> Mapping[UpstreamId, Load]:
        """Return the load that the other VMs cause on each upstream."""
        loads: dict[UpstreamId, Load] = {}
        for digest in self._live_digests(now):
            _add_work(loads, digest.work)
        return loads

    def data_centre_prefill_tokens(self, now: float) -> int:
        """Return the tokens awaiting prefill for the other VMs of the data centre."""
        return sum(
            entry.prefill_tokens
            for digest in self._data_centre_vm_digests(now)
            for entry in digest.work
        )

    def absent(self, now: float) -> frozenset[UpstreamRun]:
        """Return the upstreams that other VMs found absent."""
        return _union(digest.absent for digest in self._live_digests(now))

    def data_centre_absent(
        self, now: float, own: frozenset[UpstreamRun]
    ) -> frozenset[UpstreamRun]:
        """Return the upstreams that VMs of this data centre found absent.

        Parameters
        ----------
        now : float
            Current time, seconds.
        own : frozenset of UpstreamRun
            Those that this VM found absent.
        """
        digests = self._data_centre_vm_digests(now)
        return own | _union(digest.absent for digest in digests)

    def data_centre_summary(
        self,
        now: float,
        own_loads: Mapping[UpstreamId, Load],
        own_rates: Mapping[TeamId, TeamRate],
        own_absent: frozenset[UpstreamRun],
        leaving: frozenset[UpstreamRun],
        removed: Collection[RemovedUpstream] = (),
    ) -> Summary:
        """Return the sum over the VMs of this data centre, this one included."""
        loads = {name: copy(load) for name, load in own_loads.items()}
        totals = _RateTotals(own_rates)
        digests = self._data_centre_vm_digests(now)
        for digest in digests:
            _add_work(loads, digest.work)
            totals.add(digest.demand)
        absent = self.data_centre_absent(now, own_absent)
        vms = len(self._live_members(now)) + 1
        return summarise(vms, loads, totals.rates(), absent, leaving, removed)

    def team_rates(
        self, now: float, own_rates: Mapping[TeamId, TeamRate]
    ) -> dict[TeamId, TeamRate]:
        """Return the requested and admitted rate of each team over all VMs."""
        totals = _RateTotals(own_rates)
        for digest in self._live_digests(now):
            totals.add(digest.demand)
        return totals.rates()

    def live_count(self, now: float) -> int:
        """Return the number of live VMs, this one included."""
        return 1 + sum(digest.vms for digest in self._live_digests(now))

    def known_count(self, now: float) -> int:
        """Return the number of VMs that have not expired, this one included."""
        return 1 + len(self._known_peers(now))

    def fresher_peer(
        self,
        now: float,
        configuration: int,
        position: StorePosition,
        unreachable: Collection[VmId] = (),
    ) -> Peer | None:
        """Return a live peer whose copy of the store is newer than this VM's, if any.

        Parameters
        ----------
        now : float
            Current time, seconds.
        configuration : int
            Version of the configuration in force at this VM.
        position : StorePosition
            Place in the store's history of this VM's list of upstreams.
        unreachable : collection of VmId
            VMs that did not respond lately; one is returned only if no other VM is
            ahead.
        """
        candidates = [
            digest
            for digest in self._live_digests(now)
            if (digest.configuration > configuration or digest.position > position)
            and digest.vm in self._peers
        ]
        if not candidates:
            return None
        reachable = [digest for digest in candidates if digest.vm not in unreachable]
        failed = sum(peer.vm in unreachable for peer in self.local_peers(now))
        if failed >= STORE_READERS:
            # The readers of this data centre may all be out of reach.
            elsewhere = [
                item for item in reachable if item.data_centre != self.data_centre
            ]
            reachable = elsewhere or reachable
        freshest = max(reachable or candidates, key=self._freshness)
        return self._peers[freshest.vm]

    def newest_configuration(self, now: float) -> int:
        """Return the newest version in force at another live VM; 0 without one."""
        versions = (digest.configuration for digest in self._live_digests(now))
        return max(versions, default=0)

    def silent_vms(self, now: float, seconds: float) -> list[VmId]:
        """Return the known VMs from which no digest was received for `seconds`."""
        return [
            vm for vm, seen_at in self._last_seen.items() if seen_at < now - seconds
        ]

    def remove(self, vm: VmId) -> None:
        """Remove a VM that no longer exists."""
        self._peers.pop(vm, None)
        self._last_seen.pop(vm, None)
        self._weights.pop(vm, None)
        for key in [key for key in self._vm_digests if key[0] == vm]:
            del self._vm_digests[key]

    def _freshness(self, digest: Digest) -> tuple[int, StorePosition, bool, int]:
        """Return the order of preference; VMs that are equally fresh share the load."""
        is_local = digest.data_centre == self.data_centre
        preference = weight_of(self.vm, digest.vm)
        return digest.configuration, digest.position, is_local, preference

    def _reads_before(self, digest: Digest) -> bool:
        """Return whether this VM relies on what the sender of a digest reads."""
        is_local = digest.data_centre == self.data_centre
        return not is_local or self._weight(digest.vm) > self._own_weight

    def _live_members(self, now: float) -> set[VmId]:
        """Return the other live VMs of the data centre."""
        return {digest.vm for digest in self._data_centre_vm_digests(now)}

    def _rank_among(self, members: set[VmId]) -> int:
        """Return the number of VMs that precede this one in its data centre."""
        return sum(self._weight(vm) > self._own_weight for vm in members)

    def _weight(self, vm: VmId) -> int:
        """Return the weight of a VM of the data centre in the choice of its hub."""
        weight = self._weights.get(vm)
        if weight is None:
            weight = self._weights[vm] = weight_of(self.data_centre, vm)
        return weight

    def _stored(self, digest: Digest) -> _ReceivedDigest | None:
        if digest.scope is Scope.VM:
            return self._vm_digests.get((digest.vm, digest.part))
        entry = self._data_centre_digests.get((digest.data_centre, digest.part))
        return entry if entry is not None and entry.digest.vm == digest.vm else None

    def _refresh_peer(self, now: float, digest: Digest) -> None:
        address = Address(digest.host, digest.port)
        self._peers[digest.vm] = Peer(digest.vm, digest.data_centre, address)
        self._last_seen[digest.vm] = now

    def _live_vm_digests(self, now: float) -> list[Digest]:
        return [
            entry.digest for entry in self._vm_digests.values() if _is_live(now, entry)
        ]

    def _live_digests(self, now: float) -> list[Digest]:
        summaries = [
            entry.digest
            for entry in self._data_centre_digests.values()
            if _is_live(now, entry)
        ]
        return summaries + self._data_centre_vm_digests(now)

    def _data_centre_vm_digests(self, now: float) -> list[Digest]:
        return [
            digest
            for digest in self._live_vm_digests(now)
            if digest.data_centre == self.data_centre
        ]

    def _known_peers(self, now: float) -> list[Peer]:
        return [
            peer
            for vm, peer in self._peers.items()
            if self._last_seen.get(vm, 0.0) > now - PEER_TTL_SECONDS
        ]

    def _peers_by_data_centre(self, now: float) -> Mapping[DataCentreId, list[Peer]]:
        peers: defaultdict[DataCentreId, list[Peer]] = defaultdict(list)
        for peer in self._known_peers(now):
            if peer.data_centre != self.data_centre:
                peers[peer.data_centre].append(peer)
        return peers


def _count_preceding(subject: str, member: str, others: Iterable[str]) -> int:
    """Return how many others precede a member in the order for a subject."""
    weight = weight_of(subject, member)
    return sum(weight_of(subject, other) > weight for other in others)


def _store(
    digests: dict[tuple[_Sender, int], _ReceivedDigest],
    sender: _Sender,
    received: _ReceivedDigest,
) -> None:
    """Store a part of a digest and discard parts that the sender has no more."""
    digests[sender, received.digest.part] = received
    part = received.digest.parts
    while digests.pop((sender, part), None) is not None:
        part += 1


def _union(groups: Iterable[Iterable[UpstreamRun]]) -> frozenset[UpstreamRun]:
    return frozenset(run for group in groups for run in group)


def _is_live(now: float, entry: _ReceivedDigest) -> bool:
    return entry.received_at > now - DIGEST_TTL_SECONDS


def _version(digest: Digest) -> tuple[int, int]:
    return digest.incarnation, digest.seq


def _add_work(loads: dict[UpstreamId, Load], work: Iterable[UpstreamWork]) -> None:
    for entry in work:
        load = loads.setdefault(entry.upstream, Load())
        load.running += entry.running
        load.prefill_tokens += entry.prefill_tokens
        load.kv_tokens += entry.kv_tokens


class _RateTotals:
    """Sum of the teams' rates over several digests."""

    def __init__(self, own_rates: Mapping[TeamId, TeamRate]) -> None:
        self._requested = {team: rate.requested for team, rate in own_rates.items()}
        self._admitted = {team: rate.admitted for team, rate in own_rates.items()}

    def add(self, demand: Iterable[TeamDemand]) -> None:
        requested, admitted = self._requested, self._admitted
        for entry in demand:
            team = entry.team
            requested[team] = requested.get(team, 0.0) + entry.requested
            admitted[team] = admitted.get(team, 0.0) + entry.admitted

    def rates(self) -> dict[TeamId, TeamRate]:
        return {
            team: TeamRate(requested, self._admitted[team])
            for team, requested in self._requested.items()
        }
