"""The process that stands between callers and upstreams on a platform VM."""

import asyncio
import random
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from returns.result import Failure

from oleandershift.exceptions import SettingsError
from oleandershift.fleetview import Beliefs
from oleandershift.io.callers import CallerConnection, CallerRequest, Responder, factory
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.feed import ChangesRead, Feed, FeedEvent, SnapshotRead, StoreLost
from oleandershift.io.pool import Pool
from oleandershift.io.relay import Relay
from oleandershift.node import NodeSettings
from oleandershift.outliers import Outliers
from oleandershift.placement import Loads, Place, Placement
from oleandershift.platform import configuration, entries, settings
from oleandershift.platform.store import StoreClient
from oleandershift.records import Record
from oleandershift.retries import RetryBudget
from oleandershift.routing import Limits, Service

TICK_SECONDS = 0.1
"""Pace of expiry and upkeep: a twentieth of the shortest bound that depends on it."""

SETTINGS_SECONDS = 1.0
"""Pace at which the settings file is looked at, as it may change without a signal."""

NOT_READY_SECONDS = 3.0
"""Time after SIGTERM in which requests are still taken: the balancer asks once a second
and needs two misses."""

STOP_MARGIN_SECONDS = 0.4
"""Time before SIGKILL at which the process ends, whatever still runs."""

ASSUMED_VMS = 10
"""VMs that share the retry budget until they are counted."""


@dataclass
class _Budgets:
    """Each service's part of the fleet's retry budget."""

    ratio: float
    reserve: float

    def __post_init__(self) -> None:
        self._held: dict[str, RetryBudget] = {}

    def of(self, service: Service) -> RetryBudget:
        found = self._held.get(service.name)
        if found is None:
            found = RetryBudget(self.ratio, self.reserve)
            self._held[service.name] = found
        return found


class _Readiness:
    """Answers the balancer."""

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway

    def limits(self) -> Limits:
        return Limits()

    def closing(self) -> bool:
        return False

    async def handle(self, req: CallerRequest, res: Responder) -> None:
        ready = self._gateway.ready
        res.send(200 if ready else 503, [], b"")


class Gateway:
    """Wires the parts of the process together and runs them.

    Parameters
    ----------
    node : NodeSettings
        Settings.
    path : Path
        The settings file.
    log : DecisionLog
        Decisions.
    """

    def __init__(self, node: NodeSettings, path: Path, log: DecisionLog) -> None:
        self._node = node
        self._path = path
        self._log = log
        self._beliefs = Beliefs()
        self._pool = Pool()
        self._loads = Loads()
        self._outliers = Outliers()
        place = Place(node.data_centre, node.region, node.regions)
        bounds = node.bounds
        budgets = _Budgets(
            bounds.retry_ratio / 2, max(1.0, bounds.retry_extra / 2 / ASSUMED_VMS)
        )
        self._relay = Relay(
            self._beliefs,
            self._pool,
            self._loads,
            Placement(self._loads, place),
            self._outliers,
            budgets.of,
            log,
        )
        self._callers: set[CallerConnection] = set()
        self._probes: set[CallerConnection] = set()
        self._stopping = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return (
            self._beliefs.configuration is not None
            and self._beliefs.directory.loaded
            and not self._relay.draining
        )

    async def run(self) -> None:
        """Serve until SIGTERM has been obeyed."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        feeds = self._start_feeds(loop)
        ready = await loop.create_server(
            factory(_Readiness(self), self._probes),
            self._node.readiness.host,
            self._node.readiness.port,
        )
        server = await loop.create_server(
            factory(self._relay, self._callers),
            self._node.callers.host,
            self._node.callers.port,
            backlog=512,
        )
        self._log.info("process.started", settings=str(self._path))
        upkeep = loop.create_task(self._upkeep())
        await self._stopping.wait()
        await self._drain(server)
        upkeep.cancel()
        ready.close()
        for feed in feeds:
            feed.stop()
        self._log.info("process.stopped", active=self._relay.active)

    def _start_feeds(self, loop: asyncio.AbstractEventLoop) -> list[Feed]:
        store = StoreClient(self._node.store)

        def deliver(event: FeedEvent) -> None:
            loop.call_soon_threadsafe(self._take, event)

        feeds = [
            Feed(store, kind, deliver, random.Random(time.time_ns()))
            for kind in (configuration.KIND, entries.KIND)
        ]
        for feed in feeds:
            feed.start()
        return feeds

    def _take(self, event: FeedEvent) -> None:
        directory = self._beliefs.directory
        if isinstance(event, StoreLost):
            directory.on_store_lost()
            self._log.warning(
                "store.lost", kind=event.kind, reason=event.failure.detail
            )
            return
        directory.on_store_back(now())
        if event.kind == configuration.KIND:
            self._take_configuration(event)
        elif isinstance(event, SnapshotRead):
            self._take_list(event)
        else:
            self._take_changes(event)

    def _take_configuration(self, event: SnapshotRead | ChangesRead) -> None:
        if isinstance(event, SnapshotRead):
            records = list(event.snapshot.records)
        else:
            records = [record for record, gone in event.changes.records if not gone]
        for record in records:
            if record.name != configuration.NAME:
                continue
            result = configuration.decode(record.spec)
            if isinstance(result, Failure):
                self._log.warning("configuration.rejected", why=str(result.failure()))
            elif self._beliefs.accept(result.unwrap()):
                version = result.unwrap().version
                self._log.info(
                    "configuration.applied", version=version, revision=record.revision
                )

    def _take_list(self, event: SnapshotRead) -> None:
        found = []
        for record in event.snapshot.records:
            result = entries.decode(record.name, record.spec)
            if isinstance(result, Failure):
                self._log.warning("upstream.rejected", why=str(result.failure()))
            else:
                found.append(result.unwrap())
        revision = event.snapshot.revision
        self._beliefs.directory.replace(now(), revision, found)
        self._log.info("upstreams.listed", revision=revision, count=len(found))

    def _take_changes(self, event: ChangesRead) -> None:
        for record, gone in event.changes.records:
            self._take_change(record, gone)

    def _take_change(self, record: Record, gone: bool) -> None:
        directory = self._beliefs.directory
        name = entries.upstream_id(record.name)
        if gone:
            directory.remove(now(), record.revision, name)
            self._log.info("upstream.removed", upstream=name, revision=record.revision)
            return
        result = entries.decode(record.name, record.spec)
        if isinstance(result, Failure):
            directory.remove(now(), record.revision, name)
            self._log.warning("upstream.rejected", why=str(result.failure()))
            return
        entry = result.unwrap()
        held = directory.get(entry.name)
        directory.put(record.revision, entry)
        if held is None or held.lifetime != entry.lifetime:
            self._loads.forget_memory(entry.name)
        self._log.info(
            "upstream.changed",
            upstream=entry.name,
            state=entry.state.value,
            service=entry.service,
            revision=record.revision,
        )

    async def _upkeep(self) -> None:
        next_look = 0.0
        while True:
            await asyncio.sleep(TICK_SECONDS)
            at = now()
            self._outliers.on_tick(at)
            self._beliefs.directory.expire(at)
            self._pool.sweep()
            self._log.writer.flush()
            if at >= next_look:
                next_look = at + SETTINGS_SECONDS

    def _reload(self) -> None:
        result = settings.read(self._path)
        if isinstance(result, Failure):
            findings = "; ".join(str(finding) for finding in result.failure())
            self._log.warning("settings.rejected", why=findings)
            return
        self._node = result.unwrap()
        self._log.info("settings.reloaded")

    async def _drain(self, server: asyncio.Server) -> None:
        """Let the balancer turn away, then finish what runs."""
        self._relay.draining = True
        started = now()
        end = started + self._node.bounds.grace_ms / 1000 - STOP_MARGIN_SECONDS
        self._log.info("process.stopping", active=self._relay.active)
        await asyncio.sleep(NOT_READY_SECONDS)
        server.close()
        self._relay.stopped = True
        while now() < end:
            for conn in list(self._callers):
                if conn.idle:
                    conn.close()
            if not self._relay.active:
                break
            await asyncio.sleep(TICK_SECONDS)


def run(path: Path, level: str) -> None:
    """Run the process with a settings file.

    Raises
    ------
    SettingsError
        When the settings can't be used.
    """
    result = settings.read(path)
    if isinstance(result, Failure):
        raise SettingsError(result.failure())
    node = result.unwrap()
    import uvloop

    log = DecisionLog(node.vm, level)
    uvloop.run(_main(node, path, log))


async def _main(node: NodeSettings, path: Path, log: DecisionLog) -> None:
    await Gateway(node, path, log).run()
