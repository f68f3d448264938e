"""One measured run of load on a fleet."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

import msgspec
import urllib3

from oleandershift.bounds import SharedCapacity, gap_bound
from oleandershift.ids import TeamId
from standins.calls import CallRecord
from standins.fleet import Fleet
from standins.fleet_file import FleetFile
from standins.ledger import Execution
from standins.load import LoadGenerator, TeamLoad, count_verdicts
from standins.measures import (
    Gap,
    ServiceCurves,
    TeamService,
    WaitPercentiles,
    Window,
    join_executions,
    utilisation,
    wait_percentiles,
)
from standins.presets import ENGINE_SLOTS
from standins.run import UpstreamConfig
from standins.sampling import (
    ControlFigures,
    FleetSample,
    RoleFigures,
    control_figures,
    role_figures,
    sample_fleet,
)
from standins.workload import COST_MODELS

WARM_UP_SECONDS = 4.0
LEDGER_TIMEOUT_SECONDS = 10.0


class RunReport(msgspec.Struct, frozen=True):
    """Figures of one run.

    Parameters
    ----------
    preset, policy, case : str
        What was run.
    seconds : float
        Length of the measured window.
    verdicts : dict of str to int
        Calls by how they ended.
    gap : Gap
        Largest weighted gap within the window.
    bound : float
        What the formula allows for the two teams of the largest gap.
    worst_ratio : float
        Largest gap over its bound, of all pairs of teams.
    utilisation : float
        Share of the engines' slot-time busy while a request waits.
    tokens_per_second : float
        Made by the engines within the window.
    teams : tuple of TeamService
        Service by team.
    waits : tuple of Waits
        By kind and team size.
    control : ControlFigures
        Control traffic.
    roles : tuple of RoleFigures
        Processor time and memory.
    """

    preset: str
    policy: str
    case: str
    seconds: float
    verdicts: dict[str, int]
    gap: Gap
    bound: float
    worst_ratio: float
    utilisation: float
    tokens_per_second: float
    teams: tuple[TeamService, ...]
    waits: tuple[WaitPercentiles, ...]
    control: ControlFigures
    roles: tuple[RoleFigures, ...]


@dataclass(frozen=True)
class RunResult:
    """A run's figures, and the calls that they come from."""

    report: RunReport
    records: tuple[CallRecord, ...]


RunObserver: TypeAlias = Callable[[float, tuple[CallRecord, ...]], None]
"""Called each second of a run with the seconds gone and the calls so far."""


def fetch_ledgers(fleet: FleetFile, service: str) -> tuple[tuple[Execution, ...], ...]:
    """Return what the upstreams of a service have executed."""
    http = urllib3.PoolManager(retries=False, timeout=LEDGER_TIMEOUT_SECONDS)
    return tuple(
        msgspec.json.decode(
            http.request("GET", f"{upstream.control}/ledger").data,
            type=tuple[Execution, ...],
        )
        for upstream in fleet.upstreams_of(service)
    )


def run_experiment(
    fleet: Fleet,
    loads: Mapping[str, TeamLoad],
    seed: int,
    seconds: float,
    case: str = "backlog",
    observer: RunObserver | None = None,
    drain: bool = True,
) -> RunResult:
    """Put load on a running fleet and measure it.

    Parameters
    ----------
    fleet : Fleet
        A ready fleet.
    loads : mapping of str to TeamLoad
        Load by team.
    seed : int
        Of the work.
    seconds : float
        Length of the measured window; a warm-up comes before it.
    case : str
        Name for the report.
    observer : callable, optional
        Sees the run go on; may do harm to the fleet.
    drain : bool
        Wait for every answer at the end; otherwise calls under way count as pending.
    """
    generator = LoadGenerator(fleet.addresses, loads, seed)
    generator.start()
    time.sleep(WARM_UP_SECONDS)
    first = sample_fleet(fleet, time.time())
    _wait(generator, seconds, observer)
    last = sample_fleet(fleet, time.time())
    if drain:
        generator.stop()
    else:
        generator.stop_sending()
    records = (*generator.records(), *generator.pending())
    return RunResult(_report(fleet, case, first, last, records), records)


def _wait(generator: LoadGenerator, seconds: float, watch: RunObserver | None) -> None:
    began = time.monotonic()
    while (gone := time.monotonic() - began) < seconds:
        if watch is not None:
            watch(gone, generator.records())
        time.sleep(min(1.0, seconds - gone))


def _report(
    fleet: Fleet,
    case: str,
    first: FleetSample,
    last: FleetSample,
    records: tuple[CallRecord, ...],
) -> RunReport:
    window = Window(first.at, last.at)
    service = fleet.addresses.engine_service
    slots = sum(one.slots for one in fleet.addresses.upstreams_of(service))
    weights = {team.name: team.weight for team in fleet.addresses.teams}
    of_engines = [record for record in records if record.service == service]
    jobs = join_executions(of_engines, fetch_ledgers(fleet.addresses, service))
    curves = ServiceCurves(jobs, weights, window)
    services = curves.services()
    gaps = curves.largest_gaps()
    bounds = [_bound(gap, weights, slots) for gap in gaps]
    seconds = window.end - window.start
    return RunReport(
        preset=fleet.cfg.preset,
        policy=fleet.cfg.policy,
        case=case,
        seconds=seconds,
        verdicts={verdict.value: n for verdict, n in count_verdicts(records).items()},
        gap=gaps[0],
        bound=bounds[0],
        worst_ratio=max(map(_ratio, gaps, bounds)),
        utilisation=utilisation(jobs, slots, window),
        tokens_per_second=sum(one.tokens for one in services) / seconds,
        teams=services,
        waits=wait_percentiles(jobs, weights, window),
        control=control_figures(first, last),
        roles=role_figures(first, last),
    )


def _bound(gap: Gap, weights: Mapping[str, float], slots: int) -> float:
    """Return what the formula allows, from settings alone."""
    engine = UpstreamConfig()
    speed = engine.speed / (1 + engine.load_factor * (ENGINE_SLOTS - 1))
    largest = max(model.max_tokens for model in COST_MODELS.values())
    return gap_bound(
        TeamId(gap.ahead),
        TeamId(gap.behind),
        {TeamId(name): weight for name, weight in weights.items()},
        SharedCapacity(slots, slots * speed, largest),
    )


def _ratio(gap: Gap, bound: float) -> float:
    return gap.tokens / bound
