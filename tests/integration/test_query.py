"""Tests of operators' queries over real sockets."""

import time
from collections.abc import Iterator

import msgspec
import pynng
import pytest

from oleandershift.cli import operator
from oleandershift.ids import (
    DataCentreId,
    FleetId,
    Incarnation,
    RegionId,
    RequestId,
    ServiceId,
    TeamId,
    VmId,
)
from oleandershift.io.logs import EventLog
from oleandershift.io.queries import AgentIdentity, QueryServer
from oleandershift.messages import (
    Member,
    OperatorQuery,
    OperatorReply,
    Outcome,
    ProcessId,
    QueryKind,
    Role,
    encode,
)
from standins.ports import free_port
from tests.samples import BODIES, envelope

FLEET = FleetId("oleander")
REGION = RegionId("south")
OUTCOME = Outcome(
    RequestId("r1"), TeamId("a"), ServiceId("draft"), 429, "not-run", "team-rate", 1.0
)


def make_member(vm: str, query_port: int) -> Member:
    dc = DataCentreId("dc")
    return Member(
        VmId(vm), REGION, dc, "127.0.0.1", 1, query_port, 3, 4, 5, Incarnation(1)
    )


class FakeAgent:
    """Agent that replies to queries from a fixed state and records them."""

    def __init__(self) -> None:
        self.port = free_port()
        self.queries: list[OperatorQuery] = []
        members = (make_member("vm-1", self.port), make_member("vm-2", free_port()))
        self._reply = OperatorReply(VmId("vm-1"), members=members)
        process = ProcessId(VmId("vm-1"), Role.AGENT, Incarnation(1))
        self.server = QueryServer(
            AgentIdentity(FLEET, process, REGION),
            f"tcp://127.0.0.1:{self.port}",
            self._handle_query,
            EventLog(process, REGION),
        )

    def _handle_query(self, query: OperatorQuery) -> OperatorReply:
        self.queries.append(query)
        if query.kind is QueryKind.EXPLAIN and query.subject == "r1":
            return msgspec.structs.replace(self._reply, outcomes=(OUTCOME,))
        return self._reply


@pytest.fixture
def agent() -> Iterator[FakeAgent]:
    fake = FakeAgent()
    fake.server.start()
    yield fake
    fake.server.close()


def run(agent: FakeAgent, *args: str) -> int:
    address = f"127.0.0.1:{agent.port}"
    timeout = "--timeout-seconds=0.5"
    return operator.main([*args, "--query-address", address, timeout])


def test_explain_lists_vms_that_do_not_reply(
    agent: FakeAgent, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(agent, "explain", "r1") == 0
    output = capsys.readouterr()
    assert "status 429, not-run: team-rate" in output.out
    assert "did not answer: vm-2" in output.err


def test_explain_of_unknown_request_fails(agent: FakeAgent) -> None:
    assert run(agent, "explain", "r2") == 1


def test_status_lists_unreachable_vm(
    agent: FakeAgent, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(agent, "status", "--window-seconds=1") == 0
    output = capsys.readouterr().out
    assert "1 of 2 reachable" in output
    assert "NOT REACHABLE" in output


def test_drain_is_sent_to_the_named_vm(agent: FakeAgent) -> None:
    assert run(agent, "drain", "vm-1", "--drain-seconds=60") == 0
    query = agent.queries[-1]
    assert query.kind is QueryKind.DRAIN
    assert query.deadline > time.time()


@pytest.mark.parametrize(
    ("vm", "code"),
    [("vm-2", 6), ("vm-9", 1)],
)
def test_drain_of_unreachable_or_unknown_vm_fails(
    agent: FakeAgent, vm: str, code: int
) -> None:
    assert run(agent, "drain", vm) == code


def test_unreachable_agent_gives_exit_code_6(
    capsys: pytest.CaptureFixture[str],
) -> None:
    address = f"127.0.0.1:{free_port()}"
    args = ["status", "--query-address", address, "--timeout-seconds=0.3"]
    assert operator.main(args) == 6
    assert "no agent answered" in capsys.readouterr().err


@pytest.mark.parametrize("data", [b"", b"\xff", encode(envelope(BODIES[0]))])
def test_agent_replies_after_an_invalid_query(agent: FakeAgent, data: bytes) -> None:
    with pynng.Req0(dial=f"tcp://127.0.0.1:{agent.port}") as request:
        request.send(data)
    assert run(agent, "explain", "r1") == 0
