"""Tests of how long VMs of a large data centre use an upstream that leaves.

Feeds, store sync, digests, catch-up, roles and the directory are the gateway's own; the
store, the network and the clock are virtual, so that times can be stretched.
"""

import asyncio
import random
from dataclasses import dataclass, field, replace

import pytest
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
from standins.gateway_fleet import configuration

UPSTREAMS, CONFIGURATION = "servers", "config"
DRAIN_SECONDS = 4.0
"""`drainMs` of the large deployments."""

SMALL_DRAIN_SECONDS, SMALL_LOCAL_VMS = 2.5, 4

SEND_FRACTION = 0.25
"""Part of the drain time that is left from the choice of an upstream to the arrival of
the request: a connect of 0.6 s and a late iteration of the event loop."""

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
        was_deaf = False
        while True:
            was_deaf = was_deaf or (vm, kind) in self.deaf
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
        super().__init__(vm.view, lambda previous, run: None, SilentLog(), METRICS)
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


@pytest.fixture
def make_fleet(monkeypatch):
    fleets = []

    def make(seed=1, drain_s=DRAIN_SECONDS, local_vms=LOCAL_VMS):
        loop = VirtualLoop()
        for module in ("storesync", "gateway", "feed"):
            monkeypatch.setattr(f"oleandershift.io.{module}.now", loop.time)
        fleet = VirtualFleet(loop, seed, drain_s, local_vms)
        fleets.append(fleet)
        # Roles are settled, and every VM has read the upstreams.
        fleet.run(6.0 + fleet.rng.uniform(0.0, 1.0))
        roles = [vm.sync._role for vm in fleet.by_rank()]
        followers = [StoreRole.FOLLOWER] * (local_vms - 2)
        assert roles == [StoreRole.HUB, StoreRole.STANDBY, *followers]
        assert all(vm.uses(LEAVER) for vm in fleet.vms.values())
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def drain(fleet):
    """Let the leaver report that it drains; return the time of the store's answer."""
    fleet.store.put(UPSTREAMS, LEAVER, registration(0, "draining"))
    return fleet.loop.time()


def remove(fleet):
    """Remove the leaver without draining; return the time of the store's answer."""
    fleet.store.delete(UPSTREAMS, LEAVER)
    return fleet.loop.time()


def assert_in_time(fleet, left_at, vms=None):
    """Fail if a VM still chooses the leaver after the drain time.

    The send asks the directory once more, so that no request is sent later.
    """
    assert fleet.used_until(left_at, vms) <= fleet.drain_s


LEAVINGS = [pytest.param(drain, id="draining"), pytest.param(remove, id="removed")]


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_is_known_in_time_on_a_calm_day(make_fleet, leave, seed):
    fleet = make_fleet(seed)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_behind_another_change_is_known_in_time(make_fleet, leave, seed):
    fleet = make_fleet(seed)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("serve_delay_s", [0.5, 0.9])
def test_late_snapshot_does_not_prolong_the_use(make_fleet, leave, serve_delay_s):
    fleet = make_fleet()
    for vm in fleet.vms.values():
        vm.serve_delay_s = serve_delay_s
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_in_a_second_without_events_before_the_history_is_dropped(
    make_fleet, leave, seed
):
    fleet = make_fleet(seed)
    fleet.store.muted = True
    left_at = leave(fleet)
    fleet.run(1.0)
    fleet.store.drop_history()
    fleet.store.muted = False
    fleet.run(11.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize(
    ("drain_s", "local_vms"),
    [(DRAIN_SECONDS, LOCAL_VMS), (SMALL_DRAIN_SECONDS, SMALL_LOCAL_VMS)],
    ids=["large", "small"],
)
@pytest.mark.parametrize("seed", range(3))
def test_use_ends_early_enough_for_a_slow_send_after_a_second_without_events(
    make_fleet, leave, drain_s, local_vms, seed
):
    """The store drops its history and cuts the watches at the end of that second."""
    fleet = make_fleet(seed, drain_s, local_vms)
    fleet.store.muted = True
    left_at = leave(fleet)
    fleet.run(1.0)
    fleet.store.drop_history()
    fleet.store.muted = False
    fleet.run(11.0)
    assert fleet.used_until(left_at) <= (1.0 - SEND_FRACTION) * drain_s


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("stuck_readers", [1, 2])
@pytest.mark.parametrize("seed", range(2))
def test_readers_that_serve_no_snapshots_are_passed_over(
    make_fleet, leave, stuck_readers, seed
):
    fleet = make_fleet(seed)
    for vm in fleet.by_rank()[:stuck_readers]:
        vm.stuck = True
    left_at = leave(fleet)
    fleet.run(12.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_reader_with_a_silent_watch_catches_up_while_upstreams_change(
    make_fleet, leave, seed
):
    fleet = make_fleet(seed)
    standby = fleet.by_rank()[1]
    fleet.store.deaf.add((standby.name, UPSTREAMS))
    left_at = leave(fleet)
    for number in range(30):
        fleet.store.put(UPSTREAMS, STAYER, registration(100 + number))
        fleet.run(0.4)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_newer_configuration_does_not_hide_a_newer_list(make_fleet, leave, seed):
    fleet = make_fleet(seed)
    standby = fleet.by_rank()[1]
    fleet.store.deaf.add((standby.name, UPSTREAMS))
    left_at = leave(fleet)
    for number in range(20):
        fleet.store.put(CONFIGURATION, "main", configuration(number + 1))
        fleet.run(0.6)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("separated", [False, True])
def test_readers_that_are_refused_are_replaced_in_time(make_fleet, leave, separated):
    fleet = make_fleet()
    fleet.store.refused.update(vm.name for vm in fleet.by_rank()[:2])
    fleet.separated = separated
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(12.0)
    assert_in_time(fleet, left_at, fleet.followers())


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("separated", [False, True])
def test_readers_with_silent_watches_are_replaced_in_time(make_fleet, leave, separated):
    fleet = make_fleet()
    for vm in fleet.by_rank()[:2]:
        fleet.store.deaf.update((vm.name, kind) for kind in KINDS)
    fleet.separated = separated
    left_at = leave(fleet)
    fleet.run(25.0)
    assert_in_time(fleet, left_at, fleet.followers())


@pytest.mark.parametrize("leave", LEAVINGS)
def test_hub_frozen_beside_a_standby_with_a_silent_watch(make_fleet, leave):
    fleet = make_fleet()
    hub, standby = fleet.by_rank()[:2]
    fleet.store.deaf.update((standby.name, kind) for kind in KINDS)
    hub.frozen = True
    left_at = leave(fleet)
    fleet.run(20.0)
    assert_in_time(fleet, left_at, [*fleet.followers(), standby])


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("overloaded_vms", [2, LOCAL_VMS])
@pytest.mark.parametrize("loop_delay_s", [0.1, 0.2, 0.4])
def test_leaving_is_known_in_time_on_overloaded_vms(
    make_fleet, leave, loop_delay_s, overloaded_vms
):
    fleet = make_fleet()
    for vm in fleet.by_rank()[:overloaded_vms]:
        vm.loop_delay_s = loop_delay_s
    fleet.run(3.0)
    left_at = leave(fleet)
    fleet.run(15.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_whole_list_does_not_restart_the_grace_of_a_removal(make_fleet, leave, seed):
    fleet = make_fleet(seed)
    # The readers list anew at a revision that no upstream bears.
    fleet.store.put(CONFIGURATION, "main", configuration(1))
    fleet.store.drop_history()
    fleet.run(3.0)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("interval_s", [0.5, 1.0])
def test_list_is_fetched_while_another_vm_names_newer_configurations(
    make_fleet, leave, interval_s
):
    fleet = make_fleet()
    hub, standby = fleet.by_rank()[:2]
    fleet.store.deaf.update([(hub.name, CONFIGURATION), (standby.name, UPSTREAMS)])
    fleet.separated = True
    left_at = leave(fleet)
    for number in range(int(12.0 / interval_s)):
        fleet.store.put(CONFIGURATION, "main", configuration(number + 1))
        fleet.run(interval_s)
    assert_in_time(fleet, left_at, fleet.followers())


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("interval_s", [0.3, 0.7, 1.1])
@pytest.mark.parametrize("deaf_count", [1, 2])
def test_deaf_readers_catch_up_while_upstreams_change_at_any_pace(
    make_fleet, leave, interval_s, deaf_count
):
    fleet = make_fleet()
    readers = fleet.by_rank()[2 - deaf_count : 2]
    fleet.store.deaf.update((vm.name, UPSTREAMS) for vm in readers)
    left_at = leave(fleet)
    for number in range(int(8.0 / interval_s)):
        fleet.store.put(UPSTREAMS, STAYER, registration(100 + number))
        fleet.run(interval_s)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
def test_vm_asks_a_reader_elsewhere_when_those_of_its_data_centre_do_not_answer(
    make_fleet, leave
):
    """Only readers name the newest revision: the others have no spare descriptors."""
    fleet = make_fleet()
    for vm in fleet.by_rank():
        vm.stuck = True
    follower = fleet.followers()[0]
    left_at = leave(fleet)
    fleet.run(12.0)
    asked = [name for name in follower.fetched_from if not name.startswith(LOCAL)]
    assert asked
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_in_the_pause_of_a_feed_before_the_history_is_dropped(
    make_fleet, leave, seed
):
    fleet = make_fleet(seed)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(3 * STEP_SECONDS)
    fleet.store.drop_history()
    fleet.run(12.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("seed", range(2))
def test_leaving_is_known_in_time_on_a_small_deployment(make_fleet, leave, seed):
    fleet = make_fleet(seed, SMALL_DRAIN_SECONDS, SMALL_LOCAL_VMS)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(8.0)
    assert_in_time(fleet, left_at)


@pytest.mark.parametrize("leave", LEAVINGS)
@pytest.mark.parametrize("local_vms", [8, LOCAL_VMS])
@pytest.mark.parametrize("seed", range(2))
def test_mild_delays_together_stay_within_the_drain_time(
    make_fleet, leave, local_vms, seed
):
    """Iterations of 0.15 s, and a leaving behind another change and a new list."""
    fleet = make_fleet(seed, local_vms=local_vms)
    for vm in fleet.by_rank():
        vm.loop_delay_s = 0.15
    fleet.store.put(CONFIGURATION, "main", configuration(1))
    fleet.store.drop_history()
    fleet.run(3.0)
    fleet.store.put(UPSTREAMS, STAYER, registration(11))
    fleet.run(3 * STEP_SECONDS)
    left_at = leave(fleet)
    fleet.run(12.0)
    assert_in_time(fleet, left_at)
