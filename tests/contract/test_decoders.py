"""Fuzz tests of the decoders of external data."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Success

from oleandershift.allocation import Allocator
from oleandershift.calls import ApiKeyIndex, RawRequest, parse_call
from oleandershift.checks import check_row_json
from oleandershift.fair import FairPolicy
from oleandershift.ids import RequestId, VmId
from oleandershift.keys import hash_key
from oleandershift.membership import Membership
from oleandershift.messages import (
    MAX_MESSAGE_BYTES,
    Body,
    Envelope,
    Row,
    decode,
    encode,
)
from oleandershift.processes import LocalProcesses
from oleandershift.replica import Replica, Table
from oleandershift.replication import PeerAddress, Replication
from oleandershift.rows import RowKind
from oleandershift.sheet import read_sheet
from oleandershift.subscription import Subscription
from oleandershift.timeline import Timeline
from tests.samples import (
    ADDRESS,
    ALLOCATOR,
    BODIES,
    MEMBER,
    NOW,
    REGION,
    ROUTER,
    SERVICE,
    envelope,
    mutations,
)

SEED = 20
MUTATIONS = 1500
NAMES = [type(body).__name__ for body in BODIES]


def decode_or_none(data: bytes) -> Envelope | None:
    try:
        return decode(data)
    except msgspec.DecodeError:
        return None


@pytest.mark.parametrize("body", BODIES, ids=NAMES)
def test_every_message_round_trips(body: Body) -> None:
    sent = envelope(body)
    assert decode(encode(sent)) == sent


def test_every_message_type_has_a_sample() -> None:
    assert set(Body.__args__) == {type(body) for body in BODIES}


@pytest.mark.parametrize("body", BODIES, ids=NAMES)
def test_mutated_message_decodes_or_raises_decode_error(body: Body) -> None:
    data = encode(envelope(body))
    results = [decode_or_none(mutated) for mutated in mutations(data, SEED, MUTATIONS)]
    assert None in results


@given(st.binary(max_size=400))
@settings(deadline=None)
def test_arbitrary_bytes_decode_or_raise_decode_error(data: bytes) -> None:
    decode_or_none(data)


def test_oversized_message_is_rejected() -> None:
    assert decode_or_none(bytes(MAX_MESSAGE_BYTES + 1)) is None


class Receivers:
    """The sans-I/O objects that handle messages."""

    def __init__(self) -> None:
        self.allocator = Allocator(SERVICE, REGION, ALLOCATOR, ADDRESS, NOW)
        self.policy = FairPolicy(ROUTER, REGION, ADDRESS)
        self.members = Membership(MEMBER, [ADDRESS], SEED)
        self.replication = Replication(ADDRESS, SEED)
        self.processes = LocalProcesses(Replica())
        self.subscription = Subscription(ADDRESS)
        for target in (self.allocator, self.policy):
            target.configure(NOW, Table(), {MEMBER.vm: MEMBER}, frozenset())

    def deliver(self, received: Envelope) -> None:
        """Pass a message to each object; like a daemon, drop it on an exception."""
        body = received.body
        peer = PeerAddress(ADDRESS, REGION)
        sender = VmId(received.sender.vm)
        view = self.members.local_view()
        calls = (
            lambda: self.allocator.on_envelope(NOW, received),
            lambda: self.policy.on_envelope(NOW, received),
            lambda: self.members.on_message(NOW, sender, body),
            lambda: self.replication.apply_rows(getattr(body, "rows", ()), []),
            lambda: self.replication.on_summary(peer, body),
            lambda: self.processes.on_status_report(NOW, body),
            lambda: self.processes.on_subscribe(NOW, received.sender, body, view),
            lambda: self.subscription.on_message(1, body),
        )
        for call in calls:
            try:
                call()
            except Exception as exc:
                self.last_error = exc

    def tick(self, now: float) -> None:
        """Run the periodic work of each object; none may raise."""
        self.allocator.on_tick(now)
        self.policy.on_tick(now)
        self.members.on_tick(now)
        self.processes.expire(now)
        self.replication.digest()
        self.subscription.on_tick(now, True)


@pytest.mark.parametrize("body", BODIES, ids=NAMES)
def test_ticks_succeed_after_mutated_messages(body: Body) -> None:
    receivers = Receivers()
    data = encode(envelope(body))
    for number, mutated in enumerate(mutations(data, SEED, MUTATIONS)):
        received = decode_or_none(mutated)
        if received is not None:
            receivers.deliver(received)
            receivers.tick(NOW + number * 0.05)


SAMPLE_ROWS = {
    RowKind.SERVICES: b'{"name":"draft","mode":"engine","max_body_bytes":100}',
    RowKind.UPSTREAMS: (
        b'{"name":"u","service":"draft","region":"south",'
        b'"url":"http://127.0.0.1:1","slots":4,"state":"active"}'
    ),
    RowKind.TEAMS: b'{"name":"a","weight":2.5,"key_hashes":["00"],"max_rate":1e3}',
}


@pytest.mark.parametrize("kind", RowKind)
def test_mutated_row_is_checked_without_an_exception(kind: RowKind) -> None:
    for mutated in mutations(SAMPLE_ROWS[kind], SEED, MUTATIONS):
        name = msgspec.json.decode(SAMPLE_ROWS[kind])["name"]
        check_row_json(kind, name, mutated)


def test_mutated_sheet_is_read_without_an_exception() -> None:
    sheet = b"kind,name,weight\r\nteams,a,2.5\r\nteams,b,1\r\n"
    for mutated in mutations(sheet, SEED, MUTATIONS):
        read_sheet(mutated)


def test_mutated_log_lines_are_read_or_counted_as_faults() -> None:
    line = (
        b'{"event":{"wall":1,"logical":0,"vm":"vm-1","region":"r","process":"router",'
        b'"incarnation":1,"name":"started","detail":"x"}}'
    )
    timeline = Timeline()
    timeline.add_lines(mutations(line, SEED, MUTATIONS))
    assert sum(timeline.faults.values()) + len(timeline.events()) > 0


@given(st.binary(max_size=200))
@settings(deadline=None)
def test_arbitrary_log_line_is_read_without_an_exception(line: bytes) -> None:
    Timeline().add_lines([line])


CALL_TABLE = Table(
    Row(kind.value, name, 1, value)
    for kind, name, value in (
        (
            RowKind.SERVICES,
            "draft",
            b'{"name":"draft","non_idempotent":["POST /once"]}',
        ),
        (
            RowKind.TEAMS,
            "a",
            b'{"name":"a","key_hashes":["%s"]}' % hash_key("k").encode(),
        ),
    )
)
UNUSUAL_VALUES = (
    "nan",
    "-inf",
    "1e999",
    "9999-12-31T23:59:59-23:59",
    "9" * 400,
    "quick",
)
OPTIONAL_HEADERS = (
    "idempotency-key",
    "oleander-deadline",
    "oleander-cost-hint",
    "oleander-kind",
)
LATIN1_TEXT = st.text(st.characters(max_codepoint=255), max_size=40)


@given(
    st.sampled_from(["GET", "POST", "DELETE", "BREW"]),
    st.one_of(
        LATIN1_TEXT,
        st.builds("/v1/draft/{}".format, LATIN1_TEXT),
        st.sampled_from(["/v1/draft/x", "/v1/draft/once", "/v1/draft/%ff?%"]),
    ),
    st.fixed_dictionaries(
        {"authorization": st.one_of(st.just("Bearer k"), LATIN1_TEXT)},
        optional={
            name: st.one_of(LATIN1_TEXT, st.sampled_from(UNUSUAL_VALUES))
            for name in OPTIONAL_HEADERS
        },
    ),
    st.binary(max_size=20),
)
@settings(deadline=None, max_examples=400)
def test_arbitrary_request_is_a_valid_call_or_a_problem(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> None:
    raw = RawRequest(method, target, headers, body)
    result = parse_call(raw, CALL_TABLE, ApiKeyIndex(CALL_TABLE), RequestId("r"))
    if isinstance(result, Success):
        call = result.unwrap()
        assert call.cost_hint is None or 0 < call.cost_hint < float("inf")
        # A deadline that is not a number would differ from itself.
        assert call.deadline is None or call.deadline == call.deadline
