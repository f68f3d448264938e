"""Tests of the estimate of arrival times."""

import pytest

from oleandershift.arrivals import CATCH_UP_SECONDS, SETTLE_SECONDS, ArrivalClock

TICK_SECONDS = 0.1
RESUMED_AT = 3.0


@pytest.fixture
def clock():
    """Return a clock that ticked from 0 to 1 s."""
    clock = ArrivalClock(0.0)
    for step in range(11):
        clock.tick(step * TICK_SECONDS)
    return clock


def test_request_arrives_when_it_is_read_while_the_process_runs(clock):
    assert clock.earliest_arrival(1.05) == 1.05
    assert not clock.is_catching_up(1.05)


@pytest.mark.parametrize("ticks_first", [True, False])
def test_request_read_after_a_pause_may_have_arrived_at_its_start(clock, ticks_first):
    if ticks_first:
        clock.tick(RESUMED_AT)
    assert clock.is_catching_up(RESUMED_AT + 0.01)
    assert clock.earliest_arrival(RESUMED_AT + 0.01) == pytest.approx(1.0)


def test_process_has_caught_up_some_time_after_a_pause(clock):
    clock.tick(RESUMED_AT)
    clock.tick(RESUMED_AT + CATCH_UP_SECONDS)
    caught_up_at = RESUMED_AT + CATCH_UP_SECONDS + 0.01
    assert clock.earliest_arrival(caught_up_at) == caught_up_at


def test_request_that_comes_after_a_late_tick_does_not_count_as_waiting_since_then(
    clock,
):
    clock.tick(RESUMED_AT)
    clock.on_all_read(RESUMED_AT + 0.001)
    settled_at = RESUMED_AT + SETTLE_SECONDS
    assert clock.earliest_arrival(settled_at) == settled_at
    assert clock.earliest_arrival(settled_at - 0.001) == pytest.approx(1.0)
    assert clock.is_catching_up(settled_at)


def test_requests_may_wait_until_all_is_read_after_each_pause(clock):
    clock.tick(RESUMED_AT)
    clock.on_all_read(RESUMED_AT + 0.001)
    assert clock.tick(2 * RESUMED_AT)
    read_at = 2 * RESUMED_AT + SETTLE_SECONDS
    assert clock.earliest_arrival(read_at) == RESUMED_AT


def test_request_that_was_read_before_a_pause_did_not_arrive_in_it(clock):
    clock.tick(RESUMED_AT)
    assert clock.earliest_arrival(0.95) == 0.95
