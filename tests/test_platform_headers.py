"""Header fields of the platform, decoded once."""

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
def read():
    return headers.parse(REQUEST)


def test_size_of_a_generation(read):
    assert (read.prompt.tokens, read.prompt.max_output_tokens) == (1460, 80)
    assert read.prompt.output_tokens == 60
    assert read.prompt.unique_tokens == 250


def test_times_and_ids(read):
    assert read.attempt_id == "9c41"
    assert read.timeout_ms == 15000
    assert read.last_event_id == 12


def test_plain_request_has_no_prompt():
    assert headers.parse([(b"host", b"a")]).prompt is None


def test_hint_longer_than_allowed_output_is_cut():
    fields = [(b"oleandershift-token-usage", b"10,20")]
    found = headers.parse([*fields, (b"oleandershift-length-hint", b"99")])
    assert found.prompt.output_tokens == 20


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
def test_malformed_field_names_itself(field):
    with pytest.raises(MalformedRequestError, match=field[0].decode()):
        headers.parse([field])


def test_repeated_id_is_refused():
    with pytest.raises(MalformedRequestError, match="repeated"):
        headers.parse([REQUEST[0], REQUEST[0]])


def test_callers_cannot_set_what_the_system_sets():
    for name in (b"oleandershift-tenant", b"kv-from", b"oleandershift-pin-ms"):
        assert name in headers.RESERVED_HEADERS
