"""Routers and allocators on virtual time, connected by an unreliable network."""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from oleandershift.bounds import SharedCapacity, gap_bound
from oleandershift.dispatch import (
    Policy,
    QueuedRequest,
    Refuse,
    RequestKind,
    Send,
    Start,
    UpstreamLoad,
)
from oleandershift.fair import FairPolicy
from oleandershift.ids import (
    DataCentreId,
    FleetId,
    Incarnation,
    RegionId,
    RequestId,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.messages import (
    Envelope,
    Member,
    MemberState,
    ProcessId,
    Role,
    Row,
    decode,
    encode,
)
from oleandershift.replica import Table
from oleandershift.roles import AllocatorRoles
from oleandershift.rows import RowKind, ServiceRow, TeamRow, UpstreamRow, encode_row

SERVICE = ServiceId("drafting")
TICK_SECONDS = 0.05
LOAD_POLL_SECONDS = 1.0
MAX_COST_TOKENS = 3000.0
TOKENS_PER_SECOND = 500.0


def heavy_tailed_cost(rng: random.Random) -> float:
    """Return a random cost, tokens: median about 350, at most `MAX_COST_TOKENS`."""
    return min(MAX_COST_TOKENS, 200.0 * rng.paretovariate(1.2))


@dataclass
class RunningRequest:
    """A request running at an upstream."""

    request: RequestId
    team: TeamId
    vm: str
    upstream: str
    cost: float
    started: float
    speed: float

    def streamed(self, now: float) -> float:
        """Return the number of tokens streamed so far."""
        return min(self.cost, max(0.0, now - self.started) * self.speed)


@dataclass
class NetworkFaults:
    """Network faults: probabilities of loss and duplication, jitter, cut links."""

    loss: float = 0.0
    duplication: float = 0.0
    jitter_seconds: float = 0.0
    is_cut: Callable[[str, str], bool] = lambda sender, receiver: False


@dataclass
class Workload:
    """A team that keeps `backlog` requests outstanding at one router."""

    team: str
    vm: str
    backlog: int
    cost: Callable[[random.Random], float] = heavy_tailed_cost
    cost_hint: Callable[[float], float | None] = lambda cost: None
    is_active: Callable[[float], bool] = lambda now: True


@dataclass
class VirtualFleet:
    """Regions of VMs, each with a router and the allocators assigned to it."""

    seed: int
    regions: dict[str, list[str]]
    slots: dict[str, tuple[str, int]]
    weights: dict[str, float]
    policy: Callable[[ProcessId, RegionId, str], Policy] = FairPolicy
    faults: NetworkFaults = field(default_factory=NetworkFaults)
    limits: dict[str, dict[str, Any]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        print("seed", self.seed)
        self.now = 1_000_000.0
        self.started_at = self.now
        self.speeds: dict[str, float] = defaultdict(lambda: TOKENS_PER_SECOND)
        self.running: dict[tuple[str, RequestId], RunningRequest] = {}
        self.finished_tokens: defaultdict[str, float] = defaultdict(float)
        self.refused: list[Refuse] = []
        self.workloads: list[Workload] = []
        self.samples: list[tuple[float, dict[str, float]]] = []
        self.slot_seconds = self.busy_seconds = self.excess_slot_seconds = 0.0
        self.peak_running: defaultdict[str, int] = defaultdict(int)
        self.sent_bytes: defaultdict[tuple[str, str], int] = defaultdict(int)
        self.costs: dict[RequestId, float] = {}
        self.outstanding: defaultdict[tuple[str, str], int] = defaultdict(int)
        self.workload_of: dict[RequestId, Workload] = {}
        self.clock_of: Callable[[str], float] = lambda vm: self.now
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.members = {
            vm: self._member(index, vm, region)
            for index, (vm, region) in enumerate(
                (vm, region) for region, vms in self.regions.items() for vm in vms
            )
        }
        self.table = Table(self._rows())
        self.routers: dict[str, Policy] = {}
        self.roles: dict[str, AllocatorRoles] = {}
        self.frozen: set[str] = set()
        for vm in self.members:
            self.start_router(vm)
            self.start_allocator(vm)
        self.call_later(0.0, self._tick)
        self.call_later(0.0, self._poll)

    def _member(self, index: int, vm: str, region: str) -> Member:
        return Member(
            VmId(vm),
            RegionId(region),
            DataCentreId(region),
            f"10.0.0.{index}",
            1,
            2,
            3,
            4,
            5,
            Incarnation(1),
        )

    def _rows(self) -> Iterable[Row]:
        yield self._row(RowKind.SERVICES, SERVICE, ServiceRow(name=SERVICE))
        for name, (region, slots) in self.slots.items():
            row = UpstreamRow(
                name=UpstreamId(name),
                service=SERVICE,
                region=RegionId(region),
                url="http://10.0.1.1:1",
                slots=slots,
            )
            yield self._row(RowKind.UPSTREAMS, name, row)
        for name, weight in self.weights.items():
            team = TeamRow(
                name=TeamId(name), weight=weight, **self.limits.get(name, {})
            )
            yield self._row(RowKind.TEAMS, name, team)

    def _row(self, kind: RowKind, name: str, row: Any) -> Row:
        return Row(kind.value, name, 1, encode_row(row))

    # Processes

    def start_router(self, vm: str) -> None:
        """Start a router with empty state."""
        process = ProcessId(VmId(vm), Role.ROUTER, Incarnation(int(self.now * 1e9)))
        member = self.members[vm]
        address = f"tcp://{member.ip}:{member.router_port}"
        self.routers[vm] = self.policy(process, member.region, address)
        self.configure(vm)

    def start_allocator(self, vm: str) -> None:
        """Start an allocator process with empty state."""
        member = self.members[vm]
        address = f"tcp://{member.ip}:{member.allocator_port}"
        self.roles[vm] = AllocatorRoles(VmId(vm), member.region, address)
        self.configure(vm)

    def kill(self, vm: str) -> None:
        """Stop a VM permanently; its requests keep running at the upstreams."""
        self.routers.pop(vm, None)
        self.roles.pop(vm, None)
        self.workloads = [workload for workload in self.workloads if workload.vm != vm]

    def set_member_state(self, vm: str, state: MemberState) -> None:
        """Set a VM's state in the membership of every VM."""
        member = self.members[vm]
        self.members[vm] = Member(
            **{name: getattr(member, name) for name in member.__struct_fields__}
            | {"state": state}
        )
        for other in self.members:
            self.configure(other)

    def configure(self, vm: str) -> None:
        """Send a VM the current table and membership."""
        arguments = (self.now, self.table, dict(self.members), frozenset())
        if vm in self.roles:
            self._act(vm, self.roles[vm].configure(*arguments))
        if vm in self.routers:
            self._act(vm, self.routers[vm].configure(*arguments))

    # Time

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        heapq.heappush(self._queue, (self.now + seconds, next(self._count), call))

    def run(self, seconds: float) -> None:
        """Advance the time and run the calls that are due."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    def _tick(self) -> None:
        for vm in self.members:
            if vm in self.frozen:
                continue
            if vm in self.roles:
                self._act(vm, self.roles[vm].on_tick(self.now))
            if vm in self.routers:
                self._act(vm, self.routers[vm].on_tick(self.now))
        for running in list(self.running.values()):
            policy = self.routers.get(running.vm)
            if policy is not None and running.vm not in self.frozen:
                streamed = running.streamed(self.now)
                self._act(
                    running.vm,
                    policy.report_progress(self.now, running.request, streamed),
                )
        self._sample()
        for workload in self.workloads:
            self._refill(workload)
        self.call_later(TICK_SECONDS, self._tick)

    def _poll(self) -> None:
        counts: defaultdict[str, int] = defaultdict(int)
        for running in self.running.values():
            counts[running.upstream] += 1
        for name in self.slots:
            load = UpstreamLoad(UpstreamId(name), self.now, counts[name], 0)
            for vm, roles in self.roles.items():
                if vm not in self.frozen:
                    self._act(vm, roles.on_load(self.now, load))
        self.call_later(LOAD_POLL_SECONDS, self._poll)

    def _sample(self) -> None:
        service = dict(self.finished_tokens)
        counts: defaultdict[str, int] = defaultdict(int)
        for running in self.running.values():
            streamed = running.streamed(self.now)
            service[running.team] = service.get(running.team, 0.0) + streamed
            counts[running.upstream] += 1
        self.samples.append((self.now - self.started_at, service))
        for name, (_, slots) in self.slots.items():
            self.slot_seconds += slots * TICK_SECONDS
            self.busy_seconds += min(slots, counts[name]) * TICK_SECONDS
            self.excess_slot_seconds += max(0, counts[name] - slots) * TICK_SECONDS
            self.peak_running[name] = max(self.peak_running[name], counts[name])

    # Requests

    def add(self, workload: Workload) -> None:
        """Add a workload and submit its first requests."""
        self.workloads.append(workload)
        self._refill(workload)

    def _refill(self, workload: Workload) -> None:
        if (
            not workload.is_active(self.now - self.started_at)
            or workload.vm in self.frozen
        ):
            return
        while self.outstanding[workload.team, workload.vm] < workload.backlog:
            self.submit(workload)

    def submit(
        self, workload: Workload, kind: RequestKind = RequestKind.QUICK
    ) -> RequestId:
        """Submit one request of a workload."""
        request = RequestId(f"r{next(self._count)}")
        cost = self.costs[request] = workload.cost(self.rng)
        self.workload_of[request] = workload
        self.outstanding[workload.team, workload.vm] += 1
        req = QueuedRequest(
            request,
            TeamId(workload.team),
            SERVICE,
            kind,
            self.now,
            cost_hint=workload.cost_hint(cost),
        )
        self._act(workload.vm, self.routers[workload.vm].submit(self.now, req))
        return request

    def _begin(self, vm: str, start: Start) -> None:
        workload = self.workload_of[start.request]
        cost = self.costs[start.request]
        running = RunningRequest(
            start.request,
            TeamId(workload.team),
            vm,
            start.upstream,
            cost,
            self.now,
            self.speeds[start.upstream],
        )
        key = (vm, start.request)
        assert key not in self.running, "a request was started twice"
        self.running[key] = running
        self.call_later(cost / running.speed, lambda: self._end(key))

    def _end(self, key: tuple[str, RequestId]) -> None:
        if key[0] in self.frozen:
            self.call_later(TICK_SECONDS, lambda: self._end(key))
            return
        running = self.running.pop(key, None)
        if running is None:
            return
        self.finished_tokens[running.team] += running.cost
        self.outstanding[running.team, running.vm] -= 1
        policy = self.routers.get(running.vm)
        if policy is None:
            return
        self._act(
            running.vm, policy.finish(self.now, running.request, running.cost, True)
        )
        workload = self.workload_of[running.request]
        if workload in self.workloads:
            self._refill(workload)

    # Messages

    def _act(self, vm: str, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._begin(vm, action)
            elif isinstance(action, Refuse):
                self.refused.append(action)
                workload = self.workload_of[action.request]
                self.outstanding[workload.team, workload.vm] -= 1
            elif isinstance(action, Send):
                self._send(vm, action)

    def _send(self, vm: str, action: Send) -> None:
        ip, _, port = action.address.removeprefix("tcp://").partition(":")
        receiver = next(m.vm for m in self.members.values() if m.ip == ip)
        role = Role.ALLOCATOR if int(port) == 3 else Role.ROUTER
        sender = ProcessId(VmId(vm), role, Incarnation(1))
        region = self.members[vm].region
        envelope = Envelope(
            FleetId("f"), sender, int(self.clock_of(vm) * 1e9), 0, action.body
        )
        data = encode(envelope)
        self.sent_bytes[region, action.region] += len(data)
        if self.faults.is_cut(vm, receiver) or self.rng.random() < self.faults.loss:
            return
        copies = 2 if self.rng.random() < self.faults.duplication else 1
        latency = 0.012 if region != action.region else 0.001
        for _ in range(copies):
            delay = latency + self.rng.random() * self.faults.jitter_seconds
            self.call_later(delay, lambda: self._deliver(receiver, role, decode(data)))

    def _deliver(self, vm: str, role: Role, envelope: Envelope) -> None:
        if vm in self.frozen:
            self.call_later(TICK_SECONDS, lambda: self._deliver(vm, role, envelope))
            return
        handlers: dict[str, Any] = dict(
            self.roles if role is Role.ALLOCATOR else self.routers
        )
        if vm in handlers:
            self._act(vm, handlers[vm].on_envelope(self.now, envelope))

    # Measurements

    def max_gap(self, first: str, second: str, since: float, until: float) -> float:
        """Return the maximum weighted service gap of two teams over any window."""
        differences = [
            service.get(first, 0.0) / self.weights[first]
            - service.get(second, 0.0) / self.weights[second]
            for at, service in self.samples
            if since <= at <= until
        ]
        return max(differences) - min(differences)

    def max_pairwise_gap(
        self, teams: Iterable[str], since: float, until: float
    ) -> float:
        """Return the maximum gap over all pairs of teams."""
        pairs = itertools.combinations(teams, 2)
        return max(self.max_gap(first, second, since, until) for first, second in pairs)

    def final_gap(self) -> float:
        """Return the current maximum difference of two teams' weighted service."""
        service = self.samples[-1][1]
        weighted = [
            service.get(team, 0.0) / weight for team, weight in self.weights.items()
        ]
        return max(weighted) - min(weighted)

    def bound(self) -> float:
        """Return the smallest gap bound over all pairs of teams."""
        slots = sum(count for _, count in self.slots.values())
        capacity = SharedCapacity(slots, slots * TOKENS_PER_SECOND, MAX_COST_TOKENS)
        weights = {TeamId(team): weight for team, weight in self.weights.items()}
        pairs = itertools.combinations(weights, 2)
        return min(
            gap_bound(first, second, weights, capacity) for first, second in pairs
        )

    def utilisation(self) -> float:
        """Return the fraction of slot time that was busy."""
        return self.busy_seconds / self.slot_seconds
