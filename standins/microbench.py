"""CPU cost of the allocator's decisions, without processes or message transport."""

import argparse
import random
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec

from oleandershift.accounting import Accounting
from oleandershift.allocation import Allocator
from oleandershift.backlog import Backlog, ClientKey
from oleandershift.holdings import GrantManager
from oleandershift.ids import (
    DataCentreId,
    FleetId,
    Incarnation,
    RegionId,
    Seq,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.messages import (
    AllocatorTotals,
    Envelope,
    GrantUse,
    Member,
    ProcessId,
    Role,
    Row,
    Snapshot,
    TeamLoad,
    TeamTotal,
)
from oleandershift.remoteallocators import RemoteAllocators
from oleandershift.replica import Table
from oleandershift.rows import (
    RowKind,
    ServiceRow,
    TableRow,
    TeamRow,
    UpstreamRow,
    encode_row,
)
from oleandershift.slots import SlotTable

SERVICE = ServiceId("drafting")
LOCAL_REGION, REMOTE_REGION = RegionId("fukuoka"), RegionId("kumamoto")
NOW = 1_700_000_000.0
SLOTS = 32
CHANGED_TEAMS = 8
GRANTS = 2000
SNAPSHOTS = 300
EXCHANGES = 20
MICROSECONDS = 1e6
SIZES = (
    (16, 6, 3),
    (550, 6, 3),
    (550, 75, 70),
    (550, 80, 80),
    (5500, 6, 3),
    (5500, 75, 70),
    (5500, 80, 80),
)
"""Numbers of backlogged teams, upstreams, and routers of the region."""


class StepCosts(msgspec.Struct, frozen=True):
    """CPU time of each step at one size, microseconds.

    Parameters
    ----------
    teams, upstreams, routers : int
        Numbers of teams, all of them backlogged, upstreams and routers.
    grant : float
        Choosing team, router and upstream, charging the team and opening the grant.
    settle : float
        Closing a grant at its final cost.
    snapshot : float
        Applying a router's snapshot with eight changed teams.
    exchange : float
        Applying the totals of all teams from another region.
    """

    teams: int
    upstreams: int
    routers: int
    grant: float
    settle: float
    snapshot: float
    exchange: float


def _measure_step(step: Callable[[], object], count: int) -> float:
    started = time.process_time()
    for _ in range(count):
        step()
    return (time.process_time() - started) / count * MICROSECONDS


def _row(kind: RowKind, name: str, row: TableRow) -> Row:
    return Row(kind.value, name, 1, encode_row(row))


def _rows(teams: int, upstreams: int) -> Iterator[Row]:
    yield _row(RowKind.SERVICES, SERVICE, ServiceRow(name=SERVICE))
    for number in range(teams):
        name = TeamId(f"team-{number}")
        yield _row(RowKind.TEAMS, name, TeamRow(name=name, weight=1.0 + number % 4))
    for number in range(upstreams):
        upstream = UpstreamRow(
            name=UpstreamId(f"engine-{number}"),
            service=SERVICE,
            region=LOCAL_REGION,
            url="http://127.0.0.1:1",
            slots=SLOTS,
        )
        yield _row(RowKind.UPSTREAMS, upstream.name, upstream)


def _member(region: RegionId, number: int) -> Member:
    return Member(
        VmId(f"{region}-{number}"),
        region,
        DataCentreId(region),
        f"127.0.{int(region == REMOTE_REGION)}.{number + 1}",
        7101,
        7104,
        7102,
        7103,
        8080,
        Incarnation(1),
    )


class _AllocatorObjects:
    """The decision objects of one allocator, with every team backlogged."""

    def __init__(self, teams: int, upstreams: int, routers: int) -> None:
        process = ProcessId(VmId("fukuoka-0"), Role.ALLOCATOR, Incarnation(1))
        table = Table(_rows(teams, upstreams))
        self.backlog = Backlog()
        self.accounting = Accounting(process, LOCAL_REGION, self.backlog)
        self.slots = SlotTable()
        self.slots.set_recovering(False)
        self.grant_manager = GrantManager(
            process,
            SERVICE,
            self.backlog,
            self.accounting,
            self.slots,
            RemoteAllocators(SERVICE, LOCAL_REGION),
        )
        self.slots.configure(table.upstreams_of(SERVICE), frozenset())
        self.accounting.configure(table.teams)
        rng = random.Random(1)
        for number in range(teams):
            client = ClientKey(f"router/{rng.randrange(routers)}")
            load = TeamLoad(TeamId(f"team-{number}"), 10**6, 0, 5e8, NOW)
            self.backlog.update_load(NOW, client, False, load)

    def grant(self) -> None:
        """Grant one slot."""
        upstream = self.slots.best_upstream()
        assert upstream is not None
        team, client, remote = next(self.backlog.candidates(NOW))
        self.grant_manager.grant(NOW, client, remote, team, upstream)

    def open_grant_uses(self) -> Iterator[tuple[ClientKey, GrantUse]]:
        """Yield the final use of every open grant."""
        rng = random.Random(2)
        for client in sorted(self.grant_manager.pop_granted_clients()):
            for open_grant in self.grant_manager.unconfirmed(client):
                use = GrantUse(
                    *open_grant.key,
                    open_grant.upstream,
                    open_grant.team,
                    rng.expovariate(0.002),
                    True,
                )
                yield client, use


def _measure_grants(teams: int, upstreams: int, routers: int) -> tuple[float, float]:
    """Return the costs of opening and of closing a grant, microseconds."""
    objects = _AllocatorObjects(teams, upstreams, routers)
    count = min(GRANTS, upstreams * SLOTS)
    grant = settle = 0.0
    rounds = max(1, GRANTS // count)
    for _ in range(rounds):
        grant += _measure_step(objects.grant, count)
        uses = iter(tuple(objects.open_grant_uses()))

        def close_grant(uses: Iterator[tuple[ClientKey, GrantUse]] = uses) -> None:
            client, use = next(uses)
            objects.grant_manager.apply_use(NOW, client, False, use)

        settle += _measure_step(close_grant, count)
        objects.grant_manager.pop_events()
    return grant / rounds, settle / rounds


def _envelope(sender: ProcessId, region: RegionId, body: Snapshot) -> Envelope:
    wall_ns = int(NOW * 1e9)
    return Envelope(FleetId("oleander"), sender, wall_ns, 0, body)


def _measure_messages(teams: int, upstreams: int, routers: int) -> tuple[float, float]:
    """Return the costs of a router's snapshot and of totals from another region."""
    members = [_member(LOCAL_REGION, number) for number in range(routers)]
    members.append(_member(REMOTE_REGION, 0))
    process = ProcessId(VmId("fukuoka-0"), Role.ALLOCATOR, Incarnation(1))
    allocator = Allocator(SERVICE, LOCAL_REGION, process, "tcp://127.0.0.1:7102", NOW)
    table = Table(_rows(teams, upstreams))
    allocator.configure(
        NOW, table, {member.vm: member for member in members}, frozenset()
    )
    rng = random.Random(3)
    router = ProcessId(VmId("fukuoka-1"), Role.ROUTER, Incarnation(1))
    peer = ProcessId(VmId("kumamoto-0"), Role.ALLOCATOR, Incarnation(1))
    names = [TeamId(f"team-{number}") for number in range(teams)]
    seq = 0

    def snapshot(sender: ProcessId, region: RegionId, **fields: object) -> Envelope:
        nonlocal seq
        seq += 1
        body = Snapshot(
            SERVICE,
            sender,
            region,
            "tcp://127.0.0.2:1",
            Seq(seq - 1),
            Seq(seq),
            **fields,  # type: ignore[arg-type]
        )
        return _envelope(sender, region, body)

    def loads(count: int) -> tuple[TeamLoad, ...]:
        team_names = rng.sample(names, count)
        return tuple(
            TeamLoad(name, rng.randrange(1, 50), 1, 1e4, NOW) for name in team_names
        )

    def totals() -> tuple[AllocatorTotals, ...]:
        team_totals = [
            TeamTotal(name, Seq(seq + 1), rng.uniform(0, 1e6)) for name in names
        ]
        return (AllocatorTotals(peer, REMOTE_REGION, tuple(team_totals)),)

    allocator.on_envelope(NOW, snapshot(router, LOCAL_REGION, teams=loads(teams)))
    changes = iter(
        [
            snapshot(router, LOCAL_REGION, teams=loads(min(teams, CHANGED_TEAMS)))
            for _ in range(SNAPSHOTS)
        ]
    )
    snapshot_cost = _measure_step(
        lambda: allocator.on_envelope(NOW, next(changes)), SNAPSHOTS
    )
    seq = 0
    exchanges = iter(
        [
            snapshot(peer, REMOTE_REGION, service_totals=totals())
            for _ in range(EXCHANGES)
        ]
    )
    exchange_cost = _measure_step(
        lambda: allocator.on_envelope(NOW, next(exchanges)), EXCHANGES
    )
    return snapshot_cost, exchange_cost


def measure(teams: int, upstreams: int, routers: int) -> StepCosts:
    """Return the costs of all steps at one size."""
    grant, settle = _measure_grants(teams, upstreams, routers)
    snapshot, exchange = _measure_messages(teams, upstreams, routers)
    return StepCosts(teams, upstreams, routers, grant, settle, snapshot, exchange)


def main() -> int:
    """Measure all sizes, print a table and write a JSON file."""
    parser = argparse.ArgumentParser("standins.microbench", description=__doc__)
    parser.add_argument("--out", type=Path, default=Path("out/microbench.json"))
    cfg = parser.parse_args()
    results = [measure(*size) for size in SIZES]
    fields = StepCosts.__struct_fields__
    print("processor time in microseconds; every team is backlogged")
    print("".join(f"{name:>11}" for name in fields))
    for result in results:
        cells = msgspec.structs.astuple(result)
        print("".join(f"{cell:>11.1f}" for cell in cells))
    cfg.out.parent.mkdir(parents=True, exist_ok=True)
    cfg.out.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    print(f"written to {cfg.out}")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
