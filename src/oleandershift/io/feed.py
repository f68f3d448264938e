"""Threads that watch kinds of objects in the platform's store."""

import math
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from returns.result import Failure, Result, Success

from oleandershift.io.clock import now
from oleandershift.neighbours import StoreRole
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.records import Changes, Snapshot, StorePosition
from oleandershift.retries import Backoff

BATCH_DELAY_SECONDS = 0.5
"""Pause after a watch with changes, so that the next call returns several of them; a
fifth of the shortest time within which a change has to be applied."""


@dataclass(frozen=True, slots=True)
class FeedTiming:
    """Timing of a feed's calls to the store.

    Parameters
    ----------
    watch_timeout_s : float
        Time in seconds that a watch waits for changes.
    retry_base_delay_s : float
        Delay in seconds after the first failed call; it doubles with each further one.
    max_retry_delay_s : float
        Longest delay in seconds between failed calls.
    """

    watch_timeout_s: float
    retry_base_delay_s: float
    max_retry_delay_s: float


HUB_TIMING = FeedTiming(
    watch_timeout_s=1.0, retry_base_delay_s=0.1, max_retry_delay_s=0.5
)
"""Timing on a hub, whose reads other VMs rely on: the watch returns before they would
read the store themselves (`READER_TTL_SECONDS`). A recovered store is noticed within a
fifth of the time for applying a configuration."""

RELAXED_TIMING = FeedTiming(
    watch_timeout_s=15.0, retry_base_delay_s=1.0, max_retry_delay_s=5.0
)
"""Timing on the other VMs. Calls to the store are charged for, and a change that these
VMs miss shows up as a newer revision in the digests of the hubs."""

_TIMINGS = {
    StoreRole.HUB: HUB_TIMING,
    StoreRole.STANDBY: RELAXED_TIMING,
    StoreRole.FOLLOWER: RELAXED_TIMING,
}


class WatchableStore(Protocol):
    """A store whose objects can be listed and watched by kind."""

    @property
    def era(self) -> int:
        """Return the latest era of the store that an answer has named."""

    def close(self) -> None:
        """Close the connections that carry no call."""

    def snapshot(self, kind: str) -> Result[Snapshot, StoreFailure]:
        """Return all objects of a kind."""

    def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[Changes, StoreFailure]:
        """Return the changes of a kind after a revision; none on a timeout."""


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """A call to the store failed."""

    kind: str
    failure: StoreFailure


@dataclass(frozen=True, slots=True)
class SnapshotRead:
    """All objects of a kind were listed.

    Parameters
    ----------
    kind : str
        The kind.
    snapshot : Snapshot
        The objects.
    until : float or None
        Instant up to which they are known to be complete, seconds; None for now.
    """

    kind: str
    snapshot: Snapshot
    until: float | None = None


@dataclass(frozen=True, slots=True)
class ChangesRead:
    """A watch returned, with or without changes.

    Parameters
    ----------
    kind : str
        The kind.
    changes : Changes
        What has changed.
    until : float or None
        Instant up to which it is known to be complete, seconds; None for now.
    """

    kind: str
    changes: Changes
    until: float | None = None


FeedEvent: TypeAlias = StoreCallFailed | SnapshotRead | ChangesRead


class Feed:
    """Watches one kind of objects in a thread of its own and reports events.

    On a follower it lists the objects once and then pauses until the role changes. When
    the store has come back from a copy, it lists them again, as a revision may have
    been given out again.

    Parameters
    ----------
    store : WatchableStore
        Store to watch.
    kind : str
        Kind of the objects.
    deliver : callable
        Called with each event, on the feed's thread.
    rng : random.Random
        Jitter of the delay between failed calls.
    position : StorePosition or None
        Place in the store's history from which to watch; None to list first.
    """

    def __init__(
        self,
        store: WatchableStore,
        kind: str,
        deliver: Callable[[FeedEvent], None],
        rng: random.Random,
        position: StorePosition | None = None,
    ) -> None:
        self._store = store
        self._kind = kind
        self._deliver = deliver
        self._rng = rng
        self._stopped = threading.Event()
        self._position = position
        self._failures = 0
        self._read_until = -math.inf
        self._watching = threading.Event()
        self._resuming = position is not None
        self.timing = HUB_TIMING

    def successor(self) -> "Feed":
        """Return a feed that goes on where this one is, without its current call."""
        return Feed(self._store, self._kind, self._deliver, self._rng, self._position)

    def start(self) -> None:
        """Start the thread."""
        name = f"feed-{self._kind}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop the thread after its current call."""
        self._stopped.set()
        self._watching.set()

    def set_role(self, role: StoreRole) -> None:
        """Set the timing of the calls, or pause the watch on a follower."""
        self.timing = _TIMINGS[role]
        if role is StoreRole.FOLLOWER:
            self._watching.clear()
        else:
            self._watching.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            if self._position is not None and not self._watching.is_set():
                self._watching.wait()
                self._resuming = True
            else:
                self._step()

    def _step(self) -> None:
        result = self._call_store()
        if self._stopped.is_set():
            return
        if not isinstance(result, Failure):
            self._failures = 0
            event = result.unwrap()
            self._deliver(event)
            if isinstance(event, ChangesRead) and event.changes.records:
                self._stopped.wait(BATCH_DELAY_SECONDS)
            return
        failure = result.failure()
        if failure.error is StoreError.GONE:
            self._position = None
            return
        self._failures += 1
        self._resuming = True
        self._deliver(StoreCallFailed(self._kind, failure))
        base_delay_s = self.timing.retry_base_delay_s
        backoff = Backoff(self._rng, base_delay_s, self.timing.max_retry_delay_s)
        self._stopped.wait(backoff.next_attempt_at(base_delay_s, self._failures))

    def _call_store(self) -> Result[FeedEvent, StoreFailure]:
        try:
            if self._position is None or self._position.era < self._store.era:
                return self._read_snapshot()
            return self._watch(self._position)
        except Exception as exc:
            detail = f"{self._kind}: {exc!r}"
            return Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, detail))

    def _read_snapshot(self) -> Result[FeedEvent, StoreFailure]:
        started_at = now()
        result = self._store.snapshot(self._kind)
        if isinstance(result, Failure):
            return Failure(result.failure())
        snapshot = result.unwrap()
        self._position = snapshot.position
        self._read_until = started_at
        return Success(SnapshotRead(self._kind, snapshot, started_at))

    def _watch(self, position: StorePosition) -> Result[FeedEvent, StoreFailure]:
        # Other VMs rely on this one only after its first watch has succeeded, and only
        # an answer tells that the store has come back from a copy.
        started_at = now()
        timeout_s = 0.0 if self._resuming else self._wait_s(started_at)
        result = self._store.watch(self._kind, position.revision, timeout_s)
        if isinstance(result, Failure):
            return Failure(result.failure())
        changes = result.unwrap()
        if changes.era != position.era:
            detail = f"{self._kind}: era {changes.era}, {position.era} before"
            return Failure(StoreFailure(StoreError.GONE, detail))
        self._resuming = False
        self._position = changes.position
        self._read_until = _complete_until(started_at, now(), timeout_s, changes)
        return Success(ChangesRead(self._kind, changes, self._read_until))

    def _wait_s(self, now: float) -> float:
        """Return for how long the next watch may wait for changes, seconds.

        An answer with changes does not show up to when it is complete, so that the next
        one has to come earlier.
        """
        timeout_s = self.timing.watch_timeout_s
        return min(timeout_s, max(0.0, self._read_until + timeout_s - now))


def _complete_until(
    started_at: float, ended_at: float, timeout_s: float, changes: Changes
) -> float:
    """Return the instant up to which the answer to a watch is complete, seconds.

    An answer without changes was given at the watch's timeout. One with changes may
    have been under way for long.

    Parameters
    ----------
    started_at, ended_at : float
        Start and end of the call, seconds.
    timeout_s : float
        Time for which the watch waits for changes, seconds.
    changes : Changes
        The answer.
    """
    if changes.records:
        return started_at
    return min(ended_at, started_at + timeout_s)
