"""Tests of upstreams that want no work of a VM for a while."""

import random

import pytest
from upstreams import make_upstream

from oleandershift.standings import (
    MAX_AWAY_SECONDS,
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


def test_upstream_that_turned_a_vm_away_is_back_after_its_time(standings):
    assert standings.on_turned_away(0.0, FIRST.run, 5.0)
    assert standings.accepting(4.99, [FIRST, SECOND]) == [SECOND]
    assert 5.0 <= standings.wait_s(0.0, FIRST.run) <= 5.0 + MAX_RETURN_JITTER_SECONDS
    assert standings.wait_s(0.0, SECOND.run) == 0.0
    back_at = 5.0 + MAX_RETURN_JITTER_SECONDS
    assert standings.accepting(back_at, [FIRST]) == [FIRST]
    assert standings.away_count(back_at) == 0


def test_shorter_time_does_not_end_a_longer_one(standings):
    standings.on_turned_away(0.0, FIRST.run, 10.0)
    assert not standings.on_turned_away(1.0, FIRST.run, 1.0)
    assert not standings.accepts(9.9, FIRST.run)
