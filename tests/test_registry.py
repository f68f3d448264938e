"""Load on the store when all VMs register again after it came back from a copy."""

import asyncio
import random
from collections import Counter

import pytest
from loops import VirtualLoop
from returns.result import Failure, Success
from storereaders import SilentLog

from oleandershift.ids import DataCentreId, VmId
from oleandershift.io.registry import (
    MAX_REREGISTRATIONS_PER_SECOND,
    ROLE_CHECK_SECONDS,
    VmRegistry,
)
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.platform import vms
from oleandershift.records import Record, Snapshot
from oleandershift.vmsettings import Address

WRITES_PER_SECOND, READS_PER_SECOND = 400, 2000
"""Rates of the store of a small deployment."""

OBJECTS_PER_PAGE = 500


class CountingStore:
    """Store of registrations that counts its calls by second."""

    def __init__(self, loop):
        self.era = 1
        self.objects = {}
        self.writes, self.reads = Counter(), Counter()
        self._loop = loop

    def snapshot(self, kind):
        """Return all registrations; each page is a call."""
        pages = 1 + len(self.objects) // OBJECTS_PER_PAGE
        self.reads[int(self._loop.time())] += pages
        records = tuple(
            Record(name, 1, spec, self.era) for name, spec in self.objects.items()
        )
        return Success(Snapshot(1, records, self.era))

    def create(self, kind, name, spec):
        """Create a registration."""
        return self._write(name, spec, only_new=True)

    def replace(self, kind, name, spec):
        """Replace a registration."""
        return self._write(name, spec, only_new=False)

    def delete(self, kind, name):
        """Delete a registration."""
        raise AssertionError("no VM is gone")

    def _write(self, name, spec, *, only_new):
        self.writes[int(self._loop.time())] += 1
        if only_new and name in self.objects:
            return Failure(StoreFailure(StoreError.CONFLICT, name))
        self.objects[name] = spec
        return Success(self.era)


def make_peers(count):
    return [
        Peer(
            VmId(f"vm{n}"),
            DataCentreId("here"),
            Address(f"10.0.{n // 250}.{n % 250}", 1),
        )
        for n in range(count)
    ]


@pytest.fixture
def loop(monkeypatch):
    """Return a loop whose time passes at once, and in which calls take none."""

    async def call(function, *args):
        return function(*args)

    created = VirtualLoop()
    monkeypatch.setattr("oleandershift.io.registry.asyncio.to_thread", call)
    monkeypatch.setattr("oleandershift.io.registry.now", created.time)
    yield created
    created.close()


@pytest.mark.parametrize("count", [9, 84, 770])
@pytest.mark.parametrize("copy_has_them", [False, True])
def test_vms_that_register_again_keep_to_the_rates_of_the_store(
    loop, count, copy_has_them
):
    store, peers, rng = CountingStore(loop), make_peers(count), random.Random(1)
    started = loop.time()

    async def renew(peer):
        table = PeerTable(peer.vm, peer.data_centre)
        table.add_registered(started, peers)
        registry = VmRegistry(store, peer, table, SilentLog(), lambda: store.era, rng)
        registry._registered_era = 1
        registry._has_read = True
        await asyncio.sleep(rng.uniform(0.0, ROLE_CHECK_SECONDS))
        await registry._renew()
        await registry._call_until_success(registry._read_peers)

    async def renew_all():
        await asyncio.gather(*map(renew, peers))

    if copy_has_them:
        store.objects = {peer.vm: vms.encode(peer) for peer in peers}
    store.era = 2
    loop.run_until_complete(renew_all())
    assert len(store.objects) == count
    assert max(store.writes.values()) <= WRITES_PER_SECOND
    assert max(store.reads.values()) <= READS_PER_SECOND
    most_s = count / MAX_REREGISTRATIONS_PER_SECOND + ROLE_CHECK_SECONDS
    assert loop.time() - started <= most_s
