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

RETRY_BASE_SECONDS = 0.1
RETRY_LIMIT_SECONDS = 0.5
"""A returned store is noticed within this time: a fifth of the time in which a
configuration has to be in force."""


class Source(Protocol):
    """A store whose kinds can be followed."""

    def snapshot(self, kind: str) -> Result[Snapshot, StoreFailure]:
        """Read all objects of a kind."""

    def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[Changes, StoreFailure]:
        """Wait for changes of a kind."""


SHORT_WATCH_SECONDS = 2.5
"""Wait of a watch on which others rely, too. A silent connection shows after this time
and a margin of 1 s: within the 4 s in which a VM may be out of touch."""

LONG_WATCH_SECONDS = 15.0
"""Wait of a watch beside others: each call to the store is paid for, and a silent
connection shows by what the other VMs have read."""

GATHER_SECONDS = 0.25
"""Pause after changes, so that the next call brings several: a tenth of the shortest
time in which a change has to be in force."""


@dataclass(frozen=True, slots=True)
class StoreLost:
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


FeedEvent: TypeAlias = StoreLost | SnapshotRead | ChangesRead


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
        source: Source,
        kind: str,
        deliver: Callable[[FeedEvent], None],
        rng: random.Random,
    ) -> None:
        self._source = source
        self._kind = kind
        self._deliver = deliver
        self._backoff = Backoff(rng, RETRY_BASE_SECONDS, RETRY_LIMIT_SECONDS)
        self._stopped = threading.Event()
        self._revision: int | None = None
        self._failures = 0
        self.wait_seconds = SHORT_WATCH_SECONDS

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
                self._stopped.wait(GATHER_SECONDS)
            return
        failure = result.failure()
        if failure.error is StoreError.GONE:
            self._revision = None
            return
        self._failures += 1
        self._deliver(StoreLost(self._kind, failure))
        self._stopped.wait(self._backoff.instant(RETRY_BASE_SECONDS, self._failures))

    def _read(self) -> Result[FeedEvent, StoreFailure]:
        result = self._source.snapshot(self._kind)
        if isinstance(result, Failure):
            return Failure(result.failure())
        self._revision = result.unwrap().revision
        return result.map(lambda found: SnapshotRead(self._kind, found))

    def _watch(self, revision: int) -> Result[FeedEvent, StoreFailure]:
        result = self._source.watch(self._kind, revision, self.wait_seconds)
        if isinstance(result, Failure):
            return Failure(result.failure())
        self._revision = result.unwrap().revision
        return result.map(lambda found: ChangesRead(self._kind, found))
