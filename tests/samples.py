"""A valid message of every type, and a fuzzer that mutates encoded data."""

import random
from collections.abc import Iterator

from oleandershift.ids import (
    DataCentreId,
    FleetId,
    GrantId,
    Incarnation,
    RegionId,
    RequestId,
    Seq,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.messages import (
    Ack,
    AllocatorTotals,
    Body,
    DrainCommand,
    Envelope,
    Grant,
    Grants,
    GrantUse,
    Member,
    MembersView,
    OperatorQuery,
    OperatorReply,
    Outcome,
    Ping,
    ProcessId,
    QueryKind,
    Role,
    Row,
    RowsUpdate,
    RowVersion,
    Snapshot,
    StatusReport,
    Subscribe,
    TableSummary,
    TeamLoad,
    TeamStatus,
    TeamTotal,
    TeamWeight,
    TrafficCount,
    UpstreamStatus,
)

NOW = 1_790_000_000.0
FLEET = FleetId("oleander")
REGION = RegionId("south")
SERVICE = ServiceId("draft")
TEAM = TeamId("a")
UPSTREAM = UpstreamId("u1")
VM = VmId("vm-1")
ADDRESS = "tcp://127.0.0.1:9"
ROUTER = ProcessId(VM, Role.ROUTER, Incarnation(1))
ALLOCATOR = ProcessId(VM, Role.ALLOCATOR, Incarnation(1))
MEMBER = Member(
    VM, REGION, DataCentreId("dc"), "127.0.0.1", 1, 2, 3, 4, 5, Incarnation(1)
)
ROW = Row("teams", "a", 3, b'{"name":"a","weight":2}')
GRANT_USE = GrantUse(
    Incarnation(1), GrantId(7), UPSTREAM, TEAM, 30.0, True, False, 50.0
)
TOTALS = AllocatorTotals(ALLOCATOR, REGION, (TeamTotal(TEAM, Seq(1), 5.0),))
OUTCOME = Outcome(RequestId("r"), TEAM, SERVICE, 200, "ran", "", NOW, UPSTREAM)
REPORT = StatusReport(
    ROUTER,
    NOW,
    True,
    False,
    bytes(8),
    (TeamStatus(TEAM, SERVICE, 1, 2, 3.0, 4, 5),),
    (UpstreamStatus(UPSTREAM, SERVICE, 8, 3, "active", 1.0, 2.0),),
    (TrafficCount(REGION, 10, 2000),),
    (OUTCOME,),
)
BODIES: tuple[Body, ...] = (
    Ping(Seq(1), VM, ADDRESS, (MEMBER,), bytes(8)),
    Ack(Seq(1), VM, (MEMBER,), bytes(8)),
    MembersView(Seq(2), (MEMBER,), (UPSTREAM,)),
    RowsUpdate((ROW,), True),
    TableSummary(ADDRESS, bytes(8), (bytes(8),), (1,), (RowVersion("teams", "a", 3),)),
    Subscribe(ADDRESS, bytes(8), Seq(3), True),
    Snapshot(
        SERVICE,
        ROUTER,
        REGION,
        ADDRESS,
        Seq(0),
        Seq(4),
        (TeamLoad(TEAM, 3, 1, 900.0, NOW, NOW + 5),),
        (GRANT_USE,),
        False,
        (TOTALS,),
    ),
    Grants(
        SERVICE,
        REGION,
        ALLOCATOR,
        Seq(4),
        (Grant(GrantId(7), UPSTREAM, TEAM, NOW + 3, 50.0),),
    ),
    REPORT,
    DrainCommand(NOW),
    OperatorQuery(QueryKind.EXPLAIN, "r"),
    OperatorReply(
        VM,
        (MEMBER,),
        (REPORT,),
        (OUTCOME,),
        bytes(8),
        (RowVersion("teams", "a", 3),),
        "ok",
        (TeamWeight(TEAM, 2.0),),
    ),
)

_EDGE_CASE_BYTES = (
    b"\xc0",
    b"\xff",
    b"\xa1\xff",
    b"\xcf" + b"\xff" * 8,
    b"\xd3\x80" + bytes(7),
    b"\xcb\x7f\xf8" + bytes(6),
    b"\xcb\xff\xf0" + bytes(6),
    b"\xdf\xff\xff\xff\xff",
    b"\x91" * 64,
    b'"\\ud800"',
    b"1e999",
)


def envelope(body: Body, fleet: FleetId = FLEET) -> Envelope:
    """Return an envelope that contains a body."""
    return Envelope(fleet, ROUTER, int(NOW * 1e9), 0, body)


def _mutate(rng: random.Random, data: bytes) -> bytes:
    mutated = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(mutated) + 1)
        operation = rng.randrange(5)
        if operation == 0 and mutated:
            mutated[position % len(mutated)] ^= 1 << rng.randrange(8)
        elif operation == 1:
            del mutated[position : position + rng.randint(1, 8)]
        elif operation == 2:
            mutated[position:position] = rng.choice(_EDGE_CASE_BYTES)
        elif operation == 3:
            mutated[position : position + 1] = rng.choice(_EDGE_CASE_BYTES)
        else:
            mutated[position:position] = mutated[position : position + 16]
    return bytes(mutated)


def mutations(data: bytes, seed: int, count: int) -> Iterator[bytes]:
    """Yield mutated copies of encoded data; prints the seed."""
    print("seed", seed)
    rng = random.Random(seed)
    for _ in range(count):
        yield _mutate(rng, data)
