"""Contract of the platform client against the platform stand-in."""

import time
from collections.abc import Callable

import pytest
from returns.result import Failure, Result

from oleandershift.io.platform import PlatformClient
from oleandershift.leaving import ListedState
from oleandershift.objects import (
    ChangeType,
    ObjectKind,
    ObjectStore,
    StoreError,
    StoreFailure,
)
from standins.platform import Loss, Outage, Platform, PlatformFaults, VmEntry

TEAMS = ObjectKind.TEAMS
WAIT_SECONDS = 5.0

Call = Callable[[PlatformClient, float], Result[object, StoreFailure]]

CALLS: dict[str, Call] = {
    "get": lambda client, by: client.get(TEAMS, "a", by),
    "list": lambda client, by: client.list(TEAMS, "", 10, by),
    "watch": lambda client, by: client.watch(TEAMS, 0, by),
    "vms": lambda client, by: client.list_vms(by),
    "create": lambda client, by: client.create(TEAMS, "b", b"{}", by),
    "update": lambda client, by: client.update(TEAMS, "a", b"{}", 1, by),
    "delete": lambda client, by: client.delete(TEAMS, "a", 1, by),
}


def soon() -> float:
    return time.time() + WAIT_SECONDS


def error_of(result: Result[object, StoreFailure]) -> StoreError:
    assert isinstance(result, Failure)
    return result.failure().error


def test_client_is_an_object_store(client: PlatformClient) -> None:
    store: ObjectStore = client
    made = store.create(TEAMS, "a b/ü", b'{"x":1}', soon()).unwrap()
    assert (made.version, bytes(made.value)) == (1, b'{"x":1}')
    changed = store.update(TEAMS, "a b/ü", b"{}", 1, soon()).unwrap()
    assert changed.version == 2
    assert store.get(TEAMS, "a b/ü", soon()).unwrap() == changed
    assert store.delete(TEAMS, "a b/ü", 2, soon()).unwrap() is None
    assert error_of(store.get(TEAMS, "a b/ü", soon())) is StoreError.NOT_FOUND


def test_list_goes_on_page_by_page(client: PlatformClient) -> None:
    for name in "abc":
        client.create(TEAMS, name, b"{}", soon())
    first = client.list(TEAMS, "", 2, soon()).unwrap()
    assert [found.name for found in first.items] == ["a", "b"]
    assert first.next == "b"
    last = client.list(TEAMS, "b", 2, soon()).unwrap()
    assert ([found.name for found in last.items], last.next) == (["c"], None)


def test_watch_returns_changes_past_a_revision(client: PlatformClient) -> None:
    revision = client.create(TEAMS, "a", b"{}", soon()).unwrap().revision
    client.update(TEAMS, "a", b"[]", 1, soon())
    client.delete(TEAMS, "a", 2, soon())
    changes = client.watch(TEAMS, revision, soon()).unwrap()
    assert [change.type for change in changes.events] == [
        ChangeType.PUT,
        ChangeType.DELETE,
    ]
    assert [change.object.version for change in changes.events] == [2, 3]


def test_watch_without_changes_is_empty_by_its_deadline(
    client: PlatformClient,
) -> None:
    changes = client.watch(TEAMS, 0, time.time() + 2.2).unwrap()
    assert changes.events == ()


def test_vms_are_listed(platform: Platform, client: PlatformClient) -> None:
    platform.set_vms((VmEntry("vm1", "north", "127.0.0.9"),))
    (found,) = client.list_vms(soon()).unwrap()
    assert (found.name, found.state) == ("vm1", ListedState.LIVE)


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    ("faults", "error"),
    [
        (PlatformFaults(outage=Outage.CLOSED), StoreError.OUTCOME_UNKNOWN),
        (PlatformFaults(outage=Outage.UNAVAILABLE), StoreError.OUTCOME_UNKNOWN),
        (PlatformFaults(outage=Outage.OVERLOADED), StoreError.REFUSED),
        (
            PlatformFaults(lose=Loss.EACH, lose_writes_only=False),
            StoreError.OUTCOME_UNKNOWN,
        ),
    ],
)
def test_fault_is_reported(
    platform: Platform,
    client: PlatformClient,
    call: str,
    faults: PlatformFaults,
    error: StoreError,
) -> None:
    client.create(TEAMS, "a", b"{}", soon())
    platform.set_faults(faults)
    assert error_of(CALLS[call](client, soon())) is error


@pytest.mark.parametrize("call", CALLS)
def test_slow_platform_is_given_up_at_the_deadline(
    platform: Platform, client: PlatformClient, call: str
) -> None:
    platform.set_faults(PlatformFaults(slow_seconds=WAIT_SECONDS))
    started = time.monotonic()
    assert (
        error_of(CALLS[call](client, time.time() + 0.2)) is StoreError.OUTCOME_UNKNOWN
    )
    assert time.monotonic() - started < WAIT_SECONDS


@pytest.mark.parametrize("call", CALLS)
def test_no_connection_means_surely_not_applied(platform: Platform, call: str) -> None:
    platform.stop()
    client = PlatformClient(platform.url)
    assert error_of(CALLS[call](client, soon())) is StoreError.REFUSED


def test_lost_answer_of_a_create_leaves_the_object(
    platform: Platform, client: PlatformClient
) -> None:
    platform.set_faults(PlatformFaults(lose=Loss.EACH))
    assert (
        error_of(client.create(TEAMS, "a", b"{}", soon())) is StoreError.OUTCOME_UNKNOWN
    )
    assert client.get(TEAMS, "a", soon()).unwrap().version == 1


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (lambda c: c.create(TEAMS, "a", b"{}", soon()), StoreError.CONFLICT),
        (lambda c: c.update(TEAMS, "a", b"{}", 7, soon()), StoreError.CONFLICT),
        (lambda c: c.delete(TEAMS, "a", 7, soon()), StoreError.CONFLICT),
        (lambda c: c.get(TEAMS, "b", soon()), StoreError.NOT_FOUND),
        (lambda c: c.delete(TEAMS, "b", 1, soon()), StoreError.NOT_FOUND),
        (lambda c: c.watch(TEAMS, 0, soon()), StoreError.GONE),
        (
            lambda c: c.create(TEAMS, "b", b'"' + b"x" * (1 << 20) + b'"', soon()),
            StoreError.TOO_LARGE,
        ),
    ],
)
def test_refusal_tells_why(
    platform: Platform,
    client: PlatformClient,
    call: Callable[[PlatformClient], Result[object, StoreFailure]],
    error: StoreError,
) -> None:
    client.create(TEAMS, "a", b"{}", soon())
    platform.store.forget_history()
    assert error_of(call(client)) is error


def test_conflict_holds_the_current_object(client: PlatformClient) -> None:
    made = client.create(TEAMS, "a", b"{}", soon()).unwrap()
    result = client.update(TEAMS, "a", b"[]", 7, soon())
    assert isinstance(result, Failure)
    assert result.failure().current == made
