"""Client of the platform's object API, by urllib3."""

import time
from collections.abc import Mapping
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.io.jsoncalls import JsonClient
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

POOL_CONNECTIONS = 16
WATCH_MARGIN_SECONDS = 2.0

_ERRORS = {
    404: StoreError.NOT_FOUND,
    410: StoreError.GONE,
    412: StoreError.CONFLICT,
    413: StoreError.TOO_LARGE,
    429: StoreError.REFUSED,
}


class _VmList(msgspec.Struct, frozen=True):
    vms: tuple[ListedVm, ...]


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
        self._calls = JsonClient(url, POOL_CONNECTIONS)

    def close(self) -> None:
        """Close idle connections."""
        self._calls.close()

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

    def list_vms(self, deadline: float) -> Result[tuple[ListedVm, ...], StoreFailure]:
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
        until = time.monotonic() + deadline - time.time()
        result = self._calls.request(method, path, until, body, headers)
        if isinstance(result, Failure):
            return Failure(result.failure())
        status, data = result.unwrap()
        if status in (200, 201):
            return _decoded(data, answer)
        return Failure(_failure(status, data))


def _path(kind: ObjectKind, name: str) -> str:
    return f"/v1/objects/{kind.value}/{quote(name, safe='')}"


def _decoded(data: bytes, answer: type[_T]) -> Result[_T, StoreFailure]:
    try:
        return Success(msgspec.json.decode(data, type=answer))
    except msgspec.DecodeError as exc:
        return Failure(
            StoreFailure(StoreError.OUTCOME_UNKNOWN, f"answer not understood: {exc}")
        )


def _failure(status: int, data: bytes) -> StoreFailure:
    error = _ERRORS.get(status, StoreError.OUTCOME_UNKNOWN)
    if error is not StoreError.CONFLICT:
        return StoreFailure(error, f"status {status}")
    current = _decoded(data, StoredObject).value_or(None)
    return StoreFailure(error, f"status {status}", current)
