"""JSON calls over HTTP with a deadline, by urllib3; each is sent once."""

import time
from collections.abc import Mapping

import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from oleandershift.objects import StoreError, StoreFailure

CONNECT_TIMEOUT_SECONDS = 1.0
"""Longest connect; a region's round trip is a hundredth of it."""

MIN_TIMEOUT_SECONDS = 0.001
CHUNK_BYTES = 1 << 16


class _TooLateError(Exception):
    pass


class JsonClient:
    """Calls to one server, over a pool of connections.

    Safe to use from several threads.

    Parameters
    ----------
    url : str
        `http://ip:port`.
    connections : int
        Connections that are kept.
    """

    def __init__(self, url: str, connections: int) -> None:
        self._url = url
        self._pool = urllib3.PoolManager(maxsize=connections, retries=False)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.clear()

    def request(
        self,
        method: str,
        path: str,
        deadline: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[tuple[int, bytes], StoreFailure]:
        """Send one request and return the answer's status and body.

        Parameters
        ----------
        method, path : str
            What is called.
        deadline : float
            Instant of `time.monotonic` at which to give up.
        body : bytes, optional
            JSON.
        headers : mapping, optional
            Further header fields.
        """
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        try:
            return Success(self._exchange(method, path, deadline, body, all_headers))
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return Failure(StoreFailure(StoreError.REFUSED, str(exc)))
        except (HTTPError, OSError, _TooLateError) as exc:
            return Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, str(exc)))

    def _exchange(
        self,
        method: str,
        path: str,
        deadline: float,
        body: bytes | None,
        headers: Mapping[str, str],
    ) -> tuple[int, bytes]:
        left = max(MIN_TIMEOUT_SECONDS, deadline - time.monotonic())
        timeout = urllib3.Timeout(
            connect=min(left, CONNECT_TIMEOUT_SECONDS), total=left
        )
        res = self._pool.request(
            method,
            self._url + path,
            body=body,
            headers=headers,
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
        if time.monotonic() > deadline:
            raise _TooLateError("the answer did not end in time")
    return b"".join(parts)
