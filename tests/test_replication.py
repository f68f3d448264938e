"""Tests of replication between agents on virtual time."""

import random
from collections.abc import Iterable

import pytest
from hypothesis import given, settings, strategies as st

from oleandershift.dispatch import Send
from oleandershift.membership import agent_address
from oleandershift.messages import Member, Row, RowsUpdate, TableSummary
from oleandershift.replication import (
    MAX_ROWS_PER_MESSAGE,
    PeerAddress,
    Replication,
    RowChanges,
)
from oleandershift.rows import RowKind
from standins.membership_loop import make_member

VM_COUNT = 5


def team_row(name: str, version: int, deleted: bool = False) -> Row:
    value = b'{"name":"%s","weight":%d}' % (name.encode(), version)
    return Row(RowKind.TEAMS.value, name, version, value, deleted)


class Fleet:
    """Replicas that exchange messages over an unreliable network."""

    def __init__(self, members: list[Member], seed: int) -> None:
        self.members = {agent_address(member): member for member in members}
        self.rng = random.Random(seed)
        self.seed = seed
        self.now = 0.0
        self.agents = {
            address: self._new_replication(address) for address in self.members
        }
        self.in_flight: list[tuple[str, str, Send]] = []
        self.applied_versions: dict[tuple[str, str], int] = {}
        self.received: list[tuple[str, str]] = []

    def accept(self, row: Row) -> None:
        """Apply a row from the platform's watch at one random agent."""
        address = self.rng.choice(list(self.agents))
        self._apply(address, [row])

    def list_platform_rows(self, rows: Iterable[Row]) -> None:
        """Apply a full listing of the platform's rows at one random agent."""
        address = self.rng.choice(list(self.agents))
        self._apply(address, list(rows))
        self.agents[address].replica.complete = True

    def restart(self) -> None:
        """Restart one random agent without any state."""
        address = self.rng.choice(list(self.agents))
        self.agents[address] = self._new_replication(address)
        self.applied_versions = {
            key: v for key, v in self.applied_versions.items() if key[0] != address
        }

    def deliver(self) -> None:
        """Deliver, lose or duplicate a random message in flight."""
        if not self.in_flight:
            return
        sender, address, send = self.rng.choice(self.in_flight)
        if self.rng.random() < 0.8:
            self.in_flight.remove((sender, address, send))
        if self.rng.random() < 0.3:
            return
        self._receive(sender, address, send)

    def probe(self) -> None:
        """Send one random agent's digest to another."""
        self.now += 1.0
        prober, target = self.rng.sample(list(self.agents), 2)
        digest = self.agents[prober].digest()
        sends = self.agents[target].on_digest(self.now, self._peer(prober), digest)
        self._enqueue(target, sends)

    def heal(self) -> None:
        """Exchange digests without faults until all replicas should be equal."""
        for _ in range(6):
            self.probe_all()

    def probe_all(self) -> None:
        """Make every agent probe every other one, without faults."""
        for prober in self.agents:
            for target in self.agents:
                if prober == target:
                    continue
                self.now += 0.2
                digest = self.agents[prober].digest()
                sends = self.agents[target].on_digest(
                    self.now, self._peer(prober), digest
                )
                self._enqueue(target, sends)
                while self.in_flight:
                    sender, address, send = self.in_flight.pop(0)
                    self._receive(sender, address, send)

    def digests(self) -> set[bytes]:
        """Return the digests of all agents."""
        return {agent.digest() for agent in self.agents.values()}

    def _new_replication(self, address: str) -> Replication:
        return Replication(address, self.rng.getrandbits(32))

    def _peer(self, address: str) -> PeerAddress:
        return PeerAddress(address, self.members[address].region)

    def _enqueue(self, sender: str, sends: list[Send]) -> None:
        self.in_flight += [(sender, send.address, send) for send in sends]

    def _receive(self, sender: str, address: str, send: Send) -> None:
        if isinstance(send.body, RowsUpdate):
            self.received += [(address, row.name) for row in send.body.rows]
            self._apply(address, list(send.body.rows))
        if isinstance(send.body, TableSummary):
            sends = self.agents[address].on_summary(self._peer(sender), send.body)
            self._enqueue(address, sends)

    def _apply(self, address: str, rows: list[Row]) -> RowChanges:
        peers = [m for other, m in self.members.items() if other != address]
        changed = self.agents[address].apply_rows(rows, peers)
        self._enqueue(address, changed.sends)
        for row in changed.rows:
            latest = self.applied_versions.get((address, row.name), 0)
            assert row.version > latest, f"seed {self.seed}: {row.name} reverts"
            self.applied_versions[address, row.name] = row.version
        return changed


MEMBERS = tuple(make_member(i, 1, regions=1) for i in range(VM_COUNT))


@pytest.fixture
def members() -> list[Member]:
    return list(MEMBERS)


STEPS = st.lists(
    st.sampled_from(["accept", "remove", "restart", "probe", *["deliver"] * 6]),
    max_size=120,
)


@settings(max_examples=150, deadline=None, print_blob=True)
@given(steps=STEPS, seed=st.integers(0, 1 << 16))
def test_versions_never_revert_and_agents_agree_after_healing(
    steps: list[str], seed: int
) -> None:
    fleet = Fleet(list(MEMBERS), seed)
    for agent in fleet.agents.values():
        agent.replica.complete = True
    versions: dict[str, int] = {}
    newest: dict[str, Row] = {}
    for step in steps:
        if step in ("accept", "remove"):
            name = fleet.rng.choice("abc")
            versions[name] = versions.get(name, 0) + 1
            newest[name] = team_row(name, versions[name], step == "remove")
            fleet.accept(newest[name])
        else:
            getattr(fleet, step)()
    fleet.list_platform_rows(newest.values())
    fleet.in_flight.clear()
    fleet.heal()
    assert len(fleet.digests()) == 1, f"seed {seed}"
    for agent in fleet.agents.values():
        rows = {row.name: row for row in agent.replica.rows()}
        assert rows == newest, f"seed {seed}"


def test_new_row_is_pushed_only_once(members: list[Member]) -> None:
    replication = Replication("tcp://10.0.0.9:1", seed=1)
    assert len(replication.apply_rows([team_row("a", 1)], members).sends) == 4
    assert replication.apply_rows([team_row("a", 1)], members) == RowChanges(
        previous_digest=replication.replica.digest()
    )


def test_invalid_row_is_skipped_and_old_version_kept(members: list[Member]) -> None:
    replication = Replication("tcp://10.0.0.9:1", seed=1)
    replication.apply_rows([team_row("a", 1)], members)
    bad = Row("teams", "a", 2, b'{"name":"a","weight":-1}')
    unreadable = Row("teams", "b", 2, b"\xff")
    unknown = Row("colours", "c", 1, b"{}")
    changed = replication.apply_rows(
        [bad, unreadable, unknown, team_row("d", 1)], members
    )
    assert [row.name for row in changed.rows] == ["d"]
    assert (replication.skipped_rows, len(changed.findings)) == (3, 3)
    assert replication.replica.version("teams", "a") == 1


def test_new_agent_copies_large_table_from_peer(members: list[Member]) -> None:
    fleet = Fleet(members[:2], seed=3)
    full, fresh = fleet.agents.values()
    rows = [team_row(f"t{i:05d}", 1) for i in range(6000)]
    full.replica.apply(rows, complete=True)
    fleet.probe_all()
    assert not fresh.replica.complete
    fleet.probe_all()
    assert fresh.replica.complete
    assert fresh.digest() == full.digest()


def test_incomplete_table_has_empty_digest(members: list[Member]) -> None:
    replication = Replication("tcp://10.0.0.9:1", seed=1)
    replication.apply_rows([team_row("a", 1)], members)
    assert replication.digest() == b""


def test_only_missing_rows_are_sent(members: list[Member]) -> None:
    fleet = Fleet(members[:2], seed=3)
    first, second = fleet.agents.values()
    rows = [team_row(f"t{i:05d}", 1) for i in range(3000)]
    for agent in (first, second):
        agent.replica.apply(rows, complete=True)
    first.replica.apply([team_row("t00007", 2)])
    second.replica.apply([team_row("t00008", 2)])
    fleet.heal()
    assert first.digest() == second.digest()
    assert {name for _, name in fleet.received} == {"t00007", "t00008"}


def test_short_difference_does_not_start_comparison(members: list[Member]) -> None:
    replication = Replication("tcp://10.0.0.9:1", seed=1)
    replication.replica.apply([team_row("a", 1)], complete=True)
    peer = PeerAddress("tcp://10.0.0.8:1", members[0].region)
    assert replication.on_digest(10.0, peer, b"x" * 8) == []
    replication.apply_rows([team_row("a", 2)], members)
    assert replication.on_digest(10.6, peer, b"y" * 8) == []
    assert replication.on_digest(60.0, peer, b"y" * 8) == []
    assert len(replication.on_digest(60.6, peer, b"y" * 8)) == 1


def test_messages_do_not_exceed_row_limit(members: list[Member]) -> None:
    replication = Replication("tcp://10.0.0.9:1", seed=1)
    changed = replication.apply_rows(
        [team_row(f"t{i}", 1) for i in range(1200)], members
    )
    sizes = [len(s.body.rows) for s in changed.sends if isinstance(s.body, RowsUpdate)]
    assert max(sizes) == MAX_ROWS_PER_MESSAGE
