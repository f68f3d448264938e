"""Load on the store when all VMs register again after it came back from a copy."""

import asyncio
import random
import threading
import time
from collections import Counter

import pytest
from returns.result import Failure, Success
from storereaders import SilentLog

from oleandershift.ids import DataCentreId, VmId
from oleandershift.io.registry import ROLE_CHECK_SECONDS, VmRegistry
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.platform import vms
from oleandershift.records import Record, Snapshot
from oleandershift.vmsettings import Address

WRITES_PER_SECOND, READS_PER_SECOND = 400, 2000
"""Rates of the store of a small deployment."""

OBJECTS_PER_PAGE = 500
SETTLE_SECONDS = 3.0


class CountingStore:
    """Store of registrations that counts its calls by second."""

    def __init__(self):
        self.era = 1
        self.objects = {}
        self.writes, self.reads = Counter(), Counter()
        self._lock = threading.Lock()

    def snapshot(self, kind):
        """Return all registrations; each page is a call."""
        with self._lock:
            pages = 1 + len(self.objects) // OBJECTS_PER_PAGE
            self.reads[int(time.monotonic())] += pages
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
        with self._lock:
            self.writes[int(time.monotonic())] += 1
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


@pytest.mark.parametrize("count", [9, 84, 770])
@pytest.mark.parametrize("copy_has_them", [False, True])
def test_vms_that_register_again_keep_to_the_rates_of_the_store(count, copy_has_them):
    store, peers = CountingStore(), make_peers(count)
    started = time.monotonic()

    async def run():
        tasks = []
        for peer in peers:
            table = PeerTable(peer.vm, peer.data_centre)
            table.add_registered(started, peers)
            registry = VmRegistry(
                store, peer, table, SilentLog(), lambda: store.era, random.Random()
            )
            registry._registered_era = 1
            registry._has_read = True
            tasks.append(asyncio.create_task(renew(registry)))
        await asyncio.gather(*tasks)

    async def renew(registry):
        await asyncio.sleep(random.uniform(0.0, ROLE_CHECK_SECONDS))
        await registry._renew()
        await registry._call_until_success(registry._read_peers)

    if copy_has_them:
        store.objects = {peer.vm: vms.encode(peer) for peer in peers}
    store.era = 2
    asyncio.run(run())
    assert len(store.objects) == count
    assert max(store.writes.values()) <= WRITES_PER_SECOND
    assert max(store.reads.values()) <= READS_PER_SECOND
    assert (
        time.monotonic() - started <= count / 100 + ROLE_CHECK_SECONDS + SETTLE_SECONDS
    )
