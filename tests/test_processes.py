"""Tests of an agent's subscriptions and status of its VM's processes."""

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
    """An agent's replica and its local processes."""

    def __init__(self) -> None:
        self.replica = Replica()
        self.processes = LocalProcesses(self.replica)

    def apply_version(self, version: int) -> bytes:
        """Apply a row at a version and return the new digest."""
        previous_digest = self.replica.digest()
        replaced = RowVersion(*KEY, self.replica.version(*KEY))
        self.replica.apply([row(version)], complete=True)
        self.processes.record_change(previous_digest, [replaced])
        return self.replica.digest()

    def heartbeat(
        self,
        now: float,
        digest: bytes,
        role: Role = Role.ROUTER,
        incarnation: int = 1,
    ) -> list[Body]:
        """Handle a process's heartbeat and return the messages sent to it."""
        sender = ProcessId(VmId("vm"), role, Incarnation(incarnation))
        subscribe = Subscribe(f"tcp://{role.label}", digest, VIEW.seq, True)
        sends = self.processes.on_subscribe(now, sender, subscribe, VIEW)
        return [send.body for send in sends]

    def version_in_force(self) -> int:
        """Return the version in force, or 0 when it is unknown."""
        versions = self.processes.versions_in_force([KEY])
        return versions[0].version if versions else 0


@pytest.fixture
def agent() -> Agent:
    return Agent()


def test_no_rows_sent_before_table_is_complete(agent: Agent) -> None:
    agent.replica.apply([row(1)])
    assert agent.heartbeat(0.0, EMPTY_DIGEST) == []
    agent.replica.complete = True
    (send,) = agent.processes.sync_all()
    assert send.body == RowsUpdate((row(1),), complete=True)


def test_complete_empty_table_is_confirmed(agent: Agent) -> None:
    agent.replica.complete = True
    assert agent.heartbeat(0.0, EMPTY_DIGEST) == [RowsUpdate((), complete=True)]


def test_large_table_is_confirmed_only_after_digests_match(agent: Agent) -> None:
    rows = [Row("teams", f"t{i}", 1, b"{}") for i in range(1200)]
    agent.replica.apply(rows, complete=True)
    sent = agent.heartbeat(0.0, EMPTY_DIGEST)
    assert [body.complete for body in sent if isinstance(body, RowsUpdate)] == [
        False,
        False,
        False,
    ]
    confirmed = agent.heartbeat(1.0, agent.replica.digest())
    assert confirmed == [RowsUpdate((), complete=True)]


def test_rows_are_resent_only_after_second_digest_mismatch(agent: Agent) -> None:
    old = agent.apply_version(1)
    agent.heartbeat(0.0, old)
    agent.apply_version(2)
    assert agent.heartbeat(1.0, old) == []
    assert agent.heartbeat(2.0, old) == [RowsUpdate((row(2),), complete=True)]


def test_version_in_force_is_oldest_of_all_processes(agent: Agent) -> None:
    first = agent.apply_version(1)
    second = agent.apply_version(2)
    third = agent.apply_version(3)
    assert agent.version_in_force() == 3
    agent.heartbeat(0.0, third, Role.ROUTER)
    agent.heartbeat(0.0, first, Role.ALLOCATOR)
    assert agent.version_in_force() == 1
    agent.heartbeat(0.0, second, Role.ALLOCATOR)
    assert agent.version_in_force() == 2
    agent.heartbeat(0.0, b"unknown", Role.ALLOCATOR)
    assert agent.version_in_force() == 0


def test_silent_process_expires(agent: Agent) -> None:
    agent.apply_version(1)
    agent.heartbeat(0.0, b"unknown")
    assert agent.processes.expire(PROCESS_TIMEOUT_SECONDS - 1.0) == []
    assert agent.processes.expire(PROCESS_TIMEOUT_SECONDS) == ["tcp://router"]
    assert agent.version_in_force() == 1


def test_heartbeat_of_older_incarnation_is_ignored(agent: Agent) -> None:
    digest = agent.apply_version(1)
    agent.heartbeat(0.0, digest, incarnation=2)
    assert agent.heartbeat(1.0, EMPTY_DIGEST, incarnation=1) == []
    assert agent.version_in_force() == 1


def test_query_reply_comes_last_even_without_missing_rows(agent: Agent) -> None:
    digest = agent.apply_version(1)
    sender = ProcessId(VmId("vm"), Role.ROUTER, Incarnation(1))
    for process_digest in (EMPTY_DIGEST, digest):
        subscribe = Subscribe("tcp://router", process_digest, VIEW.seq, True, Seq(7))
        sends = agent.processes.on_subscribe(0.0, sender, subscribe, VIEW)
        assert sends[-1].body == RowsUpdate((), query_id=Seq(7))
