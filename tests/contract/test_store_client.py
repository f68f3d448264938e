"""The client of the platform's store against its stand-in."""

import time

import pytest
from returns.result import Failure

from oleandershift.objects import StoreError
from oleandershift.platform.store import StoreClient
from oleandershift.vmsettings import Address
from standins.metastore import MetaStore, StoreMode

PAGE = 3


@pytest.fixture
def store():
    made = MetaStore(page=PAGE)
    made.start()
    yield made
    made.stop()


@pytest.fixture
def client(store):
    made = StoreClient(Address("127.0.0.1", store.port))
    yield made
    made.close()


def names(snapshot):
    return [record.name for record in snapshot.records]


def test_snapshot_reads_all_pages(store, client):
    for number in range(2 * PAGE + 1):
        store.put("servers", f"u{number}", {"n": number})
    snapshot = client.snapshot("servers").unwrap()
    assert names(snapshot) == [f"u{number}" for number in range(2 * PAGE + 1)]
    assert snapshot.records[4].spec == {"n": 4}


def test_snapshot_of_a_kind_that_has_no_objects(client):
    assert client.snapshot("servers").unwrap().records == ()


def test_watch_returns_changes_after_a_revision(store, client):
    store.put("servers", "u1", 1)
    revision = client.snapshot("servers").unwrap().revision
    store.put("servers", "u2", 2)
    store.delete("servers", "u1")
    changes = client.watch("servers", revision, 2.0).unwrap()
    seen = [(record.name, gone) for record, gone in changes.records]
    assert seen == [("u2", False), ("u1", True)]
    assert changes.revision > revision


def test_watch_without_changes_ends(store, client):
    revision = client.snapshot("servers").unwrap().revision
    started = time.monotonic()
    assert client.watch("servers", revision, 0.2).unwrap().records == ()
    assert time.monotonic() - started < 1.0


def test_lost_history_is_told(store, client):
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
def test_store_that_is_away(store, client, mode, error):
    store.set_mode(mode)
    started = time.monotonic()
    result = client.snapshot("servers")
    assert isinstance(result, Failure)
    assert result.failure().error is error
    assert time.monotonic() - started < 3.0


def test_lost_answer_of_a_write_has_taken_effect(store, client):
    store.set_mode(StoreMode.LOSE_ANSWERS)
    assert (
        client.create("gateways", "vm1", {}).failure().error
        is StoreError.OUTCOME_UNKNOWN
    )
    store.set_mode(StoreMode.SERVE)
    assert client.create("gateways", "vm1", {}).failure().error is StoreError.CONFLICT
    assert client.replace("gateways", "vm1", {"a": 1}).unwrap() is None
    assert client.delete("gateways", "vm1").unwrap() is None
    assert store.names("gateways") == []


def test_unreadable_content_keeps_the_others(store, client):
    store.put("servers", "u1", "text")
    store.put("servers", "u2", {"a": 1})
    specs = [record.spec for record in client.snapshot("servers").unwrap().records]
    assert specs == ["text", {"a": 1}]
