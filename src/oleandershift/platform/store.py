"""HTTP client of the platform's metadata store."""

import threading
import time
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.io.jsoncalls import JsonClient
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.platform import pages
from oleandershift.records import (
    MAX_INTEGER,
    Changes,
    Record,
    Snapshot,
    StorePosition,
)
from oleandershift.vmsettings import Address

MAX_CONNECTIONS = 4
"""One for each of the two watched kinds, and two for other calls."""

WATCH_MARGIN_SECONDS = 1.0
"""Response time of a store that is 80 times slower than usual, plus round trips."""

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout of a call other than a watch."""

ERA_HEADER = "Store-Era"
"""Rises by one when the store has come back from an older copy."""

_ERRORS = {
    404: StoreError.NOT_FOUND,
    409: StoreError.CONFLICT,
    410: StoreError.GONE,
    413: StoreError.TOO_LARGE,
    429: StoreError.REFUSED,
    503: StoreError.REFUSED,
}


_T = TypeVar("_T")


class StoreClient:
    """Lists, watches and writes objects; safe to use from several threads.

    Parameters
    ----------
    address : Address
        Address of the store.
    """

    def __init__(self, address: Address) -> None:
        url = f"http://{address.host}:{address.port}"
        self._client = JsonClient(url, MAX_CONNECTIONS)
        self._era = 0
        self._era_lock = threading.Lock()

    @property
    def era(self) -> int:
        """Return the latest era of the store that an answer has named."""
        return self._era

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def snapshot(self, kind: str) -> Result[Snapshot, StoreFailure]:
        """Read all pages of a kind, with the revision of the first page."""
        records: list[Record] = []
        first: StorePosition | None = None
        after = ""
        while True:
            result = self._read_page(kind, after)
            if isinstance(result, Failure):
                return Failure(result.failure())
            page, era = result.unwrap()
            if first is None:
                first = StorePosition(era, page.at)
            if era != first.era:
                detail = f"{kind}: era {era} after {after!r}, {first.era} before"
                return Failure(StoreFailure(StoreError.GONE, detail))
            page_records = [pages.decode_record(kind, raw, era) for raw in page.items]
            records.extend(page_records)
            if not page.has_more:
                return Success(Snapshot(first.revision, tuple(records), first.era))
            last = max((record.name for record in page_records), default="")
            if last <= after:
                detail = f"{kind}: no name on the page after {after!r}"
                return Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, detail))
            after = last

    def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[Changes, StoreFailure]:
        """Wait for changes of a kind after a revision; return none on a timeout."""
        wait_ms = int(wait_seconds * 1000)
        path = f"/v1/objects/{kind}?watch={revision}&waitMs={wait_ms}"
        timeout_s = wait_seconds + WATCH_MARGIN_SECONDS
        result = self._get(path, timeout_s, pages.decode_events)
        if isinstance(result, Failure):
            return Failure(result.failure())
        read, era = result.unwrap()
        changes = tuple(
            (pages.decode_record(kind, event.object, era), event.deleted)
            for event in read.events
        )
        return Success(Changes(read.at, changes, era))

    def create(self, kind: str, name: str, spec: object) -> Result[int, StoreFailure]:
        """Create an object and return the era; fails with `CONFLICT` if it exists."""
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        return self._write("POST", f"/v1/objects/{kind}", body)

    def replace(self, kind: str, name: str, spec: object) -> Result[int, StoreFailure]:
        """Replace the `spec` of an object and return the store's era."""
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        return self._write("PUT", _object_path(kind, name), body)

    def delete(self, kind: str, name: str) -> Result[int, StoreFailure]:
        """Delete an object and return the store's era."""
        return self._write("DELETE", _object_path(kind, name), None)

    def _read_page(
        self, kind: str, after: str
    ) -> Result[tuple[pages.Page, int], StoreFailure]:
        query = f"?after={quote(after, safe='')}" if after else ""
        path = f"/v1/objects/{kind}{query}"
        return self._get(path, CALL_TIMEOUT_SECONDS, pages.decode_page)

    def _get(
        self, path: str, timeout_s: float, decode: Callable[[bytes], _T]
    ) -> Result[tuple[_T, int], StoreFailure]:
        """Return the decoded body of an answer, and the era that it is from."""
        result = self._exchange("GET", path, timeout_s, None)
        if isinstance(result, Failure):
            return Failure(result.failure())
        body, era = result.unwrap()
        try:
            return Success((decode(body), era))
        except ValueError as exc:
            detail = f"GET {path}: invalid response body: {exc}"
            return Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, detail))

    def _write(
        self, method: str, path: str, body: bytes | None
    ) -> Result[int, StoreFailure]:
        return self._exchange(method, path, CALL_TIMEOUT_SECONDS, body).map(
            lambda answer: answer[1]
        )

    def _exchange(
        self, method: str, path: str, timeout_s: float, body: bytes | None
    ) -> Result[tuple[bytes, int], StoreFailure]:
        deadline = time.monotonic() + timeout_s
        result = self._client.request(method, path, deadline, body)
        if isinstance(result, Failure):
            return Failure(result.failure())
        res = result.unwrap()
        era = self._advance_era(res.headers.get(ERA_HEADER))
        if era < self._era:
            detail = f"{method} {path}: era {era} in the answer, {self._era} in others"
            return Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, detail))
        if 200 <= res.status < 300:
            return Success((res.body, era))
        error = _ERRORS.get(res.status, StoreError.OUTCOME_UNKNOWN)
        return Failure(StoreFailure(error, f"{method} {path}: status {res.status}"))

    def _advance_era(self, header: str | None) -> int:
        """Return the era of an answer; one that names none is of the latest."""
        with self._era_lock:
            if header is None or not header.isdecimal() or int(header) > MAX_INTEGER:
                return self._era
            era = int(header)
            self._era = max(self._era, era)
            return era


def _object_path(kind: str, name: str) -> str:
    return f"/v1/objects/{kind}/{quote(name, safe='')}"
