"""Cost of sharing as a function of teams, routers and regions.

Runs the real decision objects. Each region has one allocator and some routers, and
every team keeps requests waiting. The objects exchange encoded messages on virtual
time.
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
    """Fleet size of one measurement.

    Parameters
    ----------
    teams : int
        Number of teams, all backlogged in each region.
    routers : int
        Number of routers in each region.
    upstreams, slots : int
        Number of upstreams in each region and of slots of each upstream.
    regions : int
        Number of regions.
    service_seconds : float
        Mean execution time of a request.
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
    """Runs the routers and allocators of one service on virtual time.

    Parameters
    ----------
    shape : Shape
        Numbers of routers, allocators, teams and upstreams.
    """

    def __init__(self, shape: Shape) -> None:
        self.now = NOW
        self.finished = 0
        self.stopwatches = {Role.ROUTER: Stopwatch(), Role.ALLOCATOR: Stopwatch()}
        self.sent_bytes: Counter[str] = Counter()
        self.messages: Counter[str] = Counter()
        self._shape = shape
        self._rng = random.Random(SEED)
        self._sequence = itertools.count()
        self._in_flight: list[tuple[float, int, str, bytes]] = []
        self._request_ends: list[tuple[float, int, str, RequestId]] = []
        self._request_teams: dict[RequestId, TeamId] = {}
        self._waiting_counts: Counter[tuple[str, TeamId]] = Counter()
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
            allocator_member = allocator_for(SERVICE, region, self._members)
            assert allocator_member is not None
            address = f"tcp://{allocator_member.ip}:{allocator_member.allocator_port}"
            process = ProcessId(allocator_member.vm, Role.ALLOCATOR, Incarnation(2))
            allocator = Allocator(SERVICE, region, process, address, self.now)
            self._add_object(address, Role.ALLOCATOR, allocator_member, allocator)
            self._make_routers(region)

    def _make_routers(self, region: RegionId) -> None:
        region_members = [member for member in self._members if member.region == region]
        for index, member in enumerate(region_members):
            address = f"tcp://{member.ip}:{member.router_port}"
            process = ProcessId(member.vm, Role.ROUTER, Incarnation(2))
            self._add_object(
                address, Role.ROUTER, member, FairPolicy(process, region, address)
            )
            self._teams_at[address] = [
                TeamId(f"team-{number:04d}")
                for number in range(self._shape.teams)
                if number % len(region_members) == index
            ]

    def _add_object(
        self,
        address: str,
        role: Role,
        member: Member,
        decision_object: FairPolicy | Allocator,
    ) -> None:
        self._objects[address] = decision_object
        self._identity[address] = (role, member)

    def _rows(self) -> Iterable[Row]:
        service_row = ServiceRow(name=SERVICE)
        yield Row(RowKind.SERVICES.value, SERVICE, 1, encode_row(service_row))
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
        for address, decision_object in self._objects.items():
            actions = decision_object.configure(self.now, table, members, frozenset())
            self._apply_actions(address, actions)

    def run(self, seconds: float) -> None:
        """Advance virtual time by at least `seconds`."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            self._deliver_due_messages()
            self._finish_due_requests()
            for address, decision_object in self._objects.items():
                self._call_timed(address, decision_object.on_tick, self.now)
                self._refill(address)

    def _refill(self, address: str) -> None:
        decision_object = self._objects[address]
        if not isinstance(decision_object, FairPolicy):
            return
        for team in self._teams_at[address]:
            while self._waiting_counts[address, team] < WAITING_PER_TEAM:
                self._waiting_counts[address, team] += 1
                request = RequestId(f"{next(self._sequence):08d}")
                self._request_teams[request] = team
                req = QueuedRequest(request, team, SERVICE, RequestKind.QUICK, self.now)
                self._call_timed(address, decision_object.submit, self.now, req)

    def _deliver_due_messages(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self.now:
            _, _, address, data = heapq.heappop(self._in_flight)
            decision_object = self._objects[address]
            stopwatch = self.stopwatches[self._identity[address][0]]
            envelope = stopwatch.time(decode, data)
            self._call_timed(address, decision_object.on_envelope, self.now, envelope)

    def _finish_due_requests(self) -> None:
        while self._request_ends and self._request_ends[0][0] <= self.now:
            _, _, address, request = heapq.heappop(self._request_ends)
            decision_object = self._objects[address]
            assert isinstance(decision_object, FairPolicy)
            self.finished += 1
            self._call_timed(
                address, decision_object.finish, self.now, request, COST_TOKENS, True
            )

    def _call_timed(self, address: str, method: Any, *args: Any) -> None:
        stopwatch = self.stopwatches[self._identity[address][0]]
        self._apply_actions(address, stopwatch.time(method, *args))

    def _apply_actions(self, address: str, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(address, action)
            elif isinstance(action, Start):
                team = self._request_teams.pop(action.request)
                self._waiting_counts[address, team] -= 1
                duration_factor = self._rng.uniform(0.5, 1.5)
                at = self.now + self._shape.service_seconds * duration_factor
                entry = (at, next(self._sequence), address, action.request)
                heapq.heappush(self._request_ends, entry)

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
                next(self._sequence),
                send.address,
                data,
            )
            heapq.heappush(self._in_flight, entry)

    def reset(self) -> None:
        """Reset all counters and stopwatches."""
        self.finished = 0
        self.sent_bytes.clear()
        self.messages.clear()
        for stopwatch in self.stopwatches.values():
            stopwatch.seconds = 0.0


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
    finished = max(loop.finished, 1)
    report.add(f"{shape}: requests measured", loop.finished, "requests")
    allocator = loop.stopwatches[Role.ALLOCATOR].seconds
    router = loop.stopwatches[Role.ROUTER].seconds
    report.add(f"{shape}: allocator", MICROSECONDS * allocator / finished, "us/request")
    report.add(f"{shape}: routers", MICROSECONDS * router / finished, "us/request")
    for kind in ("router", "allocator", "between regions"):
        if loop.messages[kind]:
            bytes_per_request = loop.sent_bytes[kind] / finished
            report.add(f"{shape}: sent, {kind}", bytes_per_request, "B/request")
            rate = loop.messages[kind] / MEASURED_SECONDS
            report.add(f"{shape}: messages, {kind}", rate, "1/s")
    if shape.regions > 1:
        sent = loop.sent_bytes["between regions"] / MEASURED_SECONDS
        report.add(f"{shape}: between regions", sent, "B/s, all pairs")


def measure(report: Report) -> None:
    """Measure the cost of sharing for each shape."""
    report.begin_section("sharing")
    for shape in SHAPES:
        _measure_shape(report, shape)
