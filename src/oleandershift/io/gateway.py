"""The process that stands between callers and upstreams on a platform VM."""

import asyncio
import math
import random
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from returns.result import Failure

from oleandershift.demand import DemandMeter
from oleandershift.exceptions import SettingsError
from oleandershift.fleetview import FleetView
from oleandershift.ids import Incarnation, VmId
from oleandershift.io.callers import (
    CallerConnection,
    CallerRequest,
    Responder,
    protocol_factory,
)
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.gatewaymetrics import GatewayMetrics, MetricsHandler
from oleandershift.io.peers import PeerTransport
from oleandershift.io.pool import ConnectionPool
from oleandershift.io.registry import VmRegistry
from oleandershift.io.relay import Relay
from oleandershift.io.storesync import StoreSync
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.outliers import OutlierDetector
from oleandershift.placement import LoadTracker, Location, Placement
from oleandershift.platform import settings
from oleandershift.platform.store import StoreClient
from oleandershift.retries import RetryBudget
from oleandershift.routing import Limits, Service
from oleandershift.settings import program_version
from oleandershift.shedding import LoadShedder
from oleandershift.state import FleetState
from oleandershift.vmsettings import Address, VmSettings

MAINTENANCE_INTERVAL_SECONDS = 0.1
"""Pace of expiry and upkeep: a twentieth of the shortest bound that depends on it."""

SETTINGS_POLL_SECONDS = 1.0
"""Pace at which the settings file is looked at, as it may change without a signal."""

UNREADY_SERVING_SECONDS = 3.0
"""Time after SIGTERM in which requests are still taken: the balancer asks once a second
and needs two misses."""

CATCH_UP_INTERVAL_SECONDS = 0.6
"""Pace at which a VM that the store turns away asks the others: longer than changes are
gathered for, so that only what is missed counts as missed."""

STOP_MARGIN_SECONDS = 0.4
"""Time before SIGKILL at which the process ends, whatever still runs."""

REMOVAL_GRACE_FRACTION = 0.6
"""Part of the time in which a leaving upstream serves on for which a registration that
vanished is kept; the rest is left to the way of the news."""

RETRY_BUDGET_FRACTION = 0.5
"""Part of the fleet's retry budget that is used, as VMs spend it without asking: what
they save up may fall into one window, and some may hold an old count of VMs."""

MIN_BUDGET_VMS = 10
"""VMs that share the retry budget at least, until they are counted."""


@dataclass
class _Budgets:
    """Each service's part of the fleet's retry budget."""

    ratio: float
    extra: float

    def __post_init__(self) -> None:
        self._held: dict[str, RetryBudget] = {}
        self.reserve = self.extra / MIN_BUDGET_VMS

    def share(self, vms: int) -> None:
        """Divide what the ratio does not cover by the number of VMs."""
        self.reserve = self.extra / max(vms, MIN_BUDGET_VMS)
        for budget in self._held.values():
            budget.reserve = self.reserve

    def least(self) -> float:
        """Return the retries left of the tightest service."""
        left = (budget.available for budget in self._held.values())
        return min(left, default=self.reserve)

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

    def should_close(self) -> bool:
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
    metrics_port : int
        Where metrics are served.
    log : DecisionLog
        Decisions.
    """

    def __init__(
        self, node: VmSettings, path: Path, metrics_port: int, log: DecisionLog
    ) -> None:
        self._node = node
        self._path = path
        self._metrics_port = metrics_port
        self._log = log
        self._neighbours = PeerTable(node.vm, node.data_centre)
        self._state = FleetState(
            self._neighbours,
            FleetView(REMOVAL_GRACE_FRACTION * node.bounds.drain_ms / 1000),
            LoadTracker(node.bounds.reuse_window_ms / 1000),
            DemandMeter(node.bounds.share_window_ms / 1000),
        )
        self._beliefs = self._state.view
        self._pool = ConnectionPool()
        self._metrics = GatewayMetrics()
        self._outliers = OutlierDetector()
        self._shedding = LoadShedder(random.Random())
        self._peer = Peer(node.vm, node.data_centre, Address(node.ip, node.peer_port))
        self._link = PeerTransport(
            self._peer,
            Incarnation(time.time_ns()),
            self._state,
            log,
        )
        self._state.on_load_change = self._link.on_load_change
        self._follower = StoreSync(
            self._beliefs, self._state.loads.clear_cache, log, self._metrics
        )
        place = Location(node.data_centre, node.region, node.region_by_data_centre)
        bounds = node.bounds
        self._budgets = _Budgets(
            RETRY_BUDGET_FRACTION * bounds.retry_ratio,
            RETRY_BUDGET_FRACTION * bounds.retry_extra,
        )
        self._relay = Relay(
            self._state,
            self._pool,
            Placement(self._state.loads, place),
            self._shedding,
            self._outliers,
            self._budgets.of,
            log,
            self._metrics,
        )
        self._stamp = _stamp(path)
        self._registry = VmRegistry(
            StoreClient(node.store_address), self._peer, self._neighbours, log
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
        self._follow_store()
        await self._link.open(self._follower.snapshot)
        ready = await loop.create_server(
            protocol_factory(_Readiness(self), self._probes),
            self._node.readiness_address.host,
            self._node.readiness_address.port,
        )
        server = await loop.create_server(
            protocol_factory(self._relay, self._callers),
            self._node.caller_address.host,
            self._node.caller_address.port,
            backlog=512,
        )
        scrapes = await loop.create_server(
            protocol_factory(MetricsHandler(self._metrics), self._probes),
            self._node.ip,
            self._metrics_port,
        )
        self._log.info(
            "process.started", settings=str(self._path), version=program_version()
        )
        tasks = [
            loop.create_task(self._upkeep()),
            loop.create_task(self._catch_up()),
            loop.create_task(self._registry.run()),
        ]
        await self._stopping.wait()
        await self._drain(server)
        for task in tasks:
            task.cancel()
        ready.close()
        scrapes.close()
        self._link.close()
        self._follower.stop()
        self._log.info("process.stopped", active=self._relay.active_requests)

    def _follow_store(self) -> None:
        """Use the store that the settings name."""
        store = StoreClient(self._node.store_address)
        self._registry.store = store
        self._follower.start(store, asyncio.get_running_loop())

    async def _upkeep(self) -> None:
        next_look = 0.0
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            at = now()
            self._outliers.on_tick(at)
            self._update_shares(at)
            self._link.send_digests()
            self._follower.set_relaxed(self._neighbours.follows_hub(at))
            self._beliefs.directory.expire(at)
            self._pool.close_expired()
            self._log.writer.flush()
            self._update_gauges(at)
            if at >= next_look:
                next_look = at + SETTINGS_POLL_SECONDS
                self._look_at_settings()

    def _update_gauges(self, at: float) -> None:
        cfg = self._beliefs.configuration
        directory = self._beliefs.directory
        values = {
            "configuration_version": cfg.version if cfg else 0,
            "upstreams_revision": directory.revision,
            "upstreams": len(directory.entries()),
            "upstreams_ejected": len(self._outliers.ejected()),
            "vms": self._neighbours.live_count(at),
            "active_requests": self._relay.active_requests,
            "connections_opened": self._pool.opened_count,
            "retry_budget": self._budgets.least(),
            "log_lines_dropped": self._log.writer.dropped,
        }
        for name, value in values.items():
            self._metrics.gauges[name].set(value)

    def _update_shares(self, at: float) -> None:
        cfg = self._beliefs.configuration
        declared = (cfg.limits.tokens_per_second if cfg else 0.0) or math.inf
        self._shedding.shares = self._state.shares(at, declared)
        self._budgets.share(self._neighbours.known_count(at))

    async def _catch_up(self) -> None:
        """Read from another VM what the store does not tell this one.

        While the store answers, a VM has to be ahead twice, as news reach VMs at
        different times.
        """
        suspect: VmId | None = None
        while True:
            await asyncio.sleep(CATCH_UP_INTERVAL_SECONDS)
            peer = self._ahead()
            if peer is None or (peer.vm != suspect and not self._follower.disconnected):
                suspect = peer.vm if peer else None
                continue
            found = await self._link.fetch_snapshot(peer)
            if found is not None:
                self._follower.apply_snapshot(found, peer.vm)

    def _ahead(self) -> Peer | None:
        """Return a VM that has read more of the store than this one, if any."""
        cfg = self._beliefs.configuration
        version = cfg.version if cfg else 0
        changed = self._beliefs.directory.revision
        return self._neighbours.fresher_peer(now(), version, changed)

    def _look_at_settings(self) -> None:
        """Read the settings again if their file has changed."""
        found = _stamp(self._path)
        if found != self._stamp:
            self._reload()

    def _reload(self) -> None:
        self._stamp = _stamp(self._path)
        result = settings.read(self._path)
        if isinstance(result, Failure):
            findings = "; ".join(str(finding) for finding in result.failure())
            self._log.warning("settings.rejected", why=findings)
            return
        held, self._node = self._node, result.unwrap()
        if held.store_address != self._node.store_address:
            self._follow_store()
        self._log.info("settings.reloaded", store=self._node.store_address)

    async def _drain(self, server: asyncio.Server) -> None:
        """Let the balancer turn away, then finish what runs."""
        self._relay.draining = True
        started = now()
        end = (
            started
            + self._node.bounds.termination_grace_ms / 1000
            - STOP_MARGIN_SECONDS
        )
        self._log.info("process.stopping", active=self._relay.active_requests)
        await asyncio.sleep(UNREADY_SERVING_SECONDS)
        server.close()
        self._relay.reject_new_requests()
        while now() < end:
            for conn in list(self._callers):
                if conn.idle:
                    conn.close()
            if not self._relay.active_requests:
                break
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)


def _stamp(path: Path) -> tuple[int, int]:
    """Return what changes when a file is written; zeros when there is none."""
    try:
        found = path.stat()
    except FileNotFoundError:
        return 0, 0
    return found.st_mtime_ns, found.st_size


def run(path: Path, metrics_port: int, level: str) -> None:
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
    uvloop.run(_main(node, path, metrics_port, log))


async def _main(
    node: VmSettings, path: Path, metrics_port: int, log: DecisionLog
) -> None:
    await Gateway(node, path, metrics_port, log).run()
