"""Threads that follow kinds of objects in the platform's store."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from returns.result import Failure, Result

from oleandershift.objects import StoreError, StoreFailure
from oleandershift.records import Changes, Snapshot
from oleandershift.retries import Backoff

RETRY_BASE_DELAY_SECONDS = 0.1

BATCH_DELAY_SECONDS = 0.5
"""Pause after changes, so that the next call brings several: a fifth of the shortest
time in which a change has to be in force."""


@dataclass(frozen=True, slots=True)
class FeedTiming:
    """How often a feed calls the store.

    Parameters
    ----------
    watch_timeout_s : float
        Wait of a watch.
    max_retry_delay_s : float
        Longest pause between failed calls.
    """

    watch_timeout_s: float
    max_retry_delay_s: float


HUB_TIMING = FeedTiming(watch_timeout_s=2.5, max_retry_delay_s=0.5)
"""Of a VM on which others rely. A silent connection shows after the watch and a margin
of 1 s: within the 4 s in which a VM may be out of touch. A returned store is noticed
within a fifth of the time in which a configuration has to be in force."""

RELAXED_TIMING = FeedTiming(watch_timeout_s=15.0, max_retry_delay_s=1.5)
"""Of the others: each call to the store is paid for, and what they miss shows by what
the leading VMs have read."""


class WatchableStore(Protocol):
    """A store whose kinds can be followed."""

    def snapshot(self, kind: str) -> Result[Snapshot, StoreFailure]:
        """Read all objects of a kind."""

    def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[Changes, StoreFailure]:
        """Wait for changes of a kind."""


@dataclass(frozen=True, slots=True)
class StoreCallFailed:
    """A call failed."""

    kind: str
    failure: StoreFailure


@dataclass(frozen=True, slots=True)
class SnapshotRead:
    """All objects of a kind were read."""

    kind: str
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ChangesRead:
    """A watch was answered."""

    kind: str
    changes: Changes


FeedEvent: TypeAlias = StoreCallFailed | SnapshotRead | ChangesRead


class Feed:
    """Follows one kind in a thread of its own, and reports what it sees.

    Parameters
    ----------
    source : Source
        The store.
    kind : str
        What to follow.
    deliver : callable
        Takes each event; is called on the feed's thread.
    rng : random.Random
        Jitter between calls to a store that fails.
    """

    def __init__(
        self,
        source: WatchableStore,
        kind: str,
        deliver: Callable[[FeedEvent], None],
        rng: random.Random,
    ) -> None:
        self._source = source
        self._kind = kind
        self._deliver = deliver
        self._rng = rng
        self._stopped = threading.Event()
        self._revision: int | None = None
        self._failures = 0
        self.timing = HUB_TIMING

    def start(self) -> None:
        """Begin to follow."""
        name = f"feed-{self._kind}"
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """End after the call that is waiting."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._step()

    def _step(self) -> None:
        result = self._read() if self._revision is None else self._watch(self._revision)
        if not isinstance(result, Failure):
            self._failures = 0
            found = result.unwrap()
            self._deliver(found)
            if isinstance(found, ChangesRead) and found.changes.records:
                self._stopped.wait(BATCH_DELAY_SECONDS)
            return
        failure = result.failure()
        if failure.error is StoreError.GONE:
            self._revision = None
            return
        self._failures += 1
        self._deliver(StoreCallFailed(self._kind, failure))
        backoff = Backoff(
            self._rng, RETRY_BASE_DELAY_SECONDS, self.timing.max_retry_delay_s
        )
        self._stopped.wait(
            backoff.next_attempt_at(RETRY_BASE_DELAY_SECONDS, self._failures)
        )

    def _read(self) -> Result[FeedEvent, StoreFailure]:
        result = self._source.snapshot(self._kind)
        if isinstance(result, Failure):
            return Failure(result.failure())
        self._revision = result.unwrap().revision
        return result.map(lambda found: SnapshotRead(self._kind, found))

    def _watch(self, revision: int) -> Result[FeedEvent, StoreFailure]:
        result = self._source.watch(self._kind, revision, self.timing.watch_timeout_s)
        if isinstance(result, Failure):
            return Failure(result.failure())
        self._revision = result.unwrap().revision
        return result.map(lambda found: ChangesRead(self._kind, found))
