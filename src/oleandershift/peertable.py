"""What a VM knows of the other VMs, and whom it tells what."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oleandershift.demand import TeamRate
from oleandershift.digests import Digest, Scope, TeamDemand, UpstreamWork
from oleandershift.hashing import weight_of
from oleandershift.ids import DataCentreId, TeamId, UpstreamId, VmId
from oleandershift.placement import Load
from oleandershift.vmsettings import Address

DIGEST_TTL_SECONDS = 0.7
"""Silence after which a VM's digest no longer counts: seven digests in a row."""

PEER_TTL_SECONDS = 60.0
"""Silence after which a VM is no longer told anything."""

MAX_WORK_ENTRIES = 33
MAX_DEMAND_ENTRIES = 30
"""Entries of a digest, so that it fits into one packet of 1500 bytes."""


@dataclass(frozen=True, slots=True)
class Peer:
    """Another VM's process, as registered or heard."""

    vm: VmId
    data_centre: DataCentreId
    address: Address


@dataclass(frozen=True, slots=True)
class DataCentreSummary:
    """What the VMs of a data centre do together.

    Parameters
    ----------
    vms : int
        How many they are.
    work, demand : tuple
        Largest first.
    """

    vms: int
    work: tuple[UpstreamWork, ...]
    demand: tuple[TeamDemand, ...]


@dataclass(slots=True)
class _Heard:
    digest: Digest
    at: float


class PeerTable:
    """Digests of the other VMs.

    VMs of a data centre tell each other their own work. One of them, the hub, also
    tells the hubs of the other data centres the sum, and passes on what those say. The
    hub is the live VM of the largest rendezvous weight; while two hold themselves for
    it, both speak, which does no harm.

    Parameters
    ----------
    vm : VmId
        This VM.
    data_centre : DataCentreId
        Where it stands.
    """

    def __init__(self, vm: VmId, data_centre: DataCentreId) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._peers: dict[VmId, Peer] = {}
        self._seen: dict[VmId, float] = {}
        self._vms: dict[VmId, _Heard] = {}
        self._centres: dict[DataCentreId, _Heard] = {}

    def add_registered(self, now: float, peers: Iterable[Peer]) -> None:
        """Take registered VMs."""
        for peer in peers:
            if peer.vm != self._vm:
                self._peers[peer.vm] = peer
                self._seen.setdefault(peer.vm, now)

    def merge(self, now: float, digest: Digest) -> bool:
        """Take a digest; return whether it is news that a hub passes on.

        Its sender is known from then on, also if its registration was not read yet.
        """
        if digest.vm == self._vm:
            return False
        held = self._held(digest)
        if held is not None and _order(held.digest) >= _order(digest):
            return False
        self._note(now, digest)
        if digest.scope is Scope.VM:
            self._vms[digest.vm] = _Heard(digest, now)
            return False
        if digest.data_centre == self._data_centre:
            return False
        self._centres[digest.data_centre] = _Heard(digest, now)
        return True

    def is_hub(self, now: float) -> bool:
        """Tell whether this VM speaks for its data centre."""
        mine = weight_of(self._data_centre, self._vm)
        return all(
            weight_of(self._data_centre, digest.vm) < mine
            for digest in self._live_vms(now)
            if digest.data_centre == self._data_centre
        )

    def follows_hub(self, now: float) -> bool:
        """Tell whether this VM may rely on its hub's reading of the store."""
        return not self.is_hub(now)

    def local_peers(self, now: float) -> list[Peer]:
        """Return the VMs of the same data centre."""
        return [
            peer for peer in self._known(now) if peer.data_centre == self._data_centre
        ]

    def remote_hubs(self, now: float, all_members: bool) -> list[Peer]:
        """Return whom a hub tells its sum in the other data centres.

        Parameters
        ----------
        now : float
            The current instant.
        all_members : bool
            Whether to tell all VMs of a data centre whose hub is not known.
        """
        found: list[Peer] = []
        for centre, members in self._by_centre(now).items():
            heard = self._centres.get(centre)
            hub = None
            if heard is not None and heard.at > now - DIGEST_TTL_SECONDS:
                hub = self._peers.get(heard.digest.vm)
            if hub is not None:
                found.append(hub)
            elif all_members:
                found.extend(members)
        return found

    def remote_loads(self, now: float) -> Mapping[UpstreamId, Load]:
        """Return the work of all other VMs."""
        sums: dict[UpstreamId, Load] = {}
        for digest in self._live(now):
            _add(sums, digest.work)
        return sums

    def data_centre_prefill_tokens(self, now: float) -> int:
        """Return the prompt tokens that the other VMs of the data centre wait for."""
        return sum(
            entry.prefill_tokens
            for digest in self._live_vms(now)
            if digest.data_centre == self._data_centre
            for entry in digest.work
        )

    def data_centre_summary(
        self,
        now: float,
        own: Iterable[UpstreamWork],
        asked: Mapping[TeamId, TeamRate],
    ) -> DataCentreSummary:
        """Return the sum over the VMs of this data centre."""
        sums: dict[UpstreamId, Load] = {}
        _add(sums, own)
        rates = _RateSum(asked)
        mates = [
            digest
            for digest in self._live_vms(now)
            if digest.data_centre == self._data_centre
        ]
        for digest in mates:
            _add(sums, digest.work)
            rates.add(digest.demand)
        demand = demand_entries(rates.rates())
        return DataCentreSummary(len(mates) + 1, work_entries(sums), demand)

    def team_rates(
        self, now: float, own: Mapping[TeamId, TeamRate]
    ) -> dict[TeamId, TeamRate]:
        """Return what each team asks of all VMs, and what they let in."""
        rates = _RateSum(own)
        for digest in self._live(now):
            rates.add(digest.demand)
        return rates.rates()

    def live_count(self, now: float) -> int:
        """Return the number of live VMs, this one included."""
        return 1 + sum(digest.vms for digest in self._live(now))

    def known_count(self, now: float) -> int:
        """Return the number of VMs that may be live, this one included."""
        return 1 + len(self._known(now))

    def fresher_peer(
        self, now: float, configuration: int, revision: int
    ) -> Peer | None:
        """Return a VM that has read more of the store than this one, if any."""
        newer = [
            digest
            for digest in self._live(now)
            if (digest.configuration > configuration or digest.revision > revision)
            and digest.vm in self._peers
        ]
        if not newer:
            return None
        best = max(newer, key=self._freshness)
        return self._peers[best.vm]

    def silent_vms(self, now: float, seconds: float) -> list[VmId]:
        """Return registered VMs that have not been heard for a time."""
        return [vm for vm, at in self._seen.items() if at < now - seconds]

    def remove(self, vm: VmId) -> None:
        """Drop a VM that is gone."""
        self._peers.pop(vm, None)
        self._seen.pop(vm, None)
        self._vms.pop(vm, None)

    def _freshness(self, digest: Digest) -> tuple[int, int, bool]:
        near = digest.data_centre == self._data_centre
        return digest.configuration, digest.revision, near

    def _held(self, digest: Digest) -> _Heard | None:
        if digest.scope is Scope.VM:
            return self._vms.get(digest.vm)
        held = self._centres.get(digest.data_centre)
        return held if held is not None and held.digest.vm == digest.vm else None

    def _note(self, now: float, digest: Digest) -> None:
        address = Address(digest.host, digest.port)
        self._peers[digest.vm] = Peer(digest.vm, digest.data_centre, address)
        self._seen[digest.vm] = now

    def _live_vms(self, now: float) -> list[Digest]:
        return [
            heard.digest
            for heard in self._vms.values()
            if heard.at > now - DIGEST_TTL_SECONDS
        ]

    def _live(self, now: float) -> list[Digest]:
        centres = [
            heard.digest
            for heard in self._centres.values()
            if heard.at > now - DIGEST_TTL_SECONDS
        ]
        return centres + [
            digest
            for digest in self._live_vms(now)
            if digest.data_centre == self._data_centre
        ]

    def _known(self, now: float) -> list[Peer]:
        return [
            peer
            for vm, peer in self._peers.items()
            if self._seen.get(vm, 0.0) > now - PEER_TTL_SECONDS
        ]

    def _by_centre(self, now: float) -> Mapping[DataCentreId, list[Peer]]:
        found: defaultdict[DataCentreId, list[Peer]] = defaultdict(list)
        for peer in self._known(now):
            if peer.data_centre != self._data_centre:
                found[peer.data_centre].append(peer)
        return found


def work_entries(loads: Mapping[UpstreamId, Load]) -> tuple[UpstreamWork, ...]:
    """Return the largest loads as entries of a digest."""
    busy = [item for item in loads.items() if item[1].running]
    busy.sort(key=lambda item: (item[1].prefill_tokens, item[1].running), reverse=True)
    return tuple(
        UpstreamWork(name, load.running, load.prefill_tokens, load.kv_tokens)
        for name, load in busy[:MAX_WORK_ENTRIES]
    )


def demand_entries(rates: Mapping[TeamId, TeamRate]) -> tuple[TeamDemand, ...]:
    """Return the largest demands as entries of a digest."""
    asking = [item for item in rates.items() if item[1].requested >= 1.0]
    asking.sort(key=lambda item: item[1].requested, reverse=True)
    return tuple(
        TeamDemand(team, round(rate.requested), round(rate.admitted))
        for team, rate in asking[:MAX_DEMAND_ENTRIES]
    )


def _order(digest: Digest) -> tuple[int, int]:
    return digest.incarnation, digest.seq


def _add(sums: dict[UpstreamId, Load], work: Iterable[UpstreamWork]) -> None:
    for entry in work:
        load = sums.setdefault(entry.upstream, Load())
        load.running += entry.running
        load.prefill_tokens += entry.prefill_tokens
        load.kv_tokens += entry.kv_tokens


class _RateSum:
    """Sum of teams' rates over several digests."""

    def __init__(self, own: Mapping[TeamId, TeamRate]) -> None:
        self._asked = {team: rate.requested for team, rate in own.items()}
        self._admitted = {team: rate.admitted for team, rate in own.items()}

    def add(self, demand: Iterable[TeamDemand]) -> None:
        asked, admitted = self._asked, self._admitted
        for entry in demand:
            team = entry.team
            asked[team] = asked.get(team, 0.0) + entry.requested
            admitted[team] = admitted.get(team, 0.0) + entry.admitted

    def rates(self) -> dict[TeamId, TeamRate]:
        return {
            team: TeamRate(asked, self._admitted[team])
            for team, asked in self._asked.items()
        }
