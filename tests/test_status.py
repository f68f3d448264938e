"""Tests of the fleet status computed from agents' replies."""

import pytest

from oleandershift.ids import (
    DataCentreId,
    Incarnation,
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
    ProcessId,
    Role,
    StatusReport,
    TeamStatus,
    TeamWeight,
    TrafficCount,
    UpstreamStatus,
)
from oleandershift.samples import Sample
from oleandershift.status import FleetStatus, summarise

DRAFT = ServiceId("draft")
SOUTH, NORTH = RegionId("south"), RegionId("north")


def make_member(vm: str, region: RegionId) -> Member:
    return Member(
        VmId(vm), region, DataCentreId("dc"), "127.0.0.1", 1, 2, 3, 4, 5, Incarnation(1)
    )


def make_team(team: str, waiting: int, cost: float) -> TeamStatus:
    return TeamStatus(TeamId(team), DRAFT, waiting, 1, cost, int(cost // 100), 0)


def make_reply(
    vm: str,
    at: float,
    teams: tuple[TeamStatus, ...],
    busy: float = 0.0,
    sent: int = 0,
    started: int = 1,
) -> OperatorReply:
    upstream = UpstreamStatus(UpstreamId(f"u-{vm}"), DRAFT, 4, 3, "active", busy, 1.0)
    router = StatusReport(
        process=ProcessId(VmId(vm), Role.ROUTER, Incarnation(started)),
        reported_at=at,
        ready=True,
        draining=False,
        table_digest=b"\x01",
        teams=teams,
        upstreams=(upstream,),
        traffic=(TrafficCount(NORTH, sent // 100, sent),),
    )
    weights = (TeamWeight(TeamId("a"), 3.0), TeamWeight(TeamId("b"), 1.0))
    return OperatorReply(
        VmId(vm), reports=(router,), table_digest=b"\x01", weights=weights
    )


MEMBERS = (make_member("s1", SOUTH), make_member("s2", SOUTH), make_member("n1", NORTH))


@pytest.fixture
def status() -> FleetStatus:
    earlier = {
        VmId("s1"): make_reply("s1", 100, (make_team("a", 5, 1000),), busy=10),
        VmId("s2"): make_reply("s2", 100, (make_team("b", 2, 0),), busy=0),
    }
    later = {
        VmId("s1"): make_reply("s1", 110, (make_team("a", 4, 1600),), 40, 2000),
        VmId("s2"): make_reply(
            "s2", 110, (make_team("b", 1, 200), make_team("c", 0, 90)), 40
        ),
    }
    return summarise(Sample(100, MEMBERS, earlier), Sample(110, MEMBERS, later))


def test_unreachable_vm_is_listed(status: FleetStatus) -> None:
    reachable = {line.vm: line.reachable for line in status.vms}
    assert reachable == {"s1": True, "s2": True, "n1": False}
    assert all(line.state is MemberState.ALIVE for line in status.vms)


def test_shares_count_backlogged_teams_only(status: FleetStatus) -> None:
    shares = {s.work.team: (s.promised, s.received) for s in status.teams}
    assert shares == {"a": (0.75, 0.75), "b": (0.25, 0.25), "c": (None, None)}


def test_gap_is_the_difference_of_cost_over_weight(status: FleetStatus) -> None:
    (gap,) = status.gaps
    assert gap.gap == pytest.approx(600 / 3 - 200 / 1)


def test_utilisation_covers_the_window(status: FleetStatus) -> None:
    utilisation = {line.upstream: line.utilisation for line in status.upstreams}
    assert utilisation == {"u-s1": pytest.approx(0.75), "u-s2": pytest.approx(1.0)}


def test_traffic_is_reported_per_region_pair(status: FleetStatus) -> None:
    (line,) = [entry for entry in status.traffic if entry.bytes_per_second]
    assert (line.source, line.target, line.bytes_per_second) == (SOUTH, NORTH, 200)


def test_restarted_process_counts_from_its_start() -> None:
    before = {VmId("s1"): make_reply("s1", 100, (make_team("a", 1, 5000),))}
    after = {VmId("s1"): make_reply("s1", 110, (make_team("a", 1, 300),), started=2)}
    status = summarise(Sample(100, MEMBERS, before), Sample(110, MEMBERS, after))
    (share,) = status.teams
    assert share.work.cost == 300
    assert status.upstreams[0].utilisation is None


def test_empty_fleet_yields_an_empty_status() -> None:
    status = summarise(Sample(1, ()), Sample(1, ()))
    assert (status.vms, status.busy_while_waiting) == ((), None)
