"""Decoding of the platform's request headers."""

import pytest
from upstreams import make_upstream

from oleandershift.demand import DemandMeter
from oleandershift.digests import decode_digest, encode
from oleandershift.exceptions import MalformedRequestError
from oleandershift.fleetview import FleetView
from oleandershift.ids import DataCentreId, Incarnation, TeamId, VmId
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.platform import headers
from oleandershift.state import FleetState
from oleandershift.telling import DigestExchange
from oleandershift.vmsettings import Address

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


@pytest.mark.parametrize("tokens", [b"18446744073709551615", b"9" * 5000])
def test_number_of_tokens_beyond_any_memory_does_not_end_the_digests(tokens):
    """Clients that mean no maximum send the largest number that they have."""
    fields = [
        (b"oleandershift-token-usage", tokens + b"," + tokens),
        (b"oleandershift-prompt-prefix", b"5c1e:" + tokens),
        (b"oleandershift-length-hint", tokens),
    ]
    prompt = headers.parse(fields).prompt
    assert prompt.tokens == prompt.output_tokens == headers.MAX_TOKENS
    table = PeerTable(VmId("vm"), DataCentreId("here"))
    state = FleetState(table, FleetView(), LoadTracker(10.0), DemandMeter(4.0))
    for _ in range(1000):
        state.loads.begin(0.0, make_upstream(), prompt)
        state.demand.record_request(0.0, TeamId("t"), prompt.weighted_tokens)
    peer = Peer(table.vm, table.data_centre, Address("vm", 1))
    exchange = DigestExchange(peer, Incarnation(1), state)
    for addressed in exchange.next_digests(0.1):
        assert decode_digest(encode(addressed.message)).unwrap().work


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


@pytest.mark.parametrize(
    ("value", "expected"), [(b"0", 0), (b"3", 3), (b"", None), (None, None)]
)
def test_last_event_0_is_told_from_none(value, expected):
    fields = [] if value is None else [(b"last-event-id", value)]
    assert headers.parse(fields).last_event_id == expected
