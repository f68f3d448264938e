"""Deletes expired claims, a page at a time."""

import threading
import time
from collections.abc import Callable

import msgspec
from loguru import logger
from returns.result import Failure

from oleandershift.claims import Claim
from oleandershift.objects import ObjectKind, ObjectList, ObjectStore, StoredObject

PAGE_CLAIMS = 100
PAGE_INTERVAL_SECONDS = 10.0
CALL_TIMEOUT_SECONDS = 5.0


def find_expired(now: float, page: ObjectList) -> tuple[StoredObject, ...]:
    """Return the claims of a page that have expired; unreadable ones stay."""
    return tuple(stored for stored in page.items if _is_expired(now, stored))


def _is_expired(now: float, stored: StoredObject) -> bool:
    try:
        return msgspec.json.decode(stored.value, type=Claim).expires <= now
    except msgspec.DecodeError:
        return False


class ClaimSweeper:
    """Goes through the claims again and again, on a thread of its own.

    Each delete names the version that was read, so that several sweepers, or a claim
    that is made anew meanwhile, do no harm.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    is_chosen : callable
        Tells whether this VM is the one that sweeps.
    pause_seconds : float
        Time between two pages.
    """

    def __init__(
        self,
        store: ObjectStore,
        is_chosen: Callable[[], bool],
        page_interval_seconds: float = PAGE_INTERVAL_SECONDS,
    ) -> None:
        self._store = store
        self._is_chosen = is_chosen
        self._pause_seconds = page_interval_seconds
        self._after = ""
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._work, name="sweeper", daemon=True)

    def start(self) -> None:
        """Begin to sweep."""
        self._thread.start()

    def close(self) -> None:
        """Stop after the current page."""
        self._closing.set()

    def sweep_page(self, now: float) -> None:
        """Delete the expired claims of the next page."""
        deadline = now + CALL_TIMEOUT_SECONDS
        kind = ObjectKind.CLAIMS
        result = self._store.list(kind, self._after, PAGE_CLAIMS, deadline)
        if isinstance(result, Failure):
            logger.debug("claims not listed: {}", result.failure().detail)
            return
        page = result.unwrap()
        self._after = page.next or ""
        for stored in find_expired(now, page):
            deadline = time.time() + CALL_TIMEOUT_SECONDS
            self._store.delete(kind, stored.name, stored.version, deadline)

    def _work(self) -> None:
        while not self._closing.wait(self._pause_seconds):
            if self._is_chosen():
                self.sweep_page(time.time())
