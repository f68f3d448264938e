"""Baseline policies that queue fairly at each router, without allocators."""

from abc import abstractmethod
from collections import Counter, defaultdict
from collections.abc import Mapping

import xxhash

from oleandershift.accounting import Accounting
from oleandershift.backlog import Backlog, ClientKey
from oleandershift.dispatch import Action, Send
from oleandershift.ids import GrantId, RegionId, Seq, ServiceId, TeamId, UpstreamId
from oleandershift.messages import (
    Envelope,
    GrantUse,
    Member,
    MemberState,
    ProcessId,
    Snapshot,
)
from oleandershift.queueing import QueueingPolicy, ServiceState
from oleandershift.snapshotstreams import UseKey

START_TIMEOUT_SECONDS = 3.0
GOSSIP_INTERVAL_SECONDS = 1.0

SNAPSHOT_EXPIRY_SECONDS = 5.0
"""Requests of a router whose last snapshot is older than this are not counted."""

_SELF_KEY = ClientKey("router/self")


class _LocalQueue:
    """Fair order of the teams of one service at one router."""

    def __init__(self, process: ProcessId, region: RegionId) -> None:
        self.backlog = Backlog()
        self.accounting = Accounting(process, region, self.backlog)
        self.charged_tokens: dict[UseKey, float] = {}


class LocalFairPolicy(QueueingPolicy):
    """Serves the team with the least virtual service while a slot appears free."""

    def __init__(self, process: ProcessId, region: RegionId, address: str) -> None:
        super().__init__(process, region, address)
        self._queues: dict[ServiceId, _LocalQueue] = {}
        self._routers: dict[str, Member] = {}
        self._last_grant_id = 0

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Ignore the message: this policy uses none."""
        return []

    @abstractmethod
    def _free_slots(
        self, now: float, service: ServiceState, upstream: UpstreamId
    ) -> int:
        """Return how many more requests this router may start on an upstream."""

    def _queue(self, service: ServiceState) -> _LocalQueue:
        queue = self._queues.get(service.name)
        if queue is None:
            queue = _LocalQueue(self._process, self._region)
            self._queues[service.name] = queue
        return queue

    def _on_configure(
        self, service: ServiceState, members: Mapping[str, Member]
    ) -> None:
        self._queue(service).accounting.configure(self._table.teams)
        self._routers = {
            vm: member
            for vm, member in members.items()
            if member.state is not MemberState.DEAD
        }

    def _on_team_change(self, now: float, service: ServiceState, team: TeamId) -> None:
        queue = self._queue(service)
        was_backlogged = queue.backlog.is_backlogged(team)
        idle_since = queue.backlog.idle_since(team)
        queue.backlog.update_load(now, _SELF_KEY, False, self._team_load(service, team))
        if not was_backlogged and queue.backlog.is_backlogged(team):
            queue.accounting.lift(now, team, idle_since)

    def _on_use_change(self, now: float, service: ServiceState, use: GrantUse) -> None:
        queue = self._queue(service)
        key = (use.allocator, use.grant)
        charged = queue.charged_tokens[key]
        total = use.cost if use.done else max(charged, use.cost)
        queue.accounting.charge(use.team, total - charged)
        queue.charged_tokens[key] = total
        if use.done:
            del queue.charged_tokens[key]

    def _run_due(self, now: float, service: ServiceState) -> list[Action]:
        actions: list[Action] = []
        while (started := self._start_next(now, service)) is not None:
            actions.append(started)
        return actions

    def _start_next(self, now: float, service: ServiceState) -> Action | None:
        upstream = self._best_upstream(now, service)
        if upstream is None:
            return None
        queue = self._queue(service)
        for team, _, _ in queue.backlog.candidates(now):
            req = service.queues.next_request(now, team, upstream)
            if req is None:
                continue
            charged = queue.accounting.estimate(self._team_load(service, team))
            self._last_grant_id += 1
            use = GrantUse(
                self._process.incarnation,
                GrantId(self._last_grant_id),
                upstream,
                team,
                charged=charged,
            )
            queue.charged_tokens[use.allocator, use.grant] = charged
            queue.accounting.update_floor()
            queue.accounting.charge(team, charged)
            return self._start(now, service, req, use, now + START_TIMEOUT_SECONDS)
        return None

    def _best_upstream(self, now: float, service: ServiceState) -> UpstreamId | None:
        candidates = [
            (self._free_slots(now, service, name), name)
            for name in service.usable
            if name not in self._ejected
        ]
        free, name = max(candidates, default=(0, UpstreamId("")))
        return name if free > 0 else None

    def _running_by_upstream(self, service: ServiceState) -> Counter[UpstreamId]:
        return Counter(running.use.upstream for running in service.running.values())


class StaticSplitPolicy(LocalFairPolicy):
    """Assigns each router a fixed share of every upstream's slots."""

    def _free_slots(
        self, now: float, service: ServiceState, upstream: UpstreamId
    ) -> int:
        owned = self._owned_slots(upstream, service.usable[upstream].slots)
        return owned - self._running_by_upstream(service)[upstream]

    def _owned_slots(self, upstream: UpstreamId, slots: int) -> int:
        names = sorted(self._routers)
        if self._process.vm not in names:
            return 0
        offset = xxhash.xxh3_64_intdigest(upstream.encode()) % len(names)
        rank = (names.index(self._process.vm) + offset) % len(names)
        return (rank + 1) * slots // len(names) - rank * slots // len(names)


class GossipPolicy(LocalFairPolicy):
    """Starts requests on any slot that appears free from the routers' snapshots.

    Routers exchange their running requests and charges; slots have no owner.
    """

    def __init__(self, process: ProcessId, region: RegionId, address: str) -> None:
        super().__init__(process, region, address)
        self._snapshots: defaultdict[ServiceId, dict[str, Snapshot]] = defaultdict(dict)
        self._received_at: dict[tuple[ServiceId, str], float] = {}
        self._next_gossip_at = 0.0
        self._seq = 0

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Apply another router's totals and running requests."""
        body = envelope.body
        if not isinstance(body, Snapshot) or body.service not in self._services:
            return []
        service = self._services[body.service]
        previous = self._snapshots[service.name].get(body.client.vm)
        if previous is not None and (previous.client.incarnation, previous.seq) >= (
            body.client.incarnation,
            body.seq,
        ):
            return []
        self._snapshots[service.name][body.client.vm] = body
        self._received_at[service.name, body.client.vm] = now
        self._queue(service).accounting.merge(body.client, body.service_totals)
        return self._run_due(now, service)

    def on_tick(self, now: float) -> list[Action]:
        """Run what is due and send snapshots at each gossip interval."""
        actions = super().on_tick(now)
        if now >= self._next_gossip_at:
            self._next_gossip_at = now + GOSSIP_INTERVAL_SECONDS
            for service in self._services.values():
                actions += self._send_snapshots(service)
        return actions

    def _free_slots(
        self, now: float, service: ServiceState, upstream: UpstreamId
    ) -> int:
        running_elsewhere = sum(
            use.upstream == upstream
            for vm, snapshot in self._snapshots[service.name].items()
            if now < self._received_at[service.name, vm] + SNAPSHOT_EXPIRY_SECONDS
            for use in snapshot.grants
        )
        slots = service.usable[upstream].slots
        return slots - running_elsewhere - self._running_by_upstream(service)[upstream]

    def _send_snapshots(self, service: ServiceState) -> list[Action]:
        self._seq += 1
        snapshot = Snapshot(
            service.name,
            self._process,
            self._region,
            self._address,
            Seq(0),
            Seq(self._seq),
            (),
            tuple(running.use for running in service.running.values()),
            service_totals=self._queue(service).accounting.totals.changes_since(Seq(0))[
                :1
            ],
        )
        return [
            Send(f"tcp://{member.ip}:{member.router_port}", member.region, snapshot)
            for vm, member in self._routers.items()
            if vm != self._process.vm
        ]
