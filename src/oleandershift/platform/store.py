"""Client of the platform's metadata store."""

import time
from typing import TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.io.jsoncalls import JsonClient
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.records import Changes, Record, Snapshot
from oleandershift.vmsettings import Address

MAX_CONNECTIONS = 4
"""One connection for each kind that is watched, and two for other calls."""

WATCH_MARGIN_SECONDS = 1.0
"""Answer time of a store that is 80 times slower than usual, with its round trips."""

CALL_TIMEOUT_SECONDS = 2.0
"""Limit of a call that does not wait."""

_ERRORS = {
    404: StoreError.NOT_FOUND,
    409: StoreError.CONFLICT,
    410: StoreError.GONE,
    413: StoreError.TOO_LARGE,
    429: StoreError.REFUSED,
    503: StoreError.REFUSED,
}


_T = TypeVar("_T")


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct, rename="camel"):
    items: list[msgspec.Raw]
    # Revision of the whole store that the page shows.
    at: int
    has_more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    at: int


class StoreClient:
    """Lists, watches and writes objects; may be used from several threads.

    Parameters
    ----------
    address : Address
        Where the store listens.
    """

    def __init__(self, address: Address) -> None:
        url = f"http://{address.host}:{address.port}"
        self._calls = JsonClient(url, MAX_CONNECTIONS)

    def close(self) -> None:
        """Close idle connections."""
        self._calls.close()

    def snapshot(self, kind: str) -> Result[Snapshot, StoreFailure]:
        """Read all objects of a kind, as of the first page's revision."""
        records: list[Record] = []
        revision = 0
        after = ""
        while True:
            result = self._page(kind, after)
            if isinstance(result, Failure):
                return Failure(result.failure())
            page = result.unwrap()
            revision = revision or page.at
            found = [_record(raw) for raw in page.items]
            records.extend(found)
            if not page.has_more or not found:
                return Success(Snapshot(revision, tuple(records)))
            after = found[-1].name

    def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> Result[Changes, StoreFailure]:
        """Wait for changes of a kind after a revision; none may have come."""
        wait_ms = int(wait_seconds * 1000)
        path = f"/v1/objects/{kind}?watch={revision}&waitMs={wait_ms}"
        limit = wait_seconds + WATCH_MARGIN_SECONDS
        result = self._get(path, limit, _Events)
        if isinstance(result, Failure):
            return Failure(result.failure())
        found = result.unwrap()
        return Success(
            Changes(
                found.at,
                tuple((_record(event.object), event.deleted) for event in found.events),
            )
        )

    def create(self, kind: str, name: str, spec: object) -> Result[None, StoreFailure]:
        """Create an object; fails with a conflict when it exists."""
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        return self._write("POST", f"/v1/objects/{kind}", body)

    def replace(self, kind: str, name: str, spec: object) -> Result[None, StoreFailure]:
        """Replace an object's content."""
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        return self._write("PUT", _path(kind, name), body)

    def delete(self, kind: str, name: str) -> Result[None, StoreFailure]:
        """Delete an object."""
        return self._write("DELETE", _path(kind, name), None)

    def _page(self, kind: str, after: str) -> Result[_Page, StoreFailure]:
        query = f"?after={quote(after, safe='')}" if after else ""
        return self._get(f"/v1/objects/{kind}{query}", CALL_TIMEOUT_SECONDS, _Page)

    def _get(
        self, path: str, limit: float, answer: type[_T]
    ) -> Result[_T, StoreFailure]:
        result = self._exchange("GET", path, limit, None)
        if isinstance(result, Failure):
            return Failure(result.failure())
        try:
            return Success(msgspec.json.decode(result.unwrap(), type=answer))
        except msgspec.DecodeError as exc:
            detail = f"GET {path}: answer not understood: {exc}"
            return Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, detail))

    def _write(
        self, method: str, path: str, body: bytes | None
    ) -> Result[None, StoreFailure]:
        return self._exchange(method, path, CALL_TIMEOUT_SECONDS, body).map(
            lambda _: None
        )

    def _exchange(
        self, method: str, path: str, limit: float, body: bytes | None
    ) -> Result[bytes, StoreFailure]:
        deadline = time.monotonic() + limit
        result = self._calls.request(method, path, deadline, body)
        if isinstance(result, Failure):
            return Failure(result.failure())
        status, data = result.unwrap()
        if 200 <= status < 300:
            return Success(data)
        error = _ERRORS.get(status, StoreError.OUTCOME_UNKNOWN)
        return Failure(StoreFailure(error, f"{method} {path}: status {status}"))


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{kind}/{quote(name, safe='')}"


def _record(raw: msgspec.Raw) -> Record:
    try:
        found = msgspec.json.decode(raw, type=_Object)
    except msgspec.DecodeError:
        return Record(_name_of(raw), 0, None)
    try:
        spec = msgspec.json.decode(found.spec)
    except msgspec.DecodeError:
        spec = None
    return Record(found.metadata.name, found.metadata.revision, spec)


class _Named(msgspec.Struct):
    metadata: _Metadata


def _name_of(raw: msgspec.Raw) -> str:
    try:
        return msgspec.json.decode(raw, type=_Named).metadata.name
    except msgspec.DecodeError:
        return ""
