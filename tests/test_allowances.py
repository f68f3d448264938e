"""Tests of the parts of upstreams' limits that VMs may use."""

import math
import random
from dataclasses import replace

import pytest
from hypothesis import given, strategies as st
from upstreams import make_allowances, make_upstream

from oleandershift.allowances import (
    HOLDERS_BEYOND_LIMIT,
    LIMIT_TTL_SECONDS,
    MIN_FLEET_RATE,
    NEED_TTL_SECONDS,
    AnnouncedLimit,
    Fleet,
    holders,
    parse_limit,
)
from oleandershift.ids import DataCentreId, UpstreamId, VmId

UPSTREAM = make_upstream("u1")
RUN, SERVICE = UPSTREAM.run, UPSTREAM.service
LATER_RUN = replace(UPSTREAM, incarnation=UPSTREAM.incarnation + 1)


@pytest.fixture
def allowances():
    return make_allowances()


def sends_in(allowances, start, seconds, interval_s=0.01):
    """Return how many requests a VM sends that sends as many as it may."""
    sent, now = 0, start
    while now < start + seconds:
        if allowances.wait_s(now, UPSTREAM) == 0.0:
            allowances.book(now, UPSTREAM)
            sent += 1
        now += interval_s
    return sent


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ([], None),
        ([b"7"], 7.0),
        ([b"0.5"], 0.5),
        ([b"0"], 0.0),
        ([b" 7 "], 7.0),
        ([b"7", b"8"], 7.0),
        ([b"8, 7"], 7.0),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"x"], None),
        ([b""], None),
        ([b"\xff"], None),
        ([b"-1", b"7"], 7.0),
        ([b"1e30"], 1e6),
        ([b"inf"], 1e6),
        ([b"9" * 400], 1e6),
    ],
)
def test_lowest_valid_value_is_the_limit(values, limit):
    assert parse_limit(values) == limit


def test_single_vm_sends_what_the_limit_allows(allowances):
    allowances.on_answer(0.0, RUN, 7.0, sent_at=0.0)
    assert sends_in(allowances, 0.0, 10.0) == pytest.approx(70, abs=4)


def test_upstream_without_a_limit_is_not_restricted(allowances):
    allowances.on_answer(0.0, RUN, None, sent_at=0.0)
    assert allowances.wait_s(0.0, UPSTREAM) == 0.0
    assert allowances.book(0.0, UPSTREAM) is None
    assert not allowances.has_limits


def test_vm_that_saved_its_part_sends_no_burst(allowances):
    allowances.on_answer(0.0, RUN, 8.0, sent_at=0.0)
    assert allowances.wait_s(9.0, UPSTREAM) == 0.0
    assert sends_in(allowances, 9.0, 0.02) <= 4


def test_bookings_follow_each_other_at_the_rate(allowances):
    allowances.on_answer(0.0, RUN, 2.0, sent_at=0.0)
    instants = [allowances.book(0.0, UPSTREAM) for _ in range(3)]
    assert instants == pytest.approx([0.5, 1.0, 1.5])
    allowances.cancel(RUN)
    assert allowances.book(0.0, UPSTREAM) == pytest.approx(1.5)


def test_limit_ends_with_an_answer_without_it(allowances):
    assert allowances.on_answer(0.0, RUN, 2.0, sent_at=0.0)
    assert allowances.on_answer(3.0, RUN, None, sent_at=1.0)
    assert allowances.wait_s(3.0, UPSTREAM) == 0.0


def test_answer_to_an_earlier_request_does_not_end_a_limit(allowances):
    allowances.on_answer(1.0, RUN, 2.0, sent_at=0.0)
    assert not allowances.on_answer(1.1, RUN, None, sent_at=0.9)
    assert allowances.limit(1.1, RUN) == 2.0


def test_limit_that_ends_and_begins_again_allows_no_more(allowances):
    sent = 0
    for second in range(10):
        allowances.on_answer(second, RUN, 4.0, sent_at=second)
        sent += sends_in(allowances, second, 0.5)
        allowances.on_answer(second + 0.5, RUN, None, sent_at=second + 0.4)
    assert sent <= 1.5 * 4.0 * 10 * 0.5 + 5


def test_limit_of_a_run_does_not_hold_for_the_next(allowances):
    allowances.on_answer(0.0, RUN, 0.0, sent_at=0.0)
    assert allowances.wait_s(1.0, LATER_RUN) == 0.0


def test_limit_without_further_word_is_forgotten(allowances):
    allowances.on_answer(0.0, RUN, 0.0, sent_at=0.0)
    assert allowances.limit(LIMIT_TTL_SECONDS, RUN) == 0.0
    assert allowances.limit(LIMIT_TTL_SECONDS + 0.1, RUN) is None
    allowances.expire(LIMIT_TTL_SECONDS + 0.1)
    assert not allowances.has_limits


def test_upstream_that_allows_nothing_is_asked_now_and_then(allowances):
    allowances.on_answer(0.0, RUN, 0.0, sent_at=0.0)
    sent = sends_in(allowances, 0.0, 28.0, 0.1)
    assert sent == pytest.approx(28.0 * MIN_FLEET_RATE, abs=1)


@pytest.mark.parametrize("first", [0, 1])
def test_latest_word_holds_whoever_heard_it(allowances, first):
    limits = [AnnouncedLimit(RUN, 5.0, 1.0), AnnouncedLimit(RUN, None, 2.0)]
    for announced in (limits[first], limits[1 - first]):
        allowances.on_notice(announced, is_local=True)
    assert allowances.limit(3.0, RUN) is None


def test_word_of_another_vm_is_obeyed(allowances):
    assert allowances.on_notice(AnnouncedLimit(RUN, 0.0, 1.0), is_local=False)
    assert allowances.wait_s(1.1, UPSTREAM) > 0.0
    assert allowances.own_limits(1.1) == allowances.local_limits(1.1) == []
    assert [announced.limit for announced in allowances.limits(1.1)] == [0.0]


def make_fleets(names, sizes):
    """Return the fleet as each VM of a data centre sees it."""
    return {name: Fleet(frozenset(names) - {name}, dict(sizes)) for name in names}


@pytest.mark.parametrize("limit", [0.5, 2.0, 7.0, 40.0])
def test_parts_of_vms_with_different_needs_add_up_to_the_limit(limit):
    names = [VmId(f"vm{number}") for number in range(4)]
    needs = dict(zip(names, [1.0, 3.0, 10.0, 26.0], strict=True))
    vms = []
    for name, fleet in make_fleets(names, {}).items():
        vm = make_allowances(name, fleet)
        vm.on_answer(0.0, RUN, limit, sent_at=0.0)
        vms.append((vm, needs[name]))
    sent, now, rng = [], 0.0, random.Random(1)
    while now < 30.0:
        for vm, need in vms:
            if rng.random() < need * 0.05:
                vm.record_need(now, SERVICE)
                if vm.wait_s(now, UPSTREAM) == 0.0:
                    vm.book(now, UPSTREAM)
                    sent.append(now)
            others = sum(
                other.need(now, SERVICE) for other, _ in vms if other is not vm
            )
            vm.set_others_need(now, {SERVICE: others})
        now += 0.05
    settled = [item for item in sent if item >= 4.0]
    most = max(
        (sum(start <= item < start + 4.0 for item in settled) for start in settled),
        default=0,
    )
    assert most <= 1.5 * limit * 4.0 + 5
    offered = min(limit, sum(needs.values()))
    assert len(settled) / 26.0 >= 0.8 * offered


def test_need_of_a_silent_vm_counts_for_a_while(allowances):
    fleet = Fleet(frozenset({VmId("other")}))
    vm = make_allowances("vm", fleet)
    vm.on_answer(0.0, RUN, 10.0, sent_at=0.0)
    for step in range(100):
        vm.record_need(step * 0.1, SERVICE)
    vm.set_others_need(10.0, {SERVICE: 30.0})
    assert vm._part(10.0 + NEED_TTL_SECONDS, UPSTREAM, 10.0) < 0.3
    assert vm._part(10.1 + NEED_TTL_SECONDS, UPSTREAM, 10.0) == 0.5


@given(
    limit=st.floats(0.0, 60.0),
    sizes=st.lists(st.integers(1, 30), min_size=1, max_size=27),
    seed=st.integers(0, 1000),
)
def test_parts_of_a_large_fleet_add_up_to_the_limit(limit, sizes, seed):
    upstream = UpstreamId(f"u{seed}")
    by_data_centre = {DataCentreId(f"d{n}"): size for n, size in enumerate(sizes)}
    most = math.floor(limit) + HOLDERS_BEYOND_LIMIT
    if sum(sizes) <= most:
        return
    total, found = 0.0, 0
    for data_centre, size in by_data_centre.items():
        names = [VmId(f"{data_centre}-{n}") for n in range(size)]
        remote = {key: n for key, n in by_data_centre.items() if key != data_centre}
        for name, fleet in make_fleets(names, remote).items():
            count, is_holder = holders(name, data_centre, fleet, upstream, most)
            if is_holder:
                found += 1
                total += 1.0 / count
    assert 1 <= found <= most
    assert total == pytest.approx(1.0)
