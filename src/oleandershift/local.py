"""Baseline policies: fair queues at each router, without allocators."""

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
_SELF = ClientKey("router/self")


class _LocalQueue:
    """Fair order of one service's teams at one router."""

    def __init__(self, process: ProcessId, region: RegionId) -> None:
        self.backlog = Backlog()
        self.charging = Accounting(process, region, self.backlog)
        self.charged: dict[UseKey, float] = {}


class LocalFairPolicy(QueueingPolicy):
    """Starts the team with the least virtual service while a slot seems free."""

    def __init__(self, process: ProcessId, region: RegionId, address: str) -> None:
        super().__init__(process, region, address)
        self._queues: dict[ServiceId, _LocalQueue] = {}
        self._routers: dict[str, Member] = {}
        self._last_grant = 0

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Take a message."""
        return []

    @abstractmethod
    def _room(self, now: float, service: ServiceState, upstream: UpstreamId) -> int:
        """Return how many more requests this router may start on an upstream."""

    def _queue(self, service: ServiceState) -> _LocalQueue:
        held = self._queues.get(service.name)
        if held is None:
            held = _LocalQueue(self._process, self._region)
            self._queues[service.name] = held
        return held

    def _follow(self, service: ServiceState, members: Mapping[str, Member]) -> None:
        self._queue(service).charging.configure(self._table.teams)
        self._routers = {
            vm: member
            for vm, member in members.items()
            if member.state is not MemberState.DEAD
        }

    def _on_change(self, now: float, service: ServiceState, team: TeamId) -> None:
        queue = self._queue(service)
        was_backlogged = queue.backlog.is_backlogged(team)
        idle_since = queue.backlog.idle_since(team)
        queue.backlog.update_load(now, _SELF, False, self._load(service, team))
        if not was_backlogged and queue.backlog.is_backlogged(team):
            queue.charging.lift(now, team, idle_since)

    def _on_use(self, now: float, service: ServiceState, use: GrantUse) -> None:
        queue = self._queue(service)
        key = (use.allocator, use.grant)
        charged = queue.charged[key]
        target = use.cost if use.done else max(charged, use.cost)
        queue.charging.charge(use.team, target - charged)
        queue.charged[key] = target
        if use.done:
            del queue.charged[key]

    def _advance(self, now: float, service: ServiceState) -> list[Action]:
        actions: list[Action] = []
        while (started := self._start_next(now, service)) is not None:
            actions.append(started)
        return actions

    def _start_next(self, now: float, service: ServiceState) -> Action | None:
        upstream = self._best(now, service)
        if upstream is None:
            return None
        queue = self._queue(service)
        for team, _, _ in queue.backlog.candidates(now):
            req = service.queues.next_request(now, team, upstream)
            if req is None:
                continue
            charged = queue.charging.estimate(self._load(service, team))
            self._last_grant += 1
            use = GrantUse(
                self._process.incarnation,
                GrantId(self._last_grant),
                upstream,
                team,
                charged=charged,
            )
            queue.charged[use.allocator, use.grant] = charged
            queue.charging.update_floor()
            queue.charging.charge(team, charged)
            return self._start(now, service, req, use, now + START_TIMEOUT_SECONDS)
        return None

    def _best(self, now: float, service: ServiceState) -> UpstreamId | None:
        rooms = [
            (self._room(now, service, name), name)
            for name in service.usable
            if name not in self._ejected
        ]
        room, name = max(rooms, default=(0, UpstreamId("")))
        return name if room > 0 else None

    def _running(self, service: ServiceState) -> Counter[UpstreamId]:
        return Counter(held.use.upstream for held in service.running.values())


class StaticSplitPolicy(LocalFairPolicy):
    """Each router owns a fixed share of every upstream's slots."""

    def _room(self, now: float, service: ServiceState, upstream: UpstreamId) -> int:
        owned = self._owned(upstream, service.usable[upstream].slots)
        return owned - self._running(service)[upstream]

    def _owned(self, upstream: UpstreamId, slots: int) -> int:
        names = sorted(self._routers)
        if self._process.vm not in names:
            return 0
        turn = xxhash.xxh3_64_intdigest(upstream.encode()) % len(names)
        rank = (names.index(self._process.vm) + turn) % len(names)
        return (rank + 1) * slots // len(names) - rank * slots // len(names)


class GossipPolicy(LocalFairPolicy):
    """Routers tell each other what they run and have charged; no one owns a slot."""

    def __init__(self, process: ProcessId, region: RegionId, address: str) -> None:
        super().__init__(process, region, address)
        self._heard: defaultdict[ServiceId, dict[str, Snapshot]] = defaultdict(dict)
        self._heard_at: dict[tuple[ServiceId, str], float] = {}
        self._next_gossip = 0.0
        self._seq = 0

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Take another router's totals and running requests."""
        body = envelope.body
        if not isinstance(body, Snapshot) or body.service not in self._services:
            return []
        service = self._services[body.service]
        held = self._heard[service.name].get(body.client.vm)
        if held is not None and (held.client.incarnation, held.seq) >= (
            body.client.incarnation,
            body.seq,
        ):
            return []
        self._heard[service.name][body.client.vm] = body
        self._heard_at[service.name, body.client.vm] = now
        self._queue(service).charging.merge(body.client, body.service_totals)
        return self._advance(now, service)

    def on_tick(self, now: float) -> list[Action]:
        """Take the passage of time."""
        actions = super().on_tick(now)
        if now >= self._next_gossip:
            self._next_gossip = now + GOSSIP_INTERVAL_SECONDS
            for service in self._services.values():
                actions += self._gossip(service)
        return actions

    def _room(self, now: float, service: ServiceState, upstream: UpstreamId) -> int:
        others = sum(
            use.upstream == upstream
            for vm, snapshot in self._heard[service.name].items()
            if now < self._heard_at[service.name, vm] + SNAPSHOT_EXPIRY_SECONDS
            for use in snapshot.grants
        )
        slots = service.usable[upstream].slots
        return slots - others - self._running(service)[upstream]

    def _gossip(self, service: ServiceState) -> list[Action]:
        self._seq += 1
        snapshot = Snapshot(
            service.name,
            self._process,
            self._region,
            self._address,
            Seq(0),
            Seq(self._seq),
            (),
            tuple(held.use for held in service.running.values()),
            service_totals=self._queue(service).charging.totals.changes_since(Seq(0))[
                :1
            ],
        )
        return [
            Send(f"tcp://{member.ip}:{member.router_port}", member.region, snapshot)
            for vm, member in self._routers.items()
            if vm != self._process.vm
        ]
