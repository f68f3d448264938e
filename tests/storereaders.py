"""A VM's view of the store for tests: what it reads, and what it may use."""

from oleandershift.fleetview import FleetView
from oleandershift.ids import ServiceId
from oleandershift.io.feed import ChangesRead, SnapshotRead, StoreCallFailed
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.storesync import StoreSync
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.records import Changes, Record, Snapshot, StorePosition

UPSTREAMS = "servers"


def at(revision, era=0):
    """Return a place in the store's history."""
    return StorePosition(era, revision)


class SilentLog:
    """Log that drops its lines."""

    def info(self, event, **fields):
        """Drop a line."""

    warning = info


class ManualClock:
    """Clock that tests set."""

    def __init__(self):
        self.instant = 100.0

    def __call__(self):
        """Return the time that was set."""
        return self.instant


class Vm:
    """What one VM knows of the store."""

    def __init__(self, clock, grace_s):
        self.clock = clock
        self.view = FleetView(grace_s)
        self.sync = StoreSync(self.view, SilentLog(), GatewayMetrics())

    def read_list(self, revision, *records):
        """Read a complete list from the store."""
        self.sync.on_event(SnapshotRead(UPSTREAMS, Snapshot(revision, records)))

    def read_changes(self, revision, *records, deleted=False):
        """Read changes from the store, all of them removals or none."""
        self.read_events(revision, *((record, deleted) for record in records))

    def read_events(self, revision, *events):
        """Read records, each with whether it was removed, from the store."""
        self.sync.on_event(ChangesRead(UPSTREAMS, Changes(revision, events)))

    def fail(self):
        """Let a call to the store fail, such as a watch that is cut off."""
        failure = StoreFailure(StoreError.OUTCOME_UNKNOWN, "connection closed")
        self.sync.on_event(StoreCallFailed(UPSTREAMS, failure))

    def catch_up(self, peer, transfer_s=0.0):
        """Fetch what another VM has read, as after its digest."""
        if peer.view.directory.position > self.view.directory.position:
            asked_at = self.clock.instant
            snapshot = peer.sync.snapshot(self.sync.request())
            self.clock.instant += transfer_s
            self.sync.apply_snapshot(snapshot, "peer", asked_at)

    def usable(self):
        """Return name and start time of the upstreams that may get requests."""
        usable = self.view.directory.usable(self.clock.instant, ServiceId("s"))
        return {(entry.name, entry.incarnation) for entry in usable}

    def usable_names(self):
        """Return the names of the upstreams that may get requests."""
        return {name for name, _ in self.usable()}


def registration(name, revision, state="ready", born=1, sequence=1, **fields):
    """Return the record of an upstream."""
    spec = {
        "service": "s",
        "address": "10.0.0.1:8000",
        "zone": "z",
        "version": "v1",
        "slots": 4,
        "coldRemainingMs": 0,
        "state": state,
        "born": born,
        "sequence": sequence,
    }
    return Record(name, revision, spec | fields)
