"""Tests of the deletion of expired claims, against the platform stand-in."""

import time
from collections.abc import Iterator

import msgspec
import pytest

from oleandershift.claims import Claim
from oleandershift.io import sweeper as sweeping
from oleandershift.io.platform import PlatformClient
from oleandershift.objects import ObjectKind
from standins.platform import Outage, Platform, PlatformFaults

NOW = time.time()


@pytest.fixture
def platform() -> Iterator[Platform]:
    made = Platform()
    made.start()
    yield made
    made.stop()


def put(store: PlatformClient, name: str, expires: float) -> None:
    claim = Claim(attempt="a", request="r", digest="d", expires=expires)
    value = msgspec.json.encode(claim)
    store.create(ObjectKind.CLAIMS, name, value, time.time() + 5)


def names(store: PlatformClient) -> list[str]:
    page = store.list(ObjectKind.CLAIMS, "", 1000, time.time() + 5).unwrap()
    return [stored.name for stored in page.items]


def test_only_expired_claims_are_deleted(platform, monkeypatch) -> None:
    monkeypatch.setattr(sweeping, "PAGE_CLAIMS", 2)
    store = PlatformClient(platform.url)
    for number in range(6):
        put(store, f"c{number}", NOW - 1 if number % 2 else NOW + 1000)
    store.create(ObjectKind.CLAIMS, "unreadable", b"{}", time.time() + 5)
    sweeper = sweeping.ClaimSweeper(store, lambda: True)
    platform.set_faults(PlatformFaults(outage=Outage.CLOSED))
    sweeper.sweep_page(time.time())
    platform.set_faults(PlatformFaults())
    for _ in range(4):
        sweeper.sweep_page(time.time())
    assert names(store) == ["c0", "c2", "c4", "unreadable"]


def test_only_the_chosen_vm_sweeps(platform) -> None:
    store = PlatformClient(platform.url)
    put(store, "old", NOW - 1)
    idle = sweeping.ClaimSweeper(store, lambda: False, page_interval_seconds=0.01)
    idle.start()
    time.sleep(0.2)
    idle.close()
    assert names(store) == ["old"]
    chosen = sweeping.ClaimSweeper(store, lambda: True, page_interval_seconds=0.01)
    chosen.start()
    deadline = time.monotonic() + 30
    while names(store) and time.monotonic() < deadline:
        time.sleep(0.02)
    chosen.close()
    assert names(store) == []
