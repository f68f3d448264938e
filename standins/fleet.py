"""Run a local fleet: stand-ins and daemons, each in its own process."""

import argparse
import time
from collections.abc import Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Self

import msgspec
import urllib3

from oleandershift.ids import VmId
from oleandershift.messages import Role
from oleandershift.rows import RowKind, ServiceMode, TableRow, encode_row
from standins.fleet_file import (
    FILE_NAME,
    PLATFORM_CONTROL_PORT,
    PLATFORM_PORT,
    build_fleet_file,
    write_fleet_file,
)
from standins.platform import VmEntry
from standins.presets import (
    PRESETS,
    UPSTREAM_CONTROL_PORT,
    UPSTREAM_PORT,
    FleetPlan,
    UpstreamPlan,
    VmPlan,
    build_plan,
    with_single_entry,
    with_weights,
)
from standins.processes import ChildProcess, exit_on_signals, stop_all

AGENT_PORT = 7101
ROUTER_MAX_REQUESTS = "256"
READY_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.05
DEFAULT_SUBNET = "127.30"
DAEMON_ROLES = (Role.AGENT, Role.ALLOCATOR, Role.ROUTER)


class FleetError(Exception):
    """Raised when the fleet cannot be started or restarted."""


@dataclass(frozen=True)
class FleetConfig:
    """Settings of a local fleet.

    Parameters
    ----------
    preset : str
        `kyushu` or `derwent`.
    net : str
        First two octets of the loopback addresses, as in `127.30`.
    out : Path
        Directory of `fleet.json` and the logs.
    policy : str
        Scheduling policy of the routers.
    seed : int
        Seed of the teams' keys and entry VMs.
    router_args : tuple of str
        Additional command-line flags of the routers.
    engine_args : tuple of str
        Additional command-line flags of the engines.
    log_level : str
        Log level of the daemons.
    weights : tuple of pair
        Weights that replace the preset's, as pairs of team index and weight.
    one_entry : bool
        Whether the first team sends all requests to a single router.
    """

    preset: str = "kyushu"
    net: str = DEFAULT_SUBNET
    out: Path = Path("out/fleet")
    policy: str = "fcfs"
    seed: int = 1
    router_args: tuple[str, ...] = ()
    engine_args: tuple[str, ...] = ()
    log_level: str = "INFO"
    weights: tuple[tuple[int, float], ...] = ()
    one_entry: bool = False


class Fleet(AbstractContextManager["Fleet"]):
    """Nine VMs in three regions, a platform and upstreams on loopback addresses.

    Parameters
    ----------
    cfg : FleetConfig
        Settings.

    Attributes
    ----------
    plan : FleetPlan
        VMs, upstreams, services and teams of the fleet.
    addresses : FleetFile
        Addresses and keys, as written to `fleet.json`.
    """

    def __init__(self, cfg: FleetConfig) -> None:
        self.cfg = cfg
        self.plan: FleetPlan = _build_fleet_plan(cfg)
        self._logs = cfg.out / "logs"
        self._platform_ip = f"{cfg.net}.0.1"
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)
        self.addresses = build_fleet_file(
            self.plan, cfg.policy, self._platform_ip, self._logs
        )
        self._platform = self._platform_process()
        self._upstreams = {
            upstream.row.name: self._upstream_process(upstream)
            for upstream in self.plan.upstreams
        }
        self._daemons = {
            (vm.name, role): self._daemon_process(vm, role)
            for vm in self.plan.vms
            for role in DAEMON_ROLES
        }

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes and wait until every router is ready.

        Raises
        ------
        FleetError
            When a process exits, a router is not ready in time, or the subnet is
            already in use.
        """
        if self._responds(f"{self.addresses.platform}/v1/vms"):
            raise FleetError(
                f"another fleet is running on {self.cfg.net}; use another --net"
            )
        self._logs.mkdir(parents=True, exist_ok=True)
        for old_log in self._logs.iterdir():
            old_log.unlink()
        try:
            self._start_all()
        except BaseException:
            self.stop()
            raise
        write_fleet_file(self.cfg.out / FILE_NAME, self.addresses)

    def stop(self) -> None:
        """Stop every process."""
        stop_all(self._daemons.values(), STOP_TIMEOUT_SECONDS)
        stop_all((*self._upstreams.values(), self._platform), STOP_TIMEOUT_SECONDS)

    def daemon(self, vm: VmId, role: Role) -> ChildProcess:
        """Return the process of one daemon."""
        return self._daemons[vm, role]

    def daemons(self, role: Role) -> tuple[ChildProcess, ...]:
        """Return the processes of a role on all VMs."""
        return tuple(self._daemons[vm.name, role] for vm in self.plan.vms)

    def vm_processes(self, vm: VmId) -> tuple[ChildProcess, ...]:
        """Return the daemons of a VM."""
        return tuple(self._daemons[vm, role] for role in DAEMON_ROLES)

    def upstream(self, name: str) -> ChildProcess:
        """Return the process of an upstream."""
        return self._upstreams[name]  # type: ignore[index]

    def restart_vms(self, vms: Sequence[VmId], drain_seconds: float) -> None:
        """Shut down the daemons of some VMs gracefully and start them again.

        Raises
        ------
        FleetError
            When a daemon does not exit with 0 in time, or a router does not become
            ready again.
        """
        children = [child for vm in vms for child in self.vm_processes(vm)]
        for child in children:
            child.terminate()
        deadline = time.monotonic() + drain_seconds
        for child in children:
            code = child.wait(max(deadline - time.monotonic(), 0.0))
            if code != 0:
                raise FleetError(f"{child.name} exited with {code}, expected 0")
        for child in children:
            child.start()
        self.wait_ready(vms)

    def wait_ready(self, vms: Sequence[VmId] | None = None) -> None:
        """Wait until the routers of some VMs, or of all, are ready.

        Raises
        ------
        FleetError
            When a router is not ready before the timeout.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        for vm in vms or [vm_plan.name for vm_plan in self.plan.vms]:
            url = self.addresses.vm(vm).http + "/readyz"
            self._wait_until_ok(url, deadline, self.vm_processes(vm))

    def _start_all(self) -> None:
        dependencies = (self._platform, *self._upstreams.values())
        for child in dependencies:
            child.start()
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        self._wait_until_ok(f"{self.addresses.platform}/v1/vms", deadline, dependencies)
        for upstream in self.addresses.upstreams:
            self._wait_until_ok(f"{upstream.url}/-/load", deadline, dependencies)
        self._seed_platform()
        for child in self._daemons.values():
            child.start()
        self.wait_ready()

    def _wait_until_ok(
        self, url: str, deadline: float, required: Sequence[ChildProcess]
    ) -> None:
        while not self._responds(url):
            for child in required:
                if not child.is_running():
                    raise FleetError(
                        f"{child.name} exited with {child.exit_code()}:\n"
                        f"{child.stderr_tail()}"
                    )
            if time.monotonic() > deadline:
                names = ", ".join(child.name for child in required)
                raise FleetError(f"{url} is not ready; see {self._logs} for {names}")
            time.sleep(POLL_INTERVAL_SECONDS)

    def _responds(self, url: str) -> bool:
        try:
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _seed_platform(self) -> None:
        for service in self.plan.services:
            self._create(RowKind.SERVICES, service)
        for upstream in self.plan.upstreams:
            self._create(RowKind.UPSTREAMS, upstream.row)
        for team in self.plan.teams:
            self._create(RowKind.TEAMS, team.row)
        entries = [VmEntry(vm.name, vm.region, vm.ip) for vm in self.plan.vms]
        url = f"{self.addresses.platform_control}/vms"
        self._http.request("PUT", url, body=msgspec.json.encode(entries))

    def _create(self, kind: RowKind, row: TableRow) -> None:
        url = f"{self.addresses.platform}/v1/objects/{kind.value}/{row.name}"
        headers = {"If-None-Match": "*"}
        res = self._http.request("PUT", url, body=encode_row(row), headers=headers)
        if res.status != 201:
            raise FleetError(f"{url} responded with {res.status}")

    def _platform_process(self) -> ChildProcess:
        args = ("--ip", self._platform_ip, "--port", str(PLATFORM_PORT))
        control = ("--control-port", str(PLATFORM_CONTROL_PORT))
        return ChildProcess(
            "platform",
            "standins.platform",
            (*args, *control),
            self._logs,
            has_log_file_flag=False,
        )

    def _upstream_process(self, upstream: UpstreamPlan) -> ChildProcess:
        is_engine = upstream.mode is ServiceMode.ENGINE
        args = (
            *("--name", upstream.row.name),
            *("--region", upstream.row.region),
            *("--ip", upstream.ip),
            *("--port", str(UPSTREAM_PORT)),
            *("--control-port", str(UPSTREAM_CONTROL_PORT)),
            *("--slots", str(upstream.row.slots)),
            *(self.cfg.engine_args if is_engine else ()),
        )
        module = "standins.engine" if is_engine else "standins.plain"
        return ChildProcess(upstream.row.name, module, args, self._logs)

    def _daemon_process(self, vm: VmPlan, role: Role) -> ChildProcess:
        args = [
            *("--vm", vm.name),
            *("--region", vm.region),
            *("--data-centre", f"{vm.region}-1"),
            *("--ip", vm.ip),
            *("--log-level", self.cfg.log_level),
        ]
        if role is not Role.ALLOCATOR:
            args += ["--platform-url", self.addresses.platform]
        if role is Role.AGENT:
            args += ["--seeds", self._seeds(vm)]
        if role is Role.ROUTER:
            args += ["--policy", self.cfg.policy]
            args += ["--max-requests", ROUTER_MAX_REQUESTS, *self.cfg.router_args]
        module = f"oleandershift.cli.{role.label}"
        return ChildProcess(f"{vm.name}-{role.label}", module, args, self._logs)

    def _seeds(self, vm: VmPlan) -> str:
        first_vm_by_region = {other.region: other for other in reversed(self.plan.vms)}
        others = (other for other in first_vm_by_region.values() if other is not vm)
        return ",".join(f"{other.ip}:{AGENT_PORT}" for other in others)


def _build_fleet_plan(cfg: FleetConfig) -> FleetPlan:
    fleet = with_weights(
        build_plan(PRESETS[cfg.preset], cfg.net, cfg.seed), dict(cfg.weights)
    )
    return with_single_entry(fleet) if cfg.one_entry else fleet


def add_fleet_flags(parser: argparse.ArgumentParser) -> None:
    """Add the flags shared by the tools that start a fleet."""
    parser.add_argument("--net", default=DEFAULT_SUBNET, help="loopback subnet, 127.x")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--log-level", default="INFO", choices=("DEBUG", "INFO", "WARNING", "ERROR")
    )


def main() -> int:
    """Run a fleet until it is interrupted."""
    parser = argparse.ArgumentParser("standins.fleet", description=__doc__)
    add_fleet_flags(parser)
    parser.add_argument("--preset", choices=sorted(PRESETS), default="kyushu")
    parser.add_argument("--policy", default="fair")
    parser.add_argument("--out", type=Path, default=Path("out/fleet"))
    cfg = parser.parse_args()
    exit_on_signals()
    fleet = Fleet(FleetConfig(**vars(cfg)))
    try:
        with fleet:
            print(f"ready: {cfg.out / FILE_NAME}; Ctrl-C to stop", flush=True)
            while True:
                time.sleep(1)
    except FleetError as exc:
        print(exc)
        return 1


if __name__ == "__main__":
    raise SystemExit(main())
