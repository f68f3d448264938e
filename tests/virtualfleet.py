"""A fleet in virtual time: one large data centre and two small ones around a store.

Feeds, store sync, digests, catch-up, roles and the directory are the gateway's own; the
store, the network and the clock are virtual, so that times can be stretched.
"""

import asyncio
import random
from dataclasses import dataclass, field, replace

from loops import VirtualLoop
from returns.result import Failure, Success
from storereaders import SilentLog

from oleandershift.demand import DemandMeter
from oleandershift.fleetview import FleetView
from oleandershift.hashing import ranked
from oleandershift.ids import DataCentreId, Incarnation, ServiceId, VmId
from oleandershift.io.feed import ChangesRead, Feed, SnapshotRead
from oleandershift.io.gateway import (
    CATCH_UP_INTERVAL_SECONDS,
    MAINTENANCE_INTERVAL_SECONDS,
    REMOVAL_GRACE_FRACTION,
    Gateway,
)
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.peers import SNAPSHOT_TIMEOUT_SECONDS
from oleandershift.io.storesync import KINDS, StoreSync
from oleandershift.neighbours import Peer, PeerTable, StoreRole
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.placement import LoadTracker
from oleandershift.platform.store import WATCH_MARGIN_SECONDS
from oleandershift.records import Changes, Record, Snapshot
from oleandershift.state import FleetState
from oleandershift.telling import DigestExchange
from oleandershift.vmsettings import Address

UPSTREAMS, CONFIGURATION = "servers", "config"
DRAIN_SECONDS = 4.0
"""`drainMs` of the large deployments."""

SMALL_DRAIN_SECONDS, SMALL_LOCAL_VMS = 2.5, 4

LOCAL, REMOTES = DataCentreId("here"), (DataCentreId("there"), DataCentreId("yonder"))
LOCAL_VMS = 33
REMOTE_VMS = 2
STEP_SECONDS = 0.02
LEAVER, STAYER = "u0", "u1"
LATENCY_SECONDS = 0.006
"""One-way delay between regions."""


class PendingCall(BaseException):
    """Carries a feed's blocking call to its driver."""

    def __init__(self, revision=None, wait_seconds=0.0):
        self.revision = revision
        self.wait_seconds = wait_seconds


class PreparedStore:
    """Store of a feed; returns what its driver has prepared."""

    era = 0

    def __init__(self):
        self.result = None
        self.started_at = 0.0

    def snapshot(self, kind):
        """Return the prepared list."""
        return self._take(PendingCall())

    def watch(self, kind, revision, wait_seconds):
        """Return the prepared changes."""
        return self._take(PendingCall(revision, wait_seconds))

    def _take(self, call):
        result, self.result = self.result, None
        if result is None:
            raise call
        return result


class StopEvent:
    """Stop event of a feed that records its pause instead of waiting."""

    def __init__(self):
        self.pause_s = 0.0

    def is_set(self):
        """Return that the feed is not stopped."""
        return False

    def wait(self, seconds):
        """Record a pause."""
        self.pause_s = seconds

    def take(self):
        """Return the recorded pause, seconds."""
        seconds, self.pause_s = self.pause_s, 0.0
        return seconds


def registration(number, state="ready"):
    return {
        "service": "s",
        "address": f"10.0.0.1:{8000 + number}",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "coldRemainingMs": 0,
        "sequence": 1,
        "state": state,
        "born": 1,
    }


class VirtualStore:
    """Store whose watches can be muted and whose history can be dropped."""

    def __init__(self, upstream_count=4):
        self.revision = 10
        self.objects = {kind: {} for kind in KINDS}
        self.history = {kind: [] for kind in KINDS}
        self.oldest = 0
        self.muted = False
        # Pairs of a VM and a kind whose watch hears nothing.
        self.deaf = set()
        # Number of times that the open connections of all VMs went silent.
        self.silences = 0
        self.refused = set()
        for number in range(upstream_count):
            self.put(UPSTREAMS, f"u{number}", registration(number))

    def put(self, kind, name, spec):
        """Write an object."""
        self.revision += 1
        record = Record(name, self.revision, spec)
        self.objects[kind][name] = record
        self.history[kind].append((self.revision, record, False))

    def delete(self, kind, name):
        """Remove an object; its event names the object's last change."""
        self.revision += 1
        record = self.objects[kind].pop(name)
        self.history[kind].append((self.revision, record, True))

    def silence(self):
        """Let the open connections go silent for good, while new ones work."""
        self.silences += 1

    def drop_history(self):
        """Forget all changes so far."""
        self.oldest = self.revision

    async def perform(self, vm, kind, call):
        """Return the result of a call of one VM."""
        await asyncio.sleep(LATENCY_SECONDS)
        if vm in self.refused:
            return Failure(StoreFailure(StoreError.REFUSED, "refused"))
        if call.revision is None:
            records = tuple(self.objects[kind].values())
            result = Success(Snapshot(self.revision, records))
        else:
            result = await self._watch(vm, kind, call)
        await asyncio.sleep(LATENCY_SECONDS)
        return result

    async def _watch(self, vm, kind, call):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + call.wait_seconds
        was_deaf, silences = False, self.silences
        while True:
            is_silent = self.silences > silences
            was_deaf = was_deaf or is_silent or (vm, kind) in self.deaf
            if not was_deaf and not self.muted:
                if call.revision < self.oldest:
                    return Failure(StoreFailure(StoreError.GONE, "gone"))
                events = [e for e in self.history[kind] if e[0] > call.revision]
                if events:
                    changes = tuple((record, gone) for _, record, gone in events)
                    return Success(Changes(self.revision, changes))
            if loop.time() >= deadline:
                break
            await asyncio.sleep(STEP_SECONDS)
        if was_deaf:
            await asyncio.sleep(WATCH_MARGIN_SECONDS)
            return Failure(StoreFailure(StoreError.OUTCOME_UNKNOWN, "no answer"))
        return Success(Changes(call.revision, ()))


METRICS = GatewayMetrics()


class CatchUp:
    """The gateway's catch-up, apart from the rest of the gateway."""

    _catch_up = Gateway._catch_up
    _find_fresher_peer = Gateway._find_fresher_peer

    def __init__(self, vm):
        self._view = vm.view
        self._peers = vm.peers
        self._store_sync = vm.sync
        self._peer_transport = vm


class VirtualSync(StoreSync):
    """Store sync whose calls are made anew in virtual time."""

    def __init__(self, vm):
        super().__init__(vm.view, SilentLog(), METRICS)
        self._vm = vm

    def _repeat_calls(self):
        self._read_kinds.clear()
        self._vm.repeat_calls()


class VirtualVm:
    """A VM without its callers and upstreams."""

    def __init__(self, fleet, name, data_centre, number):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.peer = Peer(VmId(name), data_centre, Address(f"10.1.0.{number}", 7400))
        now = fleet.loop.time()
        self.peers = PeerTable(VmId(name), data_centre, digests_known_at=now + 1.0)
        self.view = FleetView(REMOVAL_GRACE_FRACTION * fleet.drain_s)
        self.state = FleetState(
            self.peers, self.view, LoadTracker(10.0), DemandMeter(4.0)
        )
        self.sync = VirtualSync(self)
        self.exchange = DigestExchange(self.peer, Incarnation(1), self.state)
        # Stretched times.
        self.loop_delay_s = 0.0
        self.accepts_at = 0.0
        self.serve_delay_s = 0.0
        self.stuck = False
        self.frozen = False
        self.fetched_from = []
        self.sync._feeds = [self._make_feed(kind) for kind in KINDS]

    def start(self):
        """Start the tasks of the VM."""
        tasks = [self._maintain(), self._run_catch_up()]
        self._drivers = self._start_feeds(self.fleet.rng.uniform(0.0, 0.5))
        return [self.fleet.loop.create_task(task) for task in tasks]

    def stop_feeds(self):
        """End the calls of all feeds."""
        for driver in self._drivers:
            driver.cancel()

    def repeat_calls(self):
        """Give up all calls to the store and make them anew."""
        self.stop_feeds()
        previous = self.sync._feeds
        self.sync._feeds = [self._make_feed(feed._kind) for feed in previous]
        for feed, old in zip(self.sync._feeds, previous, strict=True):
            feed._position, feed._resuming = old._position, True
            feed.set_role(self.sync._role)
        self._drivers = self._start_feeds()

    def _start_feeds(self, delay_s=0.0):
        create_task = self.fleet.loop.create_task
        return [create_task(self._drive(feed, delay_s)) for feed in self.sync._feeds]

    def uses(self, upstream):
        """Return whether the VM sends requests to an upstream."""
        usable = self.view.directory.usable(self.fleet.loop.time(), ServiceId("s"))
        return any(entry.name == upstream for entry in usable)

    async def fetch_snapshot(self, peer, req):
        """Fetch a snapshot as `PeerTransport` does."""
        self.fetched_from.append(peer.vm)
        server = self.fleet.vms[peer.vm]
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT_SECONDS):
                while server.stuck or server.frozen or self.fleet.is_cut(self, server):
                    await asyncio.sleep(SNAPSHOT_TIMEOUT_SECONDS)
                await asyncio.sleep(server.accept_delay_s() + 2 * LATENCY_SECONDS)
                await asyncio.sleep(server.loop_delay_s)
                snapshot = server.sync.snapshot(req)
                await asyncio.sleep(2 * LATENCY_SECONDS + server.serve_delay_s)
                await asyncio.sleep(self.loop_delay_s)
                return snapshot
        except TimeoutError:
            return None

    def accept_delay_s(self):
        """Return the time until a new connection is accepted, with all that wait."""
        return self.loop_delay_s

    def receive(self, digest):
        """Process a digest and forward it."""
        if not self.frozen:
            self._send(digest, self.exchange.receive(self.fleet.loop.time(), digest))

    async def _run_catch_up(self):
        await asyncio.sleep(self.fleet.rng.uniform(0.0, CATCH_UP_INTERVAL_SECONDS))
        await CatchUp(self)._catch_up()

    async def _maintain(self):
        await asyncio.sleep(self.fleet.rng.uniform(0.0, MAINTENANCE_INTERVAL_SECONDS))
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS + self.loop_delay_s)
            if self.frozen:
                continue
            instant = self.fleet.loop.time()
            if self.exchange.is_due(instant):
                for addressed in self.exchange.next_digests(instant):
                    self._send(addressed.message, addressed.peers)
            self.sync.set_role(self.peers.store_role(instant))
            self.sync.on_tick(instant)
            self.view.directory.expire(instant)

    def _send(self, digest, peers):
        for peer in peers:
            receiver = self.fleet.vms.get(peer.vm)
            if receiver is not None and not self.fleet.is_cut(self, receiver):
                delay_s = LATENCY_SECONDS + receiver.loop_delay_s
                self.fleet.loop.call_later(delay_s, receiver.receive, digest)

    def _make_feed(self, kind):
        store = PreparedStore()

        def deliver(event):
            if isinstance(event, SnapshotRead) or (
                isinstance(event, ChangesRead) and event.changes.records
            ):
                # The feed has seen no time pass during its call.
                event = replace(event, until=store.started_at)
            delay_s = self.loop_delay_s
            self.fleet.loop.call_later(delay_s, self.sync.on_event, event)

        feed = Feed(store, kind, deliver, self.fleet.rng)
        feed._stopped = StopEvent()
        feed._watching = asyncio.Event()
        feed.set_role(StoreRole.FOLLOWER)
        return feed

    async def _drive(self, feed, delay_s):
        """Run a feed in virtual time, as its thread does."""
        await asyncio.sleep(delay_s)
        while True:
            if feed._position is not None and not feed._watching.is_set():
                await feed._watching.wait()
                feed._resuming = True
                continue
            try:
                feed._step()
            except PendingCall as call:
                feed._store.started_at = self.fleet.loop.time()
                result = await self.fleet.store.perform(self.name, feed._kind, call)
                feed._store.result = result
                feed._step()
            await asyncio.sleep(feed._stopped.take())


@dataclass
class VirtualFleet:
    """One large data centre and two small ones around a store."""

    loop: VirtualLoop
    seed: int = 1
    drain_s: float = DRAIN_SECONDS
    local_vms: int = LOCAL_VMS
    store: VirtualStore = field(default_factory=VirtualStore)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.vms = {}
        self.data_centres = {LOCAL: self.local_vms}
        self.data_centres.update(dict.fromkeys(REMOTES, REMOTE_VMS))
        for data_centre, count in self.data_centres.items():
            for number in range(count):
                name = f"{data_centre}-{number}"
                self.vms[name] = VirtualVm(self, name, data_centre, len(self.vms))
        peers = [vm.peer for vm in self.vms.values()]
        for vm in self.vms.values():
            vm.peers.add_registered(self.loop.time(), peers)
        self.last_used_at = {}
        self.separated = False
        self._tasks = []
        for vm in self.vms.values():
            self._tasks += vm.start()
        self._tasks.append(self.loop.create_task(self._observe()))

    def by_rank(self, data_centre=LOCAL):
        """Return the VMs of a data centre; the first one is its hub."""
        members = [vm for vm in self.vms.values() if vm.data_centre == data_centre]
        return ranked(data_centre, members, lambda vm: vm.name)

    def is_cut(self, sender, receiver):
        """Return whether nothing passes between two VMs."""
        return self.separated and sender.data_centre != receiver.data_centre

    def followers(self):
        """Return the VMs of the large data centre that do not read the store."""
        return self.by_rank()[2:]

    def run(self, seconds):
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def stop(self):
        """End all tasks."""
        for task in self._tasks:
            task.cancel()
        for vm in self.vms.values():
            vm.stop_feeds()
        self.loop.run_until_complete(
            asyncio.gather(*self._tasks, return_exceptions=True)
        )
        self.loop.close()

    def used_until(self, left_at, vms=None):
        """Return how long after its leaving the leaver was last chosen, seconds."""
        names = [vm.name for vm in vms or self.vms.values()]
        return max(self.last_used_at.get(name, left_at) for name in names) - left_at

    async def _observe(self):
        while True:
            instant = self.loop.time()
            for name, vm in self.vms.items():
                if vm.uses(LEAVER):
                    self.last_used_at[name] = instant
            await asyncio.sleep(STEP_SECONDS)
