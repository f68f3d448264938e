"""Preset fleets of the tools: regions, services, VMs, upstreams and teams."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec

from oleandershift.ids import RegionId, ServiceId, TeamId, UpstreamId, VmId
from oleandershift.keys import hash_key
from oleandershift.rows import ServiceMode, ServiceRow, TeamRow, UpstreamRow

VMS_PER_REGION = 3
KEY_BYTES = 16
UPSTREAM_PORT = 9000
UPSTREAM_CONTROL_PORT = 9001


@dataclass(frozen=True)
class VmPlan:
    """One VM to start.

    Parameters
    ----------
    name, region
        Name and region of the VM.
    ip : str
        Loopback address of its processes.
    """

    name: VmId
    region: RegionId
    ip: str


@dataclass(frozen=True)
class UpstreamPlan:
    """One upstream to start.

    Parameters
    ----------
    row : UpstreamRow
        Its row in the table.
    mode : ServiceMode
        Mode of its service, which decides on the stand-in.
    ip : str
        Loopback address.
    """

    row: UpstreamRow
    mode: ServiceMode
    ip: str


@dataclass(frozen=True)
class TeamPlan:
    """One team of the fleet.

    Parameters
    ----------
    row : TeamRow
        Its row in the table.
    key : str
        API key that its callers send.
    entries : tuple of VmId
        VMs whose routers its callers use.
    load : float
        Offered load, relative to the other teams.
    """

    row: TeamRow
    key: str
    entries: tuple[VmId, ...]
    load: float


@dataclass(frozen=True)
class FleetPlan:
    """All VMs, services, upstreams and teams of a fleet."""

    name: str
    regions: tuple[RegionId, ...]
    services: tuple[ServiceRow, ...]
    vms: tuple[VmPlan, ...]
    upstreams: tuple[UpstreamPlan, ...]
    teams: tuple[TeamPlan, ...]

    @property
    def engine_service(self) -> ServiceId:
        """Return the service of the model engines."""
        return self._service(ServiceMode.ENGINE)

    @property
    def plain_service(self) -> ServiceId:
        """Return the plain service."""
        return self._service(ServiceMode.PLAIN)

    def _service(self, mode: ServiceMode) -> ServiceId:
        return next(row.name for row in self.services if row.mode is mode)


@dataclass(frozen=True)
class Preset:
    """Names that distinguish one preset fleet from another.

    Parameters
    ----------
    name : str
        Name of the preset.
    regions : tuple of str
        Names of the regions; the first has most of the load.
    engine_service, plain_service : str
        Names of the services.
    non_idempotent : tuple of str
        Requests of the plain service, as `METHOD /path`, that must not be retried.
    teams : tuple of str
        Names of the teams; the first few are large.
    """

    name: str
    regions: tuple[str, ...]
    engine_service: str
    plain_service: str
    non_idempotent: tuple[str, ...]
    teams: tuple[str, ...]


KYUSHU = Preset(
    "kyushu",
    ("fukuoka", "kumamoto", "kagoshima"),
    "drafting",
    "case-records",
    ("POST /submissions",),
    (
        "medicine",
        "engineering",
        "agriculture",
        "archaeology",
        "ceramics",
        "dentistry",
        "education",
        "fisheries",
        "forestry",
        "geology",
        "history",
        "law",
        "music",
        "nursing",
        "oceanography",
        "volcanology",
    ),
)
DERWENT = Preset(
    "derwent",
    ("south", "north", "northwest"),
    "assistant",
    "hire-desk",
    ("POST /deposits", "POST /releases"),
    (
        "fishmarket",
        "county-kitchens",
        "pharmacies",
        "apple-growers",
        "bakers",
        "berry-growers",
        "brewers",
        "butchers",
        "cheesemakers",
        "florists",
        "hospices",
        "oyster-farms",
        "school-meals",
        "seed-merchants",
        "vaccine-runs",
        "wholesalers",
    ),
)
PRESETS = {preset.name: preset for preset in (KYUSHU, DERWENT)}

LARGE_WEIGHTS = (8.0, 5.0, 4.0)
LARGE_LOADS = (6.0, 4.0, 3.0)
SMALL_WEIGHTS = (1.0, 2.0, 1.0, 0.5)
TEAMS_BY_REGION = (10, 4, 2)
ENGINES_PER_REGION = 2
ENGINE_SLOTS = 8
PLAIN_SLOTS = 4


def build_plan(preset: Preset, net: str, seed: int) -> FleetPlan:
    """Return the plan of a preset fleet.

    Parameters
    ----------
    preset : Preset
        Preset to use.
    net : str
        First two octets of the loopback addresses, as in `127.30`.
    seed : int
        Seed of the teams' keys and entry VMs.
    """
    regions = tuple(RegionId(name) for name in preset.regions)
    services = (
        ServiceRow(name=ServiceId(preset.engine_service)),
        ServiceRow(
            name=ServiceId(preset.plain_service),
            mode=ServiceMode.PLAIN,
            non_idempotent=preset.non_idempotent,
        ),
    )
    vms = tuple(
        VmPlan(VmId(f"{region}-{i + 1}"), region, f"{net}.{r + 1}.{i + 1}")
        for r, region in enumerate(regions)
        for i in range(VMS_PER_REGION)
    )
    return FleetPlan(
        preset.name,
        regions,
        services,
        vms,
        tuple(_upstreams(regions, services, net)),
        tuple(_teams(preset, regions, vms, random.Random(seed))),
    )


def with_weights(fleet: FleetPlan, weights: Mapping[int, float]) -> FleetPlan:
    """Return the fleet with some weights replaced, given by index of the team."""
    teams = [
        replace(
            team,
            row=msgspec.structs.replace(
                team.row, weight=weights.get(index, team.row.weight)
            ),
        )
        for index, team in enumerate(fleet.teams)
    ]
    return replace(fleet, teams=tuple(teams))


def with_single_entry(fleet: FleetPlan) -> FleetPlan:
    """Return the fleet with a single router for the first team."""
    first, *others = fleet.teams
    return replace(fleet, teams=(replace(first, entries=first.entries[:1]), *others))


def _upstreams(
    regions: tuple[RegionId, ...], services: tuple[ServiceRow, ...], net: str
) -> list[UpstreamPlan]:
    plans = []
    for number, region in enumerate(regions, 1):
        modes = [ServiceMode.ENGINE] * ENGINES_PER_REGION + [ServiceMode.PLAIN]
        for index, mode in enumerate(modes, 1):
            service = next(row for row in services if row.mode is mode)
            ip = f"{net}.{number}.{100 + index}"
            row = UpstreamRow(
                name=UpstreamId(f"{service.name}-{region}-{index}"),
                service=service.name,
                region=region,
                url=f"http://{ip}:{UPSTREAM_PORT}",
                slots=ENGINE_SLOTS if mode is ServiceMode.ENGINE else PLAIN_SLOTS,
            )
            plans.append(UpstreamPlan(row, mode, ip))
    return plans


def _teams(
    preset: Preset,
    regions: tuple[RegionId, ...],
    vms: tuple[VmPlan, ...],
    rng: random.Random,
) -> list[TeamPlan]:
    home_regions = [
        region
        for region, count in zip(regions, TEAMS_BY_REGION, strict=True)
        for _ in range(count)
    ]
    rng.shuffle(home_regions)
    plans = []
    for number, name in enumerate(preset.teams):
        is_large = number < len(LARGE_WEIGHTS)
        home_region = regions[0] if is_large else home_regions[number]
        home_vms = [vm.name for vm in vms if vm.region == home_region]
        key = rng.randbytes(KEY_BYTES).hex()
        row = TeamRow(
            name=TeamId(name),
            weight=LARGE_WEIGHTS[number] if is_large else SMALL_WEIGHTS[number % 4],
            key_hashes=(hash_key(key),),
        )
        entries = tuple(rng.sample(home_vms, rng.choice((1, 2))))
        load = LARGE_LOADS[number] if is_large else 1.0
        plans.append(TeamPlan(row, key, entries, load))
    return plans
