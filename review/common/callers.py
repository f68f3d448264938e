"""Callers of the cases."""

import http.client
from collections.abc import Mapping
from types import MappingProxyType

from review.common.harness import HOST, KEY, Gateway


def call(
    gateway: Gateway,
    method: str,
    path: str,
    attempt: str,
    body: bytes = b"case=17",
    deadline_ms: int = 4000,
    extra: Mapping[str, str] = MappingProxyType({}),
) -> tuple[int, bytes]:
    """Send a request on a new connection; return status and body of its answer.

    The status is 0 if the connection ends without a complete answer.
    """
    conn = http.client.HTTPConnection(gateway.ip, gateway.frontend, timeout=10)
    try:
        conn.request(
            method, path, body=body, headers={**_fields(attempt, deadline_ms), **extra}
        )
        res = conn.getresponse()
        return res.status, res.read()
    except (OSError, http.client.HTTPException) as exc:
        return 0, repr(exc).encode()
    finally:
        conn.close()


class KeptChannel:
    """A caller's connection that is kept for many requests.

    Parameters
    ----------
    gateway : Gateway
        The gateway to connect to.

    Attributes
    ----------
    uses : int
        Requests that were answered on the current connection.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._conn: http.client.HTTPConnection | None = None
        self.uses = 0

    def call(self, method: str, path: str, attempt: str) -> tuple[int, bytes]:
        """Send a request; the status is 0 if the connection ends without an answer."""
        if self._conn is None:
            self.uses = 0
            self._conn = http.client.HTTPConnection(
                self._gateway.ip, self._gateway.frontend, timeout=10
            )
        try:
            self._conn.request(
                method, path, body=b"case=17", headers=_fields(attempt, 4000)
            )
            res = self._conn.getresponse()
            answer = res.status, res.read()
        except (OSError, http.client.HTTPException) as exc:
            self.close()
            return 0, repr(exc).encode()
        self.uses += 1
        if res.will_close:
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None


def _fields(attempt: str, deadline_ms: int) -> dict[str, str]:
    return {
        "Host": HOST,
        "Oleandershift-Attempt-Id": attempt,
        "Oleandershift-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
