"""Feeds: how often the store is called."""

import random

import pytest
from returns.result import Failure, Success

from oleandershift.io.feed import (
    BATCH_DELAY_SECONDS,
    HUB_TIMING,
    RELAXED_TIMING,
    Feed,
    StoreCallFailed,
)
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.records import Changes, Record, Snapshot

AWAY = Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, "away"))


class FakeSource:
    """A store that answers as told and notes the waits of its watches."""

    def __init__(self):
        self.snapshots = []
        self.watches = []
        self.waits = []

    def snapshot(self, kind):
        """Return the next list."""
        return self.snapshots.pop(0)

    def watch(self, kind, revision, wait_seconds):
        """Return the next changes."""
        self.waits.append(wait_seconds)
        return self.watches.pop(0)


class Pauses:
    """Takes the pauses of a feed in place of its stop event."""

    def __init__(self):
        self.seconds = []

    def is_set(self):
        """Tell that the feed goes on."""
        return False

    def wait(self, seconds):
        """Note a pause."""
        self.seconds.append(seconds)


@pytest.fixture
def source():
    return FakeSource()


@pytest.fixture
def events():
    return []


@pytest.fixture
def feed(source, events):
    made = Feed(source, "config", events.append, random.Random(1))
    made._stopped = Pauses()
    return made


def changes(revision, *records):
    return Success(Changes(revision, records))


def test_changes_are_gathered_before_the_next_call(feed, source):
    source.snapshots = [Success(Snapshot(1, ()))]
    source.watches = [changes(2, (Record("main", 2, {}), False)), changes(2)]
    for _ in range(3):
        feed._step()
    assert feed._stopped.seconds == [BATCH_DELAY_SECONDS]


@pytest.mark.parametrize("pace", [HUB_TIMING, RELAXED_TIMING])
def test_watch_waits_as_its_pace_says(feed, source, pace):
    feed.timing = pace
    source.snapshots = [Success(Snapshot(1, ()))]
    source.watches = [changes(1)]
    feed._step()
    feed._step()
    assert source.waits == [pace.watch_timeout_s]


def test_relying_feed_calls_a_store_that_is_away_less_often(feed, source, events):
    pauses = {}
    for pace in (HUB_TIMING, RELAXED_TIMING):
        feed.timing = pace
        source.snapshots = [AWAY] * 200
        feed._stopped.seconds.clear()
        for _ in range(200):
            feed._step()
        pauses[pace] = sum(feed._stopped.seconds)
    assert pauses[RELAXED_TIMING] > 2 * pauses[HUB_TIMING]
    assert {type(event) for event in events} == {StoreCallFailed}
