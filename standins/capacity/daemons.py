"""Memory and CPU time of the real daemons of one VM."""

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from oleandershift.ids import FleetId
from oleandershift.io.queries import send_query
from oleandershift.messages import OperatorQuery, QueryKind, Role, Row
from oleandershift.policies import POLICIES
from standins.capacity.measure import Report
from standins.capacity.processes import cpu_seconds, proportional_bytes, resident_bytes
from standins.capacity.samples import region_of, rows
from standins.platform import Platform

IP = "127.25.1.1"
PORTS = {
    "agent-port": 27101,
    "allocator-port": 27102,
    "router-port": 27103,
    "query-port": 27104,
    "http-port": 27180,
}
READY_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 10.0
IDLE_SECONDS = 5.0
MIBIBYTE = 1 << 20
SCALES = ((16, 9), (5500, 12_000))
FLEET_ID = FleetId("capacity")


@dataclass
class Vm:
    """Daemons of one VM, with a platform stand-in in this process.

    Parameters
    ----------
    initial_rows : iterable of Row
        Rows in the platform's store at the start.
    ip : str
        IP address of the daemons and the platform.
    ports : mapping
        Port number of each port setting.
    policy : str
        Policy of the router.
    """

    initial_rows: Iterable[Row]
    ip: str = IP
    ports: Mapping[str, int] = field(default_factory=lambda: PORTS)
    policy: str = "fair" if "fair" in POLICIES else "fcfs"
    processes: dict[Role, "subprocess.Popen[bytes]"] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.platform = Platform(ip=self.ip)

    @property
    def query_address(self) -> str:
        """Return the address of the agent's query socket."""
        return f"{self.ip}:{self.ports['query-port']}"

    @property
    def url(self) -> str:
        """Return the router's URL."""
        return f"http://{self.ip}:{self.ports['http-port']}"

    def start(self, logs: Path) -> None:
        """Start the platform and the daemons and wait until all daemons are ready."""
        for row in self.initial_rows:
            self.platform.store.put(row.kind, row.name, row.value, None)
        self.platform.start()
        for role in (Role.AGENT, Role.ALLOCATOR, Role.ROUTER):
            self.processes[role] = self._spawn(role, logs)
        self._wait_ready()

    def _spawn(self, role: Role, logs: Path) -> "subprocess.Popen[bytes]":
        args = [f"--{name}={port}" for name, port in self.ports.items()]
        args += [f"--ip={self.ip}", "--vm=vm-0000", f"--region={region_of(0)}"]
        args += ["--data-centre=dc-00", f"--fleet={FLEET_ID}"]
        args += [f"--log-file={logs / role.label}.jsonl"]
        if role is not Role.ALLOCATOR:
            args.append(f"--platform-url={self.platform.url}")
        if role is Role.ROUTER:
            args += [f"--policy={self.policy}", "--max-requests=1000"]
        module = f"oleandershift.cli.{role.label}"
        return subprocess.Popen([sys.executable, "-m", module, *args])

    def _wait_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        query = OperatorQuery(QueryKind.STATUS)
        while time.monotonic() < deadline:
            reply = send_query(self.query_address, FLEET_ID, query, 1.0).value_or(None)
            reports = () if reply is None else reply.reports
            if sum(report.ready for report in reports) == len(self.processes):
                return
            time.sleep(0.1)
        raise TimeoutError("the daemons did not become ready in time")

    def stop(self) -> None:
        """Stop the daemons and the platform."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.platform.stop()

    def resident_mib(self, role: Role) -> float:
        """Return the resident memory of one daemon, MiB."""
        return resident_bytes(str(self.processes[role].pid)) / MIBIBYTE

    def proportional_mib(self, role: Role) -> float:
        """Return the proportional set size (PSS) of one daemon, MiB."""
        return proportional_bytes(str(self.processes[role].pid)) / MIBIBYTE

    def cpu_seconds(self, role: Role) -> float:
        """Return the CPU time of one daemon since its start, seconds."""
        return cpu_seconds(str(self.processes[role].pid))


@contextmanager
def running_vm(vm: Vm, logs: Path | None = None) -> Iterator[Vm]:
    """Run the daemons of a VM; without `logs`, their logs are discarded."""
    with tempfile.TemporaryDirectory() as scratch:
        try:
            vm.start(logs or Path(scratch))
            yield vm
        finally:
            vm.stop()


def measure(report: Report) -> None:
    """Measure memory and CPU use of idle daemons with a small and a large table."""
    report.begin_section("daemons")
    for teams, upstreams in SCALES:
        with running_vm(Vm(rows(teams, upstreams))) as vm:
            time.sleep(IDLE_SECONDS)
            before = {role: vm.cpu_seconds(role) for role in vm.processes}
            time.sleep(IDLE_SECONDS)
            size = f"{teams} teams, {upstreams} upstreams"
            for role in vm.processes:
                cpu_share = (vm.cpu_seconds(role) - before[role]) / IDLE_SECONDS
                name = f"{role.label} idle, {size}"
                report.add(name, vm.resident_mib(role), "MiB resident")
                report.add(name, vm.proportional_mib(role), "MiB proportional")
                report.add(name, 100 * cpu_share, "% of a core")
