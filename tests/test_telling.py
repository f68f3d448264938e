"""Tests of the digest exchange: content, recipients and urgency of digests."""

from dataclasses import replace

import msgspec
import pytest
from hypothesis import given, strategies as st
from returns.result import Success
from storereaders import at
from upstreams import REQUEST, make_upstream

from oleandershift.absences import AbsenceProof
from oleandershift.demand import DemandMeter
from oleandershift.digests import (
    Digest,
    RemovedUpstream,
    Scope,
    decode_digest,
    encode,
)
from oleandershift.directory import UpstreamState
from oleandershift.fleetview import FleetView
from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    Seq,
    TeamId,
    VmId,
)
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.state import FleetState, LeavingReport, LeavingSource
from oleandershift.telling import (
    HUB_DISCOVERY_INTERVAL_DIGESTS,
    URGENT_CHANGE_TOKENS,
    DigestExchange,
)
from oleandershift.vmsettings import Address

LOCAL, REMOTE = DataCentreId("here"), DataCentreId("there")


def make_peer(name, data_centre=LOCAL):
    return Peer(VmId(name), data_centre, Address(name, 1))


def make_exchange(name, *peers):
    local_peer = make_peer(name)
    table = PeerTable(local_peer.vm, local_peer.data_centre)
    state = FleetState(table, FleetView(), LoadTracker(10.0), DemandMeter(4.0))
    state.peers.add_registered(0.0, peers)
    return DigestExchange(local_peer, Incarnation(1), state), state


def make_prompt(tokens):
    return Prompt(tokens, 10, 10, (PrefixPart("own", tokens),))


def exchange_between_hubs(upstreams, teams, lost_parts=()):
    """Return the table of a VM after a hub of another data centre has sent digests."""
    hub, state = make_exchange("hub", make_peer("vm", REMOTE))
    for number in range(upstreams):
        upstream = make_upstream(f"e{number:02}")
        state.loads.begin(0.0, upstream, make_prompt(100))
    for number in range(teams):
        team = TeamId(f"t{number:02}")
        state.demand.record_request(0.0, team, 1000.0 * (number + 1))
    table = PeerTable(VmId("vm"), REMOTE)
    for now in (0.0, 0.1):
        addressed = hub.next_digests(now)
        for item in addressed:
            is_lost = now > 0 and item.message.part in lost_parts
            if item.message.scope is Scope.DATA_CENTRE and not is_lost:
                table.merge(now, item.message)
    return table


@pytest.mark.parametrize(("vms", "interval_s"), [(9, 0.06), (33, 0.2), (200, 0.25)])
def test_digests_received_do_not_grow_with_the_square_of_the_fleet(vms, interval_s):
    peers = [make_peer(f"vm{number}") for number in range(vms)]
    exchange, _ = make_exchange("this", *peers)
    assert exchange.is_due(0.0)
    exchange.next_digests(0.0)
    assert not exchange.is_due(0.8 * interval_s)
    assert exchange.is_due(interval_s)


def test_only_a_hub_sends_what_it_receives():
    exchange, state = make_exchange("vm", make_peer("other"))
    assert exchange.sums_peers(0.1)
    names = [f"vm{number}" for number in range(20)]
    for name in names:
        other, _ = make_exchange(name, make_peer("vm"))
        state.peers.merge(0.1, other.next_digests(0.1)[0].message)
    assert exchange.sums_peers(0.1) == state.peers.is_hub(0.1)


@pytest.mark.parametrize("lost_parts", [(), (0,), (1,)])
def test_load_and_demand_of_a_large_data_centre_are_not_cut(lost_parts):
    table = exchange_between_hubs(56, 60, lost_parts)
    loads = table.remote_loads(0.2)
    assert len(loads) == 56
    assert {load.running for load in loads.values()} == {1}
    assert len(table.team_rates(0.2, {})) == 60
    assert table.live_count(0.2) == 2


def test_parts_that_a_digest_has_no_more_are_discarded():
    table = exchange_between_hubs(56, 60)
    hub, _ = make_exchange("hub", make_peer("vm", REMOTE))
    for _ in range(3):
        addressed = hub.next_digests(0.2)
    for item in addressed:
        if item.message.scope is Scope.DATA_CENTRE:
            table.merge(0.2, item.message)
    assert table.remote_loads(0.3) == {}


def make_data_centre_digest(data_centre, vm, seq=1):
    return Digest(
        vm=VmId(vm),
        data_centre=data_centre,
        incarnation=Incarnation(1),
        seq=Seq(seq),
        scope=Scope.DATA_CENTRE,
        vms=1,
        configuration=1,
        revision=1,
        host=vm,
        port=1,
        work=(),
        demand=(),
    )


@pytest.fixture
def exchange_with_state():
    return make_exchange("a", make_peer("b"), make_peer("x", REMOTE))


def test_digest_of_a_vm_goes_to_the_peers_in_its_data_centre(exchange_with_state):
    exchange, state = exchange_with_state
    state.loads.begin(0.0, make_upstream(), make_prompt(100))
    addressed = exchange.next_digests(0.0)[0]
    assert [peer.vm for peer in addressed.peers] == ["b"]
    assert addressed.message.scope is Scope.VM
    assert [
        (w.upstream, w.running, w.prefill_tokens) for w in addressed.message.work
    ] == [("e1", 1, 100)]


def test_hub_sends_its_summary_to_the_hub_of_another_data_centre(exchange_with_state):
    exchange, _ = exchange_with_state
    exchange.receive(0.0, make_data_centre_digest(REMOTE, "x"))
    digests = exchange.next_digests(0.0)
    assert [addressed.message.scope for addressed in digests] == [
        Scope.VM,
        Scope.DATA_CENTRE,
    ]
    assert [peer.vm for peer in digests[1].peers] == ["x"]


def test_unknown_hub_is_discovered_at_intervals(exchange_with_state):
    exchange, _ = exchange_with_state
    recipients = [
        len(exchange.next_digests(0.0)[1].peers)
        for _ in range(2 * HUB_DISCOVERY_INTERVAL_DIGESTS)
    ]
    assert sum(recipients) == 2


def test_hub_forwards_a_summary_of_another_data_centre_once(exchange_with_state):
    exchange, _ = exchange_with_state
    assert [
        peer.vm for peer in exchange.receive(0.0, make_data_centre_digest(REMOTE, "x"))
    ] == ["b"]
    assert exchange.receive(0.0, make_data_centre_digest(REMOTE, "x")) == []


def test_long_prompt_is_urgent_until_it_is_sent(exchange_with_state):
    exchange, state = exchange_with_state
    assert not exchange.is_urgent(0.0)
    state.loads.begin(0.0, make_upstream(), make_prompt(URGENT_CHANGE_TOKENS))
    assert exchange.is_urgent(0.0)
    exchange.next_digests(0.0)
    assert not exchange.is_urgent(0.0)


def test_absent_upstream_is_urgent_until_it_is_sent(exchange_with_state):
    exchange, state = exchange_with_state
    upstream = make_upstream()
    state.absences.record(0.0, upstream, AbsenceProof.CONNECTION_REFUSED)
    assert exchange.is_urgent(0.0)
    own, summary = (addressed.message for addressed in exchange.next_digests(0.0))
    assert own.absent == summary.absent == (upstream.run,)
    assert not exchange.is_urgent(0.0)


def test_hub_announces_the_absences_that_its_data_centre_found(exchange_with_state):
    exchange, state = exchange_with_state
    other, other_state = make_exchange("b", make_peer("a"))
    other_state.absences.record(0.0, make_upstream(), AbsenceProof.CONNECTION_REFUSED)
    exchange.receive(0.0, other.next_digests(0.0)[0].message)
    assert exchange.is_urgent(0.0)
    own, summary = (addressed.message for addressed in exchange.next_digests(0.0))
    assert own.absent == ()
    assert summary.absent == (make_upstream().run,)
    assert not exchange.is_urgent(0.0)


@pytest.fixture
def leaving_report():
    return LeavingReport(make_upstream().run, LeavingSource.RESPONSE, "a1")


def register(state, upstream, revision=1):
    state.view.directory.update(0.0, at(revision), upstream)


def test_leaving_upstream_is_urgent_until_it_is_sent(
    exchange_with_state, leaving_report
):
    exchange, state = exchange_with_state
    register(state, make_upstream())
    state.record_leaving(leaving_report)
    assert exchange.is_urgent(0.0)
    own, summary = (addressed.message for addressed in exchange.next_digests(0.0))
    assert own.leaving == summary.leaving == (leaving_report.run,)
    assert not exchange.is_urgent(0.0)
    assert exchange.next_digests(0.1)[0].message.leaving == (leaving_report.run,)


def make_data_centre():
    """Return the hub and another VM of a data centre, and all its exchanges."""
    peers = [make_peer(name) for name in "abcdef"]
    exchanges = {peer.vm: make_exchange(peer.vm, *peers) for peer in peers}
    for sender, state in exchanges.values():
        register(state, make_upstream())
        digest = sender.next_digests(0.0)[0].message
        for receiver, _ in exchanges.values():
            receiver.receive(0.0, digest)
    (hub,) = [vm for vm, (_, state) in exchanges.items() if state.peers.is_hub(0.0)]
    return hub, next(vm for vm in exchanges if vm != hub), exchanges


def test_leaving_upstream_is_announced_until_the_store_lists_it(leaving_report):
    _, vm, exchanges = make_data_centre()
    exchange, state = exchanges[vm]
    state.record_leaving(leaving_report)
    assert exchange.next_digests(0.1)[0].message.leaving == (leaving_report.run,)
    register(state, replace(make_upstream(), state=UpstreamState.DRAINING), 2)
    assert exchange.next_digests(0.2)[0].message.leaving == ()


def test_hub_announces_upstreams_that_the_store_lists_as_draining(exchange_with_state):
    exchange, state = exchange_with_state
    register(state, replace(make_upstream(), state=UpstreamState.DRAINING))
    assert state.peers.is_hub(0.0)
    assert exchange.is_urgent(0.0)
    own, summary = (addressed.message for addressed in exchange.next_digests(0.0))
    assert own.leaving == summary.leaving == (make_upstream().run,)
    assert not exchange.is_urgent(0.0)
    state.view.directory.remove(0.1, at(2), make_upstream().name)
    assert exchange.next_digests(0.1)[0].message.leaving == ()


def test_vm_that_is_told_of_a_leaving_upstream_sends_it_nothing_and_passes_it_on(
    leaving_report,
):
    peers = [make_peer(name) for name in "abc"]
    (told, told_state), (teller, teller_state) = (
        make_exchange(peer.vm, *peers) for peer in peers[:2]
    )
    reports = []
    told_state.on_leaving = reports.append
    for state in (told_state, teller_state):
        register(state, make_upstream())
    teller_state.record_leaving(leaving_report)
    digest = teller.next_digests(0.0)[0].message
    told.receive(0.0, digest)
    told.receive(0.1, digest)
    service = make_upstream().service
    assert told_state.eligibility.eligible(0.0, service, REQUEST) == []
    assert [(item.source, item.informant) for item in reports] == [
        (LeavingSource.DIGEST, "b")
    ]
    assert told.next_digests(0.1)[0].message.leaving == (leaving_report.run,)


def test_only_a_hub_passes_on_a_leaving_upstream_ahead_of_schedule(leaving_report):
    hub, teller, exchanges = make_data_centre()
    exchanges[teller][1].record_leaving(leaving_report)
    digest = exchanges[teller][0].next_digests(0.1)[0].message
    for vm, (exchange, _) in exchanges.items():
        exchange.receive(0.1, digest)
        assert exchange.is_urgent(0.1) == (vm == hub)


def test_digests_have_consecutive_sequence_numbers(exchange_with_state):
    exchange, _ = exchange_with_state
    assert [exchange.next_digests(0.0)[0].message.seq for _ in range(3)] == [1, 2, 3]


INTEGERS = st.integers(-(1 << 63), (1 << 64) - 1)


@given(
    age_ms=INTEGERS,
    left_ms=INTEGERS,
    revision=INTEGERS,
    incarnation=INTEGERS,
    era=INTEGERS,
)
def test_no_number_in_a_digest_keeps_a_vm_from_sending_its_own(
    age_ms, left_ms, revision, incarnation, era
):
    exchange, state = make_exchange("vm", make_peer("other"))
    upstream = replace(make_upstream(), incarnation=incarnation)
    state.view.directory.replace(0.0, at(1), [(at(1), upstream)])
    removed = RemovedUpstream(upstream.name, incarnation, revision, left_ms)
    sender, _ = make_exchange("other", make_peer("vm"))
    digest = msgspec.structs.replace(
        sender.next_digests(0.0)[0].message,
        reads_store=True,
        read_age_ms=age_ms,
        removed=(removed,),
        revision=revision,
        era=era,
    )
    received = decode_digest(encode(digest))
    if isinstance(received, Success):
        exchange.receive(0.1, received.unwrap())
    state.view.directory.expire(0.2)
    for addressed in exchange.next_digests(0.2):
        assert decode_digest(encode(addressed.message)).unwrap().vm == "vm"
