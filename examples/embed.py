"""Share one upstream of two slots between two teams inside one program.

The library's decision objects run on the clock and loop of this program, which delivers
the messages between a router's policy and an allocator. Run it with
`python examples/embed.py`.
"""

from collections import Counter

from oleandershift import (
    Allocator,
    Envelope,
    FairPolicy,
    Member,
    QueuedRequest,
    RequestKind,
    Send,
    Start,
    Table,
)
from oleandershift.ids import (
    DataCentreId,
    FleetId,
    Incarnation,
    RegionId,
    RequestId,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.messages import ProcessId, Role, Row
from oleandershift.rows import RowKind, ServiceRow, TeamRow, UpstreamRow, encode_row

REGION, SERVICE, VM = RegionId("fukuoka"), ServiceId("drafting"), VmId("vm-1")
MEMBER = Member(
    VM, REGION, DataCentreId("dc"), "127.0.0.1", 1, 2, 3, 4, 5, Incarnation(1)
)
ROUTER = ProcessId(VM, Role.ROUTER, Incarnation(1))
ALLOCATOR = ProcessId(VM, Role.ALLOCATOR, Incarnation(1))
ROUTER_ADDRESS = f"tcp://{MEMBER.ip}:{MEMBER.router_port}"
ALLOCATOR_ADDRESS = f"tcp://{MEMBER.ip}:{MEMBER.allocator_port}"
COST_TOKENS = 100.0
REQUESTS_PER_TEAM = 300
STEP_SECONDS = 0.1
TIMEOUT_SECONDS = 300


def make_table() -> Table:
    """Return a table with a large team, a small team and one upstream."""
    rows = [
        (RowKind.SERVICES, ServiceRow(name=SERVICE)),
        (RowKind.TEAMS, TeamRow(name=TeamId("large"), weight=3)),
        (RowKind.TEAMS, TeamRow(name=TeamId("small"), weight=1)),
        (
            RowKind.UPSTREAMS,
            UpstreamRow(
                name=UpstreamId("engine"),
                service=SERVICE,
                region=REGION,
                url="http://127.0.0.1:1",
                slots=2,
            ),
        ),
    ]
    return Table(Row(kind.value, row.name, 1, encode_row(row)) for kind, row in rows)


class Program:
    """Delivers messages and runs requests, each for one step."""

    def __init__(self) -> None:
        self.now = 1_000_000.0
        self.served: Counter[str] = Counter()
        self._teams: dict[RequestId, TeamId] = {}
        self._running: list[RequestId] = []
        self._policy = FairPolicy(ROUTER, REGION, ROUTER_ADDRESS)
        self._allocator = Allocator(
            SERVICE, REGION, ALLOCATOR, ALLOCATOR_ADDRESS, self.now
        )
        members = {VM: MEMBER}
        table = make_table()
        for target in (self._policy, self._allocator):
            self._apply_actions(target.configure(self.now, table, members, frozenset()))

    def submit(self, team: TeamId, number: int) -> None:
        """Submit one request of a team."""
        request = RequestId(f"{team}-{number}")
        self._teams[request] = team
        req = QueuedRequest(request, team, SERVICE, RequestKind.QUICK, self.now)
        self._apply_actions(self._policy.submit(self.now, req))

    def step(self) -> None:
        """Advance one step: finish the running requests and grant the free slots."""
        self.now += STEP_SECONDS
        running, self._running = self._running, []
        for request in running:
            self.served[self._teams[request]] += 1
            self._apply_actions(
                self._policy.finish(self.now, request, COST_TOKENS, True)
            )
        self._apply_actions(self._allocator.on_tick(self.now))
        self._apply_actions(self._policy.on_tick(self.now))

    def _apply_actions(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Start):
                self._running.append(action.request)
            elif isinstance(action, Send):
                self._deliver(action)

    def _deliver(self, send: Send) -> None:
        to_router = send.address == ROUTER_ADDRESS
        sender = ALLOCATOR if to_router else ROUTER
        receiver = self._policy if to_router else self._allocator
        wall_ns = int(self.now * 1e9)
        message = Envelope(FleetId("f"), sender, wall_ns, 0, send.body)
        self._apply_actions(receiver.on_envelope(self.now, message))


def main() -> None:
    """Keep both teams backlogged and print how many requests of each were served."""
    program = Program()
    for number in range(REQUESTS_PER_TEAM):
        program.submit(TeamId("large"), number)
        program.submit(TeamId("small"), number)
    while (
        sum(program.served.values()) < REQUESTS_PER_TEAM
        and program.now < 1_000_000.0 + TIMEOUT_SECONDS
    ):
        program.step()
    print(f"large {program.served['large']}, small {program.served['small']}")


if __name__ == "__main__":
    main()
