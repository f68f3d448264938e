"""Contract tests of the platform client against the platform stand-in."""

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
from standins.platform import Outage, Platform, PlatformFaults, ResponseLoss, VmEntry

TEAMS = ObjectKind.TEAMS
WAIT_SECONDS = 5.0

Call = Callable[[PlatformClient, float], Result[object, StoreFailure]]

CALLS: dict[str, Call] = {
    "get": lambda client, deadline: client.get(TEAMS, "a", deadline),
    "list": lambda client, deadline: client.list(TEAMS, "", 10, deadline),
    "watch": lambda client, deadline: client.watch(TEAMS, 0, deadline),
    "vms": lambda client, deadline: client.list_vms(deadline),
    "create": lambda client, deadline: client.create(TEAMS, "b", b"{}", deadline),
    "update": lambda client, deadline: client.update(TEAMS, "a", b"{}", 1, deadline),
    "delete": lambda client, deadline: client.delete(TEAMS, "a", 1, deadline),
}


def call_deadline() -> float:
    return time.time() + WAIT_SECONDS


def error_of(result: Result[object, StoreFailure]) -> StoreError:
    assert isinstance(result, Failure)
    return result.failure().error


def test_client_is_an_object_store(client: PlatformClient) -> None:
    store: ObjectStore = client
    created = store.create(TEAMS, "a b/ü", b'{"x":1}', call_deadline()).unwrap()
    assert (created.version, bytes(created.value)) == (1, b'{"x":1}')
    updated = store.update(TEAMS, "a b/ü", b"{}", 1, call_deadline()).unwrap()
    assert updated.version == 2
    assert store.get(TEAMS, "a b/ü", call_deadline()).unwrap() == updated
    assert store.delete(TEAMS, "a b/ü", 2, call_deadline()).unwrap() is None
    assert error_of(store.get(TEAMS, "a b/ü", call_deadline())) is StoreError.NOT_FOUND


def test_list_is_paginated(client: PlatformClient) -> None:
    for name in "abc":
        client.create(TEAMS, name, b"{}", call_deadline())
    first = client.list(TEAMS, "", 2, call_deadline()).unwrap()
    assert [stored.name for stored in first.items] == ["a", "b"]
    assert first.next == "b"
    last = client.list(TEAMS, "b", 2, call_deadline()).unwrap()
    assert ([stored.name for stored in last.items], last.next) == (["c"], None)


def test_watch_returns_changes_after_a_revision(client: PlatformClient) -> None:
    revision = client.create(TEAMS, "a", b"{}", call_deadline()).unwrap().revision
    client.update(TEAMS, "a", b"[]", 1, call_deadline())
    client.delete(TEAMS, "a", 2, call_deadline())
    changes = client.watch(TEAMS, revision, call_deadline()).unwrap()
    assert [change.type for change in changes.events] == [
        ChangeType.PUT,
        ChangeType.DELETE,
    ]
    assert [change.object.version for change in changes.events] == [2, 3]


def test_watch_without_changes_returns_no_events(
    client: PlatformClient,
) -> None:
    changes = client.watch(TEAMS, 0, time.time() + 2.2).unwrap()
    assert changes.events == ()


def test_vms_are_listed(platform: Platform, client: PlatformClient) -> None:
    platform.set_vms((VmEntry("vm1", "north", "127.0.0.9"),))
    (vm,) = client.list_vms(call_deadline()).unwrap()
    assert (vm.name, vm.state) == ("vm1", ListedState.LIVE)


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize(
    ("faults", "error"),
    [
        (PlatformFaults(outage=Outage.CLOSED), StoreError.OUTCOME_UNKNOWN),
        (PlatformFaults(outage=Outage.UNAVAILABLE), StoreError.OUTCOME_UNKNOWN),
        (PlatformFaults(outage=Outage.OVERLOADED), StoreError.REFUSED),
        (
            PlatformFaults(lose=ResponseLoss.EVERY, lose_writes_only=False),
            StoreError.OUTCOME_UNKNOWN,
        ),
    ],
)
def test_platform_fault_is_reported_as_an_error(
    platform: Platform,
    client: PlatformClient,
    call: str,
    faults: PlatformFaults,
    error: StoreError,
) -> None:
    client.create(TEAMS, "a", b"{}", call_deadline())
    platform.set_faults(faults)
    assert error_of(CALLS[call](client, call_deadline())) is error


@pytest.mark.parametrize("call", CALLS)
def test_call_to_a_slow_platform_times_out_at_the_deadline(
    platform: Platform, client: PlatformClient, call: str
) -> None:
    platform.set_faults(PlatformFaults(slow_seconds=WAIT_SECONDS))
    started = time.monotonic()
    assert (
        error_of(CALLS[call](client, time.time() + 0.2)) is StoreError.OUTCOME_UNKNOWN
    )
    assert time.monotonic() - started < WAIT_SECONDS


@pytest.mark.parametrize("call", CALLS)
def test_failed_connect_is_reported_as_not_applied(
    platform: Platform, call: str
) -> None:
    platform.stop()
    client = PlatformClient(platform.url)
    assert error_of(CALLS[call](client, call_deadline())) is StoreError.REFUSED


def test_create_with_a_lost_response_is_applied(
    platform: Platform, client: PlatformClient
) -> None:
    platform.set_faults(PlatformFaults(lose=ResponseLoss.EVERY))
    assert (
        error_of(client.create(TEAMS, "a", b"{}", call_deadline()))
        is StoreError.OUTCOME_UNKNOWN
    )
    assert client.get(TEAMS, "a", call_deadline()).unwrap().version == 1


@pytest.mark.parametrize(
    ("call", "error"),
    [
        (lambda c: c.create(TEAMS, "a", b"{}", call_deadline()), StoreError.CONFLICT),
        (
            lambda c: c.update(TEAMS, "a", b"{}", 7, call_deadline()),
            StoreError.CONFLICT,
        ),
        (lambda c: c.delete(TEAMS, "a", 7, call_deadline()), StoreError.CONFLICT),
        (lambda c: c.get(TEAMS, "b", call_deadline()), StoreError.NOT_FOUND),
        (lambda c: c.delete(TEAMS, "b", 1, call_deadline()), StoreError.NOT_FOUND),
        (lambda c: c.watch(TEAMS, 0, call_deadline()), StoreError.GONE),
        (
            lambda c: c.create(
                TEAMS, "b", b'"' + b"x" * (1 << 20) + b'"', call_deadline()
            ),
            StoreError.TOO_LARGE,
        ),
    ],
)
def test_rejected_call_reports_the_reason(
    platform: Platform,
    client: PlatformClient,
    call: Callable[[PlatformClient], Result[object, StoreFailure]],
    error: StoreError,
) -> None:
    client.create(TEAMS, "a", b"{}", call_deadline())
    platform.store.forget_history()
    assert error_of(call(client)) is error


def test_conflict_includes_the_current_object(client: PlatformClient) -> None:
    created = client.create(TEAMS, "a", b"{}", call_deadline()).unwrap()
    result = client.update(TEAMS, "a", b"[]", 7, call_deadline())
    assert isinstance(result, Failure)
    assert result.failure().current == created
