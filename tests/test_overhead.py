"""Bytes of a message that are not body."""

import pytest

from oleandershift.overhead import OVERHEAD_PER_BODY_BYTE, OverheadMeter

LIMIT = 1000


@pytest.fixture
def meter():
    return OverheadMeter(LIMIT)


@pytest.mark.parametrize(("size", "is_exceeded"), [(LIMIT, False), (LIMIT + 1, True)])
def test_head_that_never_ends_exceeds_the_limit(meter, size, is_exceeded):
    for _ in range(size):
        meter.on_received(1)
    assert meter.is_exceeded == is_exceeded


def test_large_body_is_no_overhead(meter):
    meter.on_received(100 * LIMIT)
    meter.on_body(100 * LIMIT - 50)
    assert not meter.is_exceeded


def test_small_chunks_may_have_more_framing_than_body(meter):
    for _ in range(100 * LIMIT):
        meter.on_received(6)
        meter.on_body(1)
    assert not meter.is_exceeded
    meter.on_received(100 * LIMIT * OVERHEAD_PER_BODY_BYTE)
    assert meter.is_exceeded


def test_next_message_starts_anew(meter):
    meter.on_received(LIMIT + 1)
    meter.reset()
    assert not meter.is_exceeded
