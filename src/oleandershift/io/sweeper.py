"""Deletes expired claims, one page of the list at a time."""

import threading
import time
from collections.abc import Callable

import msgspec
from loguru import logger
from returns.result import Failure

from oleandershift.claims import Claim
from oleandershift.io.supervision import supervised_thread
from oleandershift.objects import ObjectKind, ObjectList, ObjectStore, StoredObject

PAGE_CLAIMS = 100
PAGE_INTERVAL_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 5.0


def find_expired(now: float, page: ObjectList) -> tuple[StoredObject, ...]:
    """Return the expired claims of a page; claims that can't be decoded are kept."""
    return tuple(stored for stored in page.items if _is_expired(now, stored))


def _is_expired(now: float, stored: StoredObject) -> bool:
    try:
        return msgspec.json.decode(stored.value, type=Claim).expires <= now
    except msgspec.DecodeError:
        return False


class ClaimSweeper:
    """Scans the claims repeatedly on a background thread and deletes expired ones.

    Each delete is conditional on the version that was read. Concurrent sweepers are
    therefore harmless, and a claim that was created anew meanwhile is kept.

    Parameters
    ----------
    store : ObjectStore
        The platform's object store.
    is_chosen : callable
        Returns whether this VM deletes expired claims.
    page_interval_seconds : float
        Time between two pages, seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        is_chosen: Callable[[], bool],
        page_interval_seconds: float = PAGE_INTERVAL_SECONDS,
    ) -> None:
        self._store = store
        self._is_chosen = is_chosen
        self._page_interval_seconds = page_interval_seconds
        self._cursor = ""
        self._closing = threading.Event()
        self._thread = supervised_thread("sweeper", self._run, self._closing)

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread after the current page."""
        self._closing.set()

    def sweep_page(self, now: float) -> None:
        """Delete the expired claims of the next page; start over after the last."""
        deadline = now + CALL_TIMEOUT_SECONDS
        kind = ObjectKind.CLAIMS
        result = self._store.list(kind, self._cursor, PAGE_CLAIMS, deadline)
        if isinstance(result, Failure):
            logger.debug("failed to list claims: {}", result.failure().detail)
            return
        page = result.unwrap()
        self._cursor = page.next or ""
        for stored in find_expired(now, page):
            deadline = time.time() + CALL_TIMEOUT_SECONDS
            self._store.delete(kind, stored.name, stored.version, deadline)

    def _run(self) -> None:
        while not self._closing.wait(self._page_interval_seconds):
            if self._is_chosen():
                self.sweep_page(time.time())
