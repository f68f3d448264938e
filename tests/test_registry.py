"""Registrations of VMs: load on the store when all write, and versions of streams."""

import asyncio
import random
from collections import Counter

import pytest
from loops import VirtualLoop
from returns.result import Failure, Success
from storereaders import SilentLog

from oleandershift.ids import DataCentreId, ServiceId, SoftwareVersion, VmId
from oleandershift.io.registry import (
    MAX_REGISTRATIONS_PER_SECOND,
    ROLE_CHECK_SECONDS,
    VmRegistry,
)
from oleandershift.neighbours import Peer, PeerTable, Registration
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.platform import vms
from oleandershift.records import Record, Snapshot
from oleandershift.streamversions import MEMORY_SECONDS, StreamVersions
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
        if only_new == (name in self.objects):
            error = StoreError.CONFLICT if only_new else StoreError.NOT_FOUND
            return Failure(StoreFailure(error, name))
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


def make_registry(store, peer, table, rng, versions=None):
    return VmRegistry(
        store,
        peer,
        table,
        SilentLog(),
        lambda: store.era,
        versions or StreamVersions(0.0),
        rng,
    )


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
        registry = make_registry(store, peer, table, rng)
        registry._registered_era = 1
        registry._has_read = registry._was_listed = True
        await asyncio.sleep(rng.uniform(0.0, ROLE_CHECK_SECONDS))
        await registry._renew()
        await registry._read_peers()

    async def renew_all():
        await asyncio.gather(*map(renew, peers))

    if copy_has_them:
        store.objects = {peer.vm: vms.encode(Registration(peer, {})) for peer in peers}
    store.era = 2
    loop.run_until_complete(renew_all())
    assert len(store.objects) == count
    assert max(store.writes.values()) <= WRITES_PER_SECOND
    assert max(store.reads.values()) <= READS_PER_SECOND
    most_s = count / MAX_REGISTRATIONS_PER_SECOND + ROLE_CHECK_SECONDS
    assert loop.time() - started <= most_s


SERVICE = ServiceId("model")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


class VmProcess:
    """A process of a VM that keeps its registration and watches versions."""

    def __init__(self, loop, store, peer, peers):
        self.table = PeerTable(peer.vm, peer.data_centre)
        self.table.add_registered(loop.time(), peers)
        self.versions = StreamVersions(loop.time())
        rng = random.Random(peer.vm)
        self.registry = make_registry(store, peer, self.table, rng, self.versions)
        self.registered = {}
        self._loop = loop
        self._tasks = [loop.create_task(self.registry.run())]
        self._tasks.append(loop.create_task(self._tick()))

    async def _tick(self):
        while True:
            await asyncio.sleep(0.1)
            self.versions.observe(self._loop.time(), self.registered)
            self.registry.on_tick()

    def may_have_begun(self):
        """Return the versions that may have begun streams."""
        return self.versions.may_have_begun(self._loop.time(), SERVICE)

    def kill(self):
        """End the process."""
        for task in self._tasks:
            task.cancel()
        ended = asyncio.gather(*self._tasks, return_exceptions=True)
        self._loop.run_until_complete(ended)


def pass_time(loop, seconds):
    loop.run_until_complete(asyncio.sleep(seconds))


@pytest.mark.parametrize("count", [2, 770])
def test_vms_record_a_version_within_the_rates_of_the_store(loop, count):
    store, peers = CountingStore(loop), make_peers(count)
    fleet = [VmProcess(loop, store, peer, peers) for peer in peers]
    for vm in fleet:
        vm.registered = {SERVICE: frozenset({V1})}
    pass_time(loop, 10.0)
    store.writes.clear()
    for vm in fleet:
        vm.registered = {SERVICE: frozenset({V1, V2})}
    pass_time(loop, 0.05)
    assert not any(vm.versions.is_recorded(SERVICE, V2) for vm in fleet)
    pass_time(loop, count / MAX_REGISTRATIONS_PER_SECOND + 0.2)
    assert all(vm.versions.is_recorded(SERVICE, V2) for vm in fleet)
    assert max(store.writes.values()) <= WRITES_PER_SECOND
    assert sum(store.writes.values()) == count
    for vm in fleet:
        vm.kill()


def test_versions_of_streams_outlast_all_vms(loop):
    store, peers = CountingStore(loop), make_peers(3)
    fleet = [VmProcess(loop, store, peer, peers) for peer in peers]
    for vm in fleet:
        vm.registered = {SERVICE: frozenset({V1})}
    pass_time(loop, 5.0)
    for vm in fleet:
        vm.kill()
    pass_time(loop, 2.0)
    fleet = [VmProcess(loop, store, peer, peers) for peer in peers]
    assert fleet[0].may_have_begun() is None
    for vm in fleet:
        vm.registered = {SERVICE: frozenset({V2})}
    pass_time(loop, 5.0)
    assert all(vm.may_have_begun() == {V1, V2} for vm in fleet)
    for vm in fleet:
        vm.kill()
    restarted = VmProcess(loop, store, peers[0], peers)
    restarted.registered = {SERVICE: frozenset({V2})}
    pass_time(loop, 5.0)
    assert restarted.may_have_begun() == {V1, V2}
    pass_time(loop, MEMORY_SECONDS)
    assert restarted.may_have_begun() == {V2}
    assert store.objects[peers[0].vm]["versions"] == {SERVICE: (V2,)}
    restarted.kill()


def test_registration_of_an_earlier_build_has_no_versions():
    spec = {"ip": "10.0.0.1", "port": 1, "zone": "here"}
    assert vms.decode("vm0", spec).unwrap().versions == {}
