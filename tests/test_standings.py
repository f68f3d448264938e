"""What upstreams say of themselves: no work for those that want none."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st
from upstreams import make_upstream

from oleandershift.standings import (
    MAX_AWAY_SECONDS,
    MAX_LEAVING,
    MAX_RETURN_JITTER_SECONDS,
    UpstreamStandings,
    parse_away_seconds,
)

FIRST, SECOND = make_upstream("e1"), make_upstream("e2")


@pytest.fixture
def standings():
    return UpstreamStandings(random.Random(1))


@pytest.mark.parametrize(
    ("raw", "seconds"),
    [
        (b"3", 3.0),
        (b" 0.25 ", 0.25),
        (b"1e9", MAX_AWAY_SECONDS),
        (b"inf", MAX_AWAY_SECONDS),
        (None, None),
        (b"", None),
        (b"0", None),
        (b"-1", None),
        (b"nan", None),
        (b"soon", None),
        (b"\xff", None),
        (b"Fri, 04 Dec 2026 12:00:00 GMT", None),
    ],
)
def test_usable_times_are_taken_and_others_ignored(raw, seconds):
    assert parse_away_seconds(raw) == seconds


def test_leaving_upstream_accepts_nothing_until_a_later_run(standings):
    assert standings.on_leaving(FIRST.run)
    assert not standings.on_leaving(FIRST.run)
    assert standings.accepting(1e6, [FIRST, SECOND]) == [SECOND]
    reborn = replace(FIRST, incarnation=2)
    assert standings.accepting(0.0, [reborn]) == [reborn]
    assert standings.return_s(0.0, [FIRST]) is None


def test_upstream_that_turned_a_vm_away_is_back_after_its_time(standings):
    assert standings.on_turned_away(0.0, FIRST.run, 5.0)
    assert standings.accepting(4.99, [FIRST, SECOND]) == [SECOND]
    assert 5.0 <= standings.return_s(0.0, [FIRST]) <= 5.0 + MAX_RETURN_JITTER_SECONDS
    assert standings.return_s(0.0, [FIRST, SECOND]) == 0.0
    back_at = 5.0 + MAX_RETURN_JITTER_SECONDS
    assert standings.accepting(back_at, [FIRST]) == [FIRST]
    assert standings.away_count(back_at) == 0


def test_shorter_time_does_not_end_a_longer_one(standings):
    standings.on_turned_away(0.0, FIRST.run, 10.0)
    assert not standings.on_turned_away(1.0, FIRST.run, 1.0)
    assert not standings.accepts(9.9, FIRST.run)


def test_leaving_upstreams_are_limited(standings):
    for number in range(2 * MAX_LEAVING):
        standings.on_leaving(make_upstream(f"e{number}").run)
    assert standings.leaving_count() == MAX_LEAVING
    assert not standings.accepts(0.0, make_upstream(f"e{number}").run)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, 2),
            st.integers(1, 3),
            st.one_of(st.none(), st.floats(0.01, 30.0)),
            st.floats(0.0, 3.0),
        ),
        max_size=60,
    )
)
def test_no_upstream_gets_work_that_it_does_not_want_nor_is_shunned_for_good(steps):
    standings = UpstreamStandings(random.Random(1))
    now, leaving, away_until = 0.0, set(), {}
    runs = [
        make_upstream(f"e{number}").run._replace(incarnation=incarnation)
        for number in range(3)
        for incarnation in range(1, 4)
    ]
    for number, incarnation, away_s, pause_s in steps:
        now += pause_s
        run = make_upstream(f"e{number}").run._replace(incarnation=incarnation)
        if away_s is None:
            standings.on_leaving(run)
            leaving.add(run)
        else:
            standings.on_turned_away(now, run, away_s)
            away_until[run] = max(now + away_s, away_until.get(run, 0.0))
        for item in runs:
            if standings.accepts(now, item):
                assert item not in leaving
                assert away_until.get(item, 0.0) <= now
    end = now + MAX_AWAY_SECONDS
    assert all(standings.accepts(end, item) for item in runs if item not in leaving)
