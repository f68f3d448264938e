"""Detection of an event loop with too much work."""

import pytest

from oleandershift.loopdelay import (
    OVERLOAD_DELAY_SECONDS,
    OVERLOAD_SECONDS,
    LoopDelay,
)

INTERVAL_SECONDS = 0.1


@pytest.fixture
def delay():
    return LoopDelay(INTERVAL_SECONDS)


def tick_at(delay, *instants):
    for instant in instants:
        delay.tick(instant)


def test_loop_with_punctual_ticks_is_not_overloaded(delay):
    tick_at(delay, *(number * (INTERVAL_SECONDS + 0.003) for number in range(50)))
    assert not delay.is_overloaded(5.2)


def test_first_tick_is_not_late(delay):
    tick_at(delay, 1000.0)
    assert not delay.is_overloaded(1000.0)


def test_loop_is_overloaded_for_a_while_after_a_late_tick(delay):
    late = INTERVAL_SECONDS + OVERLOAD_DELAY_SECONDS + 0.01
    tick_at(delay, 0.0, late, late + INTERVAL_SECONDS)
    assert delay.is_overloaded(late + INTERVAL_SECONDS)
    assert not delay.is_overloaded(late + OVERLOAD_SECONDS)


def test_delay_of_the_latest_tick_is_reported(delay):
    tick_at(delay, 0.0, INTERVAL_SECONDS + 0.02)
    assert delay.last_s == pytest.approx(0.02)
    tick_at(delay, 2 * INTERVAL_SECONDS)
    assert delay.last_s == 0.0


def test_loop_is_overloaded_while_requests_wait_for_their_turns(delay):
    """Ticks are punctual, as few requests are begun in an iteration."""
    tick_at(delay, 0.0, INTERVAL_SECONDS)
    delay.on_wait(0.1, OVERLOAD_DELAY_SECONDS / 2)
    assert not delay.is_overloaded(0.1)
    delay.on_wait(0.2, OVERLOAD_DELAY_SECONDS)
    assert delay.is_overloaded(0.2 + OVERLOAD_SECONDS - 0.1)
    assert not delay.is_overloaded(0.2 + OVERLOAD_SECONDS)
