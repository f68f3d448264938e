"""Tests of the deletion of expired claims, with the stand-in of the platform."""

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
    standin = Platform()
    standin.start()
    yield standin
    standin.stop()


def put_claim(store: PlatformClient, name: str, expires: float) -> None:
    claim = Claim(attempt="a", request="r", digest="d", expires=expires)
    value = msgspec.json.encode(claim)
    store.create(ObjectKind.CLAIMS, name, value, time.time() + 5)


def claim_names(store: PlatformClient) -> list[str]:
    page = store.list(ObjectKind.CLAIMS, "", 1000, time.time() + 5).unwrap()
    return [stored.name for stored in page.items]


def test_only_expired_claims_are_deleted(platform, monkeypatch) -> None:
    monkeypatch.setattr(sweeping, "PAGE_CLAIMS", 2)
    store = PlatformClient(platform.url)
    for number in range(6):
        put_claim(store, f"c{number}", NOW - 1 if number % 2 else NOW + 1000)
    store.create(ObjectKind.CLAIMS, "unreadable", b"{}", time.time() + 5)
    sweeper = sweeping.ClaimSweeper(store, lambda: True)
    platform.set_faults(PlatformFaults(outage=Outage.CLOSED))
    sweeper.sweep_page(time.time())
    platform.set_faults(PlatformFaults())
    for _ in range(4):
        sweeper.sweep_page(time.time())
    assert claim_names(store) == ["c0", "c2", "c4", "unreadable"]


def test_only_the_chosen_vm_deletes_claims(platform) -> None:
    store = PlatformClient(platform.url)
    put_claim(store, "old", NOW - 1)
    other_sweeper = sweeping.ClaimSweeper(
        store, lambda: False, page_interval_seconds=0.01
    )
    other_sweeper.start()
    time.sleep(0.2)
    other_sweeper.close()
    assert claim_names(store) == ["old"]
    chosen_sweeper = sweeping.ClaimSweeper(
        store, lambda: True, page_interval_seconds=0.01
    )
    chosen_sweeper.start()
    deadline = time.monotonic() + 30
    while claim_names(store) and time.monotonic() < deadline:
        time.sleep(0.02)
    chosen_sweeper.close()
    assert claim_names(store) == []
