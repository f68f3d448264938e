"""Reading and writing of `fleet.json`, the addresses and keys of a running fleet."""

from pathlib import Path

import msgspec

from oleandershift.rows import ServiceMode
from standins.presets import UPSTREAM_CONTROL_PORT, FleetPlan

FILE_NAME = "fleet.json"
PLATFORM_PORT = 7000
PLATFORM_CONTROL_PORT = 7001
QUERY_PORT = 7104
HTTP_PORT = 8080


class VmAddresses(msgspec.Struct, frozen=True):
    """Addresses of one VM of the fleet.

    Parameters
    ----------
    vm, region, ip : str
        Name, region and address of the VM.
    http : str
        URL at which callers reach its router.
    query : str
        Query address of its agent, for `oleander --query-address`.
    """

    vm: str
    region: str
    ip: str
    http: str
    query: str


class UpstreamAddresses(msgspec.Struct, frozen=True):
    """Addresses of one upstream."""

    name: str
    service: str
    region: str
    slots: int
    url: str
    control: str


class TeamAccess(msgspec.Struct, frozen=True):
    """Credentials and load of one team.

    Parameters
    ----------
    name : str
        Name of the team.
    key : str
        API key, sent as a bearer token.
    weight : float
        Weight in the sharing of slots among teams.
    load : float
        Offered load, relative to the other teams.
    routers : tuple of str
        URLs of the routers that its callers use.
    """

    name: str
    key: str
    weight: float
    load: float
    routers: tuple[str, ...]


class FleetFile(msgspec.Struct, frozen=True):
    """Contents of `fleet.json`.

    Parameters
    ----------
    preset, policy : str
        Preset and scheduling policy of the fleet.
    engine_service, plain_service : str
        Names of the services.
    non_idempotent : tuple of str
        Requests of the plain service, as `METHOD /path`, that must not be retried.
    platform, platform_control : str
        URLs of the platform and of its control port.
    logs : str
        Directory of the JSON-lines logs.
    """

    preset: str
    policy: str
    engine_service: str
    plain_service: str
    non_idempotent: tuple[str, ...]
    platform: str
    platform_control: str
    logs: str
    vms: tuple[VmAddresses, ...]
    upstreams: tuple[UpstreamAddresses, ...]
    teams: tuple[TeamAccess, ...]

    def vm(self, name: str) -> VmAddresses:
        """Return the addresses of a VM."""
        return next(vm for vm in self.vms if vm.vm == name)

    def upstreams_of(self, service: str) -> tuple[UpstreamAddresses, ...]:
        """Return the upstreams of a service."""
        return tuple(
            upstream for upstream in self.upstreams if upstream.service == service
        )


def build_fleet_file(
    fleet: FleetPlan, policy: str, platform_ip: str, logs: Path
) -> FleetFile:
    """Return the addresses and keys of a planned fleet."""
    http = {vm.name: f"http://{vm.ip}:{HTTP_PORT}" for vm in fleet.vms}
    plain = next(row for row in fleet.services if row.mode is ServiceMode.PLAIN)
    return FleetFile(
        preset=fleet.name,
        policy=policy,
        engine_service=fleet.engine_service,
        plain_service=fleet.plain_service,
        non_idempotent=plain.non_idempotent,
        platform=f"http://{platform_ip}:{PLATFORM_PORT}",
        platform_control=f"http://{platform_ip}:{PLATFORM_CONTROL_PORT}",
        logs=str(logs),
        vms=tuple(
            VmAddresses(
                vm.name, vm.region, vm.ip, http[vm.name], f"{vm.ip}:{QUERY_PORT}"
            )
            for vm in fleet.vms
        ),
        upstreams=tuple(
            UpstreamAddresses(
                upstream.row.name,
                upstream.row.service,
                upstream.row.region,
                upstream.row.slots,
                upstream.row.url,
                f"http://{upstream.ip}:{UPSTREAM_CONTROL_PORT}",
            )
            for upstream in fleet.upstreams
        ),
        teams=tuple(
            TeamAccess(
                team.row.name,
                team.key,
                team.row.weight,
                team.load,
                tuple(http[vm] for vm in team.entries),
            )
            for team in fleet.teams
        ),
    )


def write_fleet_file(path: Path, fleet: FleetFile) -> None:
    """Write `fleet.json`."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(fleet)))


def read_fleet_file(path: Path) -> FleetFile:
    """Read `fleet.json`."""
    return msgspec.json.decode(path.read_bytes(), type=FleetFile)
