"""Cost of sharing against teams, routers and regions: the real decision objects.

Each region has one allocator and some routers; every team keeps requests waiting. The
objects exchange encoded messages on virtual time.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from oleandershift.allocation import Allocator
from oleandershift.dispatch import QueuedRequest, RequestKind, Send, Start
from oleandershift.fair import FairPolicy
from oleandershift.ids import (
    FleetId,
    Incarnation,
    RegionId,
    RequestId,
    ServiceId,
    TeamId,
    UpstreamId,
)
from oleandershift.messages import (
    Envelope,
    Member,
    ProcessId,
    Role,
    Row,
    decode,
    encode,
)
from oleandershift.rendezvous import allocator_for
from oleandershift.replica import Table
from oleandershift.rows import RowKind, ServiceRow, UpstreamRow, encode_row
from standins.capacity.measure import MICROSECONDS, Report, Stopwatch
from standins.capacity.samples import NOW, REGIONS, make_member, team_row

SERVICE = ServiceId("model-0")
TICK_SECONDS = 0.05
NETWORK_DELAY_SECONDS = 0.005
COST_TOKENS = 315.0
WAITING_PER_TEAM = 3
SETTLE_SECONDS = 6.0
MEASURED_SECONDS = 4.0
SEED = 8


@dataclass(frozen=True)
class Shape:
    """Size of one measurement.

    Parameters
    ----------
    teams : int
        Teams backlogged in each region.
    routers : int
        Routers of each region.
    upstreams, slots : int
        Upstreams of each region, and slots of each.
    regions : int
        Regions.
    service_seconds : float
        How long a request runs.
    """

    teams: int
    routers: int
    upstreams: int
    slots: int = 8
    regions: int = 1
    service_seconds: float = 2.75

    def __str__(self) -> str:
        rate = self.upstreams * self.slots / self.service_seconds
        return (
            f"{self.regions} reg, {self.teams} teams, {self.routers} routers, "
            f"{rate:.0f}/s"
        )


class SharingLoop:
    """Routers and allocators of one service.

    Parameters
    ----------
    shape : Shape
        Their number.
    """

    def __init__(self, shape: Shape) -> None:
        self.now = NOW
        self.finished = 0
        self.stopwatches = {Role.ROUTER: Stopwatch(), Role.ALLOCATOR: Stopwatch()}
        self.sent_bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self._shape = shape
        self._rng = random.Random(SEED)
        self._count = itertools.count()
        self._queue: list[tuple[float, int, str, bytes]] = []
        self._ends: list[tuple[float, int, str, RequestId]] = []
        self._team_of: dict[RequestId, TeamId] = {}
        self._waiting: Counter[tuple[str, TeamId]] = Counter()
        self._objects: dict[str, FairPolicy | Allocator] = {}
        self._identity: dict[str, tuple[Role, Member]] = {}
        self._members = [
            make_member(number)
            for number in range(shape.routers * REGIONS)
            if number % REGIONS < shape.regions
        ]
        self._teams_at: dict[str, list[TeamId]] = {}
        self._make_objects()
        self._configure()

    def _make_objects(self) -> None:
        for region in sorted({member.region for member in self._members}):
            chosen = allocator_for(SERVICE, region, self._members)
            assert chosen is not None
            address = f"tcp://{chosen.ip}:{chosen.allocator_port}"
            process = ProcessId(chosen.vm, Role.ALLOCATOR, Incarnation(2))
            made = Allocator(SERVICE, region, process, address, self.now)
            self._put(address, Role.ALLOCATOR, chosen, made)
            self._make_routers(region)

    def _make_routers(self, region: RegionId) -> None:
        here = [member for member in self._members if member.region == region]
        for index, member in enumerate(here):
            address = f"tcp://{member.ip}:{member.router_port}"
            process = ProcessId(member.vm, Role.ROUTER, Incarnation(2))
            self._put(
                address, Role.ROUTER, member, FairPolicy(process, region, address)
            )
            self._teams_at[address] = [
                TeamId(f"team-{number:04d}")
                for number in range(self._shape.teams)
                if number % len(here) == index
            ]

    def _put(
        self, address: str, role: Role, member: Member, made: FairPolicy | Allocator
    ) -> None:
        self._objects[address] = made
        self._identity[address] = (role, member)

    def _rows(self) -> Iterable[Row]:
        made = ServiceRow(name=SERVICE)
        yield Row(RowKind.SERVICES.value, SERVICE, 1, encode_row(made))
        yield from map(team_row, range(self._shape.teams))
        regions = sorted({member.region for member in self._members})
        for region in regions:
            for number in range(self._shape.upstreams):
                name = UpstreamId(f"{region}-{number:05d}")
                row = UpstreamRow(
                    name=name,
                    service=SERVICE,
                    region=region,
                    url="http://10.0.0.1:1",
                    slots=self._shape.slots,
                )
                yield Row(RowKind.UPSTREAMS.value, name, 1, encode_row(row))

    def _configure(self) -> None:
        table = Table(self._rows())
        members: dict[str, Member] = {member.vm: member for member in self._members}
        for address, held in self._objects.items():
            actions = held.configure(self.now, table, members, frozenset())
            self._act(address, actions)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            self._deliver()
            self._finish()
            for address, held in self._objects.items():
                self._step(address, held.on_tick, self.now)
                self._refill(address)

    def _refill(self, address: str) -> None:
        held = self._objects[address]
        if not isinstance(held, FairPolicy):
            return
        for team in self._teams_at[address]:
            while self._waiting[address, team] < WAITING_PER_TEAM:
                self._waiting[address, team] += 1
                request = RequestId(f"{next(self._count):08d}")
                self._team_of[request] = team
                req = QueuedRequest(request, team, SERVICE, RequestKind.QUICK, self.now)
                self._step(address, held.submit, self.now, req)

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            _, _, address, data = heapq.heappop(self._queue)
            held = self._objects[address]
            watch = self.stopwatches[self._identity[address][0]]
            envelope = watch.time(decode, data)
            self._step(address, held.on_envelope, self.now, envelope)

    def _finish(self) -> None:
        while self._ends and self._ends[0][0] <= self.now:
            _, _, address, request = heapq.heappop(self._ends)
            held = self._objects[address]
            assert isinstance(held, FairPolicy)
            self.finished += 1
            self._step(address, held.finish, self.now, request, COST_TOKENS, True)

    def _step(self, address: str, method: Any, *args: Any) -> None:
        watch = self.stopwatches[self._identity[address][0]]
        self._act(address, watch.time(method, *args))

    def _act(self, address: str, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(address, action)
            elif isinstance(action, Start):
                team = self._team_of.pop(action.request)
                self._waiting[address, team] -= 1
                spread = self._rng.uniform(0.5, 1.5)
                at = self.now + self._shape.service_seconds * spread
                entry = (at, next(self._count), address, action.request)
                heapq.heappush(self._ends, entry)

    def _send(self, address: str, send: Send) -> None:
        role, member = self._identity[address]
        envelope = Envelope(
            FleetId("oleander"),
            ProcessId(member.vm, role, Incarnation(2)),
            int(self.now * 1e9),
            0,
            send.body,
        )
        data = self.stopwatches[role].time(encode, envelope)
        kind = role.label if member.region == send.region else "between regions"
        self.sent_bytes[kind] += len(data)
        self.messages[kind] += 1
        if send.address in self._objects:
            entry = (
                self.now + NETWORK_DELAY_SECONDS,
                next(self._count),
                send.address,
                data,
            )
            heapq.heappush(self._queue, entry)

    def reset(self) -> None:
        """Forget what was counted."""
        self.finished = 0
        self.sent_bytes.clear()
        self.messages.clear()
        for watch in self.stopwatches.values():
            watch.seconds = 0.0


SHAPES = (
    Shape(teams=16, routers=3, upstreams=6),
    Shape(teams=55, routers=70, upstreams=182),
    Shape(teams=550, routers=70, upstreams=182),
    Shape(teams=550, routers=70, upstreams=75),
    Shape(teams=550, routers=28, upstreams=75),
    Shape(teams=5500, routers=70, upstreams=182),
    Shape(teams=16, routers=3, upstreams=6, regions=2),
    Shape(teams=550, routers=10, upstreams=75, regions=2),
    Shape(teams=55, routers=10, upstreams=75, regions=2),
    Shape(teams=550, routers=10, upstreams=75, regions=4),
)


def _measure_shape(report: Report, shape: Shape) -> None:
    loop = SharingLoop(shape)
    loop.run(SETTLE_SECONDS)
    loop.reset()
    loop.run(MEASURED_SECONDS)
    done = max(loop.finished, 1)
    report.add(f"{shape}: requests measured", loop.finished, "requests")
    allocator = loop.stopwatches[Role.ALLOCATOR].seconds
    router = loop.stopwatches[Role.ROUTER].seconds
    report.add(f"{shape}: allocator", MICROSECONDS * allocator / done, "us/request")
    report.add(f"{shape}: routers", MICROSECONDS * router / done, "us/request")
    for kind in ("router", "allocator", "between regions"):
        if loop.messages[kind]:
            each = loop.sent_bytes[kind] / done
            report.add(f"{shape}: sent, {kind}", each, "B/request")
            rate = loop.messages[kind] / MEASURED_SECONDS
            report.add(f"{shape}: messages, {kind}", rate, "1/s")
    if shape.regions > 1:
        sent = loop.sent_bytes["between regions"] / MEASURED_SECONDS
        report.add(f"{shape}: between regions", sent, "B/s, all pairs")


def measure(report: Report) -> None:
    """Measure sharing at each shape."""
    report.begin_section("sharing")
    for shape in SHAPES:
        _measure_shape(report, shape)
