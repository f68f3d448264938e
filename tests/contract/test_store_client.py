"""Client of the platform's store against a stand-in of the store."""

import time

import msgspec
import pytest
from returns.result import Failure

from oleandershift.digests import StoreSnapshot, encode
from oleandershift.objects import StoreError
from oleandershift.platform.store import StoreClient
from oleandershift.vmsettings import Address
from standins.metastore import MetaStore, StoreMode

PAGE_SIZE = 3


@pytest.fixture
def store():
    created = MetaStore(page_size=PAGE_SIZE)
    created.start()
    yield created
    created.stop()


@pytest.fixture
def client(store):
    created = StoreClient(Address("127.0.0.1", store.port))
    yield created
    created.close()


def names(snapshot):
    return [record.name for record in snapshot.records]


def test_snapshot_contains_the_objects_of_all_pages(store, client):
    for number in range(2 * PAGE_SIZE + 1):
        store.put("servers", f"u{number}", {"n": number})
    snapshot = client.snapshot("servers").unwrap()
    assert names(snapshot) == [f"u{number}" for number in range(2 * PAGE_SIZE + 1)]
    assert snapshot.records[4].spec == {"n": 4}


def test_snapshot_of_a_kind_without_objects_is_empty(client):
    assert client.snapshot("servers").unwrap().records == ()


def test_watch_returns_changes_after_a_revision(store, client):
    store.put("servers", "u1", 1)
    revision = client.snapshot("servers").unwrap().revision
    store.put("servers", "u2", 2)
    store.delete("servers", "u1")
    changes = client.watch("servers", revision, 2.0).unwrap()
    changed = [(record.name, deleted) for record, deleted in changes.records]
    assert changed == [("u2", False), ("u1", True)]
    assert changes.revision > revision


def test_watch_without_changes_returns_none_after_its_wait(store, client):
    revision = client.snapshot("servers").unwrap().revision
    started = time.monotonic()
    assert client.watch("servers", revision, 0.2).unwrap().records == ()
    assert time.monotonic() - started < 1.0


def test_watch_from_a_forgotten_revision_fails_as_gone(store, client):
    store.put("servers", "u1", 1)
    revision = client.snapshot("servers").unwrap().revision
    store.put("servers", "u2", 2)
    store.forget_history()
    failure = client.watch("servers", revision, 0.2).failure()
    assert failure.error is StoreError.GONE


@pytest.mark.parametrize(
    ("mode", "error"),
    [
        (StoreMode.BUSY, StoreError.REFUSED),
        (StoreMode.RESET, StoreError.OUTCOME_UNKNOWN),
        (StoreMode.SILENT, StoreError.OUTCOME_UNKNOWN),
    ],
)
def test_call_to_an_unavailable_store_fails_in_time(store, client, mode, error):
    store.set_mode(mode)
    started = time.monotonic()
    result = client.snapshot("servers")
    assert isinstance(result, Failure)
    assert result.failure().error is error
    assert time.monotonic() - started < 3.0


def test_write_whose_response_is_lost_has_taken_effect(store, client):
    store.set_mode(StoreMode.LOSE_RESPONSES)
    assert (
        client.create("gateways", "vm1", {}).failure().error
        is StoreError.OUTCOME_UNKNOWN
    )
    store.set_mode(StoreMode.SERVE)
    assert client.create("gateways", "vm1", {}).failure().error is StoreError.CONFLICT
    assert client.replace("gateways", "vm1", {"a": 1}).unwrap() == store.era
    assert client.delete("gateways", "vm1").unwrap() == store.era
    assert store.names("gateways") == []


def test_object_with_unexpected_content_does_not_hide_others(store, client):
    store.put("servers", "u1", "text")
    store.put("servers", "u2", {"a": 1})
    specs = [record.spec for record in client.snapshot("servers").unwrap().records]
    assert specs == ["text", {"a": 1}]


def test_answers_name_the_era_of_the_store(store, client):
    store.put("servers", "u1", 1)
    copy = store.copy()
    before = client.snapshot("servers").unwrap()
    store.put("servers", "u2", 2)
    store.restore(copy)
    client.close()
    after = client.snapshot("servers").unwrap()
    assert before.era == store.era - 1
    assert after.era == client.era == store.era
    assert after.position > before.position
    assert [record.era for record in after.records] == [store.era]


def test_watch_from_a_revision_that_the_copy_lacks_fails_as_gone(store, client):
    copy = store.copy()
    store.put("servers", "u1", 1)
    revision = client.snapshot("servers").unwrap().revision
    store.restore(copy)
    client.close()
    failure = client.watch("servers", revision, 0.2).failure()
    assert failure.error is StoreError.GONE
    assert client.era == store.era


def test_pages_of_different_eras_make_no_list(store, client):
    for number in range(2 * PAGE_SIZE):
        store.put("servers", f"u{number}", {"n": number})
    read_page = client._read_page

    def rise_after_the_first_page(kind, after):
        result = read_page(kind, after)
        store.era += 1
        return result

    client._read_page = rise_after_the_first_page
    assert client.snapshot("servers").failure().error is StoreError.GONE


def test_answer_of_an_earlier_era_that_arrives_late_is_not_used(store, client):
    client.snapshot("servers")
    store.era -= 1
    assert isinstance(client.snapshot("servers"), Failure)
    assert client.era == store.era + 1


@pytest.mark.parametrize("era", ["", "x", "-1", "1.5", "9" * 30, "\u00b2"])
def test_era_that_is_no_number_is_taken_for_the_latest(store, client, era):
    client.snapshot("servers")
    known, store.era = store.era, era
    assert client.snapshot("servers").unwrap().era == known


DEEP = b"[" * 5000 + b"]" * 5000
ODD_SPECS = {
    "nested too deeply": DEEP,
    "nested deeply": b'{"a":' * 300 + b"1" + b"}" * 300,
    "integer beyond a float": b'{"slots":1' + b"0" * 400 + b"}",
    "integer of too many digits": b'{"slots":' + b"9" * 6000 + b"}",
    "not a number": b'{"slots":NaN}',
    "no JSON": b'{"slots":}',
    "bytes that are no text": b'{"service":"\xff\xfe"}',
    "brackets in text": b'{"service":"]}\\"[{","slots":NaN}',
    "large": b'{"service":"' + b"x" * 900_000 + b'"}',
}
ODD_KINDS = ("servers", "config")


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
@pytest.mark.parametrize("kind", ODD_KINDS)
def test_odd_object_in_a_list_does_not_hide_others(store, client, kind, spec):
    store.put(kind, "a", {"n": 1})
    store.put(kind, "b", msgspec.Raw(spec))
    store.put(kind, "c", {"n": 3})
    store.put(kind, "d", {"n": 4})
    snapshot = client.snapshot(kind).unwrap()
    assert names(snapshot) == ["a", "b", "c", "d"]
    assert [record.spec for record in snapshot.records if record.name != "b"] == [
        {"n": 1},
        {"n": 3},
        {"n": 4},
    ]
    encode(StoreSnapshot(None, 1, snapshot.records))


@pytest.mark.parametrize("spec", ODD_SPECS.values(), ids=ODD_SPECS)
@pytest.mark.parametrize("kind", ODD_KINDS)
def test_odd_object_in_a_watch_does_not_hide_others(store, client, kind, spec):
    revision = client.snapshot(kind).unwrap().revision
    store.put(kind, "a", {"n": 1})
    store.put(kind, "b", msgspec.Raw(spec))
    store.put(kind, "c", {"n": 3})
    store.delete(kind, "c")
    changes = client.watch(kind, revision, 1.0).unwrap()
    changed = [(record.name, deleted) for record, deleted in changes.records]
    assert changed == [("a", False), ("b", False), ("c", False), ("c", True)]
    assert changes.records[0][0].spec == {"n": 1}
    assert changes.revision == revision + 4


@pytest.mark.parametrize("last", [DEEP, b"NaN"], ids=["deep", "NaN"])
def test_odd_object_at_the_end_of_a_page_does_not_end_the_list(store, client, last):
    """The next page begins after the name of the last object."""
    for number in range(2 * PAGE_SIZE):
        odd = number == PAGE_SIZE - 1
        store.put("servers", f"u{number}", msgspec.Raw(last) if odd else number)
    assert len(client.snapshot("servers").unwrap().records) == 2 * PAGE_SIZE
