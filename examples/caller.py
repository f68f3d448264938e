"""Call a router: one whole answer, and one streamed.

    python examples/caller.py http://127.30.1.1:8080 KEY SERVICE

The URL and a team's key stand in the `fleet.json` that `make fleet` writes.
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
    """Send a request; come back when a refusal says when.

    The idempotency key stays the same over all tries, so that the work is done once.
    """
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": str(uuid.uuid4()),
        "Content-Type": "application/json",
    }
    for _ in range(MAX_ATTEMPTS):
        answer = pool.request(
            "POST",
            url,
            body=json.dumps(body),
            headers=headers,
            preload_content=False,
            retries=False,
        )
        not_run = answer.headers.get("Oleander-Run") == "not-run"
        if not not_run or "Retry-After" not in answer.headers:
            return answer
        answer.drain_conn()
        time.sleep(float(answer.headers["Retry-After"]))
    return answer


def main(router: str, key: str, service: str) -> int:
    """Call and print what came."""
    pool = urllib3.PoolManager()
    url = f"{router}/v1/{service}/generate"
    whole = call(pool, url, key, {"max_tokens": 20, "echo": "whole"})
    request = whole.headers["Oleander-Request-Id"]
    print(whole.status, whole.headers["Oleander-Run"], request, whole.data.decode())
    streamed = call(pool, url, key, {"max_tokens": 20, "stream": True})
    for line in streamed:
        print(line.decode().rstrip())
    return 0 if (whole.status, streamed.status) == (200, 200) else 1


if __name__ == "__main__":
    raise SystemExit(main(*sys.argv[1:4]))
