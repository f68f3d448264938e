"""Quarantine: requests and parts that crash upstreams are blocked, nothing else."""

import itertools

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from oleandershift.digests import (
    CrashNotice,
    CrashRecord,
    SuspectRecord,
    decode_datagram,
    encode,
)
from oleandershift.directory import UpstreamRun
from oleandershift.ids import Fingerprint, PromptPartId, UpstreamId, VmId
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.quarantine import (
    CONFIRMATION_SECONDS,
    MAX_BLOCK_SECONDS,
    MAX_SENT_CRASHES,
    MAX_SENT_SUSPECTS,
    MAX_SUSPECTS,
    MEMORY_SECONDS,
    PROBE_SECONDS,
    SAME_EVENT_SECONDS,
    BlockChange,
    BrokenExchange,
    Quarantine,
    QuarantineLimits,
)
from oleandershift.suspects import RequestSuspects, Suspect, SuspectKind

LIMITS = QuarantineLimits(crashes=3, block_s=30.0)
MAX_FIRST_BLOCK_SECONDS = LIMITS.block_s
EXCHANGE_SECONDS = 0.05
CONTACT_SECONDS = 4.0
MAX_LATE_SENDS = 3
PACKET_BYTES = 1472
EVENT_GAP_SECONDS = 2 * SAME_EVENT_SECONDS


_requests = itertools.count()


def make_suspects(*names, request=None):
    """Return what a request with some shared parts carries; each is another one."""
    parts = tuple(PrefixPart(PromptPartId(name), 10) for name in (*names, "own"))
    fingerprint = Fingerprint(request or f"request{next(_requests)}")
    return RequestSuspects(Prompt(10 * len(parts), 10, 10, parts), lambda: fingerprint)


def part(name):
    return Suspect(SuspectKind.PART, name)


def plain(request):
    """Return what a request of a plain service carries."""
    return RequestSuspects(None, lambda: Fingerprint(request))


BAD = make_suspects("first", "bad")
SOUND = make_suspects("first", "good")


def make_quarantine(rank=0):
    return Quarantine(LIMITS, lambda now, name: rank)


@pytest.fixture
def quarantine():
    return make_quarantine()


def break_off(quarantine, now, run, suspects, request="a", sent_at=None):
    """Let an exchange break off."""
    sent_at = now - EXCHANGE_SECONDS if sent_at is None else sent_at
    exchange = BrokenExchange(run, suspects.all(), request, sent_at, now)
    quarantine.on_broken(exchange)


def crash(quarantine, now, number, *crashing, sent_at=None):
    """Let an upstream crash under some requests; return what has changed."""
    run = UpstreamRun(UpstreamId(f"e{number}"), number)
    for suspects in crashing:
        break_off(quarantine, now, run, suspects, f"a{number}", sent_at)
    quarantine.confirm(now, lambda gone: gone == run)
    return quarantine.update(now)


def all_records(quarantine, now):
    return quarantine.records(now, quarantine.suspects())


def crash_often(quarantine, suspects, count=LIMITS.crashes):
    """Let upstreams crash under a request; return the time of the last crash."""
    for number in range(count):
        crash(quarantine, number * EVENT_GAP_SECONDS, number, suspects)
    return (count - 1) * EVENT_GAP_SECONDS


def test_part_that_crashes_upstreams_is_blocked(quarantine):
    changes = []
    for number in range(LIMITS.crashes):
        now = number * EVENT_GAP_SECONDS
        assert quarantine.rejected(now, BAD) is None
        changes = crash(quarantine, now, number, BAD)
        quarantine.on_answer(now + 0.1, SOUND)
    (blocked,) = [change for change in changes if change.suspect == part("bad")]
    assert blocked.change is BlockChange.BLOCKED
    assert blocked.upstreams == ("e0", "e1", "e2")
    assert blocked.request == "a2"
    assert quarantine.rejected(now, BAD) == part("bad")
    assert quarantine.retry_after_s(now, part("bad")) >= LIMITS.block_s


def test_shared_part_is_not_blocked_with_the_one_at_fault(quarantine):
    for number in range(20):
        now = number * EVENT_GAP_SECONDS
        crash(quarantine, now, number, BAD, SOUND)
        quarantine.on_answer(now + 0.1, SOUND)
        quarantine.update(now + 0.2)
        assert quarantine.rejected(now + 0.2, SOUND) is None


def test_answer_that_began_before_the_crash_does_not_excuse_a_part(quarantine):
    for number in range(LIMITS.crashes):
        now = number * EVENT_GAP_SECONDS
        crash(quarantine, now, number, BAD)
        quarantine.on_answer(-1.0, BAD)
    assert quarantine.rejected(now, BAD) == part("first")


def test_last_part_of_a_prompt_is_never_blocked(quarantine):
    now = crash_often(quarantine, BAD)
    assert quarantine.rejected(now, make_suspects()) is None


def test_request_without_a_shared_part_crashes_three_upstreams_at_most(quarantine):
    """It was sent 20 times of 20, whatever it had crashed."""
    for suspects in (plain("r1"), make_suspects(request="r2")):
        sent = 0
        for number in range(20):
            now = number * EVENT_GAP_SECONDS
            if quarantine.rejected(now, suspects) is None:
                sent += 1
                crash(quarantine, now, f"{sent}{suspects.request.name}", suspects)
        assert sent == LIMITS.crashes


def test_request_and_its_retry_count_as_two_crashes_within_half_a_second(quarantine):
    now = 0.0
    for number, now in enumerate((0.0, 0.1, 0.2)):
        crash(quarantine, now, number, plain("r"))
    assert quarantine.rejected(now, plain("r"))


def test_copies_of_a_request_on_several_upstreams_count_each(quarantine):
    for number in range(2):
        crash(quarantine, 0.0, number, plain("r"), sent_at=-0.1)
    assert quarantine.rejected(0.0, plain("r")) is None
    crash(quarantine, 1.0, 2, plain("r"))
    assert quarantine.rejected(1.0, plain("r"))


def test_request_that_two_upstreams_crashed_under_is_not_tried_again(quarantine):
    assert quarantine.may_retry(plain("r"))
    crash(quarantine, 0.0, 1, plain("r"), plain("other"))
    assert quarantine.may_retry(plain("r"))
    crash(quarantine, 0.1, 2, plain("r"))
    assert not quarantine.may_retry(plain("r"))
    assert quarantine.may_retry(plain("other"))
    quarantine.on_answer(0.2, plain("r"))
    assert quarantine.may_retry(plain("r"))


def test_other_requests_of_a_crashed_upstream_are_cleared_by_an_answer(quarantine):
    for number in range(20):
        now = number * EVENT_GAP_SECONDS
        crash(quarantine, now, number, plain("r"), plain("popular"))
        quarantine.on_answer(now + 0.1, plain("popular"))
        quarantine.update(now + 0.2)
        assert quarantine.rejected(now + 0.2, plain("popular")) is None


def test_upstream_that_is_back_under_its_id_crashes_again(quarantine):
    run = UpstreamRun(UpstreamId("e1"), 1)
    for now in (0.0, 2.0, 4.0):
        break_off(quarantine, now, run, plain("r"))
        quarantine.confirm(now, lambda run: True)
        quarantine.update(now)
    assert quarantine.rejected(4.0, plain("r"))


def test_probes_of_all_vms_are_few_on_a_day_of_an_hour():
    vms = [make_quarantine(rank) for rank in range(7)]
    rejected, number = plain("r"), 0
    late_sends = 0
    for tick in range(int(3600 / 0.25)):
        now = tick * 0.25
        vm = vms[tick % len(vms)]
        for other in vms:
            other.update(now)
        if vm.rejected(now, rejected) is not None:
            continue
        number += 1
        late_sends += number > LIMITS.crashes and now > CONTACT_SECONDS
        vm.on_sent(now, rejected)
        crash(vm, now + EXCHANGE_SECONDS, number, rejected)
        for other in vms:
            other.merge(now + 0.2, all_records(vm, now + 0.2))
    assert 0 < late_sends <= MAX_LATE_SENDS


def test_one_vm_after_the_other_probes_when_the_first_gets_no_request():
    vms = [make_quarantine(rank) for rank in range(5)]
    for vm in vms:
        now = crash_often(vm, plain("r"))
    allowed = []
    for turn in range(4):
        at = now + MAX_FIRST_BLOCK_SECONDS + turn * PROBE_SECONDS
        for vm in vms:
            vm.update(at)
        allowed.append(sum(vm.rejected(at, plain("r")) is None for vm in vms))
        waits = [vm.retry_after_s(at, plain("r").request) for vm in vms]
        assert [wait <= 0.0 for wait in waits].count(True) == allowed[-1]
    assert allowed == [1, 2, 4, 5]


def test_rack_that_loses_power_blocks_nothing(quarantine):
    for number in range(10):
        now = number * SAME_EVENT_SECONDS / 10
        crash(quarantine, now, number, SOUND, sent_at=-0.1)
    assert quarantine.rejected(1.0, SOUND) is None


def test_part_that_crashes_all_upstreams_twice_is_blocked(quarantine):
    for number in range(LIMITS.crashes):
        crash(quarantine, 0.0, number, BAD)
    crash(quarantine, 4.0, 9, BAD)
    assert quarantine.rejected(4.0, BAD)


@pytest.mark.parametrize("delay_s", [1.0, CONFIRMATION_SECONDS + 1.0])
def test_broken_exchange_counts_only_if_its_upstream_is_gone_soon(quarantine, delay_s):
    for number in range(LIMITS.crashes):
        broken_at = number * EVENT_GAP_SECONDS
        run = UpstreamRun(UpstreamId(f"e{number}"), 1)
        break_off(quarantine, broken_at, run, BAD)
    last_at = broken_at + delay_s
    quarantine.confirm(broken_at, lambda run: False)
    quarantine.confirm(last_at, lambda run: False)
    quarantine.confirm(last_at, lambda run: True)
    quarantine.update(last_at)
    is_in_time = delay_s < CONFIRMATION_SECONDS
    assert (quarantine.rejected(last_at, BAD) is not None) == is_in_time


def test_several_broken_exchanges_of_one_upstream_count_once(quarantine):
    for number in range(10):
        run = UpstreamRun(UpstreamId("e1"), 1)
        break_off(quarantine, number * EVENT_GAP_SECONDS, run, BAD, sent_at=-0.1)
    quarantine.confirm(10.0, lambda run: True)
    quarantine.update(10.0)
    assert quarantine.rejected(10.0, BAD) is None


def test_after_a_block_one_request_at_a_time_shows_whether_the_part_is_sound(
    quarantine,
):
    crash_often(quarantine, BAD)
    now = 2.0 + MAX_FIRST_BLOCK_SECONDS
    assert {change.change for change in quarantine.update(now)} == {BlockChange.EXPIRED}
    assert quarantine.rejected(now, BAD) is None
    quarantine.on_sent(now, BAD)
    assert quarantine.rejected(now + 1.0, BAD) is not None
    assert quarantine.rejected(now + PROBE_SECONDS, BAD) is None


def test_answer_releases_a_part(quarantine):
    now = crash_often(quarantine, BAD)
    quarantine.on_answer(now + 1.0, BAD)
    changes = quarantine.update(now + 1.0)
    assert {change.change for change in changes} == {BlockChange.ANSWERED}
    assert quarantine.rejected(now + 1.0, BAD) is None


def test_probe_that_crashes_an_upstream_blocks_the_part_for_longer(quarantine):
    crash_often(quarantine, BAD)
    now = 2.0 + MAX_FIRST_BLOCK_SECONDS
    quarantine.update(now)
    quarantine.on_sent(now, BAD)
    changes = crash(quarantine, now + 0.2, 99, BAD)
    assert {change.change for change in changes} == {BlockChange.BLOCKED}
    assert quarantine.retry_after_s(now + 0.2, part("bad")) >= 2 * LIMITS.block_s


def test_part_is_forgotten_some_time_after_its_block(quarantine):
    now = crash_often(quarantine, BAD) + MAX_FIRST_BLOCK_SECONDS
    quarantine.update(now)
    assert all_records(quarantine, now)
    quarantine.update(now + MEMORY_SECONDS + 1.0)
    assert all_records(quarantine, now + MEMORY_SECONDS + 1.0) == ()


def test_crashes_that_different_vms_saw_add_up():
    vms = [make_quarantine() for _ in range(LIMITS.crashes)]
    for number, vm in enumerate(vms):
        now = number * EVENT_GAP_SECONDS
        crash(vm, now, number, BAD)
        for other in vms:
            if other is not vm:
                assert other.merge(now, all_records(vm, now))
                other.update(now)
    assert all(vm.rejected(now, BAD) for vm in vms)


def test_answer_that_another_vm_saw_releases_a_part(quarantine):
    now = crash_often(quarantine, BAD)
    other = make_quarantine()
    other.merge(now, all_records(quarantine, now))
    other.on_answer(now + 0.5, BAD)
    assert quarantine.merge(now + 1.0, all_records(other, now + 1.0))
    quarantine.update(now + 1.0)
    assert quarantine.rejected(now + 1.0, BAD) is None


@pytest.mark.parametrize("age_ms", [-3_600_000, 2**62])
def test_crash_with_an_impossible_age_blocks_nothing_for_good(quarantine, age_ms):
    crashes = tuple(
        CrashRecord(UpstreamId(f"e{number}"), 1, age_ms - 1000 * number, age_ms)
        for number in range(10)
    )
    quarantine.merge(0.0, [SuspectRecord("bad", crashes, -1)])
    quarantine.update(0.0)
    assert quarantine.retry_after_s(0.0, part("bad")) <= MAX_BLOCK_SECONDS


def test_known_records_are_no_news(quarantine):
    now = crash_often(quarantine, BAD)
    other = make_quarantine()
    assert other.merge(now, all_records(quarantine, now))
    assert not other.merge(now + 0.1, all_records(quarantine, now + 0.1))
    assert not quarantine.merge(now + 0.2, all_records(other, now + 0.2))


def test_suspects_are_limited_and_the_one_at_fault_is_kept(quarantine):
    for number in range(10 * MAX_SUSPECTS):
        now = number * EVENT_GAP_SECONDS / 100
        crash(quarantine, now, number // 50, BAD, make_suspects(f"rare{number}"))
    assert quarantine.rejected(now, BAD)
    assert len(all_records(quarantine, now)) <= MAX_SENT_SUSPECTS


def test_largest_notice_fits_into_a_packet():
    crash_record = CrashRecord(
        UpstreamId("i-0123456789"), 1_785_951_685_287, 3_600_000, 100_000
    )
    request = SuspectKind.REQUEST
    records = [
        SuspectRecord("0123456789abcdef", (), 3_600_000, request)
        for _ in range(MAX_SENT_SUSPECTS - 1)
    ]
    largest = SuspectRecord(
        "0123456789abcdef", (crash_record,) * MAX_SENT_CRASHES, 3_600_000, request
    )
    notice = CrashNotice(VmId("edge-northwest-a-15"), (largest, *records))
    assert len(encode(notice)) <= PACKET_BYTES


def test_notice_of_an_earlier_build_counts_for_a_part(quarantine):
    crashes = tuple((f"e{number}", 1, 1000 * number) for number in range(3))
    data = msgspec.msgpack.encode(
        {"type": "crashes", "vm": "vm", "records": [("bad", crashes, -1)]}
    )
    quarantine.merge(5.0, decode_datagram(data).unwrap().records)
    quarantine.update(5.0)
    assert quarantine.rejected(5.0, make_suspects("bad")) == part("bad")


SOUND_PARTS = ["s0", "s1", "s2", "s3"]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from([*SOUND_PARTS, "bad"]),
            st.floats(0.05, 3.0),
            st.booleans(),
            st.integers(0, 3),
        ),
        min_size=40,
        max_size=200,
    )
)
def test_vms_block_what_crashes_upstreams_and_shun_no_sound_part_for_good(steps):
    """Sends random requests; upstreams also crash by themselves."""
    vms = [make_quarantine() for _ in range(4)]
    now, sent_after_blocks = 0.0, 0
    for number, (part, pause_s, crashes_anyway, vm) in enumerate(steps):
        now += pause_s
        quarantine, suspects = vms[vm], make_suspects(part)
        for other in vms:
            other.update(now)
        was_known = all(other.rejected(now, make_suspects("bad")) for other in vms)
        if quarantine.rejected(now, suspects) is not None:
            continue
        quarantine.on_sent(now, suspects)
        if part == "bad" or crashes_anyway:
            sent_after_blocks += part == "bad" and was_known
            crash(quarantine, now, number, suspects)
        else:
            quarantine.on_answer(now, suspects)
        for other in vms:
            other.merge(now, all_records(quarantine, now))
    assert sent_after_blocks == 0
    now += MAX_BLOCK_SECONDS
    for quarantine in vms:
        quarantine.update(now)
        assert all(
            quarantine.rejected(now, make_suspects(part)) is None
            for part in SOUND_PARTS
        )
