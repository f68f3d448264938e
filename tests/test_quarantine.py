"""Quarantine of prompt parts: what crashes upstreams is blocked, nothing else."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from oleandershift.digests import CrashNotice, CrashRecord, PartRecord, encode
from oleandershift.directory import UpstreamRun
from oleandershift.ids import PromptPartId, UpstreamId, VmId
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.quarantine import (
    BLOCK_JITTER,
    CONFIRMATION_SECONDS,
    MAX_SENT_CRASHES,
    MAX_SENT_PARTS,
    MAX_SUSPECTS,
    MEMORY_SECONDS,
    PROBE_SECONDS,
    SAME_EVENT_SECONDS,
    BlockChange,
    PromptQuarantine,
    QuarantineLimits,
)

LIMITS = QuarantineLimits(crashes=3, block_s=30.0)
MAX_FIRST_BLOCK_SECONDS = LIMITS.block_s * (1 + BLOCK_JITTER)
PACKET_BYTES = 1472
EVENT_GAP_SECONDS = 2 * SAME_EVENT_SECONDS


def make_prompt(*names):
    parts = tuple(PrefixPart(PromptPartId(name), 10) for name in (*names, "own"))
    return Prompt(10 * len(parts), 10, 10, parts)


BAD = make_prompt("first", "bad")
SOUND = make_prompt("first", "good")


def make_quarantine():
    return PromptQuarantine(LIMITS, random.Random(1))


@pytest.fixture
def quarantine():
    return make_quarantine()


def crash(quarantine, now, number, *prompts):
    """Let an upstream crash under some prompts; return what has changed."""
    run = UpstreamRun(UpstreamId(f"e{number}"), number)
    for prompt in prompts:
        quarantine.on_broken(now, run, prompt, f"a{number}")
    quarantine.confirm(now, lambda gone: gone == run)
    return quarantine.update(now)


def crash_often(quarantine, prompt, count=LIMITS.crashes):
    """Let upstreams crash under a prompt; return the time of the last crash."""
    for number in range(count):
        crash(quarantine, number * EVENT_GAP_SECONDS, number, prompt)
    return (count - 1) * EVENT_GAP_SECONDS


def test_part_that_crashes_upstreams_is_blocked(quarantine):
    changes = []
    for number in range(LIMITS.crashes):
        now = number * EVENT_GAP_SECONDS
        assert quarantine.rejected_part(now, BAD) is None
        changes = crash(quarantine, now, number, BAD)
        quarantine.on_answer(now + 0.1, SOUND)
    (blocked,) = [change for change in changes if change.part == "bad"]
    assert blocked.change is BlockChange.BLOCKED
    assert blocked.upstreams == ("e0", "e1", "e2")
    assert blocked.request == "a2"
    assert quarantine.rejected_part(now, BAD) == "bad"
    assert quarantine.retry_after_s(now, "bad") >= LIMITS.block_s


def test_shared_part_is_not_blocked_with_the_one_at_fault(quarantine):
    for number in range(20):
        now = number * EVENT_GAP_SECONDS
        crash(quarantine, now, number, BAD, SOUND)
        quarantine.on_answer(now + 0.1, SOUND)
        quarantine.update(now + 0.2)
        assert quarantine.rejected_part(now + 0.2, SOUND) is None


def test_answer_that_began_before_the_crash_does_not_excuse_a_part(quarantine):
    for number in range(LIMITS.crashes):
        now = number * EVENT_GAP_SECONDS
        crash(quarantine, now, number, BAD)
        quarantine.on_answer(-1.0, BAD)
    assert quarantine.rejected_part(now, BAD) == "first"


def test_last_part_of_a_prompt_is_never_blocked(quarantine):
    now = crash_often(quarantine, BAD)
    assert quarantine.rejected_part(now, make_prompt()) is None


def test_request_without_a_prompt_is_never_rejected(quarantine):
    now = crash_often(quarantine, BAD)
    quarantine.on_broken(now, UpstreamRun(UpstreamId("e"), 1), None, "a")
    assert quarantine.rejected_part(now, None) is None


def test_rack_that_loses_power_blocks_no_part(quarantine):
    for number in range(10):
        crash(quarantine, number * SAME_EVENT_SECONDS / 10, number, SOUND)
    assert quarantine.rejected_part(1.0, SOUND) is None


def test_part_that_crashes_all_upstreams_twice_is_blocked(quarantine):
    for number in range(LIMITS.crashes):
        crash(quarantine, 0.0, number, BAD)
    crash(quarantine, 4.0, 9, BAD)
    assert quarantine.rejected_part(4.0, BAD)


@pytest.mark.parametrize("delay_s", [1.0, CONFIRMATION_SECONDS + 1.0])
def test_broken_exchange_counts_only_if_its_upstream_is_gone_soon(quarantine, delay_s):
    for number in range(LIMITS.crashes):
        broken_at = number * EVENT_GAP_SECONDS
        run = UpstreamRun(UpstreamId(f"e{number}"), 1)
        quarantine.on_broken(broken_at, run, BAD, "a")
    last_at = broken_at + delay_s
    quarantine.confirm(broken_at, lambda run: False)
    quarantine.confirm(last_at, lambda run: False)
    quarantine.confirm(last_at, lambda run: True)
    quarantine.update(last_at)
    is_in_time = delay_s < CONFIRMATION_SECONDS
    assert (quarantine.rejected_part(last_at, BAD) is not None) == is_in_time


def test_several_broken_exchanges_of_one_upstream_count_once(quarantine):
    for number in range(10):
        run = UpstreamRun(UpstreamId("e1"), 1)
        quarantine.on_broken(number * EVENT_GAP_SECONDS, run, BAD, f"a{number}")
    quarantine.confirm(10.0, lambda run: True)
    quarantine.update(10.0)
    assert quarantine.rejected_part(10.0, BAD) is None


def test_after_a_block_one_request_at_a_time_shows_whether_the_part_is_sound(
    quarantine,
):
    crash_often(quarantine, BAD)
    now = 2.0 + MAX_FIRST_BLOCK_SECONDS
    assert {change.change for change in quarantine.update(now)} == {BlockChange.EXPIRED}
    assert quarantine.rejected_part(now, BAD) is None
    quarantine.on_sent(now, BAD)
    assert quarantine.rejected_part(now + 1.0, BAD) is not None
    assert quarantine.rejected_part(now + PROBE_SECONDS, BAD) is None


def test_answer_releases_a_part(quarantine):
    now = crash_often(quarantine, BAD)
    quarantine.on_answer(now + 1.0, BAD)
    changes = quarantine.update(now + 1.0)
    assert {change.change for change in changes} == {BlockChange.ANSWERED}
    assert quarantine.rejected_part(now + 1.0, BAD) is None


def test_probe_that_crashes_an_upstream_blocks_the_part_for_longer(quarantine):
    crash_often(quarantine, BAD)
    now = 2.0 + MAX_FIRST_BLOCK_SECONDS
    quarantine.update(now)
    quarantine.on_sent(now, BAD)
    changes = crash(quarantine, now + 0.2, 99, BAD)
    assert {change.change for change in changes} == {BlockChange.BLOCKED}
    assert quarantine.retry_after_s(now + 0.2, "bad") >= 2 * LIMITS.block_s


def test_part_is_forgotten_some_time_after_its_block(quarantine):
    now = crash_often(quarantine, BAD) + MAX_FIRST_BLOCK_SECONDS
    quarantine.update(now)
    assert quarantine.records(now)
    quarantine.update(now + MEMORY_SECONDS + 1.0)
    assert quarantine.records(now + MEMORY_SECONDS + 1.0) == ()


def test_crashes_that_different_vms_saw_add_up():
    vms = [make_quarantine() for _ in range(LIMITS.crashes)]
    for number, vm in enumerate(vms):
        now = number * EVENT_GAP_SECONDS
        crash(vm, now, number, BAD)
        for other in vms:
            if other is not vm:
                assert other.merge(now, vm.records(now))
                other.update(now)
    assert all(vm.rejected_part(now, BAD) for vm in vms)


def test_answer_that_another_vm_saw_releases_a_part(quarantine):
    now = crash_often(quarantine, BAD)
    other = make_quarantine()
    other.merge(now, quarantine.records(now))
    other.on_answer(now + 0.5, BAD)
    assert quarantine.merge(now + 1.0, other.records(now + 1.0))
    quarantine.update(now + 1.0)
    assert quarantine.rejected_part(now + 1.0, BAD) is None


@pytest.mark.parametrize("age_ms", [-3_600_000, 2**62])
def test_crash_with_an_impossible_age_blocks_nothing_for_good(quarantine, age_ms):
    crashes = tuple(
        CrashRecord(UpstreamId(f"e{number}"), 1, age_ms - 1000 * number)
        for number in range(10)
    )
    quarantine.merge(0.0, [PartRecord(PromptPartId("bad"), crashes, -1)])
    quarantine.update(0.0)
    assert quarantine.retry_after_s(0.0, "bad") <= 3600.0 * (1 + BLOCK_JITTER)


def test_known_records_are_no_news(quarantine):
    now = crash_often(quarantine, BAD)
    other = make_quarantine()
    assert other.merge(now, quarantine.records(now))
    assert not other.merge(now + 0.1, quarantine.records(now + 0.1))
    assert not quarantine.merge(now + 0.2, other.records(now + 0.2))


def test_suspects_are_limited_and_the_one_at_fault_is_kept(quarantine):
    for number in range(10 * MAX_SUSPECTS):
        now = number * EVENT_GAP_SECONDS / 100
        crash(quarantine, now, number // 50, BAD, make_prompt(f"rare{number}"))
    assert quarantine.rejected_part(now, BAD)
    assert len(quarantine.records(now)) <= MAX_SENT_PARTS


def test_largest_notice_fits_into_a_packet():
    crash_record = CrashRecord(UpstreamId("i-0123456789"), 1_785_951_685_287, 3_600_000)
    records = [
        PartRecord(PromptPartId("0123456789abcdef"), (), 3_600_000)
        for _ in range(MAX_SENT_PARTS - 1)
    ]
    largest = PartRecord(
        PromptPartId("0123456789abcdef"), (crash_record,) * MAX_SENT_CRASHES, 3_600_000
    )
    notice = CrashNotice(VmId("edge-northwest-a-15"), (largest, *records))
    assert len(encode(notice)) <= PACKET_BYTES


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
        quarantine, prompt = vms[vm], make_prompt(part)
        for other in vms:
            other.update(now)
        was_known = all(other.rejected_part(now, make_prompt("bad")) for other in vms)
        if quarantine.rejected_part(now, prompt) is not None:
            continue
        quarantine.on_sent(now, prompt)
        if part == "bad" or crashes_anyway:
            sent_after_blocks += part == "bad" and was_known
            crash(quarantine, now, number, prompt)
        else:
            quarantine.on_answer(now, prompt)
        for other in vms:
            other.merge(now, quarantine.records(now))
    assert sent_after_blocks == 0
    now += MAX_FIRST_BLOCK_SECONDS * 2.0 ** len(steps)
    for quarantine in vms:
        quarantine.update(now)
        assert all(
            quarantine.rejected_part(now, make_prompt(part)) is None
            for part in SOUND_PARTS
        )
