"""Size of the messages between processes, and cost of encoding and decoding them."""

from collections.abc import Callable
from functools import partial

from oleandershift.ids import (
    FleetId,
    GrantId,
    Incarnation,
    RegionId,
    Seq,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.messages import (
    Body,
    Envelope,
    Grant,
    Grants,
    GrantUse,
    MembersView,
    Ping,
    ProcessId,
    Role,
    RowsUpdate,
    Snapshot,
    StatusReport,
    TeamLoad,
    TeamStatus,
    decode,
    encode,
)
from standins.capacity.measure import Report, cpu_microseconds, slope
from standins.capacity.samples import NOW, make_member, team_row

SERVICE = ServiceId("assistant")
REGION = RegionId("region-03")
PROCESS = ProcessId(VmId("vm-0123"), Role.ROUTER, Incarnation(int(NOW * 1e9)))
ADDRESS = "tcp://10.1.2.3:7103"
SIZES = (1, 10, 100, 500)


def _team(number: int) -> TeamId:
    return TeamId(f"team-{number:04d}")


def _snapshot_teams(size: int) -> Body:
    loads = tuple(TeamLoad(_team(i), 3, 2, 4100.0, NOW, 0.0) for i in range(size))
    return Snapshot(SERVICE, PROCESS, REGION, ADDRESS, Seq(7), Seq(9), loads)


def _snapshot_uses(size: int) -> Body:
    uses = tuple(
        GrantUse(
            PROCESS.incarnation,
            GrantId(70_000 + i),
            UpstreamId(f"engine-{i:05d}"),
            _team(i),
            800.0,
            True,
            False,
            500.0,
        )
        for i in range(size)
    )
    return Snapshot(SERVICE, PROCESS, REGION, ADDRESS, Seq(7), Seq(9), grants=uses)


def _grants(size: int) -> Body:
    grants = tuple(
        Grant(
            GrantId(70_000 + i),
            UpstreamId(f"engine-{i:05d}"),
            _team(i),
            NOW + 3,
            500.0,
        )
        for i in range(size)
    )
    return Grants(SERVICE, REGION, PROCESS, Seq(9), grants)


def _ping(size: int) -> Body:
    updates = tuple(make_member(i) for i in range(size))
    return Ping(Seq(7), VmId("vm-0001"), ADDRESS, updates, bytes(8))


def _members(size: int) -> Body:
    return MembersView(Seq(7), tuple(make_member(i) for i in range(size)))


def _rows(size: int) -> Body:
    return RowsUpdate(tuple(team_row(i) for i in range(size)))


def _status(size: int) -> Body:
    teams = tuple(
        TeamStatus(_team(i), SERVICE, 3, 2, 81_000.0, 120, 4) for i in range(size)
    )
    return StatusReport(PROCESS, NOW, True, False, bytes(8), teams)


KINDS: dict[str, Callable[[int], Body]] = {
    "Snapshot, per team": _snapshot_teams,
    "Snapshot, per grant use": _snapshot_uses,
    "Grants, per grant": _grants,
    "Ping, per member update": _ping,
    "MembersView, per member": _members,
    "RowsUpdate, per team row": _rows,
    "StatusReport, per team": _status,
}


def measure(report: Report) -> None:
    """Measure size and cost of each kind of message per entry."""
    report.begin_section("messages")
    for name, make_body in KINDS.items():
        sizes: list[tuple[float, float]] = []
        encoding: list[tuple[float, float]] = []
        decoding: list[tuple[float, float]] = []
        for size in SIZES:
            envelope = Envelope(
                FleetId("oleander"), PROCESS, int(NOW * 1e9), 0, make_body(size)
            )
            data = encode(envelope)
            sizes.append((size, float(len(data))))
            encoding.append((size, cpu_microseconds(partial(encode, envelope))))
            decoding.append((size, cpu_microseconds(partial(decode, data))))
        report.add(f"{name}: size", slope(sizes), "B/entry")
        report.add(f"{name}: size with one entry", sizes[0][1], "B")
        report.add(f"{name}: encode", slope(encoding), "us/entry")
        report.add(f"{name}: decode", slope(decoding), "us/entry")
