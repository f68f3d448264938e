"""Keeps the fleet view in sync with the platform's store."""

import asyncio
import math
import random

from returns.result import Failure

from oleandershift.digests import SnapshotRequest, StoreSnapshot
from oleandershift.directory import RemovalGrace
from oleandershift.fleetview import FleetView
from oleandershift.ids import UpstreamId
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.feed import (
    ChangesRead,
    Feed,
    FeedEvent,
    SnapshotRead,
    StoreCallFailed,
    WatchableStore,
)
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.neighbours import READER_TTL_SECONDS, StoreRole
from oleandershift.platform import configuration, upstreams
from oleandershift.recordlog import RecordLog
from oleandershift.records import Record, StorePosition

KINDS = (configuration.KIND, upstreams.KIND)


class StoreSync:
    """Applies configurations and upstream registrations of the store to the fleet view.

    Parameters
    ----------
    view : FleetView
        Configuration and upstreams to update.
    log : DecisionLog
        Receives applied and rejected changes.
    metrics : GatewayMetrics
        Counts successful and failed store calls.
    """

    def __init__(
        self,
        view: FleetView,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._view = view
        self._log = log
        self._metrics = metrics
        self._feeds: list[Feed] = []
        self._store: WatchableStore | None = None
        self._repeat_at = -math.inf
        self._role = StoreRole.FOLLOWER
        self._lost_kinds: set[str] = set()
        self._read_kinds: set[str] = set()
        self._read_until: dict[str, float] = {}
        self._configuration_record: Record | None = None
        self._upstream_records = RecordLog()

    @property
    def relies_on_peers(self) -> bool:
        """Return whether changes reach this VM through other VMs only."""
        return self._role is StoreRole.FOLLOWER or bool(self._lost_kinds)

    def start(self, store: WatchableStore, loop: asyncio.AbstractEventLoop) -> None:
        """Start watching a store, and stop watching the previous one."""
        self.stop()
        self._store = store
        feeds = self._feeds

        def deliver(event: FeedEvent) -> None:
            # On the thread of the feed, as the loop may handle the event much later.
            loop.call_soon_threadsafe(self._on_feed_event, feeds, event, now())

        for kind in KINDS:
            feed = Feed(store, kind, deliver, random.Random())
            feed.set_role(self._role)
            feeds.append(feed)
            feed.start()

    def set_role(self, role: StoreRole) -> None:
        """Set whether this VM watches the store; without effect if it is the same."""
        if role is self._role:
            return
        self._log.info("store.role", role=role.value, previous=self._role.value)
        if self._role is StoreRole.FOLLOWER:
            self._read_kinds.clear()
            if self._store is not None:
                # Those that have rested for long may be silent.
                self._store.close()
        elif role is StoreRole.FOLLOWER:
            self._lost_kinds.clear()
        is_promoted = self._role is StoreRole.STANDBY and role is StoreRole.HUB
        self._role = role
        self._repeat_at = now() + READER_TTL_SECONDS
        if is_promoted:
            self._repeat_calls()
        self._update_reads_store()
        for feed in self._feeds:
            feed.set_role(role)

    def on_tick(self, now: float) -> None:
        """Call the store anew if no VM has been answered for long.

        The connections may be silent. Calls that fail are repeated by their feeds.
        """
        if self._role is StoreRole.FOLLOWER or self._lost_kinds:
            return
        age_s = self._view.freshness.age_s(now)
        if READER_TTL_SECONDS < age_s < math.inf and now >= self._repeat_at:
            self._log.warning("store.silent", age_s=round(age_s, 2))
            self._repeat_at = now + READER_TTL_SECONDS
            self._repeat_calls()

    def _repeat_calls(self) -> None:
        """Call the store anew, on new connections, as a watch may hang for long.

        Other VMs rely on a hub, so this one reads the store only once it is answered.
        """
        self._read_kinds.clear()
        if self._store is not None:
            self._store.close()
        for number, feed in enumerate(self._feeds):
            feed.stop()
            successor = self._feeds[number] = feed.successor()
            successor.set_role(self._role)
            successor.start()

    def stop(self) -> None:
        """Stop all feeds."""
        for feed in self._feeds:
            feed.stop()
        self._feeds = []

    def _on_feed_event(
        self, feeds: list[Feed], event: FeedEvent, read_at: float
    ) -> None:
        """Process an event unless its feeds were stopped meanwhile."""
        if feeds is self._feeds:
            self.on_event(event, read_at)

    def on_event(self, event: FeedEvent, read_at: float | None = None) -> None:
        """Process an event of a feed.

        Parameters
        ----------
        event : FeedEvent
            The event.
        read_at : float or None
            Time in seconds at which the feed read it; None for just now.
        """
        read_at = now() if read_at is None else read_at
        if isinstance(event, StoreCallFailed):
            self._on_call_failed(event)
            return
        read_until = read_at if event.until is None else event.until
        self._on_call_succeeded(event.kind, read_at, read_until)
        if event.kind == configuration.KIND:
            self._apply_configuration_records(event)
        elif isinstance(event, SnapshotRead):
            snapshot = event.snapshot
            self._apply_upstream_list(read_at, snapshot.position, snapshot.records)
        else:
            self._apply_upstream_changes(event, read_at)

    def request(self) -> SnapshotRequest:
        """Return what this VM knows, to ask another VM for what is newer."""
        position = self._view.directory.position
        return SnapshotRequest(self._view.version, position.revision, position.era)

    def snapshot(self, req: SnapshotRequest) -> StoreSnapshot:
        """Return what the requesting VM has not read, as far as this VM has."""
        cfg = self._view.configuration
        is_newer = cfg is not None and cfg.version > req.configuration
        since = req.position
        log = self._upstream_records
        is_partial = log.is_complete_since(since)
        directory = self._view.directory
        if is_partial:
            # The VM may have read a removal later, and so keep the entry longer.
            removed = dict(log.removed_since(since)) | dict(directory.lapsing())
        else:
            removed = dict(directory.removals())
        return StoreSnapshot(
            configuration=self._configuration_record if is_newer else None,
            revision=directory.position.revision,
            upstreams=log.changed_since(since) if is_partial else log.records(),
            since=since.revision if is_partial else 0,
            removed=tuple(
                (name, position.revision, self._grace_ms(name))
                for name, position in removed.items()
            ),
            list_grace_ms=round(directory.list_grace_left(now()) * 1000),
            era=directory.position.era,
        )

    def _grace_ms(self, name: str) -> int:
        """Return the milliseconds for which a removed upstream is still kept."""
        left_s = self._view.directory.grace_left(now(), UpstreamId(name))
        return round(left_s * 1000)

    def apply_snapshot(
        self, snapshot: StoreSnapshot, peer: str, asked_at: float
    ) -> None:
        """Apply the newer parts of a snapshot that another VM read from the store.

        Parameters
        ----------
        snapshot : StoreSnapshot
            What the other VM sent.
        peer : str
            Name of that VM.
        asked_at : float
            Time in seconds at which it was asked. What it says to be left of a time
            counts from then, as the transfer may have been slow.
        """
        self._log.info(
            "snapshot.taken",
            peer=peer,
            era=snapshot.era,
            revision=snapshot.revision,
            since=snapshot.since,
        )
        if snapshot.configuration is not None:
            self._apply_configuration(snapshot.configuration)
        if snapshot.position <= self._view.directory.position:
            return
        if snapshot.since:
            self._apply_missed_changes(snapshot, asked_at)
        else:
            self._apply_upstream_list(
                asked_at,
                snapshot.position,
                snapshot.upstreams,
                _removal_grace(snapshot),
            )
        self._view.directory.advance(snapshot.position)

    def _on_call_failed(self, event: StoreCallFailed) -> None:
        self._metrics.store_events.labels(event.kind, event.failure.error.value).inc()
        if event.kind not in self._lost_kinds:
            failure = event.failure
            self._log.warning(
                "store.lost",
                kind=event.kind,
                error=failure.error.value,
                detail=failure.detail,
            )
        self._lost_kinds.add(event.kind)
        self._read_kinds.discard(event.kind)
        self._update_reads_store()

    def _on_call_succeeded(self, kind: str, read_at: float, until: float) -> None:
        self._metrics.store_events.labels(kind, "answered").inc()
        if kind in self._lost_kinds:
            self._lost_kinds.discard(kind)
            self._log.info("store.regained", kind=kind)
        self._read_kinds.add(kind)
        self._read_until[kind] = max(self._read_until.get(kind, -math.inf), until)
        self._view.freshness.on_read(read_at, min(self._read_until.values()))
        self._update_reads_store()

    def _update_reads_store(self) -> None:
        is_reader = self._role is not StoreRole.FOLLOWER
        self._view.reads_store = is_reader and self._read_kinds.issuperset(KINDS)

    def _apply_configuration_records(self, event: SnapshotRead | ChangesRead) -> None:
        if isinstance(event, SnapshotRead):
            records = list(event.snapshot.records)
        else:
            records = [
                record for record, deleted in event.changes.records if not deleted
            ]
        for record in records:
            if record.name == configuration.OBJECT_NAME:
                self._apply_configuration(record)

    def _apply_configuration(self, record: Record) -> None:
        result = configuration.decode(record.spec)
        if isinstance(result, Failure):
            self._log.warning("configuration.rejected", why=str(result.failure()))
            return
        cfg = result.unwrap()
        if self._view.update_configuration(cfg):
            self._configuration_record = record
            self._log.info(
                "configuration.applied", version=cfg.version, revision=record.revision
            )

    def _apply_upstream_list(
        self,
        instant: float,
        position: StorePosition,
        records: tuple[Record, ...],
        removals: RemovalGrace | None = None,
    ) -> None:
        directory = self._view.directory
        if directory.loaded and position < directory.position:
            return
        previous_era = directory.position.era
        if directory.loaded and position.era > previous_era:
            self._log.warning(
                "store.restored",
                era=position.era,
                previous_era=previous_era,
                revision=position.revision,
                previous_revision=directory.position.revision,
            )
        listed = []
        for record in records:
            result = upstreams.decode(record.name, record.spec)
            if isinstance(result, Failure):
                self._log.warning("upstream.rejected", why=str(result.failure()))
                continue
            entry = result.unwrap()
            listed.append((record.position, entry))
        directory.replace(instant, position, listed, removals)
        self._upstream_records.replace(position, records)
        self._log.info(
            "upstreams.listed", revision=position.revision, count=len(listed)
        )

    def _apply_upstream_changes(self, event: ChangesRead, read_at: float) -> None:
        position = event.changes.position
        for record, deleted in event.changes.records:
            if deleted:
                self._remove_upstream(read_at, record.name, record.position, position)
            else:
                self._update_upstream(read_at, record, position)

    def _apply_missed_changes(self, snapshot: StoreSnapshot, asked_at: float) -> None:
        for name, revision, grace_ms in snapshot.removed:
            self._remove_upstream(
                asked_at,
                name,
                StorePosition(snapshot.era, revision),
                snapshot.position,
                grace_ms / 1000,
            )
        for record in snapshot.upstreams:
            self._update_upstream(asked_at, record, snapshot.position)

    def _remove_upstream(
        self,
        instant: float,
        name: str,
        position: StorePosition,
        read_position: StorePosition,
        grace_s: float | None = None,
    ) -> None:
        """Apply a removal, read at a place in history that is not before it."""
        self._upstream_records.remove(name, position, read_position)
        self._view.directory.advance(read_position)
        upstream = UpstreamId(name)
        removed = self._view.directory.remove(instant, position, upstream, grace_s)
        self._log.info(
            "upstream.removed",
            upstream=name,
            revision=position.revision,
            at_once=removed,
        )

    def _update_upstream(
        self, instant: float, record: Record, read_position: StorePosition
    ) -> None:
        result = upstreams.decode(record.name, record.spec)
        if isinstance(result, Failure):
            self._log.warning("upstream.rejected", why=str(result.failure()))
            self._remove_upstream(instant, record.name, record.position, read_position)
            return
        entry = result.unwrap()
        if not self._view.directory.update(instant, record.position, entry):
            return
        self._upstream_records.put(record)
        self._log.info(
            "upstream.changed",
            upstream=entry.name,
            state=entry.state.value,
            service=entry.service,
            version=entry.version,
            revision=record.revision,
            in_doubt=self._view.directory.is_in_doubt(entry.name),
        )


def _removal_grace(snapshot: StoreSnapshot) -> RemovalGrace | None:
    """Return how long the sender of a whole snapshot keeps what it lacks, if known."""
    if snapshot.list_grace_ms < 0:
        return None
    named_s = {UpstreamId(name): ms / 1000 for name, _, ms in snapshot.removed}
    return RemovalGrace(snapshot.list_grace_ms / 1000, named_s)
