"""Tests of which upstreams may get requests, whatever is learned in which order."""

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st
from upstreams import make_upstream

from oleandershift.directory import MAX_DEPARTED_RUNS, Directory, UpstreamState
from oleandershift.eligibility import Eligibility, Refusal
from oleandershift.standings import MAX_AWAY_SECONDS, UpstreamStandings

FIRST, SECOND = make_upstream("e1"), make_upstream("e2")
SERVICE = FIRST.service
GRACE_SECONDS = 2.4
EXPIRE_PROBABILITY = 0.3


@pytest.fixture
def eligibility():
    created = Eligibility(Directory(), UpstreamStandings(random.Random(1)))
    created.directory.replace(0.0, 2, [(1, FIRST), (2, SECOND)])
    return created


def test_upstream_that_says_that_it_leaves_is_not_eligible_until_a_later_run(
    eligibility,
):
    directory = eligibility.directory
    assert directory.on_leaving(FIRST.run)
    assert not directory.on_leaving(FIRST.run)
    assert eligibility.eligible(1e6, SERVICE) == [SECOND]
    assert eligibility.refusal(1e6, FIRST.run) is Refusal.LEAVING
    reborn = replace(FIRST, incarnation=2)
    directory.update(3, reborn)
    assert eligibility.eligible(0.0, SERVICE) == [reborn, SECOND]
    assert eligibility.refusal(0.0, reborn.run) is None
    assert eligibility.refusal(0.0, FIRST.run) is Refusal.NOT_REGISTERED


def test_no_return_is_expected_of_upstreams_that_leave(eligibility):
    for upstream in (FIRST, SECOND):
        eligibility.directory.on_leaving(upstream.run)
    assert eligibility.return_s(0.0, SERVICE) is None


def test_removed_and_turned_away_upstreams_are_refused_with_their_reason(eligibility):
    eligibility.standings.on_turned_away(0.0, SECOND.run, 5.0)
    eligibility.directory.remove(0.0, 3, FIRST.name)
    assert eligibility.eligible(0.0, SERVICE) == []
    assert eligibility.refusal(0.0, FIRST.run) is Refusal.NOT_REGISTERED
    assert eligibility.refusal(0.0, SECOND.run) is Refusal.AWAY


def test_departed_runs_are_limited(eligibility):
    directory = eligibility.directory
    runs = [make_upstream(f"x{n}").run for n in range(MAX_DEPARTED_RUNS + 10)]
    for run in runs:
        directory.on_leaving(run)
    assert not directory.on_leaving(runs[-1])
    assert directory.on_leaving(runs[0])


@settings(max_examples=300, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32))
def test_no_upstream_gets_work_that_it_does_not_want_nor_is_shunned_for_good(seed):
    """Plays responses and changes of the store late, twice and in any order."""
    rng = random.Random(seed)
    eligibility = Eligibility(
        Directory(GRACE_SECONDS), UpstreamStandings(random.Random(1))
    )
    directory, standings = eligibility.directory, eligibility.standings
    now, revision = 0.0, 1
    directory.replace(now, revision, [])
    names = [f"e{number}" for number in range(3)]
    current, left, away_until, gone_at = {}, set(), {}, {}
    written = []
    for _ in range(60):
        now += rng.uniform(0.0, 1.5)
        if rng.random() < EXPIRE_PROBABILITY:
            directory.expire(now)
        name, step = rng.choice(names), rng.random()
        run = current.get(name)
        if run is None or step < 0.15:
            revision += 1
            run = replace(make_upstream(name), incarnation=revision)
            current[name] = run
            written.append((revision, run))
            directory.update(revision, run)
        elif step < 0.3:
            revision += 1
            draining = replace(run, state=UpstreamState.DRAINING)
            written.append((revision, draining))
            directory.update(revision, draining)
            left.add(run.run)
        elif step < 0.4:
            directory.on_leaving(run.run)
            left.add(run.run)
        elif step < 0.5:
            away_s = rng.uniform(0.01, 30.0)
            standings.on_turned_away(now, run.run, away_s)
            known = away_until.get(run.run, 0.0)
            away_until[run.run] = max(now + away_s, known)
        elif step < 0.6:
            revision += 1
            directory.remove(now, revision, name)
            gone_at[run.run] = now
            del current[name]
        elif step < 0.8 and written:
            directory.update(*rng.choice(written))
        elif run.run not in left:
            # A report of before that reaches the store only now.
            revision += 1
            directory.update(revision, run)
        else:
            revision += 1
            directory.update(revision, replace(run, state=UpstreamState.READY))
        for item in eligibility.eligible(now, SERVICE):
            assert item.run not in left
            assert away_until.get(item.run, 0.0) <= now
            assert gone_at.get(item.run, now) + GRACE_SECONDS > now - 1e-9
            assert eligibility.refusal(now, item.run) is None
    end = now + MAX_AWAY_SECONDS
    directory.expire(end)
    sound = {run.run for run in current.values() if run.run not in left}
    assert {item.run for item in eligibility.eligible(end, SERVICE)} == sound
