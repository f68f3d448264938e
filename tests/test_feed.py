"""Timing of a feed's calls to the store."""

import random
import time
from dataclasses import replace

import pytest
from returns.result import Failure, Success

from oleandershift.io.feed import (
    BATCH_DELAY_SECONDS,
    HUB_TIMING,
    RELAXED_TIMING,
    Feed,
    SnapshotRead,
    StoreCallFailed,
)
from oleandershift.neighbours import StoreRole
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.records import Changes, Record, Snapshot, StorePosition

UNAVAILABLE = Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, "away"))


class FakeStore:
    """Store that returns prepared results and records the wait of each watch."""

    era = 0

    def __init__(self):
        self.snapshots = []
        self.watches = []
        self.waits = []

    def snapshot(self, kind):
        """Return the next prepared snapshot."""
        return self.snapshots.pop(0)

    def watch(self, kind, revision, wait_seconds):
        """Return the next prepared changes."""
        self.waits.append(wait_seconds)
        return self.watches.pop(0)


class FakeStopEvent:
    """Stop event of a feed that records the pauses instead of waiting."""

    def __init__(self):
        self.pauses = []

    def is_set(self):
        """Return that the feed is not stopped."""
        return False

    def wait(self, seconds):
        """Record a pause in seconds."""
        self.pauses.append(seconds)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def events():
    return []


@pytest.fixture
def feed(clock, store, events):
    new_feed = Feed(store, "config", events.append, random.Random(1))
    new_feed._stopped = FakeStopEvent()
    return new_feed


def changes(revision, *records):
    return Success(Changes(revision, records))


def test_feed_pauses_after_a_watch_with_changes(feed, store):
    store.snapshots = [Success(Snapshot(1, ()))]
    store.watches = [changes(2, (Record("main", 2, {}), False)), changes(2)]
    for _ in range(3):
        feed._step()
    assert feed._stopped.pauses == [BATCH_DELAY_SECONDS]


@pytest.mark.parametrize("timing_profile", [HUB_TIMING, RELAXED_TIMING])
def test_watch_uses_the_timeout_of_the_timing(feed, store, timing_profile):
    feed.timing = timing_profile
    store.snapshots = [Success(Snapshot(1, ()))]
    store.watches = [changes(1)]
    feed._step()
    feed._step()
    assert store.waits == [timing_profile.watch_timeout_s]


def test_relaxed_feed_retries_an_unavailable_store_less_often(feed, store, events):
    pauses = {}
    for timing_profile in (HUB_TIMING, RELAXED_TIMING):
        feed.timing = timing_profile
        store.snapshots = [UNAVAILABLE] * 200
        feed._stopped.pauses.clear()
        for _ in range(200):
            feed._step()
        pauses[timing_profile] = sum(feed._stopped.pauses)
    assert pauses[RELAXED_TIMING] > 2 * pauses[HUB_TIMING]
    assert {type(event) for event in events} == {StoreCallFailed}


class CountingStore(FakeStore):
    """Store without changes that counts its calls."""

    def snapshot(self, kind):
        """Return an empty list."""
        self.snapshots.append(kind)
        return Success(Snapshot(1, ()))

    def watch(self, kind, revision, wait_seconds):
        """Return no changes after a moment."""
        self.waits.append(wait_seconds)
        time.sleep(0.01)
        return changes(revision)


@pytest.fixture
def running_feed(clock, events):
    new_feed = Feed(CountingStore(), "config", events.append, random.Random(1))
    new_feed.set_role(StoreRole.FOLLOWER)
    new_feed.start()
    yield new_feed
    new_feed.stop()


def test_follower_lists_once_and_does_not_watch(running_feed):
    time.sleep(0.2)
    assert len(running_feed._store.snapshots) == 1
    assert running_feed._store.waits == []


def test_vm_that_becomes_a_reader_asks_at_once(running_feed):
    time.sleep(0.1)
    running_feed.set_role(StoreRole.STANDBY)
    time.sleep(0.1)
    assert running_feed._store.waits[:2] == [0.0, RELAXED_TIMING.watch_timeout_s]


def test_unexpected_error_does_not_end_a_feed(feed, store, events):
    feed._step()  # The store has no prepared snapshot and raises an error.
    store.snapshots = [Success(Snapshot(1, ()))]
    feed._step()
    assert [type(event) for event in events] == [StoreCallFailed, SnapshotRead]


def test_outage_of_the_store_is_not_met_by_calls_of_all_vms(feed, store):
    outage_s = 3.0
    feed.timing = RELAXED_TIMING
    store.snapshots = [UNAVAILABLE] * 100
    while sum(feed._stopped.pauses) < outage_s:
        feed._step()
    assert len(feed._stopped.pauses) <= outage_s


def in_era(era, result):
    """Return a result of the store as of an era."""
    return Success(replace(result.unwrap(), era=era))


def test_feed_lists_again_where_its_watch_succeeds_in_a_later_era(feed, store, events):
    """The store has passed the watched revision again since it came back."""
    store.snapshots = [
        Success(Snapshot(100, ())),
        in_era(1, Success(Snapshot(112, ()))),
    ]
    store.watches = [in_era(1, changes(112))]
    for _ in range(3):
        feed._step()
    assert [type(event) for event in events] == [SnapshotRead, SnapshotRead]
    assert events[-1].snapshot.position == StorePosition(1, 112)


def test_feed_lists_again_when_another_call_has_named_a_later_era(feed, store, events):
    store.snapshots = [
        Success(Snapshot(100, ())),
        in_era(1, Success(Snapshot(112, ()))),
    ]
    feed._step()
    store.era = 1
    feed._step()
    assert store.waits == []
    assert events[-1].snapshot.position == StorePosition(1, 112)


def test_watch_after_a_failure_does_not_wait(feed, store):
    store.snapshots = [Success(Snapshot(1, ()))]
    store.watches = [UNAVAILABLE, changes(1), changes(1)]
    for _ in range(4):
        feed._step()
    assert store.waits == [
        feed.timing.watch_timeout_s,
        0.0,
        feed.timing.watch_timeout_s,
    ]


def test_watch_after_changes_shows_within_a_second_how_old_the_knowledge_is(
    clock, feed, store, events
):
    """An answer with changes may have been under way since the start of its call."""
    timeout_s = feed.timing.watch_timeout_s
    store.snapshots = [Success(Snapshot(1, ()))]
    store.watches = [changes(2, (Record("main", 2, {}), False)), changes(2)]
    feed._step()
    feed._step()
    clock.instant += 0.7
    feed._step()
    assert store.waits == [timeout_s, pytest.approx(timeout_s - 0.7)]


class SlowStore(FakeStore):
    """Store whose answers take time."""

    def __init__(self, clock, answer_s):
        super().__init__()
        self._clock = clock
        self._answer_s = answer_s

    def snapshot(self, kind):
        """Return the next prepared snapshot after some time."""
        self._clock.instant += self._answer_s
        return super().snapshot(kind)

    def watch(self, kind, revision, wait_seconds):
        """Return the next prepared changes after some time."""
        self._clock.instant += self._answer_s
        return super().watch(kind, revision, wait_seconds)


@pytest.mark.parametrize(
    ("answer_s", "records", "age_s"),
    [(0.4, (), 0.0), (1.3, (), 0.3), (0.4, ((Record("main", 2, {}), False),), 0.4)],
    ids=["early", "late", "changes"],
)
def test_answer_proves_no_more_than_the_store_can_have_known(
    clock, events, answer_s, records, age_s
):
    """A watch is answered at its timeout; one with changes at any time before."""
    store = SlowStore(clock, answer_s)
    feed = Feed(store, "config", events.append, random.Random(1))
    feed._stopped = FakeStopEvent()
    store.snapshots = [Success(Snapshot(1, ()))]
    store.watches = [changes(2, *records)]
    feed._step()
    assert events[-1].until == pytest.approx(clock.instant - answer_s)
    feed._resuming = False
    feed._read_until = clock.instant
    feed._step()
    assert events[-1].until == pytest.approx(clock.instant - age_s)
