"""Status of a fleet, computed from two samples of its agents' replies."""

from collections.abc import Iterable
from dataclasses import dataclass

from oleandershift.ids import (
    DataCentreId,
    RegionId,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.messages import (
    Member,
    MemberState,
    OperatorReply,
    StatusReport,
    TeamStatus,
    UpstreamStatus,
)
from oleandershift.samples import Sample, Window
from oleandershift.shares import (
    ServiceGap,
    TeamShare,
    TeamUsage,
    service_gaps,
    team_shares,
)


@dataclass(frozen=True)
class ProcessLine:
    """Status of one process of a VM.

    Parameters
    ----------
    role : str
        Name of the daemon.
    ready, draining : bool
        Whether the process accepts work, and whether it is draining.
    table_digest : str
        Digest of the table in force at the process.
    in_force : bool
        Whether this digest equals the agent's.
    age_seconds : float
        Age of the process's report.
    cpu_share : float or None
        Share of a core used in the window; None if the process started within it.
    resident_bytes : int
        Resident memory of the process.
    """

    role: str
    ready: bool
    draining: bool
    table_digest: str
    in_force: bool
    age_seconds: float
    cpu_share: float | None
    resident_bytes: int


@dataclass(frozen=True)
class VmLine:
    """Status of one VM.

    Parameters
    ----------
    vm, region, data_centre
        Name and location of the VM.
    state : MemberState
        Membership state according to the queried agent.
    reachable : bool
        Whether the VM's agent replied.
    platform : str
        State of the platform as seen by the agent; empty if unreachable.
    table_digest : str
        Digest of the agent's table; empty if unreachable.
    processes : tuple of ProcessLine
        Processes of the VM, sorted by role.
    """

    vm: VmId
    region: RegionId
    data_centre: DataCentreId
    state: MemberState
    reachable: bool
    platform: str = ""
    table_digest: str = ""
    processes: tuple[ProcessLine, ...] = ()


@dataclass(frozen=True)
class UpstreamLine:
    """Status of one upstream as reported by its allocator.

    Parameters
    ----------
    upstream, service, region
        Name of the upstream, its service and the region of its allocator.
    state : str
        Whether the upstream accepts work.
    slots, taken : int
        Total slots, and slots in use.
    utilisation : float or None
        Busy share of slot time in the window; None if the allocator started within it.
    """

    upstream: UpstreamId
    service: ServiceId
    region: RegionId
    state: str
    slots: int
    taken: int
    utilisation: float | None


@dataclass(frozen=True)
class TrafficLine:
    """Control traffic from one region to another, per second of the window."""

    source: RegionId
    target: RegionId
    bytes_per_second: float
    messages_per_second: float


@dataclass(frozen=True)
class FleetStatus:
    """Status of a fleet.

    Parameters
    ----------
    at : float
        Time of the later sample, seconds since the Unix epoch.
    window_seconds : float
        Time between the samples.
    vms, upstreams, teams, gaps, traffic : tuple
        Lines of each kind.
    busy_while_waiting : float or None
        Busy slot time divided by the sum of busy slot time and slot time idle while
        requests waited; None if the sum is 0.
    """

    at: float
    window_seconds: float
    vms: tuple[VmLine, ...]
    upstreams: tuple[UpstreamLine, ...]
    teams: tuple[TeamShare, ...]
    gaps: tuple[ServiceGap, ...]
    traffic: tuple[TrafficLine, ...]
    busy_while_waiting: float | None


_ZERO_TEAM_STATUS = TeamStatus(TeamId(""), ServiceId(""), 0, 0, 0.0, 0, 0)


def summarise(earlier: Sample, later: Sample) -> FleetStatus:
    """Return a fleet's status.

    Parameters
    ----------
    earlier, later : Sample
        Samples at the start and the end of the window. Counters of a process that is
        missing from the earlier sample count from its start.
    """
    window = Window(earlier, later)
    teams = team_shares(_team_usages(window), _weights(later))
    return FleetStatus(
        at=later.sampled_at,
        window_seconds=window.seconds,
        vms=tuple(
            _vm_line(member, window) for member in _by_region_and_vm(later.members)
        ),
        upstreams=_upstream_lines(window),
        teams=teams,
        gaps=service_gaps(teams),
        traffic=_traffic_lines(window),
        busy_while_waiting=_busy_while_waiting(window),
    )


def _by_region_and_vm(members: Iterable[Member]) -> list[Member]:
    return sorted(members, key=lambda member: (member.region, member.vm))


def _weights(sample: Sample) -> dict[TeamId, float]:
    return {
        entry.team: entry.weight
        for reply in sample.replies.values()
        for entry in reply.weights
    }


def _vm_line(member: Member, window: Window) -> VmLine:
    reply = window.later.replies.get(member.vm)
    line = VmLine(
        vm=member.vm,
        region=member.region,
        data_centre=member.data_centre,
        state=member.state,
        reachable=reply is not None,
    )
    if reply is None:
        return line
    reports = sorted(reply.reports, key=lambda report: report.process.role.label)
    return VmLine(
        vm=line.vm,
        region=line.region,
        data_centre=line.data_centre,
        state=line.state,
        reachable=True,
        platform=reply.platform,
        table_digest=reply.table_digest.hex(),
        processes=tuple(_process_line(r, reply, window) for r in reports),
    )


def _process_line(
    report: StatusReport, reply: OperatorReply, window: Window
) -> ProcessLine:
    elapsed = window.seconds_between_reports(report)
    earlier_report = window.earlier_reports.get(report.process)
    cpu_share = None
    if earlier_report is not None and elapsed > 0:
        cpu_share = (report.cpu_seconds - earlier_report.cpu_seconds) / elapsed
    return ProcessLine(
        role=report.process.role.label,
        ready=report.ready,
        draining=report.draining,
        table_digest=report.table_digest.hex(),
        in_force=report.table_digest == reply.table_digest,
        age_seconds=max(window.later.sampled_at - report.reported_at, 0.0),
        cpu_share=cpu_share,
        resident_bytes=report.resident_bytes,
    )


# Upstreams


def _newest_upstreams(
    window: Window,
) -> dict[UpstreamId, tuple[RegionId, StatusReport, UpstreamStatus]]:
    newest: dict[UpstreamId, tuple[RegionId, StatusReport, UpstreamStatus]] = {}
    for region, report in window.later.reports():
        for status in report.upstreams:
            known = newest.get(status.upstream)
            if known is None or known[1].reported_at < report.reported_at:
                newest[status.upstream] = (region, report, status)
    return newest


def _earlier_upstream(
    window: Window, report: StatusReport, upstream: UpstreamId
) -> UpstreamStatus | None:
    earlier_report = window.earlier_reports.get(report.process)
    earlier_upstreams = () if earlier_report is None else earlier_report.upstreams
    return next(
        (entry for entry in earlier_upstreams if entry.upstream == upstream), None
    )


def _upstream_lines(window: Window) -> tuple[UpstreamLine, ...]:
    lines = []
    for region, report, status in _newest_upstreams(window).values():
        earlier = _earlier_upstream(window, report, status.upstream)
        elapsed = window.seconds_between_reports(report)
        utilisation = None
        if earlier is not None and elapsed > 0 and status.slots > 0:
            busy = status.busy_seconds - earlier.busy_seconds
            utilisation = min(busy / (elapsed * status.slots), 1.0)
        lines.append(
            UpstreamLine(
                upstream=status.upstream,
                service=status.service,
                region=region,
                state=status.state,
                slots=status.slots,
                taken=status.slots_in_use,
                utilisation=utilisation,
            )
        )
    return tuple(sorted(lines, key=lambda line: (line.service, line.upstream)))


def _busy_while_waiting(window: Window) -> float | None:
    busy = idle = 0.0
    for _, report, status in _newest_upstreams(window).values():
        earlier = _earlier_upstream(window, report, status.upstream)
        if earlier is not None:
            busy += status.busy_seconds - earlier.busy_seconds
            idle += status.idle_while_waiting_seconds
            idle -= earlier.idle_while_waiting_seconds
    return busy / (busy + idle) if busy + idle > 0 else None


# Teams


def _team_usages(window: Window) -> list[TeamUsage]:
    entries: dict[tuple[TeamId, ServiceId], list[tuple[TeamStatus, TeamStatus]]] = {}
    for _, report in window.later.reports():
        earlier_report = window.earlier_reports.get(report.process)
        earlier_by_key = (
            {}
            if earlier_report is None
            else {(t.team, t.service): t for t in earlier_report.teams}
        )
        for status in report.teams:
            key = (status.team, status.service)
            pair = (earlier_by_key.get(key, _ZERO_TEAM_STATUS), status)
            entries.setdefault(key, []).append(pair)
    return [_team_usage(team, service, p) for (team, service), p in entries.items()]


def _team_usage(
    team: TeamId, service: ServiceId, pairs: list[tuple[TeamStatus, TeamStatus]]
) -> TeamUsage:
    waiting = sum(after.waiting for _, after in pairs)
    return TeamUsage(
        team=team,
        service=service,
        waiting=waiting,
        running=sum(after.running for _, after in pairs),
        cost=sum(after.served_cost - before.served_cost for before, after in pairs),
        served=sum(after.served - before.served for before, after in pairs),
        refused=sum(after.refused - before.refused for before, after in pairs),
        backlogged=waiting > 0 and any(before.waiting for before, _ in pairs),
    )


# Traffic


def _traffic_lines(window: Window) -> tuple[TrafficLine, ...]:
    rates: dict[tuple[RegionId, RegionId], list[float]] = {}
    for source, report in window.later.reports():
        earlier_report = window.earlier_reports.get(report.process)
        elapsed = window.seconds_between_reports(report)
        if earlier_report is None or elapsed <= 0:
            continue
        earlier_by_region = {count.region: count for count in earlier_report.traffic}
        for count in report.traffic:
            earlier_count = earlier_by_region.get(count.region)
            sent = count.sent_bytes - (earlier_count.sent_bytes if earlier_count else 0)
            messages = count.messages - (earlier_count.messages if earlier_count else 0)
            rate = rates.setdefault((source, count.region), [0.0, 0.0])
            rate[0] += sent / elapsed
            rate[1] += messages / elapsed
    return tuple(
        TrafficLine(source, target, sent, messages)
        for (source, target), (sent, messages) in sorted(rates.items())
    )
