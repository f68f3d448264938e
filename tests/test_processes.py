"""Tests of what an agent knows of its VM's processes."""

import pytest

from oleandershift.ids import Incarnation, Seq, VmId
from oleandershift.messages import (
    Body,
    MembersView,
    ProcessId,
    Role,
    Row,
    RowsUpdate,
    RowVersion,
    Subscribe,
)
from oleandershift.processes import PROCESS_TIMEOUT_SECONDS, LocalProcesses
from oleandershift.replica import EMPTY_DIGEST, Replica

VIEW = MembersView(Seq(5), ())
KEY = ("teams", "a")


def row(version: int) -> Row:
    return Row("teams", "a", version, b'{"name":"a"}')


class Agent:
    """An agent's replica and processes."""

    def __init__(self) -> None:
        self.replica = Replica()
        self.processes = LocalProcesses(self.replica)

    def take(self, version: int) -> bytes:
        """Take a row at a version and return the digest after it."""
        before = self.replica.digest()
        replaced = RowVersion(*KEY, self.replica.version(*KEY))
        self.replica.apply([row(version)], complete=True)
        self.processes.record_change(before, [replaced])
        return self.replica.digest()

    def hear(
        self,
        now: float,
        digest: bytes,
        role: Role = Role.ROUTER,
        incarnation: int = 1,
    ) -> list[Body]:
        """Take a heartbeat of a process and return what it gets."""
        sender = ProcessId(VmId("vm"), role, Incarnation(incarnation))
        subscribe = Subscribe(f"tcp://{role.label}", digest, VIEW.seq, True)
        sends = self.processes.on_subscribe(now, sender, subscribe, VIEW)
        return [send.body for send in sends]

    def version(self) -> int:
        """Return the version in force; 0 when none is known to be."""
        found = self.processes.versions_in_force([KEY])
        return found[0].version if found else 0


@pytest.fixture
def agent() -> Agent:
    return Agent()


def test_nothing_is_given_before_the_table_is_whole(agent: Agent) -> None:
    agent.replica.apply([row(1)])
    assert agent.hear(0.0, EMPTY_DIGEST) == []
    agent.replica.complete = True
    (send,) = agent.processes.sync_all()
    assert send.body == RowsUpdate((row(1),), complete=True)


def test_whole_empty_table_is_confirmed(agent: Agent) -> None:
    agent.replica.complete = True
    assert agent.hear(0.0, EMPTY_DIGEST) == [RowsUpdate((), complete=True)]


def test_large_table_is_called_whole_only_after_equal_digests(agent: Agent) -> None:
    rows = [Row("teams", f"t{i}", 1, b"{}") for i in range(1200)]
    agent.replica.apply(rows, complete=True)
    sent = agent.hear(0.0, EMPTY_DIGEST)
    assert [body.complete for body in sent if isinstance(body, RowsUpdate)] == [
        False,
        False,
        False,
    ]
    confirmed = agent.hear(1.0, agent.replica.digest())
    assert confirmed == [RowsUpdate((), complete=True)]


def test_push_under_way_is_not_repeated_at_once(agent: Agent) -> None:
    old = agent.take(1)
    agent.hear(0.0, old)
    agent.take(2)
    assert agent.hear(1.0, old) == []
    assert agent.hear(2.0, old) == [RowsUpdate((row(2),), complete=True)]


def test_version_in_force_is_the_least_advanced_process_s(agent: Agent) -> None:
    first = agent.take(1)
    second = agent.take(2)
    third = agent.take(3)
    assert agent.version() == 3
    agent.hear(0.0, third, Role.ROUTER)
    agent.hear(0.0, first, Role.ALLOCATOR)
    assert agent.version() == 1
    agent.hear(0.0, second, Role.ALLOCATOR)
    assert agent.version() == 2
    agent.hear(0.0, b"unknown", Role.ALLOCATOR)
    assert agent.version() == 0


def test_silent_process_is_forgotten(agent: Agent) -> None:
    agent.take(1)
    agent.hear(0.0, b"unknown")
    assert agent.processes.expire(PROCESS_TIMEOUT_SECONDS - 1.0) == []
    assert agent.processes.expire(PROCESS_TIMEOUT_SECONDS) == ["tcp://router"]
    assert agent.version() == 1


def test_heartbeat_of_an_earlier_run_does_nothing(agent: Agent) -> None:
    digest = agent.take(1)
    agent.hear(0.0, digest, incarnation=2)
    assert agent.hear(1.0, EMPTY_DIGEST, incarnation=1) == []
    assert agent.version() == 1


def test_query_is_answered_last_even_when_nothing_is_lacking(agent: Agent) -> None:
    digest = agent.take(1)
    sender = ProcessId(VmId("vm"), Role.ROUTER, Incarnation(1))
    for held in (EMPTY_DIGEST, digest):
        subscribe = Subscribe("tcp://router", held, VIEW.seq, True, Seq(7))
        sends = agent.processes.on_subscribe(0.0, sender, subscribe, VIEW)
        assert sends[-1].body == RowsUpdate((), query_id=Seq(7))
