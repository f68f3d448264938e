"""HTTP client of the platform's object API."""

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
"""Part of a watch's timeout that is left for the response to arrive."""

_ERRORS_BY_STATUS = {
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
    """An `ObjectStore` backed by the platform, which also lists the VMs.

    Safe to use from several threads. Reads and writes are both sent only once; the
    caller decides whether to retry.

    Parameters
    ----------
    url : str
        `http://ip:port`.
    """

    def __init__(self, url: str) -> None:
        self._client = JsonClient(url, POOL_CONNECTIONS)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def get(self, kind: ObjectKind, name: str, deadline: float) -> ObjectResult:
        """Read an object."""
        return self._request("GET", _object_path(kind, name), deadline, StoredObject)

    def create(
        self, kind: ObjectKind, name: str, value: bytes, deadline: float
    ) -> ObjectResult:
        """Create an object if it does not exist."""
        headers = {"If-None-Match": "*"}
        path = _object_path(kind, name)
        return self._request("PUT", path, deadline, StoredObject, value, headers)

    def update(
        self, kind: ObjectKind, name: str, value: bytes, version: int, deadline: float
    ) -> ObjectResult:
        """Replace an object if it is still at `version`."""
        headers = {"If-Match": f'"{version}"'}
        path = _object_path(kind, name)
        return self._request("PUT", path, deadline, StoredObject, value, headers)

    def delete(
        self, kind: ObjectKind, name: str, version: int, deadline: float
    ) -> Result[None, StoreFailure]:
        """Delete an object if it is still at `version`."""
        headers = {"If-Match": f'"{version}"'}
        path = _object_path(kind, name)
        result = self._request("DELETE", path, deadline, Any, None, headers)
        return result.map(lambda _: None)

    def list(
        self, kind: ObjectKind, after: str, limit: int, deadline: float
    ) -> Result[ObjectList, StoreFailure]:
        """Read a page of objects whose names sort after `after`."""
        query = f"?limit={limit}&after={quote(after, safe='')}"
        path = f"/v1/objects/{kind.value}{query}"
        return self._request("GET", path, deadline, ObjectList)

    def watch(
        self, kind: ObjectKind, revision: int, deadline: float
    ) -> Result[ObjectChanges, StoreFailure]:
        """Wait for changes after `revision`, and return by `deadline`."""
        wait_seconds = max(0.0, deadline - time.time() - WATCH_MARGIN_SECONDS)
        path = f"/v1/watch/{kind.value}?from={revision}&timeout={wait_seconds:.3f}"
        return self._request("GET", path, deadline, ObjectChanges)

    def list_vms(self, deadline: float) -> Result[tuple[ListedVm, ...], StoreFailure]:
        """Read the list of live and leaving VMs."""
        result = self._request("GET", "/v1/vms", deadline, _VmList)
        return result.map(lambda vm_list: vm_list.vms)

    def _request(
        self,
        method: str,
        path: str,
        deadline: float,
        response_type: type[_T],
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[_T, StoreFailure]:
        monotonic_deadline = time.monotonic() + deadline - time.time()
        result = self._client.request(method, path, monotonic_deadline, body, headers)
        if isinstance(result, Failure):
            return Failure(result.failure())
        res = result.unwrap()
        if res.status in (200, 201):
            return _decode_body(res.body, response_type)
        return Failure(_failure_of_status(res.status, res.body))


def _object_path(kind: ObjectKind, name: str) -> str:
    return f"/v1/objects/{kind.value}/{quote(name, safe='')}"


def _decode_body(data: bytes, response_type: type[_T]) -> Result[_T, StoreFailure]:
    try:
        return Success(msgspec.json.decode(data, type=response_type))
    except msgspec.DecodeError as exc:
        return Failure(
            StoreFailure(StoreError.OUTCOME_UNKNOWN, f"invalid response body: {exc}")
        )


def _failure_of_status(status: int, data: bytes) -> StoreFailure:
    error = _ERRORS_BY_STATUS.get(status, StoreError.OUTCOME_UNKNOWN)
    if error is not StoreError.CONFLICT:
        return StoreFailure(error, f"status {status}")
    current = _decode_body(data, StoredObject).value_or(None)
    return StoreFailure(error, f"status {status}", current)
