"""Directory of upstreams, from the lists and changes of the platform's store."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import chain
from typing import NamedTuple

from oleandershift.freshness import (
    OUTAGE_SECONDS,
    REREGISTRATION_SECONDS,
    StoreFreshness,
)
from oleandershift.ids import DataCentreId, ServiceId, SoftwareVersion, UpstreamId
from oleandershift.records import START_OF_HISTORY, StorePosition

UNKNOWN_VERSION = SoftwareVersion("")

CONFIRMATION_SECONDS = 5.0
"""Time after which a registration that a restored store still holds is believed again,
though its removal had been read, and one whose run seems to have started before the
known one. The store drops the registration of an upstream that is gone after three
missed reports, each of which is due after more than a second."""

MAX_DEPARTED_RUNS = 16_384
"""Limit of the runs that are remembered as leaving, the oldest of which are forgotten;
more than the upstreams of the largest planned fleet."""

MAX_REPLACED_RUNS = 4
"""Limit of the earlier runs of an upstream whose late reports are not taken for new."""

REMOVAL_TELLING_SECONDS = 1.2
"""Time for which other VMs are told of a removal: in five digests, as some are lost."""

REMOVAL_MEMORY_SECONDS = 60.0
"""Time for which the position of a removal is remembered; three times the history that
the store keeps, so longer than a watch can lag behind."""


class UpstreamState(Enum):
    """State that an upstream reports."""

    READY = "ready"
    DRAINING = "draining"


class UpstreamRun(NamedTuple):
    """Identity of one run of an upstream, which differs after a restart."""

    upstream: UpstreamId
    incarnation: int


@dataclass(frozen=True, slots=True)
class Upstream:
    """Registration of one run of an upstream, from its start to its end.

    Parameters
    ----------
    name : UpstreamId
        Id, which may stay the same after a restart.
    incarnation : int
        Start time in Unix milliseconds; 0 if unknown. It identifies a run. It does not
        order runs, as the clock of the upstream's host may be set back between them.
    service : ServiceId
        Service to which it belongs.
    host : str
        IPv4 address.
    port : int
        TCP port.
    data_centre : DataCentreId
        Its data centre.
    slots : int
        Requests that it runs concurrently.
    state : UpstreamState
        Whether it accepts new requests.
    sequence : int
        Number of the report that it sent last; 0 if unknown.
    version : SoftwareVersion
        Version of its software.
    """

    name: UpstreamId
    incarnation: int
    service: ServiceId
    host: str
    port: int
    data_centre: DataCentreId
    slots: int
    state: UpstreamState
    sequence: int = 0
    version: SoftwareVersion = UNKNOWN_VERSION

    @property
    def run(self) -> UpstreamRun:
        """Identity of this run of the upstream."""
        return UpstreamRun(self.name, self.incarnation)


class _Removal(NamedTuple):
    position: StorePosition
    forget_at: float
    # Removed by the store around an outage, perhaps only as its report was missed.
    in_outage: bool
    # Numbers of the last reports by incarnation, of the known run and one in doubt.
    sequences: Mapping[int, int]


class _Doubt(NamedTuple):
    """What the store holds, though a run that seems to be later is known."""

    position: StorePosition
    entry: Upstream
    read_at: float

    @property
    def believed_at(self) -> float:
        """Time from which on the report is believed if the store still holds it."""
        return self.read_at + CONFIRMATION_SECONDS

    @property
    def heeded_until(self) -> float:
        """Time from which on only an outage of the store leaves it in doubt.

        It is heeded in an outage, too, as the known run can't report then.
        """
        return self.believed_at + OUTAGE_SECONDS


@dataclass(frozen=True, slots=True)
class RemovalGrace:
    """For how long a VM still keeps the upstreams that its list does not contain.

    Parameters
    ----------
    unnamed_s : float
        Seconds for those that it has never known or that its last list from the store
        lacked.
    named_s : mapping
        Seconds by name, for those whose removal it read after that list.
    """

    unnamed_s: float
    named_s: Mapping[UpstreamId, float] = field(default_factory=dict)

    def left_s(self, name: UpstreamId) -> float:
        """Return the seconds for which an upstream is kept."""
        return self.named_s.get(name, self.unnamed_s)


class Directory:
    """The upstreams that this VM knows.

    The store removes registrations that were not renewed, including those of upstreams
    that could not reach it during an outage. Around an outage, an entry that disappears
    without having been in state draining is therefore kept until
    `REREGISTRATION_SECONDS` after the store recovered, and at any other time for a
    grace period, as the word of an outage takes a moment.

    A run that leaves never accepts requests again, whoever said so and whatever is read
    later: a report that an upstream sent before may reach the store after it.

    The store orders the runs of an upstream. A report of a run that seems to have
    started before the known one, or that the known one has replaced, may be a late one,
    which the known run's next report replaces, or that of a new run whose clock was set
    back. It is believed once the store has held it for `CONFIRMATION_SECONDS`. Until
    then the known run gets requests, unless the run in doubt drains or leaves, or has
    another software version.

    A store that comes back from an older copy lacks what was registered since, which is
    kept like the entries that lapse in an outage, and lists again what was removed
    since. A removal that was read while the store was well is believed for
    `CONFIRMATION_SECONDS`, unless the upstream reports anew.

    Parameters
    ----------
    grace_s : float
        Grace period in seconds without an outage; shorter than the time for which a
        leaving upstream continues to serve.
    freshness : StoreFreshness or None
        Up to when the store has been read; None for one that is never out.

    Attributes
    ----------
    position : StorePosition
        Place in the store's history of the newest known change.
    loaded : bool
        Whether a complete list has been received.
    on_restart : callable
        Called with two runs of an upstream when the second has replaced the first, and
        the time in seconds at which the second was read first.
    """

    def __init__(
        self, grace_s: float = 0.0, freshness: StoreFreshness | None = None
    ) -> None:
        self._grace_s = grace_s
        self._freshness = freshness or StoreFreshness()
        self._entries: dict[UpstreamId, Upstream] = {}
        self._positions: dict[UpstreamId, StorePosition] = {}
        self._lapse_deadlines: dict[UpstreamId, float] = {}
        # Until when a removal is believed rather than a restored store.
        self._unconfirmed_until: dict[UpstreamId, float] = {}
        self._removals: dict[UpstreamId, _Removal] = {}
        self._doubts: dict[UpstreamId, _Doubt] = {}
        # The last runs before the known one.
        self._replaced: dict[UpstreamId, tuple[UpstreamRun, ...]] = {}
        self._version_counts: defaultdict[ServiceId, Counter[SoftwareVersion]]
        self._version_counts = defaultdict(Counter)
        # Runs that leave, in the order in which that was learned.
        self._departed: dict[UpstreamRun, None] = {}
        # Results that are kept until a change, as each request asks for them.
        self._usable: dict[ServiceId, tuple[Upstream, ...]] = {}
        self._usable_until = math.inf
        self._leaving: tuple[frozenset[UpstreamRun], frozenset[UpstreamRun]] | None = (
            None
        )
        self.position = START_OF_HISTORY
        self._listed_position = START_OF_HISTORY
        self._list_grace_end = -math.inf
        self.loaded = False
        self.on_restart: Callable[[UpstreamRun, UpstreamRun, float], None] = (
            lambda previous, run, read_at: None
        )

    def replace(
        self,
        now: float,
        position: StorePosition,
        entries: Iterable[tuple[StorePosition, Upstream]],
        removals: RemovalGrace | None = None,
    ) -> tuple[Upstream, ...]:
        """Apply a complete list and return the entries that were removed immediately.

        A list that is older than the newest known change is ignored.

        Parameters
        ----------
        now : float
            Current time, seconds.
        position : StorePosition
            Place in the store's history at which the list was read.
        entries : iterable of tuple
            Pairs of the place of an entry's last change and the entry.
        removals : RemovalGrace or None
            For how long the VM that read the list still keeps what is missing in it;
            None if this VM read it.
        """
        if self.loaded and position < self.position:
            return ()
        is_restored = self.loaded and position.era > self.position.era
        if is_restored:
            # What the copy lacks is registered again as after an outage.
            self._freshness.on_recovered(now)
        listed = {entry.name: (changed, entry) for changed, entry in entries}
        missing = [name for name in self._entries if name not in listed]
        if removals is None:
            removals = RemovalGrace(self._lapse_deadline(now) - now)
        self._list_grace_end = now + removals.unnamed_s
        for name in missing:
            self._remember_removal(now, position, name)
        removed = [
            entry
            for name in missing
            if (entry := self._lapse(now, name, now + removals.left_s(name)))
        ]
        for changed, entry in listed.values():
            if self._is_doubtful(entry):
                self._doubt(now, changed, entry)
                continue
            unconfirmed_until = self._unconfirmed_until.get(entry.name)
            if is_restored and self._was_removed(changed, entry):
                unconfirmed_until = now + CONFIRMATION_SECONDS
            elif changed != self._positions.get(entry.name):
                unconfirmed_until = None
            self._store(now, changed, entry)
            if unconfirmed_until is not None:
                self._unconfirmed_until[entry.name] = unconfirmed_until
        newest = max(
            (changed for changed, _ in listed.values()),
            default=StorePosition(position.era, 0),
        )
        # A missing entry is a change without a record that could carry its position,
        # and later pages of a list may be newer than what is known of the first.
        self.position = max(
            self.position, position if missing else min(newest, position)
        )
        self._listed_position = position
        self.loaded = True
        return tuple(removed)

    def update(self, now: float, position: StorePosition, entry: Upstream) -> bool:
        """Add or replace an entry; return False if the change is known already.

        A change from before the removal of an entry does not add it again, nor does a
        report that was sent before and reached the store after it.

        Parameters
        ----------
        now : float
            Current time, seconds.
        position : StorePosition
            Place of the change.
        entry : Upstream
            The upstream as registered then.
        """
        removal = self._removals.get(entry.name)
        known_position = max(
            self._listed_position,
            self._last_position(entry.name),
            removal.position if removal is not None else START_OF_HISTORY,
        )
        if position <= known_position:
            return False
        if removal is not None and _is_late_report(removal, entry):
            return False
        if self._is_doubtful(entry):
            self._doubt(now, position, entry)
        else:
            self._store(now, position, entry)
        self.position = max(self.position, position)
        return True

    def advance(self, position: StorePosition) -> None:
        """Record that all changes up to a place in the store's history are known."""
        self.position = max(self.position, position)

    def remove(
        self,
        now: float,
        position: StorePosition,
        name: UpstreamId,
        grace_s: float | None = None,
    ) -> bool:
        """Apply a removal; return whether the entry was removed immediately.

        Parameters
        ----------
        now : float
            Current time, seconds.
        position : StorePosition
            Place of the removal; an entry that is newer stays.
        name : UpstreamId
            Id of the upstream.
        grace_s : float or None
            Seconds for which the VM that read the removal still keeps the entry; None
            if this VM read it.
        """
        self.position = max(self.position, position)
        last_position = self._last_position(name)
        if position.revision and position < last_position:
            return False
        self._remember_removal(now, max(position, last_position), name)
        deadline = self._lapse_deadline(now) if grace_s is None else now + grace_s
        return self._lapse(now, name, deadline) is not None

    def on_removal_told(
        self,
        now: float,
        position: StorePosition,
        run: UpstreamRun,
        use_ends_at: float,
    ) -> None:
        """Apply a removal that another VM has read, before what else it has read.

        Parameters
        ----------
        now : float
            Current time, seconds.
        position : StorePosition
            Place of the removal; an entry that is newer stays.
        run : UpstreamRun
            The upstream.
        use_ends_at : float
            Time until which the other VM uses it, seconds.
        """
        entry = self._entries.get(run.upstream)
        if entry is None or entry.run != run:
            return
        if position < self._last_position(run.upstream):
            return
        self._remember_removal(now, position, run.upstream)
        self._lapse(now, run.upstream, use_ends_at)

    def recent_removals(self, now: float) -> list[tuple[UpstreamRun, StorePosition]]:
        """Return the removals of which other VMs are told, and their places.

        Around an outage of the store an upstream may register again soon.
        """
        oldest_forget_at = now + REMOVAL_MEMORY_SECONDS - REMOVAL_TELLING_SECONDS
        found = []
        for name, removal in reversed(self._removals.items()):
            if removal.forget_at < oldest_forget_at:
                break
            if removal.in_outage or self._is_renewed(name):
                continue
            found += [
                (UpstreamRun(name, incarnation), removal.position)
                for incarnation in removal.sequences
                if incarnation
            ]
        return found

    def grace_left(self, now: float, name: UpstreamId) -> float:
        """Return the seconds for which a lapsed entry is kept; 0 without one."""
        return max(0.0, self._lapse_deadlines.get(name, now) - now)

    def lapsing(self) -> tuple[tuple[UpstreamId, StorePosition], ...]:
        """Return name and position of the removals whose entries are still kept."""
        return tuple(
            (name, removal.position)
            for name, removal in self._removals.items()
            if name in self._lapse_deadlines
        )

    def removals(self) -> tuple[tuple[UpstreamId, StorePosition], ...]:
        """Return name and position of the removals in the last minute, kept or not."""
        return tuple(
            (name, removal.position)
            for name, removal in self._removals.items()
            if not self._is_renewed(name)
        )

    def _is_renewed(self, name: UpstreamId) -> bool:
        """Return whether an upstream has registered again after its removal."""
        return name in self._entries and name not in self._lapse_deadlines

    def list_grace_left(self, now: float) -> float:
        """Return the seconds for which entries missing in the last list are kept."""
        return max(0.0, self._list_grace_end - now)

    def expire(self, now: float) -> tuple[Upstream, ...]:
        """Remove and return the lapsed entries that were not renewed in time.

        Reports that the store has held for long are believed.
        """
        self._believe(now)
        expired = [
            name for name, deadline in self._lapse_deadlines.items() if deadline <= now
        ]
        for name in expired:
            del self._lapse_deadlines[name]
        self._unconfirmed_until = {
            name: until
            for name, until in self._unconfirmed_until.items()
            if until > now
        }
        while self._removals:
            oldest = next(iter(self._removals))
            if self._removals[oldest].forget_at > now:
                break
            del self._removals[oldest]
        return tuple(self._drop(name) for name in expired if name in self._entries)

    def usable(self, now: float, service: ServiceId) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that accept new requests."""
        if now >= self._usable_until:
            self._forget_results()
        if not self._usable:
            deadlines = chain(
                self._lapse_deadlines.values(),
                self._unconfirmed_until.values(),
                (doubt.heeded_until for doubt in self._doubts.values()),
            )
            self._usable_until = min(
                (deadline for deadline in deadlines if deadline > now), default=math.inf
            )
            # Whether the store is out is then asked each time.
            if any(doubt.heeded_until <= now for doubt in self._doubts.values()):
                self._usable_until = now
        usable = self._usable.get(service)
        if usable is None:
            usable = self._usable[service] = tuple(
                entry
                for entry in self._entries.values()
                if entry.service == service
                and not self.is_leaving(now, entry)
                and not self.is_unconfirmed(now, entry)
            )
        return usable

    def is_leaving(self, now: float, entry: Upstream) -> bool:
        """Return whether an upstream accepts no new requests for good.

        The grace of a removed one ends at its instant, also where `expire` is late.
        """
        return (
            entry.state is UpstreamState.DRAINING
            or entry.run in self._departed
            or self._may_have_ended(now, entry)
            or self._lapse_deadlines.get(entry.name, math.inf) <= now
        )

    def _may_have_ended(self, now: float, entry: Upstream) -> bool:
        """Return whether requests could reach another run that must not get them."""
        doubt = self._doubts.get(entry.name)
        return (
            doubt is not None
            and (
                now < doubt.heeded_until or self._freshness.may_lack_registrations(now)
            )
            and (
                doubt.entry.state is UpstreamState.DRAINING
                or doubt.entry.run in self._departed
                or doubt.entry.version != entry.version
            )
        )

    def is_in_doubt(self, name: UpstreamId) -> bool:
        """Return whether the last report of an upstream may be an earlier run's."""
        return name in self._doubts

    def is_unconfirmed(self, now: float, entry: Upstream) -> bool:
        """Return whether only a restored store holds a registration that had ended."""
        return self._unconfirmed_until.get(entry.name, -math.inf) > now

    def on_leaving(self, run: UpstreamRun) -> bool:
        """Record that a run leaves, by its own word; return whether that is new."""
        if run in self._departed:
            return False
        self._depart(run)
        return True

    def leaving_unregistered(self) -> frozenset[UpstreamRun]:
        """Return the runs that leave although the store lists them as ready."""
        return self._leaving_runs()[0]

    def leaving_registered(self) -> frozenset[UpstreamRun]:
        """Return the runs that the store lists as draining."""
        return self._leaving_runs()[1]

    def _leaving_runs(self) -> tuple[frozenset[UpstreamRun], frozenset[UpstreamRun]]:
        if self._leaving is None:
            departed = [
                entry for entry in self._entries.values() if entry.run in self._departed
            ]
            ready = {item.run for item in departed if item.state is UpstreamState.READY}
            runs = frozenset(item.run for item in departed)
            self._leaving = frozenset(ready), runs - ready
        return self._leaving

    def leaving_count(self, now: float) -> int:
        """Return the number of registered upstreams that accept no new requests."""
        return sum(self.is_leaving(now, entry) for entry in self._entries.values())

    def get(self, name: UpstreamId) -> Upstream | None:
        """Return an entry by name."""
        return self._entries.get(name)

    def entries(self) -> tuple[Upstream, ...]:
        """Return all entries, including draining and lapsed ones."""
        return tuple(self._entries.values())

    def versions(self, service: ServiceId) -> frozenset[SoftwareVersion]:
        """Return the software versions of a service's registered upstreams."""
        return frozenset(self._version_counts.get(service, ()))

    def _count_version(self, entry: Upstream, change: int) -> None:
        counts = self._version_counts[entry.service]
        counts[entry.version] += change
        if not counts[entry.version]:
            del counts[entry.version]

    def _remember_removal(
        self, now: float, position: StorePosition, name: UpstreamId
    ) -> None:
        known = self._removals.pop(name, None)
        entry, doubt = self._entries.get(name), self._doubts.get(name)
        last_reports = (entry, doubt.entry if doubt is not None else None)
        sequences = {
            item.incarnation: item.sequence for item in last_reports if item is not None
        }
        if known is not None:
            position = max(position, known.position)
            if not self._is_renewed(name):
                sequences = {**known.sequences, **sequences}
        # The dictionary stays in the order of the instants.
        self._removals[name] = _Removal(
            position,
            now + REMOVAL_MEMORY_SECONDS,
            self._freshness.may_lack_registrations(now),
            sequences,
        )

    def _was_removed(self, changed: StorePosition, entry: Upstream) -> bool:
        """Return whether an entry of a restored store had been removed for good."""
        removal = self._removals.get(entry.name)
        return (
            removal is not None
            and not removal.in_outage
            and removal.position.era < changed.era
            and removal.position.revision >= changed.revision
            and (not removal.sequences or entry.incarnation in removal.sequences)
        )

    def _is_doubtful(self, entry: Upstream) -> bool:
        """Return whether a run that seems to be later is known and not removed."""
        known = self._entries.get(entry.name)
        return (
            known is not None
            and known.service == entry.service
            and entry.name not in self._lapse_deadlines
            and entry.incarnation > 0
            and (
                entry.incarnation < known.incarnation
                or entry.run in self._replaced.get(entry.name, ())
            )
        )

    def _doubt(self, now: float, position: StorePosition, entry: Upstream) -> None:
        if entry.state is UpstreamState.DRAINING:
            self.on_leaving(entry.run)
        doubt = self._forget_doubt(entry.name)
        is_same_run = doubt is not None and doubt.entry.run == entry.run
        read_at = doubt.read_at if doubt is not None and is_same_run else now
        self._doubts[entry.name] = _Doubt(position, entry, read_at)
        self._count_version(entry, 1)

    def _forget_doubt(self, name: UpstreamId) -> _Doubt | None:
        doubt = self._doubts.pop(name, None)
        if doubt is not None:
            self._count_version(doubt.entry, -1)
        self._forget_results()
        return doubt

    def _believe(self, now: float) -> None:
        """Believe the reports that no other has replaced since, as far as is known.

        After an outage, the reports of the known runs may still be missing.
        """
        if not self._doubts or self._freshness.may_lack_registrations(now):
            return
        complete_until = min(now, self._freshness.current_until)
        for doubt in list(self._doubts.values()):
            if doubt.believed_at <= complete_until:
                self._store(doubt.read_at, doubt.position, doubt.entry)

    def _last_position(self, name: UpstreamId) -> StorePosition:
        """Return the place of the last known report of an upstream."""
        doubt = self._doubts.get(name)
        if doubt is not None:
            return doubt.position
        return self._positions.get(name, START_OF_HISTORY)

    def _forget_results(self) -> None:
        self._usable.clear()
        self._leaving = None

    def _depart(self, run: UpstreamRun) -> None:
        self._forget_results()
        self._departed[run] = None
        if len(self._departed) > MAX_DEPARTED_RUNS:
            del self._departed[next(iter(self._departed))]

    def _store(self, read_at: float, position: StorePosition, entry: Upstream) -> None:
        known = self._entries.get(entry.name)
        # Runs without a start time can't be told apart, and another writer may have
        # stored an entry of another service under this name.
        is_own = known is None or known.service == entry.service
        if entry.state is UpstreamState.DRAINING and entry.incarnation and is_own:
            self.on_leaving(entry.run)
        self._forget_doubt(entry.name)
        if known is not None:
            self._count_version(known, -1)
            if known.run != entry.run and entry.incarnation and is_own:
                replaced = (*self._replaced.get(entry.name, ()), known.run)
                self._replaced[entry.name] = tuple(
                    run for run in replaced if run != entry.run
                )[-MAX_REPLACED_RUNS:]
        self._count_version(entry, 1)
        self._entries[entry.name] = entry
        self._positions[entry.name] = position
        self._lapse_deadlines.pop(entry.name, None)
        self._unconfirmed_until.pop(entry.name, None)
        if known is not None and known.run != entry.run:
            self.on_restart(known.run, entry.run, read_at)

    def _lapse(self, now: float, name: UpstreamId, deadline: float) -> Upstream | None:
        entry = self._entries.get(name)
        if entry is None:
            return None
        # The removed run must get no requests, and the known one has ended before it.
        is_ended = entry.state is UpstreamState.DRAINING or self._may_have_ended(
            now, entry
        )
        self._forget_doubt(name)
        if not is_ended and deadline > now:
            known = self._lapse_deadlines.get(name, deadline)
            is_outage = self._freshness.may_lack_registrations(now)
            # A VM that does not know of the outage would end the use too early.
            self._lapse_deadlines[name] = known if is_outage else min(known, deadline)
            return None
        self._lapse_deadlines.pop(name, None)
        return self._drop(name)

    def _drop(self, name: UpstreamId) -> Upstream:
        self._forget_doubt(name)
        self._replaced.pop(name, None)
        self._positions.pop(name, None)
        entry = self._entries.pop(name)
        self._count_version(entry, -1)
        if not entry.incarnation:
            # A later run can't be told from this one.
            self._departed.pop(entry.run, None)
        return entry

    def _lapse_deadline(self, now: float) -> float:
        if self._freshness.is_out(now):
            return now + REREGISTRATION_SECONDS
        return max(now + self._grace_s, self._freshness.reregistered_at)


def _is_late_report(removal: _Removal, entry: Upstream) -> bool:
    """Return whether a report was sent before the last one of the removed entry."""
    return 0 < entry.sequence < removal.sequences.get(entry.incarnation, 0)
