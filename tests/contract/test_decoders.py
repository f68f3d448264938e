"""Fuzz tests of what decodes other programs' data."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Success

from oleandershift.allocation import Allocator
from oleandershift.calls import KeyIndex, RawRequest, parse_call
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


def decoded(data: bytes) -> Envelope | None:
    try:
        return decode(data)
    except msgspec.DecodeError:
        return None


@pytest.mark.parametrize("body", BODIES, ids=NAMES)
def test_every_message_round_trips(body: Body) -> None:
    sent = envelope(body)
    assert decode(encode(sent)) == sent


def test_every_kind_of_body_has_a_sample() -> None:
    assert set(Body.__args__) == {type(body) for body in BODIES}


@pytest.mark.parametrize("body", BODIES, ids=NAMES)
def test_mutated_message_decodes_or_fails_with_one_error(body: Body) -> None:
    data = encode(envelope(body))
    found = [decoded(mutated) for mutated in mutations(data, SEED, MUTATIONS)]
    assert None in found


@given(st.binary(max_size=400))
@settings(deadline=None)
def test_any_bytes_decode_or_fail_with_one_error(data: bytes) -> None:
    decoded(data)


def test_oversized_message_is_refused() -> None:
    assert decoded(bytes(MAX_MESSAGE_BYTES + 1)) is None


class Receivers:
    """The sans-IO objects that messages reach."""

    def __init__(self) -> None:
        self.allocator = Allocator(SERVICE, REGION, ALLOCATOR, ADDRESS, NOW)
        self.policy = FairPolicy(ROUTER, REGION, ADDRESS)
        self.members = Membership(MEMBER, [ADDRESS], SEED)
        self.replication = Replication(ADDRESS, SEED)
        self.processes = LocalProcesses(Replica())
        self.subscription = Subscription(ADDRESS)
        for target in (self.allocator, self.policy):
            target.configure(NOW, Table(), {MEMBER.vm: MEMBER}, frozenset())

    def take(self, received: Envelope) -> None:
        """Give a message to each; a failure drops the message, as in a daemon."""
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
                self.last = exc

    def tick(self, now: float) -> None:
        """Let time pass; nothing may fail."""
        self.allocator.on_tick(now)
        self.policy.on_tick(now)
        self.members.on_tick(now)
        self.processes.expire(now)
        self.replication.digest()
        self.subscription.on_tick(now, True)


@pytest.mark.parametrize("body", BODIES, ids=NAMES)
def test_objects_live_on_after_mutated_messages(body: Body) -> None:
    receivers = Receivers()
    data = encode(envelope(body))
    for number, mutated in enumerate(mutations(data, SEED, MUTATIONS)):
        received = decoded(mutated)
        if received is not None:
            receivers.take(received)
            receivers.tick(NOW + number * 0.05)


ROWS = {
    RowKind.SERVICES: b'{"name":"draft","mode":"engine","max_body_bytes":100}',
    RowKind.UPSTREAMS: (
        b'{"name":"u","service":"draft","region":"south",'
        b'"url":"http://127.0.0.1:1","slots":4,"state":"active"}'
    ),
    RowKind.TEAMS: b'{"name":"a","weight":2.5,"key_hashes":["00"],"max_rate":1e3}',
}


@pytest.mark.parametrize("kind", RowKind)
def test_mutated_row_gives_findings_or_a_usable_row(kind: RowKind) -> None:
    for mutated in mutations(ROWS[kind], SEED, MUTATIONS):
        name = msgspec.json.decode(ROWS[kind])["name"]
        check_row_json(kind, name, mutated)


def test_mutated_sheet_gives_rows_or_findings() -> None:
    sheet = b"kind,name,weight\r\nteams,a,2.5\r\nteams,b,1\r\n"
    for mutated in mutations(sheet, SEED, MUTATIONS):
        read_sheet(mutated)


def test_mutated_log_lines_are_counted_or_read() -> None:
    line = (
        b'{"event":{"wall":1,"logical":0,"vm":"vm-1","region":"r","process":"router",'
        b'"incarnation":1,"name":"started","detail":"x"}}'
    )
    timeline = Timeline()
    timeline.add_lines(mutations(line, SEED, MUTATIONS))
    assert sum(timeline.faults.values()) + len(timeline.events()) > 0


@given(st.binary(max_size=200))
@settings(deadline=None)
def test_any_log_line_is_survived(line: bytes) -> None:
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
ODD = ("nan", "-inf", "1e999", "9999-12-31T23:59:59-23:59", "9" * 400, "quick")
OPTIONAL = (
    "idempotency-key",
    "oleander-deadline",
    "oleander-cost-hint",
    "oleander-kind",
)
LATIN = st.text(st.characters(max_codepoint=255), max_size=40)


@given(
    st.sampled_from(["GET", "POST", "DELETE", "BREW"]),
    st.one_of(
        LATIN,
        st.builds("/v1/draft/{}".format, LATIN),
        st.sampled_from(["/v1/draft/x", "/v1/draft/once", "/v1/draft/%ff?%"]),
    ),
    st.fixed_dictionaries(
        {"authorization": st.one_of(st.just("Bearer k"), LATIN)},
        optional={name: st.one_of(LATIN, st.sampled_from(ODD)) for name in OPTIONAL},
    ),
    st.binary(max_size=20),
)
@settings(deadline=None, max_examples=400)
def test_any_request_is_a_call_or_a_problem(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> None:
    raw = RawRequest(method, target, headers, body)
    result = parse_call(raw, CALL_TABLE, KeyIndex(CALL_TABLE), RequestId("r"))
    if isinstance(result, Success):
        call = result.unwrap()
        assert call.cost_hint is None or 0 < call.cost_hint < float("inf")
        assert call.deadline is None or call.deadline == call.deadline
