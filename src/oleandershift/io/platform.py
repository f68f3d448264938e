"""Client of the platform's object API, by urllib3."""

import time
from collections.abc import Mapping
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from oleandershift.leaving import ListedVm
from oleandershift.objects import (
    ObjectChanges,
    ObjectKind,
    ObjectList,
    ObjectResult,
    StoredObject,
    StoreError,
    StoreFailure,
)

CONNECTIONS = 16
CONNECT_SECONDS = 1.0
WATCH_MARGIN_SECONDS = 2.0
MIN_TIMEOUT_SECONDS = 0.001
CHUNK_BYTES = 1 << 16

_ERRORS = {
    404: StoreError.NOT_FOUND,
    410: StoreError.GONE,
    412: StoreError.CONFLICT,
    413: StoreError.TOO_LARGE,
    429: StoreError.REFUSED,
}


class _VmList(msgspec.Struct, frozen=True):
    vms: tuple[ListedVm, ...]


class _TooLateError(Exception):
    pass


_T = TypeVar("_T")


class PlatformClient:
    """The platform as an `ObjectStore`, with its list of VMs.

    Safe to use from several threads. Reads and changes alike are sent once: who asks
    decides whether to ask again.

    Parameters
    ----------
    url : str
        `http://ip:port`.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._pool = urllib3.PoolManager(maxsize=CONNECTIONS, retries=False)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.clear()

    def get(self, kind: ObjectKind, name: str, deadline: float) -> ObjectResult:
        """Read an object."""
        return self._call("GET", _path(kind, name), deadline, StoredObject)

    def create(
        self, kind: ObjectKind, name: str, value: bytes, deadline: float
    ) -> ObjectResult:
        """Create an object if it is absent."""
        headers = {"If-None-Match": "*"}
        path = _path(kind, name)
        return self._call("PUT", path, deadline, StoredObject, value, headers)

    def update(
        self, kind: ObjectKind, name: str, value: bytes, version: int, deadline: float
    ) -> ObjectResult:
        """Replace an object that still has `version`."""
        headers = {"If-Match": f'"{version}"'}
        path = _path(kind, name)
        return self._call("PUT", path, deadline, StoredObject, value, headers)

    def delete(
        self, kind: ObjectKind, name: str, version: int, deadline: float
    ) -> Result[None, StoreFailure]:
        """Delete an object that still has `version`."""
        headers = {"If-Match": f'"{version}"'}
        path = _path(kind, name)
        result = self._call("DELETE", path, deadline, Any, None, headers)
        return result.map(lambda _: None)

    def list(
        self, kind: ObjectKind, after: str, limit: int, deadline: float
    ) -> Result[ObjectList, StoreFailure]:
        """Read a page of objects whose names follow `after`."""
        query = f"?limit={limit}&after={quote(after, safe='')}"
        path = f"/v1/objects/{kind.value}{query}"
        return self._call("GET", path, deadline, ObjectList)

    def watch(
        self, kind: ObjectKind, revision: int, deadline: float
    ) -> Result[ObjectChanges, StoreFailure]:
        """Wait until `deadline` for changes after `revision`."""
        wait = max(0.0, deadline - time.time() - WATCH_MARGIN_SECONDS)
        path = f"/v1/watch/{kind.value}?from={revision}&timeout={wait:.3f}"
        return self._call("GET", path, deadline, ObjectChanges)

    def vms(self, deadline: float) -> Result[tuple[ListedVm, ...], StoreFailure]:
        """Read the list of live and leaving VMs."""
        result = self._call("GET", "/v1/vms", deadline, _VmList)
        return result.map(lambda found: found.vms)

    def _call(
        self,
        method: str,
        path: str,
        deadline: float,
        answer: type[_T],
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[_T, StoreFailure]:
        try:
            status, data = self._exchange(method, path, deadline, body, headers)
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return Failure(StoreFailure(StoreError.REFUSED, str(exc)))
        except (HTTPError, OSError, _TooLateError) as exc:
            return Failure(StoreFailure(StoreError.AWAY, str(exc)))
        if status in (200, 201):
            return _decoded(data, answer)
        return Failure(_failure(status, data))

    def _exchange(
        self,
        method: str,
        path: str,
        deadline: float,
        body: bytes | None,
        headers: Mapping[str, str] | None,
    ) -> tuple[int, bytes]:
        left = max(MIN_TIMEOUT_SECONDS, deadline - time.time())
        timeout = urllib3.Timeout(connect=min(left, CONNECT_SECONDS), total=left)
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        res = self._pool.request(
            method,
            self._url + path,
            body=body,
            headers=all_headers,
            timeout=timeout,
            redirect=False,
            preload_content=False,
        )
        try:
            data = _read(res, deadline)
        except Exception:
            res.close()
            raise
        res.release_conn()
        return res.status, data


def _read(res: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    parts = []
    for part in res.stream(CHUNK_BYTES):
        parts.append(part)
        if time.time() > deadline:
            raise _TooLateError("the answer did not end in time")
    return b"".join(parts)


def _path(kind: ObjectKind, name: str) -> str:
    return f"/v1/objects/{kind.value}/{quote(name, safe='')}"


def _decoded(data: bytes, answer: type[_T]) -> Result[_T, StoreFailure]:
    try:
        return Success(msgspec.json.decode(data, type=answer))
    except msgspec.DecodeError as exc:
        return Failure(StoreFailure(StoreError.AWAY, f"answer not understood: {exc}"))


def _failure(status: int, data: bytes) -> StoreFailure:
    error = _ERRORS.get(status, StoreError.AWAY)
    if error is not StoreError.CONFLICT:
        return StoreFailure(error, f"status {status}")
    current = _decoded(data, StoredObject).value_or(None)
    return StoreFailure(error, f"status {status}", current)
