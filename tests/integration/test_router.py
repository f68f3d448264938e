"""Tests of a router process whose upstreams fail."""

import json

import pytest

STREAM = b'{"stream": true}'


def test_caller_gets_its_own_response(router) -> None:
    response = router.call("POST", "/v1/chat/generate", b"{}", X_Echo="mine")
    assert response.status == 200
    assert response.json()["echo"] == "mine"
    assert response.headers["Oleander-Run"] == "ran"
    assert len(response.headers["Oleander-Request-Id"]) == 32


REFUSALS = [
    ("unknown key", "/v1/chat/x", {"Authorization": "Bearer no"}, b"", 401),
    ("no key", "/v1/chat/x", {"Authorization": ""}, b"", 401),
    ("unknown service", "/v1/none/x", {}, b"", 404),
    ("outside the prefix", "/v2/chat/x", {}, b"", 404),
    ("reserved path", "/v1/chat/-/cancel/x", {}, b"", 404),
    ("bad deadline", "/v1/chat/x", {"Oleander-Deadline": "soon"}, b"", 400),
    ("naive deadline", "/v1/chat/x", {"Oleander-Deadline": "2030-01-01"}, b"", 400),
    ("bad hint", "/v1/chat/x", {"Oleander-Cost-Hint": "-1"}, b"", 400),
    ("infinite hint", "/v1/chat/x", {"Oleander-Cost-Hint": "inf"}, b"", 400),
    ("bad kind", "/v1/chat/x", {"Oleander-Kind": "slow"}, b"", 400),
    ("dot segments", "/v1/chat/a/%2e%2e/b", {}, b"", 400),
    ("no idempotency key", "/v1/chat/charge", {}, b"", 400),
    ("same, doubled slash", "/v1/chat//charge", {}, b"", 400),
    ("same, escaped", "/v1/chat/%63harge", {}, b"", 400),
    ("same, under a pattern", "/v1/chat/charges/7?x=1", {}, b"", 400),
    ("body too large", "/v1/chat/x", {}, b"x" * 5000, 413),
    (
        "deadline passed",
        "/v1/chat/x",
        {"Oleander-Deadline": "2020-01-01T00:00:00Z"},
        b"",
        504,
    ),
]


@pytest.mark.parametrize(
    ("path", "headers", "body", "status"),
    [case[1:] for case in REFUSALS],
    ids=[case[0] for case in REFUSALS],
)
def test_refusal_is_a_problem_document(
    router, upstream, path, headers, body, status
) -> None:
    header_args = {name.replace("-", "_"): value for name, value in headers.items()}
    response = router.call("POST", path, body, **header_args)
    assert response.status == status
    assert response.headers["Content-Type"] == "application/problem+json"
    assert response.headers["Oleander-Run"] == "not-run"
    document = response.json()
    assert document["status"] == status
    assert document["run"] == "not-run"
    assert document["request_id"] == response.headers["Oleander-Request-Id"]
    assert upstream.ledger.executions() == ()


RECOVERABLE_FAULTS = [
    # fault, body, executions, status
    ("none", b"{}", 1, 200),
    ("late", b"{}", 1, 200),
    ("wrong-id", b"{}", 2, 200),
    ("no-id", b"{}", 2, 200),
    ("crossed", b"{}", 2, 200),
    ("short", b"{}", 2, 200),
    ("twice", b"{}", 1, 200),
    ("close-before", b"{}", 1, 200),
    ("close-after", b"{}", 2, 200),
    ("no-length", b"{}", 2, 200),
    ("bad-status", b"{}", 2, 200),
    ("chunked", b"{}", 1, 200),
    ("cut-stream", STREAM, 1, 200),
    ("cut-stream-start", STREAM, 1, 200),
    ("gap", STREAM, 1, 200),
    ("repeat", STREAM, 1, 200),
    ("no-done", STREAM, 1, 200),
]


def _text(body: bytes) -> str:
    if not body.startswith(b"id:"):
        return json.loads(body)["echo"]
    payloads = [part.split(b"data: ")[1] for part in body.strip().split(b"\n\n")]
    assert payloads[-1] == b"[DONE]"
    return "".join(json.loads(data)["text"] for data in payloads[:-2])


@pytest.mark.parametrize(("fault", "body", "executions", "status"), RECOVERABLE_FAULTS)
def test_idempotent_call_succeeds_after_an_upstream_fault(
    router, upstream, fault, body, executions, status
) -> None:
    response = router.call(
        "POST", "/v1/chat/x", body, X_Echo="mine", X_Fault=fault, X_Fault_Once="yes"
    )
    assert response.status == status
    expected = "".join(f"mine:{index} " for index in range(5))
    assert _text(response.data) == (expected if body == STREAM else "mine")
    assert len(upstream.ledger.executions()) == executions
    following = router.call("POST", "/v1/chat/x", b"{}", X_Echo="next")
    assert following.json()["echo"] == "next"
