"""Tests of the sender side of snapshot streams."""

import pytest

from oleandershift.ids import GrantId, Incarnation, Seq, TeamId, UpstreamId, VmId
from oleandershift.messages import GrantUse, ProcessId, Role
from oleandershift.snapshotstreams import ROUTER_INTERVALS, SnapshotStream

TEAM = TeamId("t")
ALLOCATOR = ProcessId(VmId("v"), Role.ALLOCATOR, Incarnation(7))


def make_use(done: bool = False, allocator: int = 7) -> GrantUse:
    return GrantUse(
        Incarnation(allocator), GrantId(1), UpstreamId("u"), TEAM, 5.0, done
    )


@pytest.fixture
def stream() -> SnapshotStream:
    stream = SnapshotStream(ROUTER_INTERVALS)
    stream.mark_team(TEAM)
    stream.on_ack(0.0, ALLOCATOR, Seq(0))
    stream.advance(0.0)
    return stream


def test_snapshot_is_a_delta_to_the_previous_one(stream: SnapshotStream) -> None:
    stream.update_use(make_use())
    delta = stream.advance(1.0)
    assert (delta.base, delta.seq, delta.teams) == (1, 2, ())
    assert [entry.grant for entry in delta.grants] == [1]


def test_names_known_to_the_receiver_are_omitted(stream: SnapshotStream) -> None:
    stream.update_use(make_use())
    assert stream.advance(1.0).grants[0].upstream == ""
    stream.update_use(make_use(allocator=3))
    assert stream.advance(2.0).grants[0].upstream == "u"


def test_receiver_that_lacks_a_snapshot_gets_a_full_one(stream: SnapshotStream) -> None:
    stream.update_use(make_use())
    stream.advance(1.0)
    stream.on_ack(2.0, ALLOCATOR, Seq(0))
    assert stream.is_due(2.0, working=False)
    delta = stream.advance(2.0)
    assert (delta.base, delta.teams) == (0, (TEAM,))
    assert delta.grants[0].upstream == "u"


def test_finished_use_is_kept_until_acknowledged(stream: SnapshotStream) -> None:
    stream.update_use(make_use(done=True))
    delta = stream.advance(1.0)
    assert stream.uses
    stream.on_ack(1.0, ALLOCATOR, delta.seq)
    assert not stream.uses


def test_no_heartbeat_is_due_without_work(stream: SnapshotStream) -> None:
    stream.on_ack(0.0, ALLOCATOR, Seq(1))
    assert not stream.is_due(100.0, working=False)


def test_urgent_change_is_due_sooner(stream: SnapshotStream) -> None:
    stream.mark_team(TEAM)
    soon = ROUTER_INTERVALS.urgent_seconds + 0.01
    assert not stream.is_due(soon, working=True)
    stream.mark_changed(urgent=True)
    assert stream.is_due(soon, working=True)
