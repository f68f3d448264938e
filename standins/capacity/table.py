"""Cost of the table replica and of applying a change to the daemons' configuration."""

import gc
from functools import partial

from oleandershift.allocation import Allocator
from oleandershift.fair import FairPolicy
from oleandershift.ids import Incarnation, ServiceId, VmId
from oleandershift.messages import Member, ProcessId, Role, Row
from oleandershift.replica import Replica, Table
from standins.capacity.measure import Report, cpu_microseconds, slope
from standins.capacity.processes import resident_bytes
from standins.capacity.samples import NOW, make_member, region_of, rows, team_row

SCALES = ((16, 9), (550, 1200), (5500, 12_000))
VMS = 770
MIBIBYTE = 1 << 20


def _process(role: Role) -> ProcessId:
    return ProcessId(VmId("vm-0000"), role, Incarnation(1))


def _edit_cost(replica: Replica, table: Table) -> float:
    version = 1

    def edit() -> None:
        nonlocal version
        version += 1
        table.update(replica.apply((team_row(3, version),)))
        replica.digest()

    return cpu_microseconds(edit)


def _apply_rows(table_rows: list[Row]) -> None:
    Table(Replica().apply(table_rows))


def _measure_memory(teams: int, upstreams: int) -> float:
    gc.collect()
    before = resident_bytes("self")
    replica = Replica()
    replica.apply(rows(teams, upstreams), True)
    retained = (replica, Table(replica.rows()))
    gc.collect()
    growth = resident_bytes("self") - before
    del retained
    return growth / MIBIBYTE


def measure(report: Report) -> None:
    """Measure replica, digest and configuration for each table size."""
    report.begin_section("table")
    members: dict[str, Member] = {m.vm: m for m in map(make_member, range(VMS))}
    apply_points = []
    for teams, upstreams in SCALES:
        size = f"{teams} teams, {upstreams} upstreams"
        memory = _measure_memory(teams, upstreams)
        report.add(f"replica and table in memory: {size}", memory, "MiB")
        table_rows = list(rows(teams, upstreams))
        apply_microseconds = cpu_microseconds(partial(_apply_rows, table_rows), 0.5)
        apply_points.append((float(len(table_rows)), apply_microseconds))
        replica, table = Replica(), Table(table_rows)
        replica.apply(table_rows, True)
        report.add(
            f"one edit applied, digest: {size}", _edit_cost(replica, table), "us"
        )
        policy = FairPolicy(_process(Role.ROUTER), region_of(0), "tcp://10.0.0.1:7103")
        allocator = Allocator(
            ServiceId("model-0"), region_of(0), _process(Role.ALLOCATOR), "tcp://x", NOW
        )
        for name, target in (("router", policy), ("allocator", allocator)):
            call = partial(target.configure, NOW, table, members, frozenset())
            cost = cpu_microseconds(call, 0.5)
            report.add(f"{name} reconfigured after a change: {size}", cost, "us")
    report.add("whole table applied, per row", slope(apply_points), "us/row")
