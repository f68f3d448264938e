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


def _fields(attempt: str, deadline_ms: int) -> dict[str, str]:
    return {
        "Host": HOST,
        "Oleandershift-Attempt-Id": attempt,
        "Oleandershift-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
