"""The gateway process, a proxy between callers and upstreams on one VM."""

import asyncio
import math
import random
import signal
import time
from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

from returns.result import Failure

from oleandershift.arrivals import ArrivalClock
from oleandershift.demand import DemandMeter
from oleandershift.digests import SnapshotRequest
from oleandershift.exceptions import SettingsError
from oleandershift.fleetview import FleetView
from oleandershift.ids import Incarnation, VmId
from oleandershift.io.announcements import Announcements
from oleandershift.io.callers import (
    CallerConnection,
    CallerRequest,
    Responder,
    protocol_factory,
)
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.gatewaymetrics import GatewayMetrics, MetricsHandler
from oleandershift.io.intake import Intake
from oleandershift.io.listener import Listener
from oleandershift.io.pausewatch import PauseWatch
from oleandershift.io.peers import PeerTransport
from oleandershift.io.pool import ConnectionPool
from oleandershift.io.registry import VmRegistry
from oleandershift.io.relay import Relay
from oleandershift.io.sharelog import ShareLog
from oleandershift.io.storesync import StoreSync
from oleandershift.io.supervision import supervise
from oleandershift.io.takeups import TakeUps
from oleandershift.loopdelay import LoopDelay
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.outliers import OutlierDetector
from oleandershift.placement import LoadTracker, Location, Placement
from oleandershift.platform import settings
from oleandershift.platform.store import StoreClient
from oleandershift.quarantine import BlockChange, QuarantineLimits
from oleandershift.retries import RetryBudget
from oleandershift.routing import Limits, Service
from oleandershift.settings import program_version
from oleandershift.shedding import LoadShedder
from oleandershift.state import FleetState
from oleandershift.stopping import PlannedStop
from oleandershift.vmsettings import Address, VmSettings

MAINTENANCE_INTERVAL_SECONDS = 0.1
"""A twentieth of the shortest time bound that depends on maintenance."""

SETTINGS_POLL_SECONDS = 1.0
"""The settings file may change without a signal."""

LATE_LOOP_SECONDS = 0.2
"""Delay of a tick of the event loop from which on it is logged."""

UNREADY_SERVING_SECONDS = 3.0
"""Time after SIGTERM for which requests are accepted. The load balancer probes once a
second and stops sending after two failures."""

CATCH_UP_INTERVAL_SECONDS = 0.6
"""Interval of checks for changes that the store did not deliver to this VM. Longer than
the feeds' `BATCH_DELAY_SECONDS`, so that a batched change doesn't count as missed."""

CATCH_UP_RETRY_SECONDS = 0.1
"""Pause before another VM is asked in place of one that did not respond."""

UNREACHABLE_SECONDS = 3.0
"""Time for which a VM that did not respond is asked only for want of another; enough to
ask three others."""

FIRST_DIGESTS_SECONDS = 1.0
"""Time after the start of the process in which digests of the other VMs arrive."""

STOP_MARGIN_SECONDS = 0.4
"""Time before SIGKILL at which the process exits."""

LAST_ANSWERS_SECONDS = 0.2
"""Time before the exit by which each request is answered, so that answers are sent."""

REMOVAL_GRACE_FRACTION = 0.2
"""Fraction of the drain time for which an upstream is kept after its registration has
vanished, unless the store was out. The rest is left for the propagation of the change
and for what a request takes from its choice to the upstream."""

RETRY_BUDGET_FRACTION = 0.5
"""Fraction of the fleet's retry budget that is used, as VMs spend it without
coordination: their saved-up retries may fall into one window, and some VMs may have a
stale VM count."""

CALLER_SOCKETS_FRACTION = 0.5
"""Fraction of the sockets above which responses close their caller's connection. The
rest is for upstreams, and for callers that are connected all the same."""

BODY_MEMORY_FRACTION = 0.2
"""Fraction of the process's memory that the bodies of callers' requests may take. Each
is copied once when it is complete, and once more when it is sent."""

CALLER_BACKLOG = 512
"""Connections that wait to be accepted; further ones wait seconds for a second try."""

CALLER_BATCH = 8
"""Callers' connections that are accepted in one iteration of the event loop. Each
brings a request, and what was taken before, digests and snapshots wait for the end of
the iteration."""

IDLE_UPSTREAM_SOCKETS_FRACTION = 0.25
"""Fraction of the sockets that idle connections to upstreams may take."""

MIN_BUDGET_VMS = 10
"""Smallest divisor of the retry budget, until the VMs have been counted."""

_DEFAULT_QUARANTINE_LIMITS = QuarantineLimits()


@dataclass
class _RetryBudgets:
    """Retry budgets of this VM by service, a part of the fleet's budget.

    Parameters
    ----------
    ratio : float
        Retries for each first attempt.
    extra_retries : float
        Retries of the whole fleet beyond the ratio.
    """

    ratio: float
    extra_retries: float

    def __post_init__(self) -> None:
        self._by_service: dict[str, RetryBudget] = {}
        self.reserve = self.extra_retries / MIN_BUDGET_VMS

    def divide_among(self, vm_count: int) -> None:
        """Divide the extra retries by the number of VMs."""
        self.reserve = self.extra_retries / max(vm_count, MIN_BUDGET_VMS)
        for budget in self._by_service.values():
            budget.reserve = self.reserve

    def lowest_remaining(self) -> float:
        """Return the fewest retries that any service has left."""
        available = (budget.available for budget in self._by_service.values())
        return min(available, default=self.reserve)

    def for_service(self, service: Service) -> RetryBudget:
        budget = self._by_service.get(service.name)
        if budget is None:
            budget = RetryBudget(self.ratio, self.reserve)
            self._by_service[service.name] = budget
        return budget


class _ReadinessHandler:
    """Responds to readiness probes of the load balancer."""

    def __init__(self, gateway: "Gateway") -> None:
        self._gateway = gateway

    def limits(self) -> Limits:
        return Limits()

    def should_close(self) -> bool:
        return False

    def team_of(self, req: CallerRequest) -> None:
        return None

    def turn_away(self, req: CallerRequest, res: Responder) -> None:
        res.send(503, [], b"too many probes")

    async def handle(self, req: CallerRequest, res: Responder) -> None:
        ready = self._gateway.ready
        res.send(200 if ready else 503, [], b"")


class Gateway:
    """Builds and runs the components of a gateway.

    Parameters
    ----------
    vm_settings : VmSettings
        Settings of this VM.
    path : Path
        Settings file, read again when it changes.
    metrics_port : int
        Port of the metrics endpoint.
    log : DecisionLog
        Log of the process.
    quarantine_limits : QuarantineLimits
        When and for how long what crashes upstreams is blocked.
    """

    def __init__(
        self,
        vm_settings: VmSettings,
        path: Path,
        metrics_port: int,
        log: DecisionLog,
        quarantine_limits: QuarantineLimits = _DEFAULT_QUARANTINE_LIMITS,
    ) -> None:
        self._settings = vm_settings
        self._path = path
        self._metrics_port = metrics_port
        self._log = log
        self._peers = PeerTable(
            vm_settings.vm,
            vm_settings.data_centre,
            digests_known_at=now() + FIRST_DIGESTS_SECONDS,
        )
        self._state = FleetState(
            self._peers,
            FleetView(REMOVAL_GRACE_FRACTION * vm_settings.bounds.drain_ms / 1000),
            LoadTracker(vm_settings.bounds.reuse_window_ms / 1000),
            DemandMeter(vm_settings.bounds.share_window_ms / 1000),
            quarantine_limits=quarantine_limits,
            started_at=now(),
        )
        self._view = self._state.view
        self._pool = ConnectionPool(
            int(IDLE_UPSTREAM_SOCKETS_FRACTION * vm_settings.max_sockets)
        )
        self._metrics = GatewayMetrics()
        self._announcements = Announcements(self._state, self._pool, log, self._metrics)
        self._outliers = OutlierDetector()
        self._load_shedder = LoadShedder(random.Random())
        self._share_log = ShareLog(log, self._state.demand)
        self._this_vm = Peer(
            vm_settings.vm,
            vm_settings.data_centre,
            Address(vm_settings.ip, vm_settings.peer_port),
        )
        self._peer_transport = PeerTransport(
            self._this_vm,
            Incarnation(time.time_ns()),
            self._state,
            log,
        )
        self._state.on_load_change = self._peer_transport.on_load_change
        self._store_sync = StoreSync(self._view, log, self._metrics)
        location = Location(
            vm_settings.data_centre,
            vm_settings.region,
            vm_settings.region_by_data_centre,
        )
        bounds = vm_settings.bounds
        self._retry_budgets = _RetryBudgets(
            RETRY_BUDGET_FRACTION * bounds.retry_ratio,
            RETRY_BUDGET_FRACTION * bounds.retry_extra,
        )
        self._arrivals = ArrivalClock(now())
        self._loop_delay = LoopDelay(MAINTENANCE_INTERVAL_SECONDS)
        self._caller_connections: set[CallerConnection] = set()
        self._max_caller_connections = int(
            CALLER_SOCKETS_FRACTION * vm_settings.max_sockets
        )
        self._take_ups = TakeUps(
            self._state, self._arrivals, self._peer_transport.ask_for_stream
        )
        self._relay = Relay(
            self._state,
            self._arrivals,
            Intake(self._loop_delay.on_wait, max_waiting=math.inf),
            self._is_crowded,
            self._is_overloaded,
            self._pool,
            Placement(self._state.loads, location),
            self._load_shedder,
            self._outliers,
            self._retry_budgets.for_service,
            self._take_ups,
            log,
            self._metrics,
        )
        self._caller_listener = Listener(
            vm_settings.caller_address,
            protocol_factory(
                self._relay,
                self._caller_connections,
                BODY_MEMORY_FRACTION * vm_settings.memory_bytes,
                Intake(self._loop_delay.on_wait),
            ),
            log,
            CALLER_BACKLOG,
            CALLER_BATCH,
        )
        self._pause_watch = PauseWatch(self._arrivals, self._caller_listener)
        self._settings_stamp = _file_stamp(path)
        self._registry = VmRegistry(
            StoreClient(vm_settings.store_address),
            self._this_vm,
            self._peers,
            log,
            lambda: self._view.directory.position.era,
            self._state.stream_versions,
            random.Random(),
        )
        self._probe_connections: set[CallerConnection] = set()
        self._stopping = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Return whether the load balancer may send requests."""
        return (
            self._view.configuration is not None
            and self._view.directory.loaded
            and not self._relay.draining
        )

    def _is_crowded(self) -> bool:
        """Return whether callers hold so many connections that few sockets remain."""
        return len(self._caller_connections) > self._max_caller_connections

    def _is_overloaded(self) -> bool:
        """Return whether the event loop has more work than the processor can do."""
        return self._loop_delay.is_overloaded(now())

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # Held since the start of the program.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self._follow_store()
        await self._peer_transport.open(self._store_sync.snapshot)
        self._arrivals.restart(now())
        self._caller_listener.open()
        metrics_server = await loop.create_server(
            protocol_factory(MetricsHandler(self._metrics), self._probe_connections),
            self._settings.ip,
            self._metrics_port,
        )
        # Last, as a ready VM gets requests at once.
        readiness_server = await loop.create_server(
            protocol_factory(_ReadinessHandler(self), self._probe_connections),
            self._settings.readiness_address.host,
            self._settings.readiness_address.port,
        )
        self._log.info(
            "process.started", settings=str(self._path), version=program_version()
        )
        self._arrivals.restart(now())
        tasks = [
            loop.create_task(supervise(name, run, self._log))
            for name, run in (
                ("pauses", self._pause_watch.run),
                ("maintain", self._maintain),
                ("catch-up", self._catch_up),
                ("registry", self._registry.run),
            )
        ]
        await self._stopping.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        readiness_server.close()
        metrics_server.close()
        self._peer_transport.close()
        self._store_sync.stop()
        self._log.info("process.stopped", active=self._relay.active_requests)

    def _follow_store(self) -> None:
        """Connect to the store that the settings name."""
        store = StoreClient(self._settings.store_address)
        self._registry.store = store
        self._store_sync.start(store, asyncio.get_running_loop())

    async def _maintain(self) -> None:
        next_poll = 0.0
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            instant = now()
            self._take_ups.on_tick(instant)
            self._loop_delay.tick(instant)
            self._log_late_loop(instant)
            self._outliers.on_tick(instant)
            self._update_shares(instant)
            self._peer_transport.send_due_digests()
            self._update_quarantine(instant)
            self._state.update_stream_versions(instant)
            self._registry.on_tick()
            self._store_sync.set_role(self._peers.store_role(instant))
            self._store_sync.on_tick(instant)
            self._view.directory.expire(instant)
            self._state.allowances.expire(instant)
            self._pool.close_expired()
            self._log.writer.flush()
            self._update_gauges(instant)
            if instant >= next_poll:
                next_poll = instant + SETTINGS_POLL_SECONDS
                self._poll_settings()

    def _log_late_loop(self, instant: float) -> None:
        delay_s = self._loop_delay.last_s
        if delay_s >= LATE_LOOP_SECONDS:
            self._log.warning(
                "loop.late",
                delay_ms=round(delay_s * 1000),
                active=self._relay.active_requests,
                caller_connections=len(self._caller_connections),
                store_age_s=round(self._view.freshness.age_s(instant), 2),
            )

    def _update_quarantine(self, instant: float) -> None:
        for change in self._state.update_quarantine(instant):
            blocked = change.change is BlockChange.BLOCKED
            self._metrics.blocks.labels(
                change.suspect.kind.name.lower(), change.change.name.lower()
            ).inc()
            log = self._log.warning if blocked else self._log.info
            log(
                "suspect.blocked" if blocked else "suspect.released",
                kind=change.suspect.kind.name.lower(),
                suspect=change.suspect.name,
                reason=change.change.value,
                upstreams=change.upstreams,
                last_request=change.request,
                block_s=round(max(0.0, change.blocked_until - instant), 1),
            )
        self._peer_transport.send_due_notices()

    def _update_gauges(self, instant: float) -> None:
        directory = self._view.directory
        values = {
            "configuration_version": self._view.version,
            "reads_store": self._view.reads_store,
            "store_age_seconds": self._view.freshness.age_s(instant),
            "upstreams_revision": directory.position.revision,
            "store_era": directory.position.era,
            "upstreams": len(directory.entries()),
            "upstreams_ejected": len(self._outliers.ejected()),
            "vms": self._peers.live_count(instant),
            "active_requests": self._relay.active_requests,
            "connections_opened": self._pool.opened_count,
            "caller_connections": len(self._caller_connections),
            "connections_accepted": self._caller_listener.accepted_count,
            "loop_delay_seconds": self._loop_delay.last_s,
            "upstreams_leaving": directory.leaving_count(instant),
            "upstreams_away": self._state.standings.away_count(instant),
            "upstreams_limited": len(self._state.allowances.limited_runs(instant)),
            "suspects_blocked": self._state.quarantine.rejected_count(instant),
            "retry_budget": self._retry_budgets.lowest_remaining(),
            "digest_entries_omitted": self._peer_transport.omitted_entries,
            "log_lines_dropped": self._log.writer.dropped,
        }
        for name, value in values.items():
            self._metrics.gauges[name].set(value)

    def _update_shares(self, instant: float) -> None:
        cfg = self._view.configuration
        declared = (cfg.limits.tokens_per_second if cfg else 0.0) or math.inf
        shares = self._state.shares(instant, declared)
        self._load_shedder.shares = shares
        self._share_log.on_update(instant, shares)
        self._retry_budgets.divide_among(self._peers.known_count(instant))

    async def _catch_up(self) -> None:
        """Fetch snapshots from VMs that have read more of the store than this one.

        While the store answers this VM, another VM has to be ahead in two checks in a
        row, between which no configuration or no upstream was read here: changes reach
        VMs at different times.
        """
        previous: SnapshotRequest | None = None
        unreachable_until: dict[VmId, float] = {}
        delay_s = CATCH_UP_INTERVAL_SECONDS
        while True:
            await asyncio.sleep(delay_s)
            delay_s = CATCH_UP_INTERVAL_SECONDS
            instant = now()
            unreachable_until = {
                vm: until for vm, until in unreachable_until.items() if until > instant
            }
            peer = self._find_fresher_peer(unreachable_until)
            req = self._store_sync.request() if peer is not None else None
            is_behind = self._store_sync.relies_on_peers or _has_stood(previous, req)
            previous = req
            if peer is None or req is None or not is_behind:
                continue
            asked_at = now()
            snapshot = await self._peer_transport.fetch_snapshot(peer, req)
            if snapshot is None:
                unreachable_until[peer.vm] = now() + UNREACHABLE_SECONDS
                delay_s = CATCH_UP_RETRY_SECONDS
                continue
            unreachable_until.pop(peer.vm, None)
            self._store_sync.apply_snapshot(snapshot, peer.vm, asked_at)

    def _find_fresher_peer(self, unreachable: Collection[VmId]) -> Peer | None:
        """Return a VM that has read more of the store than this one, if any."""
        view = self._view
        return self._peers.fresher_peer(
            now(), view.version, view.directory.position, unreachable
        )

    def _poll_settings(self) -> None:
        """Reload the settings if their file has changed."""
        stamp = _file_stamp(self._path)
        if stamp != self._settings_stamp:
            self._reload()

    def _reload(self) -> None:
        self._settings_stamp = _file_stamp(self._path)
        result = settings.read(self._path)
        if isinstance(result, Failure):
            findings = "; ".join(str(finding) for finding in result.failure())
            self._log.warning("settings.rejected", why=findings)
            return
        previous, self._settings = self._settings, result.unwrap()
        if previous.store_address != self._settings.store_address:
            self._follow_store()
        self._log.info("settings.reloaded", store=self._settings.store_address)

    async def _drain(self) -> None:
        """Fail readiness probes, then finish the requests in flight."""
        self._relay.draining = True
        started_at = now()
        deadline = (
            started_at
            + self._settings.bounds.termination_grace_ms / 1000
            - STOP_MARGIN_SECONDS
        )
        self._log.info("process.stopping", active=self._relay.active_requests)
        self._relay.stop_by(
            PlannedStop(
                serves_until=started_at + UNREADY_SERVING_SECONDS,
                answers_until=deadline - LAST_ANSWERS_SECONDS,
            )
        )
        await asyncio.sleep(UNREADY_SERVING_SECONDS)
        self._caller_listener.close()
        self._relay.reject_new_requests()
        while now() < deadline:
            for conn in list(self._caller_connections):
                conn.close_if_idle()
            if self._is_drained():
                break
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)

    def _is_drained(self) -> bool:
        """Return whether no request is read or handled and no response is unsent."""
        return not (
            self._relay.active_requests
            or self._caller_connections
            or self._caller_listener.opening_count
        )


def _has_stood(
    previous: SnapshotRequest | None, current: SnapshotRequest | None
) -> bool:
    """Return whether one of the kinds that a VM reads is as it was."""
    if previous is None or current is None:
        return False
    return (
        previous.configuration == current.configuration
        or previous.position == current.position
    )


def _file_stamp(path: Path) -> tuple[int, int]:
    """Return the modification time in ns and the size; zeros if out of reach."""
    try:
        info = path.stat()
    except OSError:
        return 0, 0
    return info.st_mtime_ns, info.st_size


def run(
    path: Path, metrics_port: int, level: str, quarantine_limits: QuarantineLimits
) -> None:
    """Run a gateway until SIGTERM or SIGINT.

    Parameters
    ----------
    path : Path
        Settings file.
    metrics_port : int
        Port of the metrics endpoint.
    level : str
        Lowest log level that is written.
    quarantine_limits : QuarantineLimits
        When and for how long what crashes upstreams is blocked.

    Raises
    ------
    SettingsError
        When the settings are invalid.
    """
    result = settings.read(path)
    if isinstance(result, Failure):
        raise SettingsError(result.failure())
    vm_settings = result.unwrap()
    import uvloop

    log = DecisionLog(vm_settings.vm, level)

    async def main() -> None:
        await Gateway(vm_settings, path, metrics_port, log, quarantine_limits).run()

    uvloop.run(main())
