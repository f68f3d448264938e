"""Tests of the registers of virtual service."""

from hypothesis import given, settings, strategies as st

from oleandershift.ids import Incarnation, RegionId, Seq, TeamId, VmId
from oleandershift.messages import AllocatorTotals, ProcessId, Role
from oleandershift.totals import ServiceTotals

A, B = TeamId("a"), TeamId("b")


def process(vm: str) -> ProcessId:
    return ProcessId(VmId(vm), Role.ALLOCATOR, Incarnation(1))


def made(vm: str) -> ServiceTotals:
    return ServiceTotals(process(vm), RegionId(vm))


def test_lift_never_lowers() -> None:
    totals = made("x")
    totals.charge(A, 100.0)
    totals.lift(A, 40.0)
    assert totals.virtual_service(A) == 100.0


def test_lift_raises_to_the_floor() -> None:
    totals = made("x")
    totals.charge(A, 100.0)
    totals.lift(A, 250.0)
    assert totals.virtual_service(A) == 250.0


def test_since_holds_only_changes() -> None:
    totals = made("x")
    totals.charge(A, 100.0)
    position = totals.position
    totals.charge(B, 50.0)
    (register,) = totals.changes_since(position)
    assert [total.team for total in register.teams] == [B]


def test_successor_learns_a_dead_register_from_a_peer() -> None:
    dead, peer, successor = made("x"), made("y"), made("z")
    dead.charge(A, 100.0)
    peer.merge(process("x"), dead.changes_since(Seq(0)))
    successor.merge(process("y"), peer.changes_since(Seq(0)))
    assert successor.virtual_service(A) == 100.0


charges = st.lists(
    st.tuples(st.sampled_from("xyz"), st.sampled_from([A, B]), st.integers(-500, 5000)),
    max_size=30,
)


@settings(print_blob=True)
@given(charges, st.randoms(use_true_random=False))
def test_merge_in_any_order_and_any_number_of_times(charges, rng) -> None:
    writers = {name: made(name) for name in "xyz"}
    sent: list[tuple[AllocatorTotals, ...]] = []
    for name, team, tokens in charges:
        writers[name].charge(team, float(tokens))
        writers[name].lift(team, float(tokens) * 2)
        sent.append(writers[name].changes_since(Seq(0)))
    readers = [made("r"), made("s")]
    for reader in readers:
        deliveries = sent + rng.sample(sent, len(sent) // 2)
        rng.shuffle(deliveries)
        for delivery in deliveries:
            reader.merge(process("y"), delivery)
    for team in (A, B):
        assert (
            abs(readers[0].virtual_service(team) - readers[1].virtual_service(team))
            < 1e-6
        )
