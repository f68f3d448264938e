"""A few routers and allocators on virtual time, joined by an unreliable network."""

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
    """Return a cost, tokens: median about 350, at most `MAX_COST_TOKENS`."""
    return min(MAX_COST_TOKENS, 200.0 * rng.paretovariate(1.2))


@dataclass
class RunningRequest:
    """A request at an upstream."""

    request: RequestId
    team: TeamId
    vm: str
    upstream: str
    cost: float
    started: float
    speed: float

    def streamed(self, now: float) -> float:
        """Return the tokens streamed so far."""
        return min(self.cost, max(0.0, now - self.started) * self.speed)


@dataclass
class NetworkFaults:
    """What the network does to messages."""

    loss: float = 0.0
    duplication: float = 0.0
    jitter_seconds: float = 0.0
    is_cut: Callable[[str, str], bool] = lambda sender, receiver: False


@dataclass
class Workload:
    """A team that keeps requests waiting at one router."""

    team: str
    vm: str
    backlog: int
    cost: Callable[[random.Random], float] = heavy_tailed_cost
    cost_hint: Callable[[float], float | None] = lambda cost: None
    is_active: Callable[[float], bool] = lambda now: True


@dataclass
class VirtualFleet:
    """Regions of VMs, each with a router and the allocators that fall on it."""

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
        """Start a router with nothing remembered."""
        process = ProcessId(VmId(vm), Role.ROUTER, Incarnation(int(self.now * 1e9)))
        member = self.members[vm]
        address = f"tcp://{member.ip}:{member.router_port}"
        self.routers[vm] = self.policy(process, member.region, address)
        self.configure(vm)

    def start_allocator(self, vm: str) -> None:
        """Start an allocator process with nothing remembered."""
        member = self.members[vm]
        address = f"tcp://{member.ip}:{member.allocator_port}"
        self.roles[vm] = AllocatorRoles(VmId(vm), member.region, address)
        self.configure(vm)

    def kill(self, vm: str) -> None:
        """Stop a VM for good; its requests run on at the upstreams."""
        self.routers.pop(vm, None)
        self.roles.pop(vm, None)
        self.workloads = [load for load in self.workloads if load.vm != vm]

    def set_member_state(self, vm: str, state: MemberState) -> None:
        """Let the membership of every VM show a VM's state."""
        member = self.members[vm]
        self.members[vm] = Member(
            **{name: getattr(member, name) for name in member.__struct_fields__}
            | {"state": state}
        )
        for other in self.members:
            self.configure(other)

    def configure(self, vm: str) -> None:
        """Give a VM the table and members now in force."""
        arguments = (self.now, self.table, dict(self.members), frozenset())
        if vm in self.roles:
            self._act(vm, self.roles[vm].configure(*arguments))
        if vm in self.routers:
            self._act(vm, self.routers[vm].configure(*arguments))

    # Time

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call something later."""
        heapq.heappush(self._queue, (self.now + seconds, next(self._count), call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
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
        for held in list(self.running.values()):
            policy = self.routers.get(held.vm)
            if policy is not None and held.vm not in self.frozen:
                streamed = held.streamed(self.now)
                self._act(
                    held.vm, policy.report_progress(self.now, held.request, streamed)
                )
        self._sample()
        for load in self.workloads:
            self._refill(load)
        self.call_later(TICK_SECONDS, self._tick)

    def _poll(self) -> None:
        counts: defaultdict[str, int] = defaultdict(int)
        for held in self.running.values():
            counts[held.upstream] += 1
        for name in self.slots:
            load = UpstreamLoad(UpstreamId(name), self.now, counts[name], 0)
            for vm, roles in self.roles.items():
                if vm not in self.frozen:
                    self._act(vm, roles.on_load(self.now, load))
        self.call_later(LOAD_POLL_SECONDS, self._poll)

    def _sample(self) -> None:
        service = dict(self.finished_tokens)
        counts: defaultdict[str, int] = defaultdict(int)
        for held in self.running.values():
            streamed = held.streamed(self.now)
            service[held.team] = service.get(held.team, 0.0) + streamed
            counts[held.upstream] += 1
        self.samples.append((self.now - self.started_at, service))
        for name, (_, slots) in self.slots.items():
            self.slot_seconds += slots * TICK_SECONDS
            self.busy_seconds += min(slots, counts[name]) * TICK_SECONDS
            self.excess_slot_seconds += max(0, counts[name] - slots) * TICK_SECONDS
            self.peak_running[name] = max(self.peak_running[name], counts[name])

    # Work

    def add(self, load: Workload) -> None:
        """Begin a load."""
        self.workloads.append(load)
        self._refill(load)

    def _refill(self, load: Workload) -> None:
        if not load.is_active(self.now - self.started_at) or load.vm in self.frozen:
            return
        while self.outstanding[load.team, load.vm] < load.backlog:
            self.submit(load)

    def submit(
        self, load: Workload, kind: RequestKind = RequestKind.QUICK
    ) -> RequestId:
        """Submit one request of a load."""
        request = RequestId(f"r{next(self._count)}")
        cost = self.costs[request] = load.cost(self.rng)
        self.workload_of[request] = load
        self.outstanding[load.team, load.vm] += 1
        req = QueuedRequest(
            request,
            TeamId(load.team),
            SERVICE,
            kind,
            self.now,
            cost_hint=load.cost_hint(cost),
        )
        self._act(load.vm, self.routers[load.vm].submit(self.now, req))
        return request

    def _begin(self, vm: str, start: Start) -> None:
        load = self.workload_of[start.request]
        cost = self.costs[start.request]
        held = RunningRequest(
            start.request,
            TeamId(load.team),
            vm,
            start.upstream,
            cost,
            self.now,
            self.speeds[start.upstream],
        )
        key = (vm, start.request)
        assert key not in self.running, "a request was started twice"
        self.running[key] = held
        self.call_later(cost / held.speed, lambda: self._end(key))

    def _end(self, key: tuple[str, RequestId]) -> None:
        if key[0] in self.frozen:
            self.call_later(TICK_SECONDS, lambda: self._end(key))
            return
        held = self.running.pop(key, None)
        if held is None:
            return
        self.finished_tokens[held.team] += held.cost
        self.outstanding[held.team, held.vm] -= 1
        policy = self.routers.get(held.vm)
        if policy is None:
            return
        self._act(held.vm, policy.finish(self.now, held.request, held.cost, True))
        load = self.workload_of[held.request]
        if load in self.workloads:
            self._refill(load)

    # Messages

    def _act(self, vm: str, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._begin(vm, action)
            elif isinstance(action, Refuse):
                self.refused.append(action)
                load = self.workload_of[action.request]
                self.outstanding[load.team, load.vm] -= 1
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
        far = 0.012 if region != action.region else 0.001
        for _ in range(copies):
            delay = far + self.rng.random() * self.faults.jitter_seconds
            self.call_later(delay, lambda: self._deliver(receiver, role, decode(data)))

    def _deliver(self, vm: str, role: Role, envelope: Envelope) -> None:
        if vm in self.frozen:
            self.call_later(TICK_SECONDS, lambda: self._deliver(vm, role, envelope))
            return
        holders: dict[str, Any] = dict(
            self.roles if role is Role.ALLOCATOR else self.routers
        )
        if vm in holders:
            self._act(vm, holders[vm].on_envelope(self.now, envelope))

    # Findings

    def max_gap(self, one: str, other: str, since: float, until: float) -> float:
        """Return the largest weighted service gap of two teams over any window."""
        offsets = [
            service.get(one, 0.0) / self.weights[one]
            - service.get(other, 0.0) / self.weights[other]
            for at, service in self.samples
            if since <= at <= until
        ]
        return max(offsets) - min(offsets)

    def max_pairwise_gap(
        self, teams: Iterable[str], since: float, until: float
    ) -> float:
        """Return the largest gap of any two teams."""
        pairs = itertools.combinations(teams, 2)
        return max(self.max_gap(one, other, since, until) for one, other in pairs)

    def final_gap(self) -> float:
        """Return the largest difference of two teams' weighted service by now."""
        service = self.samples[-1][1]
        found = [service.get(team, 0.0) / w for team, w in self.weights.items()]
        return max(found) - min(found)

    def bound(self) -> float:
        """Return the least bound on the gap of any two teams."""
        slots = sum(count for _, count in self.slots.values())
        capacity = SharedCapacity(slots, slots * TOKENS_PER_SECOND, MAX_COST_TOKENS)
        weights = {TeamId(team): weight for team, weight in self.weights.items()}
        pairs = itertools.combinations(weights, 2)
        return min(gap_bound(one, other, weights, capacity) for one, other in pairs)

    def utilisation(self) -> float:
        """Return the share of slot-time that was busy."""
        return self.busy_seconds / self.slot_seconds
