"""Decoding of the platform's request headers."""

import pytest

from oleandershift.exceptions import MalformedRequestError
from oleandershift.platform import headers

REQUEST = [
    (b"oleandershift-attempt-id", b"9c41"),
    (b"oleandershift-token-usage", b"1460,80"),
    (b"oleandershift-prompt-prefix", b"5c1e:800,91bd:410,e440:250"),
    (b"oleandershift-deadline-ms", b"15000"),
    (b"oleandershift-length-hint", b"60"),
    (b"last-event-id", b"12"),
]


@pytest.fixture
def caller_headers():
    return headers.parse(REQUEST)


def test_prompt_size_is_decoded(caller_headers):
    assert (caller_headers.prompt.tokens, caller_headers.prompt.max_output_tokens) == (
        1460,
        80,
    )
    assert caller_headers.prompt.output_tokens == 60
    assert caller_headers.prompt.unique_tokens == 250


def test_timeout_and_ids_are_decoded(caller_headers):
    assert caller_headers.attempt_id == "9c41"
    assert caller_headers.timeout_ms == 15000
    assert caller_headers.last_event_id == 12


def test_request_without_token_usage_has_no_prompt():
    assert headers.parse([(b"host", b"a")]).prompt is None


def test_length_hint_is_capped_at_the_output_limit():
    fields = [(b"oleandershift-token-usage", b"10,20")]
    parsed = headers.parse([*fields, (b"oleandershift-length-hint", b"99")])
    assert parsed.prompt.output_tokens == 20


@pytest.mark.parametrize(
    "field",
    [
        (b"oleandershift-deadline-ms", b"soon"),
        (b"oleandershift-deadline-ms", b"-1"),
        (b"oleandershift-deadline-ms", b"inf"),
        (b"oleandershift-token-usage", b"x,1"),
        (b"oleandershift-token-usage", b"-5,1"),
        (b"last-event-id", b"1e3"),
    ],
)
def test_error_names_the_malformed_header(field):
    with pytest.raises(MalformedRequestError, match=field[0].decode()):
        headers.parse([field])


def test_repeated_attempt_id_is_rejected():
    with pytest.raises(MalformedRequestError, match="repeated"):
        headers.parse([REQUEST[0], REQUEST[0]])


def test_headers_of_the_system_are_reserved():
    for name in (b"oleandershift-tenant", b"kv-from", b"oleandershift-pin-ms"):
        assert name in headers.RESERVED_HEADERS
