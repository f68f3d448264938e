"""Threads that watch the platform's table rows and its list of VMs."""

import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial

import msgspec
from loguru import logger
from returns.result import Failure

from oleandershift.io.platform import PlatformClient
from oleandershift.io.supervision import supervised_thread
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
"""Includes `WATCH_MARGIN_SECONDS`: the server waits for the other 2 s.

A watch therefore ends within 2 s of being deactivated.
"""
VM_LIST_TIMEOUT_SECONDS = 3.0
VM_LIST_INTERVAL_SECONDS = 1.0
SLOW_RESPONSE_SECONDS = 1.0
ROWS_PER_PAGE = 1000
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0

TABLE_KINDS = (ObjectKind.SERVICES, ObjectKind.UPSTREAMS, ObjectKind.TEAMS)


class PlatformState(Enum):
    """Health of the platform as seen by this agent."""

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
        Kind of the rows.
    rows : tuple of Row
        Rows that were read.
    complete : bool
        Whether this is the last page of a list of all rows of the kind.
    """

    kind: ObjectKind
    rows: tuple[Row, ...]
    complete: bool


@dataclass(frozen=True)
class PlatformStatus:
    """Message to the agent: health of the platform at the last request."""

    state: PlatformState


@dataclass(frozen=True)
class PlatformVms:
    """Message to the agent: the platform's list of VMs."""

    vms: tuple[ListedVm, ...]


class _Tombstone(msgspec.Struct):
    deleted: bool = False


def row_from_object(stored: StoredObject) -> Row:
    """Convert a stored object to a row; a tombstone becomes a deleted row."""
    value = bytes(stored.value)
    try:
        deleted = msgspec.json.decode(value, type=_Tombstone).deleted
    except msgspec.DecodeError:
        deleted = False
    return Row(stored.kind, stored.name, stored.version, value, deleted)


def _row_from_change(change: ObjectChange) -> Row:
    row = row_from_object(change.object)
    if change.type is not ChangeType.DELETE:
        return row
    return msgspec.structs.replace(row, deleted=True)


class PlatformWatch:
    """Watches the platform while this agent is one of its region's watchers.

    Each kind of row is listed in full, then watched from the revision of the list, so
    that no edit is lost when the role moves to another agent.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    on_message : callable
        Called on the watch threads with each message that this module defines.
    """

    def __init__(
        self, client: PlatformClient, on_message: Callable[[object], object]
    ) -> None:
        self._client = client
        self._on_message = on_message
        self._active = threading.Event()
        self._closed = threading.Event()
        self._threads = [
            supervised_thread(
                f"watch-{kind.value}", partial(self._watch_rows, kind), self._closed
            )
            for kind in TABLE_KINDS
        ]
        self._threads.append(
            supervised_thread("poll-vms", self._poll_vms, self._closed)
        )

    def start(self) -> None:
        """Start the threads; they wait until the watch is activated."""
        for thread in self._threads:
            thread.start()

    def set_active(self, active: bool) -> None:
        """Activate or deactivate the watch."""
        if active:
            self._active.set()
        else:
            self._active.clear()

    def close(self) -> None:
        """Ask the threads to end, without waiting for them."""
        self._closed.set()
        self._active.set()

    def _watch_rows(self, kind: ObjectKind) -> None:
        revision: int | None = None
        backoff = _Backoff()
        while self._wait_until_active():
            try:
                revision = self._list_or_watch(kind, revision)
            except _AwayError as exc:
                logger.debug(
                    "reading {} from the platform failed: {}",
                    kind.value,
                    exc.failure.detail,
                )
                if exc.failure.error is StoreError.GONE:
                    revision = None
                self._closed.wait(backoff.next_seconds())
                continue
            backoff.reset()
            if not self._active.is_set():
                revision = None

    def _list_or_watch(self, kind: ObjectKind, revision: int | None) -> int:
        """List or watch once; return the revision for the next watch."""
        if revision is None:
            return self._list_rows(kind)
        deadline = time.time() + WATCH_TIMEOUT_SECONDS
        result = self._client.watch(kind, revision, deadline)
        if isinstance(result, Failure):
            raise _AwayError(result.failure())
        changes = result.unwrap()
        rows = tuple(_row_from_change(change) for change in changes.events)
        if rows:
            self._on_message(PlatformRows(kind, rows, complete=False))
        return changes.revision

    def _list_rows(self, kind: ObjectKind) -> int:
        """Read all rows and return the revision of the first page.

        Later pages may contain later changes; the watch delivers these again.
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
            rows = tuple(row_from_object(stored) for stored in page.items)
            self._on_message(PlatformRows(kind, rows, complete=page.next is None))
            if page.next is None:
                return revision
            after = page.next

    def _poll_vms(self) -> None:
        while self._wait_until_active():
            started_at = time.time()
            result = self._client.list_vms(started_at + VM_LIST_TIMEOUT_SECONDS)
            if isinstance(result, Failure):
                self._on_message(PlatformStatus(PlatformState.UNAVAILABLE))
            else:
                slow = time.time() - started_at > SLOW_RESPONSE_SECONDS
                state = PlatformState.SLOW if slow else PlatformState.OK
                self._on_message(PlatformStatus(state))
                self._on_message(PlatformVms(result.unwrap()))
            self._closed.wait(VM_LIST_INTERVAL_SECONDS)

    def _wait_until_active(self) -> bool:
        """Wait until the watch is active; return False once it is closed."""
        self._active.wait()
        return not self._closed.is_set()


class _AwayError(Exception):
    def __init__(self, failure: StoreFailure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class _Backoff:
    """Exponential backoff with jitter."""

    def __init__(self) -> None:
        self._seconds = MIN_BACKOFF_SECONDS

    def next_seconds(self) -> float:
        delay = self._seconds * random.uniform(0.5, 1.0)
        self._seconds = min(MAX_BACKOFF_SECONDS, self._seconds * 2)
        return delay

    def reset(self) -> None:
        self._seconds = MIN_BACKOFF_SECONDS
