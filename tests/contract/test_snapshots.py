"""Transfer of store snapshots between VMs, also of different builds."""

import asyncio
import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import msgspec
import pytest
import uvloop
from loops import busy_loop

from oleandershift.demand import DemandMeter
from oleandershift.digests import (
    SnapshotRequest,
    StoreSnapshot,
    decode_snapshot,
    encode,
)
from oleandershift.fleetview import FleetView
from oleandershift.ids import DataCentreId, Incarnation, VmId
from oleandershift.io.peers import PeerTransport
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.platform.store import StoreClient
from oleandershift.records import Record
from oleandershift.state import FleetState
from oleandershift.vmsettings import Address
from standins.metastore import MetaStore
from standins.ports import free_ip

LENGTH_BYTES = 4
LATE_ITERATION_SECONDS = 0.35
BUSY_ITERATION_SECONDS = 0.1
FOLLOWERS = 31
FIELDS_OF_EARLIER_BUILD = list(StoreSnapshot.__annotations__).index("since")
SNAPSHOT = StoreSnapshot(None, 9, (Record("u", 9, {}),), 7, (("v", 8, 250),))


class RecordingLog:
    """Log that keeps the names of its events."""

    def __init__(self):
        self.events = []

    def warning(self, event, **fields):
        """Keep an event's name."""
        self.events.append(event)


def make_vm(name):
    address = Address(free_ip("127.36"), 7400)
    return Peer(VmId(name), DataCentreId("one"), address)


def make_transport(vm, log):
    table = PeerTable(vm.vm, vm.data_centre)
    state = FleetState(table, FleetView(), LoadTracker(10.0), DemandMeter(4.0))
    return PeerTransport(vm, Incarnation(1), state, log)


@pytest.fixture
def vm():
    return make_vm("vm")


@pytest.fixture
def log():
    return RecordingLog()


@pytest.fixture
def transport(vm, log):
    return make_transport(vm, log)


def run_with_server(transport, client):
    """Run a client beside the VM's server; return the requests and its result."""
    requests = []

    def snapshot(req):
        requests.append(req)
        return SNAPSHOT

    async def run():
        await transport.open(snapshot)
        try:
            return await client()
        finally:
            transport.close()

    return requests, asyncio.run(run())


@contextmanager
def other_vm(iteration_s=0.0):
    """Run another VM that sends snapshots, in a thread of its own, with a late loop."""
    peer = make_vm("other")
    requests = []
    started, stopped = threading.Event(), threading.Event()

    async def serve():
        transport = make_transport(peer, RecordingLog())

        def snapshot(req):
            requests.append(req)
            return SNAPSHOT

        await transport.open(snapshot)
        started.set()
        with busy_loop(iteration_s):
            await asyncio.to_thread(stopped.wait)
        transport.close()

    def run():
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve())

    thread = threading.Thread(target=run)
    thread.start()
    started.wait()
    try:
        yield peer, requests
    finally:
        stopped.set()
        thread.join()


def test_vm_with_a_late_event_loop_still_reads_what_another_vm_has_read(transport):
    async def fetch_while_late(peer):
        with busy_loop(LATE_ITERATION_SECONDS):
            return await transport.fetch_snapshot(peer, SnapshotRequest(3, 7))

    with other_vm() as (peer, _):
        assert asyncio.run(fetch_while_late(peer)) == SNAPSHOT


def test_reader_with_a_late_event_loop_answers_all_its_followers(transport):
    async def fetch_by_all(peer):
        # As many threads as followers, which are processes of their own.
        executor = ThreadPoolExecutor(FOLLOWERS)
        asyncio.get_running_loop().set_default_executor(executor)
        req = SnapshotRequest(3, 7)
        fetches = [transport.fetch_snapshot(peer, req) for _ in range(FOLLOWERS)]
        return await asyncio.gather(*fetches)

    with other_vm(BUSY_ITERATION_SECONDS) as (peer, _):
        assert asyncio.run(fetch_by_all(peer)) == [SNAPSHOT] * FOLLOWERS


def test_vm_with_a_late_event_loop_sends_only_what_was_asked_for(transport, vm):
    requests = []

    def snapshot(req):
        requests.append(req)
        return SNAPSHOT

    async def serve_while_late():
        await transport.open(snapshot)
        with other_vm() as (peer, _), busy_loop(LATE_ITERATION_SECONDS):
            req = SnapshotRequest(3, 7)
            client = make_transport(peer, RecordingLog())
            await asyncio.to_thread(asyncio.run, client.fetch_snapshot(vm, req))
        transport.close()

    asyncio.run(serve_while_late())
    assert requests == [SnapshotRequest(3, 7)]


async def read_frame(reader):
    size = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    return await reader.readexactly(size)


def test_snapshot_is_fetched_for_what_the_vm_knows(transport, vm):
    req = SnapshotRequest(3, 7)
    requests, result = run_with_server(
        transport, lambda: transport.fetch_snapshot(vm, req)
    )
    assert requests == [req]
    assert result == SNAPSHOT


def raw_exchange(address, data):
    async def exchange():
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(data)
        received = await read_frame(reader)
        writer.close()
        return received

    return exchange


@pytest.mark.parametrize(
    ("data", "events"),
    [
        pytest.param(b"", [], id="earlier build, no request"),
        pytest.param(b"\0\0\0\2\xff\xff", ["snapshot.bad-request"], id="damaged"),
        pytest.param(b"\xff\xff\xff\xff", ["snapshot.bad-request"], id="too long"),
    ],
)
def test_vm_without_a_valid_request_gets_everything(transport, vm, log, data, events):
    requests, received = run_with_server(transport, raw_exchange(vm.address, data))
    assert requests == [SnapshotRequest(0, 0)]
    assert decode_snapshot(received).unwrap() == SNAPSHOT
    assert log.events == events


def test_snapshot_of_an_earlier_build_is_a_whole_one(transport, vm):
    whole = StoreSnapshot(Record("main", 4, {}), 9, ())
    fields = msgspec.msgpack.decode(encode(whole))[:FIELDS_OF_EARLIER_BUILD]
    data = msgspec.msgpack.encode(fields)

    async def serve(reader, writer):
        writer.write(len(data).to_bytes(LENGTH_BYTES, "big") + data)
        writer.close()

    async def client():
        server = await asyncio.start_server(serve, vm.address.host, vm.address.port)
        async with server:
            return await transport.fetch_snapshot(vm, SnapshotRequest(1, 1))

    assert asyncio.run(client()) == whole


@pytest.mark.parametrize(
    "number",
    [1 << 64, -(1 << 63) - 1, 10**300],
    ids=["above", "below", "300 digits"],
)
def test_large_number_in_an_object_does_not_keep_it_from_other_vms(
    transport, vm, number
):
    store = MetaStore()
    store.start()
    store.put("servers", "e1", {"slots": 8, "unknown": [{"number": number}]})
    store.put("servers", "e2", {"slots": 8})
    records = StoreClient(Address("127.0.0.1", store.port)).snapshot("servers")
    store.stop()
    read = StoreSnapshot(None, 9, records.unwrap().records)

    async def client():
        await transport.open(lambda req: read)
        try:
            return await transport.fetch_snapshot(vm, SnapshotRequest(0, 0))
        finally:
            transport.close()

    assert asyncio.run(client()) == read
    assert [record.spec["slots"] for record in read.upstreams] == [8, 8]
