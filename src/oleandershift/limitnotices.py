"""Exchange of notices about upstreams' limits and the need of services."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TypeVar

from oleandershift.allowances import NEED_TTL_SECONDS, Allowances, AnnouncedLimit
from oleandershift.digests import LimitEntry, LimitNotice, Scope, ServiceNeed
from oleandershift.directory import UpstreamRun
from oleandershift.ids import DataCentreId, ServiceId, VmId
from oleandershift.neighbours import Addressed, Peer, PeerTable

NOTICE_INTERVAL_SECONDS = 0.25
"""Time between two notices; a tenth of the shortest time for keeping a new limit."""

MAX_ENTRIES = 24
"""Limit of the upstreams, and of the services, in a notice, which then fits into one
packet of 1500 bytes."""

THOUSANDTHS = 1000

_Sender = TypeVar("_Sender", VmId, DataCentreId)


@dataclass(frozen=True, slots=True)
class _ReceivedNeeds:
    needs: Mapping[ServiceId, float]
    received_at: float


class LimitExchange:
    """Creates this VM's notices of limits and applies those of other VMs.

    Nothing is sent as long as no upstream has a limit. A VM tells its hub what it has
    heard from upstreams and what it needs. The hub sums up for the other hubs, and
    tells its data centre what is known of all VMs. What a VM or data centre needed
    counts for `NEED_TTL_SECONDS` after its last notice.

    Parameters
    ----------
    this_vm : Peer
        This VM.
    peers : PeerTable
        The other VMs.
    allowances : Allowances
        Source of the notices; received ones are applied to it.
    """

    def __init__(self, this_vm: Peer, peers: PeerTable, allowances: Allowances) -> None:
        self._this_vm = this_vm
        self._peers = peers
        self._allowances = allowances
        self._by_vm: dict[VmId, _ReceivedNeeds] = {}
        self._by_data_centre: dict[DataCentreId, _ReceivedNeeds] = {}
        self._due_at = 0.0

    def receive(self, now: float, notice: LimitNotice) -> list[AnnouncedLimit]:
        """Apply another VM's notice; return those that begin or end."""
        is_local = notice.data_centre == self._this_vm.data_centre
        needs = {
            need.service: max(0, need.thousandths) / THOUSANDTHS
            for need in notice.needs
        }
        received = _ReceivedNeeds(needs, now)
        if notice.scope is Scope.FLEET:
            own = self._allowances.needs(now)
            others = {name: rate - own.get(name, 0.0) for name, rate in needs.items()}
            self._allowances.set_others_need(now, others)
        elif notice.scope is Scope.VM:
            self._by_vm[notice.vm] = received
        elif not is_local:
            self._by_data_centre[notice.data_centre] = received
        limits = [_to_limit(now, entry) for entry in notice.limits]
        heard_here = is_local and notice.scope is Scope.VM
        return [
            announced
            for announced in limits
            if self._allowances.on_notice(announced, is_local=heard_here)
        ]

    def next_notices(self, now: float) -> list[Addressed[LimitNotice]]:
        """Return the notices to send now, if they are due."""
        if now < self._due_at or not self._allowances.has_limits:
            return []
        self._due_at = now + NOTICE_INTERVAL_SECONDS
        hub = self._peers.local_hub(now)
        if hub is not None:
            limits = self._allowances.own_limits(now)
            needs = self._allowances.needs(now)
            return [self._address(now, Scope.VM, limits, needs, [hub])]
        self._by_vm = _recent(now, self._by_vm)
        self._by_data_centre = _recent(now, self._by_data_centre)
        local = [item.needs for item in self._by_vm.values()]
        remote = [item.needs for item in self._by_data_centre.values()]
        own = self._allowances.needs(now)
        self._allowances.set_others_need(now, _total(local + remote))
        return [
            self._address(
                now,
                Scope.DATA_CENTRE,
                self._allowances.local_limits(now),
                _total([own, *local]),
                self._peers.remote_hubs(now, all_members=False),
            ),
            self._address(
                now,
                Scope.FLEET,
                self._allowances.limits(now),
                _total([own, *local, *remote]),
                self._peers.local_peers(now),
            ),
        ]

    def _address(
        self,
        now: float,
        scope: Scope,
        limits: Iterable[AnnouncedLimit],
        needs: Mapping[ServiceId, float],
        peers: list[Peer],
    ) -> Addressed[LimitNotice]:
        largest = sorted(needs.items(), key=lambda item: item[1], reverse=True)
        notice = LimitNotice(
            self._this_vm.vm,
            self._this_vm.data_centre,
            scope,
            tuple(_to_entry(now, item) for item in list(limits)[:MAX_ENTRIES]),
            tuple(
                ServiceNeed(service, round(rate * THOUSANDTHS))
                for service, rate in largest[:MAX_ENTRIES]
            ),
        )
        return Addressed(notice, peers)


def _recent(
    now: float, received: Mapping[_Sender, _ReceivedNeeds]
) -> dict[_Sender, _ReceivedNeeds]:
    return {
        sender: item
        for sender, item in received.items()
        if now - item.received_at <= NEED_TTL_SECONDS
    }


def _total(parts: Iterable[Mapping[ServiceId, float]]) -> dict[ServiceId, float]:
    total: defaultdict[ServiceId, float] = defaultdict(float)
    for needs in parts:
        for service, rate in needs.items():
            total[service] += rate
    return dict(total)


def _to_limit(now: float, entry: LimitEntry) -> AnnouncedLimit:
    run = UpstreamRun(entry.upstream, entry.incarnation)
    limit = entry.thousandths / THOUSANDTHS if entry.thousandths >= 0 else None
    return AnnouncedLimit(run, limit, now - max(0, entry.age_ms) / 1000)


def _to_entry(now: float, announced: AnnouncedLimit) -> LimitEntry:
    limit, run = announced.limit, announced.run
    thousandths = -1 if limit is None else round(limit * THOUSANDTHS)
    age_ms = round(max(0.0, now - announced.said_at) * 1000)
    return LimitEntry(run.upstream, run.incarnation, thousandths, age_ms)
