"""What upstreams say of themselves: no work for those that want none."""

from dataclasses import replace

import pytest
from upstreams import make_upstream

from oleandershift.standings import MAX_LEAVING, UpstreamStandings

FIRST, SECOND = make_upstream("e1"), make_upstream("e2")


@pytest.fixture
def standings():
    return UpstreamStandings()


def test_leaving_upstream_accepts_nothing_until_a_later_run(standings):
    assert standings.on_leaving(FIRST.run)
    assert not standings.on_leaving(FIRST.run)
    assert standings.accepting(1e6, [FIRST, SECOND]) == [SECOND]
    reborn = replace(FIRST, incarnation=2)
    assert standings.accepting(0.0, [reborn]) == [reborn]


def test_leaving_upstreams_are_limited(standings):
    for number in range(2 * MAX_LEAVING):
        standings.on_leaving(make_upstream(f"e{number}").run)
    assert standings.leaving_count() == MAX_LEAVING
    assert not standings.accepts(0.0, make_upstream(f"e{number}").run)
