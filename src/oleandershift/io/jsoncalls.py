"""HTTP client for JSON requests with a deadline, without retries."""

import time
from collections.abc import Mapping
from dataclasses import dataclass

import urllib3
from returns.result import Failure, Result, Success
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from oleandershift.objects import StoreError, StoreFailure

CONNECT_TIMEOUT_SECONDS = 1.0
"""100 times the round trip time within a region."""

MIN_TIMEOUT_SECONDS = 0.001
"""urllib3 rejects timeouts of 0 or less."""

CHUNK_BYTES = 1 << 16


class _TooLateError(Exception):
    pass


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """Status, body and headers of a response; names of headers in any case."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class JsonClient:
    """Sends requests to one server over a pool of connections.

    Safe to use from several threads.

    Parameters
    ----------
    url : str
        `http://ip:port`.
    connections : int
        Maximum number of connections kept in the pool.
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
    ) -> Result[JsonResponse, StoreFailure]:
        """Send one request and return its response.

        Parameters
        ----------
        method, path : str
            Method and path of the request.
        deadline : float
            Value of `time.monotonic` at which to give up.
        body : bytes, optional
            JSON document.
        headers : mapping, optional
            Additional header fields.
        """
        all_headers = {"Content-Type": "application/json", **(headers or {})}
        try:
            return Success(
                self._send_request(method, path, deadline, body, all_headers)
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            return Failure(StoreFailure(StoreError.REFUSED, str(exc)))
        except (HTTPError, OSError, _TooLateError) as exc:
            return Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, str(exc)))

    def _send_request(
        self,
        method: str,
        path: str,
        deadline: float,
        body: bytes | None,
        headers: Mapping[str, str],
    ) -> JsonResponse:
        remaining = max(MIN_TIMEOUT_SECONDS, deadline - time.monotonic())
        timeout = urllib3.Timeout(
            connect=min(remaining, CONNECT_TIMEOUT_SECONDS), total=remaining
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
            data = _read_body(res, deadline)
        except Exception:
            res.close()
            raise
        res.release_conn()
        return JsonResponse(res.status, data, res.headers)


def _read_body(res: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    chunks = []
    for chunk in res.stream(CHUNK_BYTES):
        chunks.append(chunk)
        if time.monotonic() > deadline:
            raise _TooLateError("response not complete by the deadline")
    return b"".join(chunks)
