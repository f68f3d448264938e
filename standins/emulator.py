"""Discrete-event emulation of a deployment.

Placement, load shedding, shares and digests use the gateways' own code. Network,
engines and callers are simulated. The result depends only on the deployment, the
surges, the duration and the seed.
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
    PromptPartId,
    RegionId,
    RouteId,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.io.gateway import MAINTENANCE_INTERVAL_SECONDS
from oleandershift.neighbours import Addressed, Peer, PeerTable
from oleandershift.placement import InFlightRequest, LoadTracker, Location, Placement
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.routing import Service
from oleandershift.shedding import LoadShedder, PendingRequest
from oleandershift.state import FleetState
from oleandershift.telling import DigestExchange
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
"""Attempts per request: the first, and one after a refusal (deployment sheets)."""

MIN_ABANDON_SECONDS = 2.0
ABANDON_TARGET_FACTOR = 4.0
ABANDON_PAUSE_FACTOR = 8.0
"""A caller abandons a stream without a first event after the maximum of three times: a
fixed minimum, a multiple of the target and a multiple of the longest pause (platform
contract)."""

OUTPUT_ESTIMATE_SIGMA = 0.5
"""Standard deviation of the logarithm of the error of callers' output estimates."""

MIN_WAIT_FRACTION = 0.85
"""Minimum fraction of a kind's deadline that a caller waits, as on the bench."""

MIN_PART_TOKENS = 8
"""Minimum length of a part of a prompt."""

SHARE_WINDOW_SECONDS = 4.0
"""Window over which a team is entitled to its share (deployment sheets)."""

WARM_UP_SECONDS = 0.5
"""Time for the VMs to exchange digests before the load starts."""


@dataclass(frozen=True)
class Surge:
    """A temporary change of a team's request rate.

    Parameters
    ----------
    start_s, end_s : float
        Start and end in seconds from the start of the load.
    team_rank : int
        Rank of the team by its request rate; the largest team has rank 1.
    rate_factor : float
        Factor on the team's usual rate.
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
"""Surges and quiet periods of several teams, as on the sites' calm days."""


@dataclass(eq=False)
class Request:
    """A caller's request and its outcome.

    Parameters
    ----------
    kind : GenerationKind
        Kind of generation.
    team : TeamId
        Team of the caller.
    region : int
        Index of the caller's region.
    first_attempt_at : float
        Time of the first attempt.
    prompt : Prompt
        Prompt and expected output.
    output_events : int
        Number of events of the response.
    max_wait_s : float
        Maximum wait of the caller in seconds from the first attempt.
    attempted_at : list of float
        Times of the attempts so far.
    first_event_s : float or None
        Seconds from the first attempt to the first event.
    predicted_first_event_s : float or None
        Time to the first event that the gateway predicted; None if it refused the
        request.
    last_event_at : float
        Time of the last event.
    had_long_pause : bool
        Whether a pause between events exceeded `MAX_PAUSE_SECONDS`.
    finished : bool
        Whether the last event was received.
    abandoned : bool
        Whether the caller disconnected before the first event.
    """

    kind: GenerationKind
    team: TeamId
    region: int
    first_attempt_at: float
    prompt: Prompt
    output_events: int
    max_wait_s: float
    attempted_at: list[float] = field(default_factory=list)
    first_event_s: float | None = None
    predicted_first_event_s: float | None = None
    last_event_at: float = 0.0
    had_long_pause: bool = False
    finished: bool = False
    abandoned: bool = False

    @property
    def attempts(self) -> int:
        """Number of attempts so far."""
        return len(self.attempted_at)

    @property
    def full_value(self) -> float:
        """Value of a response in time.

        30% is fixed; 70% grows with the prompt, up to 4 times the mean length.
        """
        size = min(4.0, self.prompt.tokens / self.kind.mean_prompt_tokens)
        return self.kind.full_value * (0.3 + 0.7 * size)

    @property
    def earned_value(self) -> float:
        """Value of the actual response."""
        if not self.finished or self.first_event_s is None:
            return 0.0
        if self.first_event_s <= self.kind.target_s and not self.had_long_pause:
            return self.full_value
        return self.full_value * LATE_VALUE_FRACTION


@dataclass(eq=False)
class _Vm:
    state: FleetState
    exchange: DigestExchange
    peer: Peer
    region: int
    placement: Placement
    shedder: LoadShedder
    digest_scheduled: bool = False


@dataclass
class EmulationResult:
    """Result of an emulation.

    Parameters
    ----------
    deployment : Deployment
        The emulated deployment.
    requests : list of Request
        All requests.
    engines : dict of UpstreamId to BatchEngine
        The engines in their final state.
    seconds : float
        Duration of the load in seconds.
    """

    deployment: Deployment
    requests: list[Request] = field(default_factory=list)
    engines: dict[UpstreamId, BatchEngine] = field(default_factory=dict)
    seconds: float = 0.0


class Emulation:
    """Emulation of one deployment.

    Parameters
    ----------
    deployment : Deployment
        Fleet and load to emulate.
    seed : int
        Seed of the random generator.
    seconds : float
        Duration of the load in seconds.
    surges : sequence of Surge
        Temporary changes of the teams' request rates.
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
        self._load_end = WARM_UP_SECONDS + seconds
        self._surges = surges
        self._now = 0.0
        self._event_queue: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self._sequence = count()
        self._result = EmulationResult(deployment, seconds=seconds)
        self._last_used: dict[str, float] = {}
        self._part_sizes: dict[str, int] = {}
        self._upstreams = self._make_upstreams()
        self._vms = self._make_vms()
        self._vms_by_name = {vm.peer.vm: vm for vm in self._vms}
        self._running: dict[Job, tuple[Request, _Vm, InFlightRequest]] = {}

    def run(self) -> EmulationResult:
        """Run the load until every request has finished or was refused or abandoned."""
        for vm in self._vms:
            for other in self._vms:
                vm.state.peers.add_registered(0.0, [other.peer])
            self._schedule(
                self._rng.uniform(0.0, MAINTENANCE_INTERVAL_SECONDS),
                self._run_maintenance,
                vm,
            )
        for kind in self._deployment.kinds:
            self._schedule(WARM_UP_SECONDS, self._generate_request, kind)
        while self._event_queue:
            self._now, _, action, args = heapq.heappop(self._event_queue)
            action(*args)
        return self._result

    def _schedule(
        self, time: float, action: Callable[..., None], *args: object
    ) -> None:
        heapq.heappush(self._event_queue, (time, next(self._sequence), action, args))

    # Set-up of the fleet

    def _make_upstreams(self) -> list[Upstream]:
        upstreams = []
        for region, engine_count in enumerate(self._deployment.engines_per_region):
            for index in range(engine_count):
                name = UpstreamId(f"engine-{region}-{index}")
                upstreams.append(
                    Upstream(
                        name=name,
                        incarnation=1,
                        service=SERVICE,
                        host="",
                        port=0,
                        data_centre=_data_centre_id(region),
                        slots=self._deployment.engine_profile.slots,
                        state=UpstreamState.READY,
                    )
                )
                self._result.engines[name] = BatchEngine(
                    self._deployment.engine_profile,
                    self._last_used,
                    self._deployment.reuse_s,
                )
        return upstreams

    def _make_vms(self) -> list[_Vm]:
        regions = {
            _data_centre_id(number): RegionId(f"region-{number}")
            for number in range(len(self._deployment.vms_per_region))
        }
        vms = []
        for region, number in enumerate(self._deployment.vms_per_region):
            for index in range(number):
                vm_id = VmId(f"vm-{region}-{index}")
                peer = Peer(vm_id, _data_centre_id(region), Address(vm_id, 1))
                state = FleetState(
                    PeerTable(vm_id, peer.data_centre),
                    FleetView(),
                    LoadTracker(self._deployment.reuse_s),
                    DemandMeter(SHARE_WINDOW_SECONDS),
                )
                location = Location(
                    peer.data_centre, regions[peer.data_centre], regions
                )
                shedder = LoadShedder(random.Random(self._rng.random()))
                exchange = DigestExchange(peer, Incarnation(1), state)
                placement = Placement(state.loads, location)
                vms.append(_Vm(state, exchange, peer, region, placement, shedder))
        return vms

    # Maintenance and digests of the VMs

    def _run_maintenance(self, vm: _Vm) -> None:
        if self._now > self._load_end and not self._running:
            return
        capacity = self._deployment.capacity_tokens_per_s
        vm.shedder.shares = vm.state.shares(self._now, capacity)
        if vm.exchange.is_due(self._now):
            self._send_digests(vm)
        self._schedule(
            self._now + MAINTENANCE_INTERVAL_SECONDS, self._run_maintenance, vm
        )

    def _send_digests(self, vm: _Vm) -> None:
        vm.digest_scheduled = False
        for addressed in vm.exchange.next_digests(self._now):
            self._send_digest(vm, addressed)

    def _send_digest(self, vm: _Vm, addressed: Addressed[Digest]) -> None:
        for peer in addressed.peers:
            other = self._vms_by_name[peer.vm]
            delay_s = self._one_way_delay_s(vm.region, other.region)
            self._schedule(
                self._now + delay_s, self._receive_digest, other, addressed.message
            )

    def _receive_digest(self, vm: _Vm, digest: Digest) -> None:
        peers = vm.exchange.receive(self._now, digest)
        if peers:
            self._send_digest(vm, Addressed(digest, peers))
        if vm.exchange.sums_peers(self._now):
            self._schedule_urgent_digest(vm)

    def _schedule_urgent_digest(self, vm: _Vm) -> None:
        """Send digests early if the load has changed enough since the last ones."""
        if not vm.digest_scheduled and vm.exchange.is_urgent(self._now):
            vm.digest_scheduled = True
            self._schedule(
                self._now + vm.exchange.urgent_delay_seconds(self._now),
                self._send_digests,
                vm,
            )

    # Requests

    def _generate_request(self, kind: GenerationKind) -> None:
        if self._now > self._load_end:
            return
        rates = self._team_rates(kind)
        total = sum(rates)
        team = self._rng.choices(range(len(rates)), rates)[0]
        req = self._make_request(kind, TeamId(f"team-{team + 1}"))
        self._result.requests.append(req)
        self._schedule(self._now + self._deployment.caller_delay_s, self._attempt, req)
        self._schedule(
            self._now + self._rng.expovariate(total), self._generate_request, kind
        )

    def _team_rates(self, kind: GenerationKind) -> list[float]:
        """Return the current requests per second of each team."""
        skew = self._deployment.team_skew
        shares = [(rank + 1) ** -skew for rank in range(self._deployment.team_count)]
        scale = kind.requests_per_s / sum(shares)
        rates = [share * scale for share in shares]
        elapsed_s = self._now - WARM_UP_SECONDS
        for surge in self._surges:
            if surge.start_s <= elapsed_s < surge.end_s:
                rates[surge.team_rank - 1] *= surge.rate_factor
        return rates

    def _make_request(self, kind: GenerationKind, team: TeamId) -> Request:
        parts = []
        for level, shared in enumerate(kind.shared_parts):
            variant = self._rng.randrange(shared.variants)
            name = f"{kind.name}-{level}-{variant}"
            if name not in self._part_sizes:
                self._part_sizes[name] = max(MIN_PART_TOKENS, self._draw(shared.tokens))
            parts.append(PrefixPart(PromptPartId(name), self._part_sizes[name]))
        unique_tokens = max(MIN_PART_TOKENS, self._draw(kind.unique_tokens))
        parts.append(
            PrefixPart(PromptPartId(f"own-{next(self._sequence)}"), unique_tokens)
        )
        prompt_tokens = sum(part.tokens for part in parts)
        output_events = max(1, self._draw(kind.output_events))
        output_tokens = output_events * self._deployment.engine_profile.tokens_per_event
        expected_output_tokens = max(
            1,
            round(output_tokens * self._rng.lognormvariate(0.0, OUTPUT_ESTIMATE_SIGMA)),
        )
        max_output_tokens = (
            round(kind.output_events.maximum)
            * self._deployment.engine_profile.tokens_per_event
        )
        prompt = Prompt(
            prompt_tokens, max_output_tokens, expected_output_tokens, tuple(parts)
        )
        region = self._rng.randrange(len(self._deployment.vms_per_region))
        max_wait_s = kind.deadline_s * self._rng.uniform(MIN_WAIT_FRACTION, 1.0)
        return Request(kind, team, region, self._now, prompt, output_events, max_wait_s)

    def _draw(self, size: SizeDistribution) -> int:
        mu = math.log(size.mean) - size.sigma**2 / 2
        return round(min(size.maximum, self._rng.lognormvariate(mu, size.sigma)))

    def _attempt(self, req: Request) -> None:
        """Submit a request or refuse it, as decided by a random VM of its region."""
        req.attempted_at.append(self._now)
        local_vms = [vm for vm in self._vms if vm.region == req.region]
        vm = self._rng.choice(local_vms)
        state = vm.state
        state.demand.record_request(self._now, req.team, req.prompt.weighted_tokens)
        state.refresh_loads(self._now)
        service = Service(
            SERVICE, 1000, batch_slots=self._deployment.engine_profile.slots
        )
        target_s = req.kind.target_s
        choice = vm.placement.choose(
            self._now, service, self._upstreams, req.prompt, target_s
        )
        assert choice is not None
        remaining_s = req.first_attempt_at + req.max_wait_s - self._now
        pending = PendingRequest(
            req.team, RouteId(req.kind.name), req.prompt, target_s, remaining_s
        )
        decision = vm.shedder.decide(pending, choice)
        if not decision.admitted:
            if req.attempts < MAX_ATTEMPTS:
                retry_at = (
                    self._now
                    + decision.retry_after_s
                    + 2 * self._deployment.caller_delay_s
                )
                self._schedule(retry_at, self._attempt, req)
            return
        state.demand.record_admission(self._now, req.team, req.prompt.weighted_tokens)
        req.predicted_first_event_s = choice.first_byte_s
        self._submit(req, vm, choice.upstream)

    def _submit(self, req: Request, vm: _Vm, upstream: Upstream) -> None:
        in_flight = vm.state.loads.begin(self._now, upstream, req.prompt)
        self._schedule_urgent_digest(vm)
        output_tokens = (
            req.output_events * self._deployment.engine_profile.tokens_per_event
        )
        job = Job(f"{next(self._sequence)}", req.prompt.parts, output_tokens)
        self._running[job] = (req, vm, in_flight)
        delay_s = self._one_way_delay_s(vm.region, self._region_of(upstream))
        self._schedule(self._now + delay_s, self._enqueue_job, upstream.name, job)
        kind = req.kind
        abandon_after_s = max(
            MIN_ABANDON_SECONDS,
            ABANDON_TARGET_FACTOR * kind.target_s,
            ABANDON_PAUSE_FACTOR * MAX_PAUSE_SECONDS,
        )
        self._schedule(self._now + abandon_after_s, self._abandon, upstream.name, job)

    def _enqueue_job(self, name: UpstreamId, job: Job) -> None:
        engine = self._result.engines[name]
        was_idle = engine.step_ends_at is None
        engine.submit(self._now, job)
        if was_idle and engine.step_ends_at is not None:
            self._schedule(engine.step_ends_at, self._finish_step, name)

    def _finish_step(self, name: UpstreamId) -> None:
        engine = self._result.engines[name]
        for event in engine.finish_step():
            _, vm, in_flight = self._running[event.job]
            delay_s = self._one_way_delay_s(
                vm.region, self._region_of(in_flight.upstream)
            )
            self._schedule(event.emitted_at + delay_s, self._receive_event, event)
        if engine.step_ends_at is not None:
            self._schedule(engine.step_ends_at, self._finish_step, name)

    def _receive_event(self, event: EngineEvent) -> None:
        entry = self._running.get(event.job)
        if entry is None:
            return
        req, vm, in_flight = entry
        if event.is_first:
            vm.state.loads.on_first_event(in_flight)
            self._schedule_urgent_digest(vm)
            req.first_event_s = (
                self._now + self._deployment.caller_delay_s - req.first_attempt_at
            )
        elif self._now - req.last_event_at > MAX_PAUSE_SECONDS:
            req.had_long_pause = True
        req.last_event_at = self._now
        if event.is_last:
            req.finished = True
            vm.state.loads.end(in_flight)
            del self._running[event.job]

    def _abandon(self, name: UpstreamId, job: Job) -> None:
        """Cancel a request whose first event was not received in time."""
        entry = self._running.get(job)
        if entry is None or entry[0].first_event_s is not None:
            return
        req, vm, in_flight = self._running.pop(job)
        req.abandoned = True
        vm.state.loads.end(in_flight)
        self._result.engines[name].cancel(job)

    def _one_way_delay_s(self, region: int, other_region: int) -> float:
        """Return the one-way delay in seconds, which is 0.5 ms within a region."""
        return (
            0.0005 if region == other_region else self._deployment.inter_region_delay_s
        )

    def _region_of(self, upstream: Upstream) -> int:
        return int(upstream.data_centre.rpartition("-")[2])


def _data_centre_id(region: int) -> DataCentreId:
    return DataCentreId(f"centre-{region}")
