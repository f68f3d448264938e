"""Control traffic, CPU time and memory of a running fleet."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec
from returns.result import Success

from oleandershift.ids import FleetId
from oleandershift.io.queries import send_query
from oleandershift.messages import OperatorQuery, QueryKind, Role, StatusReport
from standins.fleet import Fleet
from standins.processes import cpu_seconds, resident_bytes

QUERY_TIMEOUT_SECONDS = 3.0
FLEET_ID = FleetId("oleander")


class ProcessSample(msgspec.Struct, frozen=True):
    """CPU time and memory of one daemon at one instant."""

    name: str
    role: str
    cpu_seconds: float
    resident_bytes: int


class FleetSample(msgspec.Struct, frozen=True):
    """Status reports and processes of a fleet at one instant.

    Parameters
    ----------
    at : float
        Seconds since the Unix epoch.
    regions : dict of str to str
        Region of each VM.
    reports : tuple of StatusReport
        Newest status report of every daemon known to an agent.
    processes : tuple of ProcessSample
        Samples of all daemons.
    """

    at: float
    regions: dict[str, str]
    reports: tuple[StatusReport, ...]
    processes: tuple[ProcessSample, ...]


class ControlFigures(msgspec.Struct, frozen=True):
    """Control traffic between two samples.

    Parameters
    ----------
    vm_bytes_per_second : dict of str to float
        Bytes/s sent by each VM.
    region_bytes_per_second : dict of str to float
        Bytes/s sent between each pair of regions, keyed `from>to`.
    messages_per_second : float
        Messages/s sent by all VMs together.
    """

    vm_bytes_per_second: dict[str, float]
    region_bytes_per_second: dict[str, float]
    messages_per_second: float

    @property
    def mean_vm_bytes_per_second(self) -> float:
        """Return the mean rate sent by a VM."""
        rates = self.vm_bytes_per_second.values()
        return sum(rates) / len(rates) if rates else 0.0

    @property
    def cross_region_bytes_per_second(self) -> float:
        """Return the total rate sent to other regions."""
        return sum(
            rate
            for pair, rate in self.region_bytes_per_second.items()
            if len(set(pair.split(">"))) > 1
        )


class RoleFigures(msgspec.Struct, frozen=True):
    """CPU use and memory of the processes of a role between two samples.

    Parameters
    ----------
    role : str
        Label of the role.
    cpu_percent, most_cpu_percent : float
        Mean and largest CPU use, percent of one core.
    resident_mb, most_resident_mb : float
        Mean and largest resident memory, MB.
    """

    role: str
    cpu_percent: float
    most_cpu_percent: float
    resident_mb: float
    most_resident_mb: float


def sample_fleet(fleet: Fleet, now: float) -> FleetSample:
    """Query all agents and return a sample of the fleet."""
    reports: list[StatusReport] = []
    for vm in fleet.addresses.vms:
        query = OperatorQuery(QueryKind.STATUS)
        reply = send_query(vm.query, FLEET_ID, query, QUERY_TIMEOUT_SECONDS)
        if isinstance(reply, Success):
            reports += reply.unwrap().reports
    regions = {vm.vm: vm.region for vm in fleet.addresses.vms}
    return FleetSample(now, regions, tuple(reports), _sample_processes(fleet))


def control_figures(first: FleetSample, last: FleetSample) -> ControlFigures:
    """Return the control traffic between two samples."""
    before = {report.process: report for report in first.reports}
    by_vm: defaultdict[str, float] = defaultdict(float)
    by_pair: defaultdict[str, float] = defaultdict(float)
    messages = 0.0
    for report in last.reports:
        earlier = before.get(report.process)
        if earlier is None or report.reported_at <= earlier.reported_at:
            continue
        seconds = report.reported_at - earlier.reported_at
        earlier_traffic = {count.region: count for count in earlier.traffic}
        vm = report.process.vm
        for count in report.traffic:
            earlier_count = earlier_traffic.get(count.region)
            sent = count.sent_bytes - (earlier_count.sent_bytes if earlier_count else 0)
            messages += (
                count.messages - (earlier_count.messages if earlier_count else 0)
            ) / seconds
            by_vm[vm] += sent / seconds
            by_pair[f"{last.regions[vm]}>{count.region}"] += sent / seconds
    return ControlFigures(dict(by_vm), dict(sorted(by_pair.items())), messages)


def role_figures(first: FleetSample, last: FleetSample) -> tuple[RoleFigures, ...]:
    """Return CPU use and memory of each role between two samples."""
    before = {process.name: process.cpu_seconds for process in first.processes}
    seconds = last.at - first.at
    return tuple(
        _role_figures(
            role.label,
            [
                (
                    100 * (process.cpu_seconds - before[process.name]) / seconds,
                    process.resident_bytes / 1e6,
                )
                for process in last.processes
                if process.role == role.label
            ],
        )
        for role in Role
    )


def _role_figures(role: str, usage: Iterable[tuple[float, float]]) -> RoleFigures:
    cpu, resident = zip(*usage, strict=True)
    return RoleFigures(
        role,
        sum(cpu) / len(cpu),
        max(cpu),
        sum(resident) / len(resident),
        max(resident),
    )


def _sample_processes(fleet: Fleet) -> tuple[ProcessSample, ...]:
    return tuple(
        ProcessSample(
            child.name,
            role.label,
            cpu_seconds(child.pid),
            resident_bytes(child.pid),
        )
        for role in Role
        for child in fleet.daemons(role)
    )
