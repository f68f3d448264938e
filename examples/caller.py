"""Call a router: once for a plain response and once for a stream.

    python examples/caller.py http://127.30.1.1:8080 KEY SERVICE

The URL and the key of a team are in the `fleet.json` file that `make fleet` writes.
"""

import json
import sys
import time
import uuid

import urllib3

MAX_ATTEMPTS = 5


def call(
    pool: urllib3.PoolManager, url: str, key: str, body: dict[str, object]
) -> urllib3.BaseHTTPResponse:
    """Send a request; retry it when a refusal carries `Retry-After`.

    All attempts carry the same idempotency key, so that the work is done only once.
    """
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": str(uuid.uuid4()),
        "Content-Type": "application/json",
    }
    for _ in range(MAX_ATTEMPTS):
        response = pool.request(
            "POST",
            url,
            body=json.dumps(body),
            headers=headers,
            preload_content=False,
            retries=False,
        )
        not_run = response.headers.get("Oleander-Run") == "not-run"
        if not not_run or "Retry-After" not in response.headers:
            return response
        response.drain_conn()
        time.sleep(float(response.headers["Retry-After"]))
    return response


def main(router: str, key: str, service: str) -> int:
    """Send both requests and print the responses."""
    pool = urllib3.PoolManager()
    url = f"{router}/v1/{service}/generate"
    plain = call(pool, url, key, {"max_tokens": 20, "echo": "whole"})
    request = plain.headers["Oleander-Request-Id"]
    print(plain.status, plain.headers["Oleander-Run"], request, plain.data.decode())
    stream = call(pool, url, key, {"max_tokens": 20, "stream": True})
    for line in stream:
        print(line.decode().rstrip())
    return 0 if (plain.status, stream.status) == (200, 200) else 1


if __name__ == "__main__":
    raise SystemExit(main(*sys.argv[1:4]))
