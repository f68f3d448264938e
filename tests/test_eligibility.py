"""Tests of which upstreams may get requests, whatever is learned in which order."""

import math
import random
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st
from storereaders import at
from upstreams import REQUEST, make_allowances, make_eligibility, make_upstream

from oleandershift.allowances import Fleet
from oleandershift.directory import (
    MAX_DEPARTED_RUNS,
    UNKNOWN_VERSION,
    Directory,
    UpstreamRun,
    UpstreamState,
)
from oleandershift.eligibility import Refusal, Requirements
from oleandershift.ids import Fingerprint, SoftwareVersion, UpstreamId, VmId
from oleandershift.quarantine import BrokenExchange
from oleandershift.standings import MAX_AWAY_SECONDS, UpstreamStandings
from oleandershift.suspects import RequestSuspects

FIRST, SECOND = make_upstream("e1"), make_upstream("e2")
SERVICE = FIRST.service
GRACE_SECONDS = 2.4
EXPIRE_PROBABILITY = 0.3


@pytest.fixture
def eligibility():
    created = make_eligibility(standings=UpstreamStandings(random.Random(1)))
    created.directory.replace(0.0, at(2), [(at(1), FIRST), (at(2), SECOND)])
    return created


def test_upstream_that_says_that_it_leaves_is_not_eligible_until_a_later_run(
    eligibility,
):
    directory = eligibility.directory
    assert directory.on_leaving(FIRST.run)
    assert not directory.on_leaving(FIRST.run)
    assert eligibility.eligible(1e6, SERVICE, REQUEST) == [SECOND]
    assert eligibility.refusal(1e6, FIRST.run, REQUEST) is Refusal.LEAVING
    reborn = replace(FIRST, incarnation=2)
    directory.update(0.0, at(3), reborn)
    assert eligibility.eligible(0.0, SERVICE, REQUEST) == [reborn, SECOND]
    assert eligibility.refusal(0.0, reborn.run, REQUEST) is None
    assert eligibility.refusal(0.0, FIRST.run, REQUEST) is Refusal.NOT_REGISTERED


def test_no_return_is_expected_of_upstreams_that_leave(eligibility):
    for upstream in (FIRST, SECOND):
        eligibility.directory.on_leaving(upstream.run)
    assert eligibility.return_s(0.0, SERVICE, REQUEST) is None


def test_removed_and_turned_away_upstreams_are_refused_with_their_reason(eligibility):
    eligibility.standings.on_turned_away(0.0, SECOND.run, 5.0)
    eligibility.directory.remove(0.0, at(3), FIRST.name)
    assert eligibility.eligible(0.0, SERVICE, REQUEST) == []
    assert eligibility.refusal(0.0, FIRST.run, REQUEST) is Refusal.NOT_REGISTERED
    assert eligibility.refusal(0.0, SECOND.run, REQUEST) is Refusal.AWAY


def test_departed_runs_are_limited(eligibility):
    directory = eligibility.directory
    runs = [make_upstream(f"x{n}").run for n in range(MAX_DEPARTED_RUNS + 10)]
    for run in runs:
        directory.on_leaving(run)
    assert not directory.on_leaving(runs[-1])
    assert directory.on_leaving(runs[0])


class Play:
    """Plays responses and changes of the store late, twice and in any order."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.eligibility = make_eligibility(
            Directory(GRACE_SECONDS), UpstreamStandings(random.Random(1))
        )
        self.directory = self.eligibility.directory
        self.now, self.revision = 0.0, 1
        self.directory.replace(self.now, at(self.revision), [])
        self.current, self.written = {}, []
        self.left, self.away_until, self.gone_at = set(), {}, {}

    def step(self):
        """Let one thing happen."""
        self.now += self.rng.uniform(0.0, 1.5)
        if self.rng.random() < EXPIRE_PROBABILITY:
            self.directory.expire(self.now)
        name = self.rng.choice(NAMES)
        if name not in self.current:
            self.start(name)
        else:
            action = self.rng.choice(ACTIONS)
            action(self, name)

    def write(self, upstream):
        """Write an entry to the store, and read it."""
        self.revision += 1
        self.written.append((at(self.revision), upstream))
        self.directory.update(self.now, at(self.revision), upstream)

    def start(self, name):
        """Start a run of an upstream."""
        run = replace(make_upstream(name), incarnation=self.revision + 1)
        self.current[name] = run
        self.write(run)

    def drain(self, name):
        """Let an upstream report that it drains."""
        self.left.add(self.current[name].run)
        self.write(replace(self.current[name], state=UpstreamState.DRAINING))

    def say_leaving(self, name):
        """Let a response say that its upstream leaves."""
        self.left.add(self.current[name].run)
        self.directory.on_leaving(self.current[name].run)

    def turn_away(self, name):
        """Let an upstream ask for a pause."""
        run, away_s = self.current[name].run, self.rng.uniform(0.01, 30.0)
        self.eligibility.standings.on_turned_away(self.now, run, away_s)
        known = self.away_until.get(run, 0.0)
        self.away_until[run] = max(self.now + away_s, known)

    def remove(self, name):
        """Remove an entry from the store."""
        self.revision += 1
        self.directory.remove(self.now, at(self.revision), name)
        self.gone_at[self.current.pop(name).run] = self.now

    def replay(self, name):
        """Read an old change again."""
        self.directory.update(self.now, *self.rng.choice(self.written))

    def report_late(self, name):
        """Let an earlier report reach the store only now."""
        current = self.current[name]
        earlier = [
            upstream
            for _, upstream in self.written
            if upstream.name == name
            and upstream.service == current.service
            and (upstream.run == current.run or self.is_replaced(upstream))
        ]
        self.write(self.rng.choice(earlier))

    def is_replaced(self, upstream):
        """Return whether a later run is current and known."""
        known = self.directory.get(upstream.name)
        return known is not None and known.incarnation > upstream.incarnation

    def relist(self, name):
        """Read a complete list that has what is registered."""
        self.revision += 1
        entries = [
            (at(self.revision), replace(item, state=UpstreamState.DRAINING))
            if item.run in self.left
            else (at(self.revision), item)
            for item in self.current.values()
        ]
        self.directory.replace(self.now, at(self.revision), entries)

    def check(self):
        """Check what would get requests now."""
        for item in self.eligibility.eligible(self.now, SERVICE, REQUEST):
            assert item.run not in self.left
            assert self.away_until.get(item.run, 0.0) <= self.now
            gone_at = self.gone_at.get(item.run, self.now)
            assert gone_at + GRACE_SECONDS > self.now - 1e-9
            assert self.eligibility.refusal(self.now, item.run, REQUEST) is None

    def sound(self):
        """Return the runs that ought to get requests."""
        return {item.run for item in self.current.values() if item.run not in self.left}


NAMES = tuple(f"e{number}" for number in range(3))
ACTIONS = (
    Play.start,
    Play.drain,
    Play.say_leaving,
    Play.turn_away,
    Play.remove,
    Play.replay,
    Play.report_late,
    Play.relist,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32))
def test_no_upstream_gets_work_that_it_does_not_want_nor_is_shunned_for_good(seed):
    play = Play(seed)
    for _ in range(60):
        play.step()
        play.check()
    end = play.now + MAX_AWAY_SECONDS
    play.directory.expire(end)
    eligible = {item.run for item in play.eligibility.eligible(end, SERVICE, REQUEST)}
    assert eligible == play.sound()


def test_upstream_that_takes_no_more_requests_now_is_refused_unless_booked(
    eligibility,
):
    eligibility.allowances.on_answer(0.0, FIRST.run, 2.0, sent_at=0.0)
    assert eligibility.refusal(0.0, FIRST.run, REQUEST) is Refusal.LIMITED
    assert eligibility.refusal(0.0, FIRST.run, REQUEST, is_booked=True) is None
    assert eligibility.refusal(0.5, FIRST.run, REQUEST) is None


def test_callers_learn_when_a_limit_allows_the_next_request(eligibility):
    for upstream, limit in ((FIRST, 2.0), (SECOND, 1.0)):
        eligibility.allowances.on_answer(0.0, upstream.run, limit, sent_at=0.0)
    assert eligibility.return_s(0.0, SERVICE, REQUEST) == pytest.approx(0.5)


def test_vm_that_holds_no_part_of_a_limit_names_no_endless_wait():
    """Many VMs hold no part of a small limit; others may serve the caller at once."""
    fleet = Fleet(frozenset(VmId(f"vm{number}") for number in range(200)))
    returns = []
    for number in range(200):
        allowances = make_allowances(f"vm{number}", fleet)
        created = make_eligibility(allowances=allowances)
        created.directory.replace(0.0, at(1), [(at(1), FIRST)])
        allowances.on_answer(0.0, FIRST.run, 2.0, sent_at=0.0)
        returns.append(created.return_s(0.0, SERVICE, REQUEST))
    assert returns.count(None) > 150
    assert all(math.isfinite(item) for item in returns if item is not None)


def test_request_that_crashed_upstreams_is_refused_at_each_send(eligibility):
    assert eligibility.refusal(3.0, FIRST.run, REQUEST) is None
    for number in range(3):
        now = float(number)
        gone = UpstreamRun(UpstreamId(f"gone{number}"), 1)
        broken = BrokenExchange(gone, REQUEST.suspects.all(), "a", now - 0.1, now)
        eligibility.quarantine.on_broken(broken)
        eligibility.quarantine.confirm(now, lambda run: True)
    eligibility.quarantine.update(3.0)
    other = Requirements(RequestSuspects(None, lambda: Fingerprint("other")))
    assert eligibility.refusal(3.0, FIRST.run, REQUEST) is Refusal.QUARANTINED
    assert eligibility.refusal(3.0, FIRST.run, other) is None


def test_stream_goes_on_at_its_version_alone(eligibility):
    other = replace(SECOND, version=SoftwareVersion("v2"))
    eligibility.directory.update(0.0, at(3), other)
    for version, expected in (("v1", [FIRST]), ("v2", [other]), ("", []), ("v3", [])):
        stream = Requirements(REQUEST.suspects, SoftwareVersion(version))
        assert eligibility.eligible(0.0, SERVICE, stream) == expected
        for item in (FIRST, other):
            refusal = eligibility.refusal(0.0, item.run, stream)
            assert refusal is (None if item in expected else Refusal.OTHER_VERSION)
        assert (eligibility.return_s(0.0, SERVICE, stream) is None) == (not expected)


def test_stream_of_an_upstream_without_a_version_goes_on_nowhere(eligibility):
    unknown = replace(FIRST, version=UNKNOWN_VERSION)
    eligibility.directory.update(0.0, at(3), unknown)
    stream = Requirements(REQUEST.suspects, unknown.version)
    assert eligibility.eligible(0.0, SERVICE, stream) == []
