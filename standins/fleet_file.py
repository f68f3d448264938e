"""`fleet.json`: every address and key of a running fleet."""

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
    """One VM of the fleet.

    Parameters
    ----------
    vm, region, ip : str
        Who and where it is.
    http : str
        URL for callers.
    query : str
        Agent's query address for `oleander --query-address`.
    """

    vm: str
    region: str
    ip: str
    http: str
    query: str


class UpstreamAddresses(msgspec.Struct, frozen=True):
    """One upstream."""

    name: str
    service: str
    region: str
    slots: int
    url: str
    control: str


class TeamAccess(msgspec.Struct, frozen=True):
    """One team.

    Parameters
    ----------
    name : str
        The team.
    key : str
        Bearer key.
    weight : float
        Its share.
    load : float
        Its part of the offered load.
    routers : tuple of str
        URLs that its callers use.
    """

    name: str
    key: str
    weight: float
    load: float
    routers: tuple[str, ...]


class FleetFile(msgspec.Struct, frozen=True):
    """A running fleet.

    Parameters
    ----------
    preset, policy : str
        What was started.
    engine_service, plain_service : str
        Names of the services.
    non_idempotent : tuple of str
        Calls of the plain service that must not be repeated.
    platform, platform_control : str
        URLs.
    logs : str
        Folder of the JSON-lines logs.
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
        """Return a VM's addresses."""
        return next(vm for vm in self.vms if vm.vm == name)

    def upstreams_of(self, service: str) -> tuple[UpstreamAddresses, ...]:
        """Return a service's upstreams."""
        return tuple(one for one in self.upstreams if one.service == service)


def build_fleet_file(
    fleet: FleetPlan, policy: str, platform_ip: str, logs: Path
) -> FleetFile:
    """Return the addresses of a fleet that is made to a plan."""
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
                one.row.name,
                one.row.service,
                one.row.region,
                one.row.slots,
                one.row.url,
                f"http://{one.ip}:{UPSTREAM_CONTROL_PORT}",
            )
            for one in fleet.upstreams
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
    """Write the file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(fleet)))


def read_fleet_file(path: Path) -> FleetFile:
    """Read the file."""
    return msgspec.json.decode(path.read_bytes(), type=FleetFile)
