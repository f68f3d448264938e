"""Tests of membership on virtual time."""

from collections.abc import Callable

import pytest

from oleandershift.ids import Seq, VmId
from oleandershift.membership import Membership, agent_address
from oleandershift.messages import Ack, Member, MemberState, MembersView, Ping
from standins.membership_loop import MembershipLoop

FIRST = VmId("vm-0000")
LAST = VmId("vm-0008")


@pytest.fixture
def loop() -> MembershipLoop:
    settled_loop = MembershipLoop(9, seed=7)
    settled_loop.run_until_settled(30)
    return settled_loop


def test_nine_vms_discover_each_other(loop: MembershipLoop) -> None:
    assert loop.alive_members(FIRST) == set(loop.nodes)


def test_killed_vm_is_declared_dead(loop: MembershipLoop) -> None:
    loop.down.add(LAST)
    assert loop.run_until_settled(30) < 10


@pytest.mark.parametrize("seed", range(5))
def test_packet_loss_declares_no_vm_dead(seed: int) -> None:
    loop = MembershipLoop(9, seed)
    loop.run_until_settled(30)
    loop.loss_rate = 0.2
    for _ in range(60):
        loop.run(1)
        assert loop.is_settled(), f"seed {seed}"


def test_frozen_vm_rejoins_after_resuming(loop: MembershipLoop) -> None:
    loop.frozen.add(LAST)
    loop.run(30)
    assert loop.count_dead_beliefs(LAST) == 8
    loop.frozen.clear()
    loop.run_until_settled(10)


def test_resumed_vm_declares_no_other_vm_dead(loop: MembershipLoop) -> None:
    loop.frozen.add(LAST)
    loop.run(60)
    loop.frozen.clear()
    for _ in range(100):
        loop.step()
        assert loop.alive_members(LAST) == set(loop.nodes)


def test_suspicion_timeout_restarts_after_local_freeze(
    make_member: Callable[..., Member],
) -> None:
    membership = Membership(make_member("a"), (), seed=1)
    suspect = make_member("b", state=MemberState.SUSPECT)
    membership.on_tick(1.0)
    membership.on_message(1.0, VmId("c"), MembersView(Seq(1), (suspect,)))
    membership.on_tick(60.0)
    assert membership.members()[VmId("b")].state is MemberState.SUSPECT
    for i in range(100):
        membership.on_tick(60.0 + i * 0.05)
    assert membership.members()[VmId("b")].state is MemberState.DEAD


def test_vm_refutes_suspicion_after_short_freeze(loop: MembershipLoop) -> None:
    loop.frozen.add(LAST)
    loop.run(2.5)
    loop.frozen.clear()
    for _ in range(200):
        loop.step()
        assert loop.count_dead_beliefs(LAST) == 0


def test_partitions_merge_after_declaring_each_other_dead() -> None:
    loop = MembershipLoop(9, seed=7, contacts=0)
    loop.introduce_all()
    loop.partition = frozenset(VmId(f"vm-{i:04d}") for i in (0, 3, 6))
    loop.run(60)
    assert loop.count_dead_beliefs(FIRST) == 6
    loop.partition = frozenset()
    assert loop.run_until_settled(20) < 5


def test_restart_without_state_replaces_old_incarnation(loop: MembershipLoop) -> None:
    loop.down.add(LAST)
    loop.run(1)
    loop.start(8)
    loop.run(5)
    newest = loop.nodes[LAST].local_member.incarnation
    incarnations = {
        membership.members()[LAST].incarnation for membership in loop.nodes.values()
    }
    assert incarnations == {newest}


def test_stopping_vm_is_leaving_then_dead(loop: MembershipLoop) -> None:
    sends = loop.nodes[LAST].leave()
    loop.send(LAST, sends)
    loop.run(3)
    assert loop.nodes[FIRST].members()[LAST].state is MemberState.LEAVING
    loop.send(LAST, loop.nodes[LAST].stop())
    loop.down.add(LAST)
    assert loop.run_until_settled(5) < 3


def test_reported_death_only_raises_suspicion(
    make_member: Callable[..., Member],
) -> None:
    membership = Membership(make_member("a"), (), seed=1)
    membership.on_message(1.0, VmId("b"), MembersView(Seq(1), (make_member("b"),)))
    dead = make_member("b", state=MemberState.DEAD)
    membership.on_message(1.0, VmId("c"), Ack(Seq(9), VmId("c"), (dead,)))
    assert membership.members()[VmId("b")].state is MemberState.SUSPECT
    assert membership.local_view().members[1].state is MemberState.ALIVE


@pytest.mark.parametrize(
    ("update", "kept"),
    [
        ((1, MemberState.ALIVE), (2, MemberState.ALIVE)),
        ((1, MemberState.LEAVING), (2, MemberState.ALIVE)),
        ((2, MemberState.SUSPECT), (2, MemberState.SUSPECT)),
        ((2, MemberState.LEAVING), (2, MemberState.LEAVING)),
        ((3, MemberState.ALIVE), (3, MemberState.ALIVE)),
    ],
)
def test_newer_member_state_wins(
    make_member: Callable[..., Member],
    update: tuple[int, MemberState],
    kept: tuple[int, MemberState],
) -> None:
    membership = Membership(make_member("a"), (), seed=1)
    membership.on_message(1.0, VmId("b"), MembersView(Seq(1), (make_member("b", 2),)))
    member = make_member("b", *update)
    membership.on_message(1.0, VmId("b"), Ack(Seq(9), VmId("b"), (member,)))
    current = membership.members()[VmId("b")]
    assert (current.incarnation, current.state) == kept


def test_suspected_vm_refutes_with_higher_incarnation(
    make_member: Callable[..., Member],
) -> None:
    membership = Membership(make_member("a", 5), (), seed=1)
    suspicion = make_member("a", 5, MemberState.SUSPECT)
    ping = Ping(Seq(1), VmId("a"), "tcp://10.0.0.9:1", (suspicion,))
    (send,) = membership.on_message(1.0, VmId("b"), ping)
    assert isinstance(send.body, Ack)
    assert send.body.updates[0] == make_member("a", 6)


def test_refutation_does_not_change_local_view(
    make_member: Callable[..., Member],
) -> None:
    membership = Membership(make_member("a"), (), seed=1)
    view = MembersView(Seq(1), (make_member("b", 1),))
    membership.on_message(1.0, VmId("b"), view)
    seq = membership.seq
    for update in (
        make_member("b", 1, MemberState.SUSPECT),
        make_member("b", 2),
        make_member("a", 1, MemberState.SUSPECT),
    ):
        membership.on_message(1.0, VmId("c"), Ack(Seq(9), VmId("c"), (update,)))
    assert membership.seq == seq
    assert (
        membership.local_member.incarnation,
        membership.members()[VmId("b")].incarnation,
    ) == (
        2,
        2,
    )


def test_indirect_probe_and_its_ack_are_relayed(
    make_member: Callable[..., Member],
) -> None:
    membership = Membership(make_member("a"), (), seed=1)
    view = MembersView(Seq(1), (make_member("b"), make_member("c")))
    membership.on_message(1.0, VmId("b"), view)
    reply_to = agent_address(make_member("b"))
    ping = Ping(Seq(41), VmId("c"), reply_to)
    (relayed,) = membership.on_message(1.0, VmId("b"), ping)
    assert relayed.address == agent_address(make_member("c"))
    assert isinstance(relayed.body, Ping)
    ack = Ack(relayed.body.seq, VmId("c"))
    (forwarded,) = membership.on_message(1.0, VmId("c"), ack)
    assert forwarded.address == reply_to
    assert isinstance(forwarded.body, Ack)
    assert forwarded.body.seq == 41
