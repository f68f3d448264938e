"""Turns what the store says into beliefs."""

import asyncio
import random
from collections.abc import Callable

from returns.result import Failure

from oleandershift.digests import StoreSnapshot
from oleandershift.directory import Upstream
from oleandershift.fleetview import FleetView
from oleandershift.ids import UpstreamId
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.feed import (
    HUB_TIMING,
    RELAXED_TIMING,
    ChangesRead,
    Feed,
    FeedEvent,
    SnapshotRead,
    StoreCallFailed,
    WatchableStore,
)
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.platform import configuration, upstreams
from oleandershift.records import Record


class StoreSync:
    """Keeps beliefs at what the store holds.

    Parameters
    ----------
    beliefs : Beliefs
        What to keep.
    restarted : callable
        Takes the name of an upstream that has a new lifetime.
    log : DecisionLog
        Changes of belief.
    metrics : GatewayMetrics
        Counts answers and failures.
    """

    def __init__(
        self,
        beliefs: FleetView,
        restarted: Callable[[UpstreamId], None],
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._beliefs = beliefs
        self._restarted = restarted
        self._log = log
        self._metrics = metrics
        self._feeds: list[Feed] = []
        self._lost: set[str] = set()
        self._stored: Record | None = None
        self._entries: dict[str, Record] = {}

    @property
    def disconnected(self) -> bool:
        """Tell whether the store does not answer this VM."""
        return bool(self._lost)

    def start(self, source: WatchableStore, loop: asyncio.AbstractEventLoop) -> None:
        """Begin to follow a store, in place of the one before."""
        self.stop()

        def deliver(event: FeedEvent) -> None:
            loop.call_soon_threadsafe(self.on_event, event)

        for kind in (configuration.KIND, upstreams.KIND):
            feed = Feed(source, kind, deliver, random.Random())
            self._feeds.append(feed)
            feed.start()

    def set_relaxed(self, relies: bool) -> None:
        """Say whether other VMs' reading shows what this one misses."""
        for feed in self._feeds:
            feed.timing = RELAXED_TIMING if relies else HUB_TIMING

    def stop(self) -> None:
        """End all feeds."""
        for feed in self._feeds:
            feed.stop()
        self._feeds.clear()

    def on_event(self, event: FeedEvent) -> None:
        """Take an event of a feed."""
        if isinstance(event, StoreCallFailed):
            self._on_lost(event)
            return
        self._on_answer(event.kind)
        if event.kind == configuration.KIND:
            self._take_configurations(event)
        elif isinstance(event, SnapshotRead):
            self._take_list(event.snapshot.revision, event.snapshot.records)
        else:
            self._take_changes(event)

    def snapshot(self) -> StoreSnapshot:
        """Return what was read from the store."""
        return StoreSnapshot(
            configuration=self._stored,
            revision=self._beliefs.directory.revision,
            upstreams=tuple(self._entries.values()),
        )

    def apply_snapshot(self, found: StoreSnapshot, peer: str) -> None:
        """Take what another VM read from the store."""
        self._log.info("snapshot.taken", peer=peer, revision=found.revision)
        if found.configuration is not None:
            self._take_configuration(found.configuration)
        if found.revision > self._beliefs.directory.revision:
            self._take_list(found.revision, found.upstreams)

    def _on_lost(self, event: StoreCallFailed) -> None:
        self._metrics.store_events.labels(event.kind, event.failure.error.value).inc()
        if event.kind not in self._lost:
            failure = event.failure
            self._log.warning(
                "store.lost",
                kind=event.kind,
                error=failure.error.value,
                detail=failure.detail,
            )
        self._lost.add(event.kind)
        if event.kind == upstreams.KIND:
            self._beliefs.directory.on_store_lost()

    def _on_answer(self, kind: str) -> None:
        self._metrics.store_events.labels(kind, "answered").inc()
        if kind in self._lost:
            self._lost.discard(kind)
            self._log.info("store.regained", kind=kind)
        if kind == upstreams.KIND:
            self._beliefs.directory.on_store_recovered(now())

    def _take_configurations(self, event: SnapshotRead | ChangesRead) -> None:
        if isinstance(event, SnapshotRead):
            records = list(event.snapshot.records)
        else:
            records = [record for record, gone in event.changes.records if not gone]
        for record in records:
            if record.name == configuration.OBJECT_NAME:
                self._take_configuration(record)

    def _take_configuration(self, record: Record) -> None:
        result = configuration.decode(record.spec)
        if isinstance(result, Failure):
            self._log.warning("configuration.rejected", why=str(result.failure()))
            return
        cfg = result.unwrap()
        if self._beliefs.update_configuration(cfg):
            self._stored = record
            self._log.info(
                "configuration.applied", version=cfg.version, revision=record.revision
            )

    def _take_list(self, revision: int, records: tuple[Record, ...]) -> None:
        directory = self._beliefs.directory
        if directory.loaded and revision < directory.revision:
            return
        found = []
        for record in records:
            result = upstreams.decode(record.name, record.spec)
            if isinstance(result, Failure):
                self._log.warning("upstream.rejected", why=str(result.failure()))
                continue
            entry = result.unwrap()
            self._note_lifetime(entry)
            found.append((record.revision, entry))
        directory.replace(now(), revision, found)
        self._entries = {record.name: record for record in records}
        self._log.info("upstreams.listed", revision=revision, count=len(found))

    def _take_changes(self, event: ChangesRead) -> None:
        for record, gone in event.changes.records:
            if gone:
                self._remove(record.name, record.revision)
            else:
                self._put(record)

    def _remove(self, name: str, revision: int) -> None:
        self._entries.pop(name, None)
        upstream = UpstreamId(name)
        gone = self._beliefs.directory.remove(now(), revision, upstream)
        self._log.info(
            "upstream.removed", upstream=name, revision=revision, at_once=gone
        )

    def _put(self, record: Record) -> None:
        result = upstreams.decode(record.name, record.spec)
        if isinstance(result, Failure):
            self._log.warning("upstream.rejected", why=str(result.failure()))
            self._remove(record.name, record.revision)
            return
        entry = result.unwrap()
        self._note_lifetime(entry)
        if not self._beliefs.directory.update(record.revision, entry):
            return
        self._entries[record.name] = record
        self._log.info(
            "upstream.changed",
            upstream=entry.name,
            state=entry.state.value,
            service=entry.service,
            revision=record.revision,
        )

    def _note_lifetime(self, entry: Upstream) -> None:
        held = self._beliefs.directory.get(entry.name)
        if held is not None and held.lifetime != entry.lifetime:
            self._restarted(entry.name)
