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

VMS = 5


def team(name: str, version: int, deleted: bool = False) -> Row:
    value = b'{"name":"%s","weight":%d}' % (name.encode(), version)
    return Row(RowKind.TEAMS.value, name, version, value, deleted)


class Fleet:
    """Replications that exchange messages over a network that fails."""

    def __init__(self, members: list[Member], seed: int) -> None:
        self.members = {agent_address(member): member for member in members}
        self.rng = random.Random(seed)
        self.seed = seed
        self.now = 0.0
        self.nodes = {address: self._fresh(address) for address in self.members}
        self.flying: list[tuple[str, str, Send]] = []
        self.seen: dict[tuple[str, str], int] = {}
        self.received: list[tuple[str, str]] = []

    def accept(self, row: Row) -> None:
        """Let one agent's watch see a row."""
        address = self.rng.choice(list(self.nodes))
        self._take(address, [row])

    def list_all(self, rows: Iterable[Row]) -> None:
        """Let one agent list the platform's rows."""
        address = self.rng.choice(list(self.nodes))
        self._take(address, list(rows))
        self.nodes[address].replica.complete = True

    def restart(self) -> None:
        """Start one agent again with nothing remembered."""
        address = self.rng.choice(list(self.nodes))
        self.nodes[address] = self._fresh(address)
        self.seen = {key: v for key, v in self.seen.items() if key[0] != address}

    def deliver(self) -> None:
        """Deliver, lose or repeat one message of those under way, out of order."""
        if not self.flying:
            return
        sender, address, send = self.rng.choice(self.flying)
        if self.rng.random() < 0.8:
            self.flying.remove((sender, address, send))
        if self.rng.random() < 0.3:
            return
        self._receive(sender, address, send)

    def probe(self) -> None:
        """Let one agent tell another its digest."""
        self.now += 1.0
        one, other = self.rng.sample(list(self.nodes), 2)
        digest = self.nodes[one].digest()
        sends = self.nodes[other].on_digest(self.now, self._peer(one), digest)
        self._post(other, sends)

    def heal(self) -> None:
        """Exchange without faults until nothing is left to say."""
        for _ in range(6):
            self.probe_all()

    def probe_all(self) -> None:
        """Let every agent probe every other, without faults."""
        for one in self.nodes:
            for other in self.nodes:
                if one == other:
                    continue
                self.now += 0.2
                digest = self.nodes[one].digest()
                sends = self.nodes[other].on_digest(self.now, self._peer(one), digest)
                self._post(other, sends)
                while self.flying:
                    sender, address, send = self.flying.pop(0)
                    self._receive(sender, address, send)

    def digests(self) -> set[bytes]:
        """Return the digests of all agents."""
        return {node.digest() for node in self.nodes.values()}

    def _fresh(self, address: str) -> Replication:
        return Replication(address, self.rng.getrandbits(32))

    def _peer(self, address: str) -> PeerAddress:
        return PeerAddress(address, self.members[address].region)

    def _post(self, sender: str, sends: list[Send]) -> None:
        self.flying += [(sender, send.address, send) for send in sends]

    def _receive(self, sender: str, address: str, send: Send) -> None:
        if isinstance(send.body, RowsUpdate):
            self.received += [(address, row.name) for row in send.body.rows]
            self._take(address, list(send.body.rows))
        if isinstance(send.body, TableSummary):
            sends = self.nodes[address].on_summary(self._peer(sender), send.body)
            self._post(address, sends)

    def _take(self, address: str, rows: list[Row]) -> RowChanges:
        peers = [m for found, m in self.members.items() if found != address]
        changed = self.nodes[address].apply_rows(rows, peers)
        self._post(address, changed.sends)
        for row in changed.rows:
            newest = self.seen.get((address, row.name), 0)
            assert row.version > newest, f"seed {self.seed}: {row.name} reverts"
            self.seen[address, row.name] = row.version
        return changed


MEMBERS = tuple(make_member(i, 1, regions=1) for i in range(VMS))


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
    for node in fleet.nodes.values():
        node.replica.complete = True
    versions: dict[str, int] = {}
    newest: dict[str, Row] = {}
    for step in steps:
        if step in ("accept", "remove"):
            name = fleet.rng.choice("abc")
            versions[name] = versions.get(name, 0) + 1
            newest[name] = team(name, versions[name], step == "remove")
            fleet.accept(newest[name])
        else:
            getattr(fleet, step)()
    fleet.list_all(newest.values())
    fleet.flying.clear()
    fleet.heal()
    assert len(fleet.digests()) == 1, f"seed {seed}"
    for node in fleet.nodes.values():
        held = {row.name: row for row in node.replica.rows()}
        assert held == newest, f"seed {seed}"


def test_new_row_is_pushed_once_and_not_again(members: list[Member]) -> None:
    node = Replication("tcp://10.0.0.9:1", seed=1)
    assert len(node.apply_rows([team("a", 1)], members).sends) == 4
    assert node.apply_rows([team("a", 1)], members) == RowChanges(
        previous_digest=node.replica.digest()
    )


def test_bad_row_is_skipped_and_the_old_one_kept(members: list[Member]) -> None:
    node = Replication("tcp://10.0.0.9:1", seed=1)
    node.apply_rows([team("a", 1)], members)
    bad = Row("teams", "a", 2, b'{"name":"a","weight":-1}')
    unreadable = Row("teams", "b", 2, b"\xff")
    unknown = Row("colours", "c", 1, b"{}")
    changed = node.apply_rows([bad, unreadable, unknown, team("d", 1)], members)
    assert [row.name for row in changed.rows] == ["d"]
    assert (node.skipped_rows, len(changed.findings)) == (3, 3)
    assert node.replica.version("teams", "a") == 1


def test_fresh_agent_takes_a_large_table_from_a_peer(members: list[Member]) -> None:
    fleet = Fleet(members[:2], seed=3)
    full, fresh = fleet.nodes.values()
    rows = [team(f"t{i:05d}", 1) for i in range(6000)]
    full.replica.apply(rows, complete=True)
    fleet.probe_all()
    assert not fresh.replica.complete
    fleet.probe_all()
    assert fresh.replica.complete
    assert fresh.digest() == full.digest()


def test_agent_without_a_table_says_so(members: list[Member]) -> None:
    node = Replication("tcp://10.0.0.9:1", seed=1)
    node.apply_rows([team("a", 1)], members)
    assert node.digest() == b""


def test_only_missing_rows_are_sent(members: list[Member]) -> None:
    fleet = Fleet(members[:2], seed=3)
    one, other = fleet.nodes.values()
    rows = [team(f"t{i:05d}", 1) for i in range(3000)]
    for node in (one, other):
        node.replica.apply(rows, complete=True)
    one.replica.apply([team("t00007", 2)])
    other.replica.apply([team("t00008", 2)])
    fleet.heal()
    assert one.digest() == other.digest()
    assert {name for _, name in fleet.received} == {"t00007", "t00008"}


def test_difference_that_a_push_ends_costs_nothing(members: list[Member]) -> None:
    node = Replication("tcp://10.0.0.9:1", seed=1)
    node.replica.apply([team("a", 1)], complete=True)
    peer = PeerAddress("tcp://10.0.0.8:1", members[0].region)
    assert node.on_digest(10.0, peer, b"x" * 8) == []
    node.apply_rows([team("a", 2)], members)
    assert node.on_digest(10.6, peer, b"y" * 8) == []
    assert node.on_digest(60.0, peer, b"y" * 8) == []
    assert len(node.on_digest(60.6, peer, b"y" * 8)) == 1


def test_no_message_has_too_many_rows(members: list[Member]) -> None:
    node = Replication("tcp://10.0.0.9:1", seed=1)
    changed = node.apply_rows([team(f"t{i}", 1) for i in range(1200)], members)
    sizes = [len(s.body.rows) for s in changed.sends if isinstance(s.body, RowsUpdate)]
    assert max(sizes) == MAX_ROWS_PER_MESSAGE
