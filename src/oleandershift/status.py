"""Status of a fleet, worked out from its agents' answers at two instants."""

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
    """One process of a VM.

    Parameters
    ----------
    role : str
        Name of the daemon.
    ready, draining : bool
        Whether it takes work, and whether it is stopping.
    table_digest : str
        Digest of the table that it has in force.
    in_force : bool
        That table is its agent's.
    age_seconds : float
        Age of its report.
    cpu_share : float or None
        Share of a core that it used in the window; None when it started meanwhile.
    resident_bytes : int
        Its memory.
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
    """One VM.

    Parameters
    ----------
    vm, region, data_centre
        Who and where it is.
    state : MemberState
        What the asked agent believes.
    reachable : bool
        Its agent answered.
    platform : str
        The platform as its agent sees it; empty when not reachable.
    table_digest : str
        Digest of its agent's table; empty when not reachable.
    processes : tuple of ProcessLine
        Its processes, by role.
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
    """One upstream, as its allocator tells.

    Parameters
    ----------
    upstream, service, region
        Which, of what, and the region of its allocator.
    state : str
        Whether it takes work.
    slots, taken : int
        Requests that it may run, and runs.
    utilisation : float or None
        Share of slot time busy in the window; None when the allocator began meanwhile.
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
    """Control traffic from one region to another in the window, per second."""

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
        Instant of the later sample.
    window_seconds : float
        Time between the samples.
    vms, upstreams, teams, gaps, traffic : tuple
        Lines of each kind.
    busy_while_waiting : float or None
        Share of slot time that was busy, of the time in which requests waited or slots
        were busy; None when neither was the case.
    """

    at: float
    window_seconds: float
    vms: tuple[VmLine, ...]
    upstreams: tuple[UpstreamLine, ...]
    teams: tuple[TeamShare, ...]
    gaps: tuple[ServiceGap, ...]
    traffic: tuple[TrafficLine, ...]
    busy_while_waiting: float | None


_NO_TEAM = TeamStatus(TeamId(""), ServiceId(""), 0, 0, 0.0, 0, 0)


def summarise(earlier: Sample, later: Sample) -> FleetStatus:
    """Work out a fleet's status.

    Parameters
    ----------
    earlier, later : Sample
        Answers at the ends of a window. Counters of a process that is not in the
        earlier sample count from its start.
    """
    window = Window(earlier, later)
    teams = team_shares(_team_works(window), _weights(later))
    return FleetStatus(
        at=later.sampled_at,
        window_seconds=window.seconds,
        vms=tuple(_vm_line(member, window) for member in _by_place(later.members)),
        upstreams=_upstream_lines(window),
        teams=teams,
        gaps=service_gaps(teams),
        traffic=_traffic_lines(window),
        busy_while_waiting=_busy_while_waiting(window),
    )


def _by_place(members: Iterable[Member]) -> list[Member]:
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
    elapsed = window.elapsed(report)
    before = window.earlier_reports.get(report.process)
    cpu_share = None
    if before is not None and elapsed > 0:
        cpu_share = (report.cpu_seconds - before.cpu_seconds) / elapsed
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
            held = newest.get(status.upstream)
            if held is None or held[1].reported_at < report.reported_at:
                newest[status.upstream] = (region, report, status)
    return newest


def _upstream_before(
    window: Window, report: StatusReport, upstream: UpstreamId
) -> UpstreamStatus | None:
    before = window.earlier_reports.get(report.process)
    listed = () if before is None else before.upstreams
    return next((entry for entry in listed if entry.upstream == upstream), None)


def _upstream_lines(window: Window) -> tuple[UpstreamLine, ...]:
    lines = []
    for region, report, status in _newest_upstreams(window).values():
        before = _upstream_before(window, report, status.upstream)
        elapsed = window.elapsed(report)
        utilisation = None
        if before is not None and elapsed > 0 and status.slots > 0:
            busy = status.busy_seconds - before.busy_seconds
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
        before = _upstream_before(window, report, status.upstream)
        if before is not None:
            busy += status.busy_seconds - before.busy_seconds
            idle += status.idle_while_waiting_seconds
            idle -= before.idle_while_waiting_seconds
    return busy / (busy + idle) if busy + idle > 0 else None


# Teams


def _team_works(window: Window) -> list[TeamUsage]:
    entries: dict[tuple[TeamId, ServiceId], list[tuple[TeamStatus, TeamStatus]]] = {}
    for _, report in window.later.reports():
        before = window.earlier_reports.get(report.process)
        earlier = (
            {} if before is None else {(t.team, t.service): t for t in before.teams}
        )
        for status in report.teams:
            key = (status.team, status.service)
            pair = (earlier.get(key, _NO_TEAM), status)
            entries.setdefault(key, []).append(pair)
    return [_team_work(team, service, p) for (team, service), p in entries.items()]


def _team_work(
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
    sums: dict[tuple[RegionId, RegionId], list[float]] = {}
    for source, report in window.later.reports():
        before = window.earlier_reports.get(report.process)
        elapsed = window.elapsed(report)
        if before is None or elapsed <= 0:
            continue
        earlier = {count.region: count for count in before.traffic}
        for count in report.traffic:
            held = earlier.get(count.region)
            sent = count.sent_bytes - (held.sent_bytes if held else 0)
            messages = count.messages - (held.messages if held else 0)
            total = sums.setdefault((source, count.region), [0.0, 0.0])
            total[0] += sent / elapsed
            total[1] += messages / elapsed
    return tuple(
        TrafficLine(source, target, sent, messages)
        for (source, target), (sent, messages) in sorted(sums.items())
    )
