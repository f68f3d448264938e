"""Tests of the virtual service registers."""

from hypothesis import given, settings, strategies as st

from oleandershift.ids import Incarnation, RegionId, Seq, TeamId, VmId
from oleandershift.messages import AllocatorTotals, ProcessId, Role
from oleandershift.totals import ServiceTotals

FIRST, SECOND = TeamId("a"), TeamId("b")


def process(vm: str) -> ProcessId:
    return ProcessId(VmId(vm), Role.ALLOCATOR, Incarnation(1))


def totals_of(vm: str) -> ServiceTotals:
    return ServiceTotals(process(vm), RegionId(vm))


def test_lift_below_the_total_changes_nothing() -> None:
    totals = totals_of("x")
    totals.charge(FIRST, 100.0)
    totals.lift(FIRST, 40.0)
    assert totals.virtual_service(FIRST) == 100.0


def test_lift_raises_the_total_to_the_floor() -> None:
    totals = totals_of("x")
    totals.charge(FIRST, 100.0)
    totals.lift(FIRST, 250.0)
    assert totals.virtual_service(FIRST) == 250.0


def test_changes_since_a_position_omit_older_entries() -> None:
    totals = totals_of("x")
    totals.charge(FIRST, 100.0)
    position = totals.position
    totals.charge(SECOND, 50.0)
    (register,) = totals.changes_since(position)
    assert [total.team for total in register.teams] == [SECOND]


def test_successor_receives_a_dead_register_from_a_peer() -> None:
    dead, peer, successor = totals_of("x"), totals_of("y"), totals_of("z")
    dead.charge(FIRST, 100.0)
    peer.merge(process("x"), dead.changes_since(Seq(0)))
    successor.merge(process("y"), peer.changes_since(Seq(0)))
    assert successor.virtual_service(FIRST) == 100.0


charges = st.lists(
    st.tuples(
        st.sampled_from("xyz"),
        st.sampled_from([FIRST, SECOND]),
        st.integers(-500, 5000),
    ),
    max_size=30,
)


@settings(print_blob=True)
@given(charges, st.randoms(use_true_random=False))
def test_merges_converge_despite_reordering_and_duplicates(charges, rng) -> None:
    writers = {name: totals_of(name) for name in "xyz"}
    sent: list[tuple[AllocatorTotals, ...]] = []
    for name, team, tokens in charges:
        writers[name].charge(team, float(tokens))
        writers[name].lift(team, float(tokens) * 2)
        sent.append(writers[name].changes_since(Seq(0)))
    readers = [totals_of("r"), totals_of("s")]
    for reader in readers:
        deliveries = sent + rng.sample(sent, len(sent) // 2)
        rng.shuffle(deliveries)
        for delivery in deliveries:
            reader.merge(process("y"), delivery)
    for team in (FIRST, SECOND):
        assert (
            abs(readers[0].virtual_service(team) - readers[1].virtual_service(team))
            < 1e-6
        )
