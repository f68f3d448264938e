"""Threads that watch the platform's table rows and its list of VMs."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
from loguru import logger
from returns.result import Failure

from oleandershift.io.platform import PlatformClient
from oleandershift.leaving import ListedVm
from oleandershift.messages import Row
from oleandershift.objects import (
    ChangeType,
    ObjectChange,
    ObjectKind,
    StoredObject,
    StoreError,
    StoreFailure,
)

LIST_TIMEOUT_SECONDS = 5.0
WATCH_TIMEOUT_SECONDS = 4.0
"""A watch waits for 2 s of it, so one that is no longer held ends within 2 s."""
VM_LIST_TIMEOUT_SECONDS = 3.0
VM_LIST_INTERVAL_SECONDS = 1.0
SLOW_RESPONSE_SECONDS = 1.0
ROWS_PER_PAGE = 1000
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0

TABLE_KINDS = (ObjectKind.SERVICES, ObjectKind.UPSTREAMS, ObjectKind.TEAMS)


class PlatformState(Enum):
    """How the platform answers this agent."""

    UNWATCHED = "unwatched"
    OK = "ok"
    SLOW = "slow"
    UNAVAILABLE = "away"


@dataclass(frozen=True)
class PlatformRows:
    """Message to the agent: rows read from the platform.

    Parameters
    ----------
    kind : ObjectKind
        Their kind.
    rows : tuple of Row
        The rows.
    complete : bool
        With these, all rows of the kind have been read.
    """

    kind: ObjectKind
    rows: tuple[Row, ...]
    complete: bool


@dataclass(frozen=True)
class PlatformStatus:
    """Message to the agent: how the platform answered."""

    state: PlatformState


@dataclass(frozen=True)
class PlatformVms:
    """Message to the agent: the platform's list of VMs."""

    vms: tuple[ListedVm, ...]


class _Tombstone(msgspec.Struct):
    deleted: bool = False


def row_from_object(stored: StoredObject) -> Row:
    """Return an object of the platform as a row; a tombstone is a deleted one."""
    value = bytes(stored.value)
    try:
        deleted = msgspec.json.decode(value, type=_Tombstone).deleted
    except msgspec.DecodeError:
        deleted = False
    return Row(stored.kind, stored.name, stored.version, value, deleted)


def _changed_row(change: ObjectChange) -> Row:
    row = row_from_object(change.object)
    if change.type is not ChangeType.DELETE:
        return row
    return msgspec.structs.replace(row, deleted=True)


class PlatformWatch:
    """Watches the platform while this agent holds the watch.

    Each kind of rows is listed whole, then watched from the list's revision on, so
    that no edit is lost when the watch changes hands.

    Parameters
    ----------
    client : PlatformClient
        The platform.
    tell : callable
        Takes the messages of this module; called on the watching threads.
    """

    def __init__(
        self, client: PlatformClient, tell: Callable[[object], object]
    ) -> None:
        self._client = client
        self._tell = tell
        self._held = threading.Event()
        self._closed = threading.Event()
        self._threads = [
            threading.Thread(target=self._watch_rows, args=(kind,), daemon=True)
            for kind in TABLE_KINDS
        ]
        self._threads.append(threading.Thread(target=self._read_vms, daemon=True))

    def start(self) -> None:
        """Start the threads; they wait until the watch is held."""
        for thread in self._threads:
            thread.start()

    def set_active(self, active: bool) -> None:
        """Begin or end to watch."""
        if active:
            self._held.set()
        else:
            self._held.clear()

    def close(self) -> None:
        """Let the threads end by themselves."""
        self._closed.set()
        self._held.set()

    def _watch_rows(self, kind: ObjectKind) -> None:
        revision: int | None = None
        backoff = _Backoff()
        while self._wait_held():
            try:
                revision = self._step(kind, revision)
            except _AwayError as exc:
                logger.debug("platform {}: {}", kind.value, exc.failure.detail)
                if exc.failure.error is StoreError.GONE:
                    revision = None
                self._closed.wait(backoff.next_seconds())
                continue
            backoff.reset()
            if not self._held.is_set():
                revision = None

    def _step(self, kind: ObjectKind, revision: int | None) -> int:
        """List once or watch once, and return the revision to go on from."""
        if revision is None:
            return self._list(kind)
        deadline = time.time() + WATCH_TIMEOUT_SECONDS
        result = self._client.watch(kind, revision, deadline)
        if isinstance(result, Failure):
            raise _AwayError(result.failure())
        changes = result.unwrap()
        rows = tuple(_changed_row(change) for change in changes.events)
        if rows:
            self._tell(PlatformRows(kind, rows, complete=False))
        return changes.revision

    def _list(self, kind: ObjectKind) -> int:
        """Read all rows and return the revision of the first page.

        Later pages may show later changes; the watch repeats these.
        """
        after = ""
        revision: int | None = None
        while True:
            deadline = time.time() + LIST_TIMEOUT_SECONDS
            result = self._client.list(kind, after, ROWS_PER_PAGE, deadline)
            if isinstance(result, Failure):
                raise _AwayError(result.failure())
            page = result.unwrap()
            revision = page.revision if revision is None else revision
            rows = tuple(row_from_object(found) for found in page.items)
            self._tell(PlatformRows(kind, rows, complete=page.next is None))
            if page.next is None:
                return revision
            after = page.next

    def _read_vms(self) -> None:
        while self._wait_held():
            started = time.time()
            result = self._client.list_vms(started + VM_LIST_TIMEOUT_SECONDS)
            if isinstance(result, Failure):
                self._tell(PlatformStatus(PlatformState.UNAVAILABLE))
            else:
                slow = time.time() - started > SLOW_RESPONSE_SECONDS
                state = PlatformState.SLOW if slow else PlatformState.OK
                self._tell(PlatformStatus(state))
                self._tell(PlatformVms(result.unwrap()))
            self._closed.wait(VM_LIST_INTERVAL_SECONDS)

    def _wait_held(self) -> bool:
        """Wait until the watch is held; return False when it is closed."""
        self._held.wait()
        return not self._closed.is_set()


class _AwayError(Exception):
    def __init__(self, failure: StoreFailure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class _Backoff:
    """Growing pauses between failed calls, with jitter."""

    def __init__(self) -> None:
        self._seconds = MIN_BACKOFF_SECONDS

    def next_seconds(self) -> float:
        pause = self._seconds * random.uniform(0.5, 1.0)
        self._seconds = min(MAX_BACKOFF_SECONDS, self._seconds * 2)
        return pause

    def reset(self) -> None:
        self._seconds = MIN_BACKOFF_SECONDS
