"""State of one VM's view of the fleet, shared by the components of a gateway."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from oleandershift.absences import AbsenceTracker
from oleandershift.allowances import Allowances, AnnouncedLimit
from oleandershift.demand import SHARE_HEADROOM, DemandMeter, Shares, max_min_shares
from oleandershift.directory import UpstreamRun
from oleandershift.eligibility import Eligibility
from oleandershift.fleetview import FleetView
from oleandershift.neighbours import PeerTable
from oleandershift.placement import LoadTracker
from oleandershift.quarantine import Quarantine, QuarantineLimits, SuspectChange
from oleandershift.standings import UpstreamStandings
from oleandershift.streamversions import StreamVersions

MAX_CURRENT_AGE_SECONDS = 1.5
"""Age of a VM's knowledge up to which it is current; a hub's watch, two digests and a
late event loop. Streams begin at a new version only after that was recorded in the
store."""

REGISTRATION_SECONDS = 3.0
"""Time in which a new run of an upstream is read, unless the store is out: the first
report, a hub's batch of changes, and a follower's snapshot."""

MAX_ANNOUNCEMENTS = 4096
"""Limit of the announcements whose time is remembered; the oldest are forgotten."""


class LeavingSource(Enum):
    """How a VM learned that an upstream leaves, other than from the store."""

    RESPONSE = "response"
    DIGEST = "digest"


@dataclass(frozen=True, slots=True)
class LeavingReport:
    """An upstream's word that it leaves.

    Parameters
    ----------
    run : UpstreamRun
        The upstream.
    source : LeavingSource
        How it reached this VM.
    informant : str
        Id of the answered request, or name of the VM that sent the digest.
    """

    run: UpstreamRun
    source: LeavingSource
    informant: str


@dataclass(frozen=True, slots=True)
class _Heard:
    """When a response said something: by the VM's steady clock, and in Unix ms."""

    at: float
    unix_ms: float


class AnnouncementKind(Enum):
    """Kind of what an upstream says of itself in a response."""

    LEAVING = "leaving"
    AWAY = "away"
    LIMIT = "limit"


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What an upstream announced when a limit on its requests began or ended.

    Parameters
    ----------
    announced : AnnouncedLimit
        What it said.
    informant : str
        The answered request, or the VM that passed it on.
    """

    announced: AnnouncedLimit
    informant: str


@dataclass
class FleetState:
    """Peers, fleet view, upstream loads and team demand as known to one VM.

    Parameters
    ----------
    peers : PeerTable
        Digests of the other VMs.
    view : FleetView
        Configuration in force and known upstreams.
    loads : LoadTracker
        Load of the upstreams.
    demand : DemandMeter
        Demand of the teams at this VM.
    on_load_change : callable
        Called after the load of an upstream has changed, or its absence or leaving was
        learned.
    on_leaving : callable
        Called with each report that an upstream leaves, if that was not known.
    on_limit : callable
        Called with each report that begins or ends a limit.
    absences : AbsenceTracker
        Upstreams that this VM found absent.
    quarantine_limits : QuarantineLimits
        When and for how long what crashes upstreams is blocked.
    started_at : float
        Start of the process, seconds.
    standings : UpstreamStandings
        Upstreams that have turned this VM away.

    Attributes
    ----------
    allowances : Allowances
        Limits that upstreams have named.
    quarantine : Quarantine
        Requests and prompt parts that crash upstreams.
    stream_versions : StreamVersions
        Software versions of streams.
    """

    peers: PeerTable
    view: FleetView
    loads: LoadTracker
    demand: DemandMeter
    on_load_change: Callable[[], None] = lambda: None
    on_leaving: Callable[[LeavingReport], None] = lambda report: None
    on_limit: Callable[[LimitReport], None] = lambda report: None
    absences: AbsenceTracker = field(default_factory=AbsenceTracker)
    quarantine_limits: QuarantineLimits = field(default_factory=QuarantineLimits)
    started_at: float = 0.0
    standings: UpstreamStandings = field(default_factory=UpstreamStandings)

    def __post_init__(self) -> None:
        peers = self.peers
        self.allowances = Allowances(peers.vm, peers.data_centre, peers.fleet)
        self.quarantine = Quarantine(self.quarantine_limits, peers.rank)
        self.stream_versions = StreamVersions(self.started_at)
        self.view.directory.on_restart = self.on_restart
        # The latest announcement of each kind.
        self._heard: dict[tuple[UpstreamRun, AnnouncementKind], _Heard] = {}

    @property
    def eligibility(self) -> Eligibility:
        """Which upstreams may get requests."""
        return Eligibility(
            self.view.directory, self.standings, self.allowances, self.quarantine
        )

    def shares(self, now: float, declared: float) -> Shares:
        """Return the teams' fair shares of the fleet's capacity.

        Parameters
        ----------
        now : float
            Current time, seconds.
        declared : float
            Capacity that the configuration declares, in tokens per second.
        """
        rates = self.peers.team_rates(now, self.demand.rates(now))
        return max_min_shares(rates, declared, SHARE_HEADROOM)

    def absent(self, now: float) -> frozenset[UpstreamRun]:
        """Return the upstreams that any VM found absent from their address."""
        return self.absences.absent(now) | self.peers.absent(now)

    def on_announcement(
        self, now: float, run: UpstreamRun, kind: AnnouncementKind, unix_ms: float
    ) -> None:
        """Record when a response said something of its upstream.

        Parameters
        ----------
        now : float
            Current time, seconds.
        run : UpstreamRun
            The upstream, as registered; a later run may have sent the response.
        kind : AnnouncementKind
            What it said.
        unix_ms : float
            Current Unix time, milliseconds.
        """
        self._record_heard(run, kind, _Heard(now, unix_ms))

    def _record_heard(
        self, run: UpstreamRun, kind: AnnouncementKind, heard: _Heard
    ) -> None:
        self._heard.pop((run, kind), None)
        self._heard[run, kind] = heard
        if len(self._heard) > MAX_ANNOUNCEMENTS:
            del self._heard[next(iter(self._heard))]

    def on_restart(
        self, previous: UpstreamRun, run: UpstreamRun, read_at: float
    ) -> None:
        """Record that another run of an upstream is registered.

        What was heard after its start, and so counted for the run before, holds for it.

        Parameters
        ----------
        previous, run : UpstreamRun
            The run before and the new one.
        read_at : float
            Time in seconds at which the new one was read first.
        """
        self.loads.clear_cache(run.upstream)
        for kind in AnnouncementKind:
            heard = self._heard.get((previous, kind))
            if heard is None or not self._may_have_said(run, heard, read_at):
                continue
            # A still later run may have said it.
            self._record_heard(run, kind, heard)
            if kind is AnnouncementKind.LEAVING:
                self.record_leaving(
                    LeavingReport(run, LeavingSource.RESPONSE, "before registration")
                )
            elif kind is AnnouncementKind.AWAY:
                self.standings.carry_over(previous, run)
            else:
                self.allowances.carry_over(previous, run)

    def _may_have_said(self, run: UpstreamRun, heard: _Heard, read_at: float) -> bool:
        """Return whether a run, or the one before it, said what was heard.

        The clock of the upstream's host is asked only where nothing else tells.
        """
        if not run.incarnation:
            return False
        if heard.at >= read_at:
            return True
        was_read_late = self.view.freshness.may_lack_registrations(read_at)
        if heard.at < read_at - REGISTRATION_SECONDS and not was_read_late:
            return False
        return run.incarnation <= heard.unix_ms

    def record_leaving(self, report: LeavingReport) -> None:
        """Record that an upstream leaves, and announce it if that was not known."""
        if self.view.directory.on_leaving(report.run):
            self.on_leaving(report)
            self.on_load_change()

    def confirm_crashes(self, now: float) -> None:
        """Count the broken exchanges whose upstream is known to be gone by now."""
        if not self.quarantine.has_unconfirmed:
            return
        absent = self.absent(now)

        def is_gone(run: UpstreamRun) -> bool:
            entry = self.view.directory.get(run.upstream)
            return entry is None or entry.run != run or run in absent

        self.quarantine.confirm(now, is_gone)

    def update_quarantine(self, now: float) -> list[SuspectChange]:
        """Block and release what crashes upstreams; return what has changed."""
        self.confirm_crashes(now)
        return self.quarantine.update(now)

    def is_current(self, now: float) -> bool:
        """Return whether this VM knows all that any VM may act on.

        It does if the store or a VM that reads it has confirmed that lately, or, while
        the store is out, if all known VMs are heard and none of them knows more.
        """
        view = self.view
        if self.peers.fresher_peer(now, view.version, view.directory.position):
            return False
        current_until = view.freshness.current_until
        if now - current_until <= MAX_CURRENT_AGE_SECONDS:
            return True
        all_heard = self.peers.live_count(now) >= self.peers.known_count(now) > 1
        return all_heard and math.isfinite(current_until)

    def update_stream_versions(self, now: float) -> None:
        """Record which versions serve the services whose streams may be taken up."""
        cfg, directory = self.view.configuration, self.view.directory
        if cfg is not None and directory.loaded:
            self.stream_versions.observe(
                now,
                {
                    service: directory.versions(service)
                    for service in cfg.resumable_services
                },
            )

    def refresh_loads(self, now: float) -> None:
        """Update the load that other VMs cause, from their digests."""
        self.loads.set_remote(self.peers.remote_loads(now))
