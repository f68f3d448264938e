"""Plays a deployment's load on the gateways' own decisions and modelled engines.

Placement, refusal, shares and digests are the product's; network, engines and callers
are modelled. A run is a function of its deployment and seed.
"""

import heapq
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from oleandershift.demand import DemandMeter
from oleandershift.digests import Digest
from oleandershift.directory import Upstream, UpstreamState
from oleandershift.fleetview import FleetView
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    RegionId,
    RouteId,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.io.gateway import MAINTENANCE_INTERVAL_SECONDS
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.placement import InFlightRequest, LoadTracker, Location, Placement
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.routing import Service
from oleandershift.shedding import LoadShedder, PendingRequest
from oleandershift.state import FleetState
from oleandershift.telling import AddressedDigest, DigestExchange
from oleandershift.vmsettings import Address
from standins.batching import BatchEngine, EngineEvent, Job
from standins.deployments import (
    LATE_VALUE_FRACTION,
    MAX_PAUSE_SECONDS,
    Deployment,
    GenerationKind,
    SizeDistribution,
)

SERVICE = ServiceId("model")
MAX_ATTEMPTS = 2
"""Attempts of a caller: the first, and one after a refusal (deployment sheets)."""

MIN_ABANDON_SECONDS = 2.0
ABANDON_TARGET_FACTOR = 4.0
ABANDON_PAUSE_FACTOR = 8.0
"""A caller leaves a stream after the longest of these pauses (platform contract)."""

OUTPUT_ESTIMATE_SIGMA = 0.5
"""Standard deviation of the logarithm of callers' estimates of the output."""

MIN_WAIT_FRACTION = 0.85
"""Least part of a kind's deadline that a caller waits (seen on bench days)."""

MIN_PART_TOKENS = 8
"""Least tokens of a part of a prompt."""

SHARE_WINDOW_SECONDS = 4.0
"""Window in which a team is owed its share (deployment sheets)."""

WARM_UP_SECONDS = 0.5
"""Time in which the VMs hear of each other before the load starts."""


@dataclass(frozen=True)
class Surge:
    """A team that asks for more or less than usual.

    Parameters
    ----------
    start_s, end_s : float
        Seconds from the start of the load.
    team_rank : int
        Which team, the largest first, from 1.
    rate_factor : float
        On its usual rate.
    """

    start_s: float
    end_s: float
    team_rank: int
    rate_factor: float


DEFAULT_SURGES = (
    Surge(0.5, 7.5, 1, 0.02),
    Surge(3.5, 11.0, 4, 6.9),
    Surge(9.5, 17.0, 3, 2.4),
    Surge(11.5, 17.5, 2, 0.05),
    Surge(13.5, 21.0, 6, 9.6),
)
"""Teams that surge and fall silent in turn, as on the sites' calm days."""


@dataclass(eq=False)
class Request:
    """A caller's request, and what became of it.

    Parameters
    ----------
    kind : Kind
        Kind.
    team : TeamId
        Whose.
    region : int
        Number of the caller's region.
    first_attempt_at : float
        Instant of the first attempt.
    prompt : Prompt
        Its size.
    output_events : int
        Events of its answer.
    max_wait_s : float
        How long the caller waits for it.
    first_event_s : float or None
        Seconds from the first attempt to the first event.
    """

    kind: GenerationKind
    team: TeamId
    region: int
    first_attempt_at: float
    prompt: Prompt
    output_events: int
    max_wait_s: float
    attempts: int = 0
    first_event_s: float | None = None
    predicted_first_event_s: float | None = None
    last_event_at: float = 0.0
    had_long_pause: bool = False
    finished: bool = False
    abandoned: bool = False

    @property
    def full_value(self) -> float:
        """Return the value of its answer in time, by its size."""
        size = min(4.0, self.prompt.tokens / self.kind.mean_prompt_tokens)
        return self.kind.full_value * (0.3 + 0.7 * size)

    @property
    def earned_value(self) -> float:
        """Return the value that it got."""
        if not self.finished or self.first_event_s is None:
            return 0.0
        if self.first_event_s <= self.kind.target_s and not self.had_long_pause:
            return self.full_value
        return self.full_value * LATE_VALUE_FRACTION


@dataclass(eq=False)
class _Vm:
    state: FleetState
    teller: DigestExchange
    peer: Peer
    region: int
    placement: Placement
    shedding: LoadShedder
    telling: bool = False


@dataclass
class EmulationResult:
    """What a run gave.

    Parameters
    ----------
    deployment : Deployment
        What was played.
    requests : list of Request
        All of them.
    engines : dict
        The engines at the end.
    seconds : float
        Length of the load.
    """

    deployment: Deployment
    requests: list[Request] = field(default_factory=list)
    engines: dict[UpstreamId, BatchEngine] = field(default_factory=dict)
    seconds: float = 0.0


class Emulation:
    """One run.

    Parameters
    ----------
    deployment : Deployment
        What is played.
    seed : int
        Of everything random.
    seconds : float
        Length of the load.
    surges : sequence of Surge
        Teams that change their rates.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        seconds: float,
        surges: Sequence[Surge] = DEFAULT_SURGES,
    ) -> None:
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._end = WARM_UP_SECONDS + seconds
        self._surges = surges
        self._now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count()
        self._outcome = EmulationResult(deployment, seconds=seconds)
        self._last_use: dict[str, float] = {}
        self._part_sizes: dict[str, int] = {}
        self._upstreams = self._make_upstreams()
        self._vms = self._make_vms()
        self._by_name = {vm.peer.vm: vm for vm in self._vms}
        self._running: dict[Job, tuple[Request, _Vm, InFlightRequest]] = {}

    def run(self) -> EmulationResult:
        """Play the load, and on until every caller has its answer or has left."""
        for vm in self._vms:
            for other in self._vms:
                vm.state.peers.add_registered(0.0, [other.peer])
            self._at(
                self._rng.uniform(0.0, MAINTENANCE_INTERVAL_SECONDS), self._tick, vm
            )
        for kind in self._deployment.kinds:
            self._at(WARM_UP_SECONDS, self._arrive, kind)
        while self._heap:
            self._now, _, action, args = heapq.heappop(self._heap)
            action(*args)
        return self._outcome

    def _at(self, at: float, action: Callable[..., None], *args: object) -> None:
        heapq.heappush(self._heap, (at, next(self._order), action, args))

    # Parts of the fleet

    def _make_upstreams(self) -> list[Upstream]:
        made = []
        for region, number in enumerate(self._deployment.engines_per_region):
            for index in range(number):
                name = UpstreamId(f"engine-{region}-{index}")
                made.append(
                    Upstream(
                        name=name,
                        incarnation=1,
                        service=SERVICE,
                        host="",
                        port=0,
                        data_centre=_centre(region),
                        slots=self._deployment.engine_profile.slots,
                        state=UpstreamState.READY,
                    )
                )
                self._outcome.engines[name] = BatchEngine(
                    self._deployment.engine_profile,
                    self._last_use,
                    self._deployment.reuse_s,
                )
        return made

    def _make_vms(self) -> list[_Vm]:
        regions = {
            _centre(number): RegionId(f"region-{number}")
            for number in range(len(self._deployment.vms_per_region))
        }
        made = []
        for region, number in enumerate(self._deployment.vms_per_region):
            for index in range(number):
                vm = VmId(f"vm-{region}-{index}")
                peer = Peer(vm, _centre(region), Address(vm, 1))
                state = FleetState(
                    PeerTable(vm, peer.data_centre),
                    FleetView(),
                    LoadTracker(self._deployment.reuse_s),
                    DemandMeter(SHARE_WINDOW_SECONDS),
                )
                place = Location(peer.data_centre, regions[peer.data_centre], regions)
                shedding = LoadShedder(random.Random(self._rng.random()))
                teller = DigestExchange(peer, Incarnation(1), state)
                placement = Placement(state.loads, place)
                made.append(_Vm(state, teller, peer, region, placement, shedding))
        return made

    # Control of the VMs

    def _tick(self, vm: _Vm) -> None:
        if self._now > self._end and not self._running:
            return
        declared = self._deployment.capacity_tokens_per_s
        vm.shedding.shares = vm.state.shares(self._now, declared)
        self._tell(vm)
        self._at(self._now + MAINTENANCE_INTERVAL_SECONDS, self._tick, vm)

    def _tell(self, vm: _Vm) -> None:
        vm.telling = False
        for notice in vm.teller.next_digests(self._now):
            self._send(vm, notice)

    def _send(self, vm: _Vm, notice: AddressedDigest) -> None:
        for peer in notice.peers:
            other = self._by_name[peer.vm]
            delay = self._delay(vm.region, other.region)
            self._at(self._now + delay, self._hear, other, notice.digest)

    def _hear(self, vm: _Vm, digest: Digest) -> None:
        peers = vm.teller.receive(self._now, digest)
        if peers:
            self._send(vm, AddressedDigest(digest, peers))
        self._work_changed(vm)

    def _work_changed(self, vm: _Vm) -> None:
        if not vm.telling and vm.teller.is_urgent(self._now):
            vm.telling = True
            self._at(
                self._now + vm.teller.urgent_delay_seconds(self._now), self._tell, vm
            )

    # Requests

    def _arrive(self, kind: GenerationKind) -> None:
        if self._now > self._end:
            return
        rates = self._team_rates(kind)
        total = sum(rates)
        team = self._rng.choices(range(len(rates)), rates)[0]
        req = self._request(kind, TeamId(f"team-{team + 1}"))
        self._outcome.requests.append(req)
        self._at(self._now + self._deployment.caller_delay_s, self._ask, req)
        self._at(self._now + self._rng.expovariate(total), self._arrive, kind)

    def _team_rates(self, kind: GenerationKind) -> list[float]:
        """Return the teams' requests a second now."""
        skew = self._deployment.team_skew
        shares = [(rank + 1) ** -skew for rank in range(self._deployment.team_count)]
        scale = kind.requests_per_s / sum(shares)
        rates = [share * scale for share in shares]
        since = self._now - WARM_UP_SECONDS
        for surge in self._surges:
            if surge.start_s <= since < surge.end_s:
                rates[surge.team_rank - 1] *= surge.rate_factor
        return rates

    def _request(self, kind: GenerationKind, team: TeamId) -> Request:
        parts = []
        for level, shared in enumerate(kind.shared_parts):
            thing = self._rng.randrange(shared.variants)
            name = f"{kind.name}-{level}-{thing}"
            if name not in self._part_sizes:
                self._part_sizes[name] = max(MIN_PART_TOKENS, self._draw(shared.tokens))
            parts.append(PrefixPart(name, self._part_sizes[name]))
        own = max(MIN_PART_TOKENS, self._draw(kind.unique_tokens))
        parts.append(PrefixPart(f"own-{next(self._order)}", own))
        tokens = sum(part.tokens for part in parts)
        events = max(1, self._draw(kind.output_events))
        output = events * self._deployment.engine_profile.tokens_per_event
        hint = max(
            1, round(output * self._rng.lognormvariate(0.0, OUTPUT_ESTIMATE_SIGMA))
        )
        most = (
            round(kind.output_events.maximum)
            * self._deployment.engine_profile.tokens_per_event
        )
        prompt = Prompt(tokens, most, hint, tuple(parts))
        centre = self._rng.randrange(len(self._deployment.vms_per_region))
        wait = kind.deadline_s * self._rng.uniform(MIN_WAIT_FRACTION, 1.0)
        return Request(kind, team, centre, self._now, prompt, events, wait)

    def _draw(self, size: SizeDistribution) -> int:
        centre = math.log(size.mean) - size.sigma**2 / 2
        return round(min(size.maximum, self._rng.lognormvariate(centre, size.sigma)))

    def _ask(self, req: Request) -> None:
        """Have a VM of the caller's region decide on a request."""
        req.attempts += 1
        near = [vm for vm in self._vms if vm.region == req.region]
        vm = self._rng.choice(near)
        state = vm.state
        state.demand.record_request(self._now, req.team, req.prompt.weighted_tokens)
        state.refresh_loads(self._now)
        service = Service(
            SERVICE, 1000, batch_slots=self._deployment.engine_profile.slots
        )
        target = req.kind.target_s
        choice = vm.placement.choose(
            self._now, service, self._upstreams, req.prompt, target
        )
        assert choice is not None
        left = req.first_attempt_at + req.max_wait_s - self._now
        applicant = PendingRequest(
            req.team, RouteId(req.kind.name), req.prompt, target, left
        )
        verdict = vm.shedding.decide(applicant, choice)
        if not verdict.admitted:
            if req.attempts < MAX_ATTEMPTS:
                back = (
                    self._now
                    + verdict.retry_after_s
                    + 2 * self._deployment.caller_delay_s
                )
                self._at(back, self._ask, req)
            return
        state.demand.record_admission(self._now, req.team, req.prompt.weighted_tokens)
        req.predicted_first_event_s = choice.first_byte_s
        self._submit(req, vm, choice.upstream)

    def _submit(self, req: Request, vm: _Vm, upstream: Upstream) -> None:
        ticket = vm.state.loads.begin(self._now, upstream, req.prompt)
        self._work_changed(vm)
        output = req.output_events * self._deployment.engine_profile.tokens_per_event
        job = Job(f"{next(self._order)}", req.prompt.parts, output)
        self._running[job] = (req, vm, ticket)
        way = self._delay(vm.region, self._region_of(upstream))
        self._at(self._now + way, self._reach, upstream.name, job)
        kind = req.kind
        patience = max(
            MIN_ABANDON_SECONDS,
            ABANDON_TARGET_FACTOR * kind.target_s,
            ABANDON_PAUSE_FACTOR * MAX_PAUSE_SECONDS,
        )
        self._at(self._now + patience, self._leave, upstream.name, job)

    def _reach(self, name: UpstreamId, job: Job) -> None:
        engine = self._outcome.engines[name]
        was_idle = engine.step_ends_at is None
        engine.submit(self._now, job)
        if was_idle and engine.step_ends_at is not None:
            self._at(engine.step_ends_at, self._step, name)

    def _step(self, name: UpstreamId) -> None:
        engine = self._outcome.engines[name]
        for event in engine.finish_step():
            _, vm, ticket = self._running[event.job]
            way = self._delay(vm.region, self._region_of(ticket.upstream))
            self._at(event.emitted_at + way, self._take_event, event)
        if engine.step_ends_at is not None:
            self._at(engine.step_ends_at, self._step, name)

    def _take_event(self, event: EngineEvent) -> None:
        found = self._running.get(event.job)
        if found is None:
            return
        req, vm, ticket = found
        if event.is_first:
            vm.state.loads.on_first_event(ticket)
            self._work_changed(vm)
            req.first_event_s = (
                self._now + self._deployment.caller_delay_s - req.first_attempt_at
            )
        elif self._now - req.last_event_at > MAX_PAUSE_SECONDS:
            req.had_long_pause = True
        req.last_event_at = self._now
        if event.is_last:
            req.finished = True
            vm.state.loads.end(ticket)
            del self._running[event.job]

    def _leave(self, name: UpstreamId, job: Job) -> None:
        """Cancel a request whose first event has not come in time."""
        found = self._running.get(job)
        if found is None or found[0].first_event_s is not None:
            return
        req, vm, ticket = self._running.pop(job)
        req.abandoned = True
        vm.state.loads.end(ticket)
        self._outcome.engines[name].cancel(job)

    def _delay(self, region: int, other: int) -> float:
        return 0.0005 if region == other else self._deployment.inter_region_delay_s

    def _region_of(self, upstream: Upstream) -> int:
        return int(upstream.data_centre.rpartition("-")[2])


def _centre(region: int) -> DataCentreId:
    return DataCentreId(f"centre-{region}")
