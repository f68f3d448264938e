"""Slots in use on the upstreams of one region, and choice of the next upstream."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from oleandershift.dispatch import UpstreamLoad
from oleandershift.ids import UpstreamId
from oleandershift.rows import UpstreamRow, UpstreamState

REPORT_LAG_SECONDS = 2.0
"""Load reports made within this time after an event may not show it."""

EXCESS_REPORTS = 3
"""Consecutive load reports that must show excess requests before they count."""

SPEED_SMOOTHING = 0.2


@dataclass
class UpstreamSlots:
    """Slots and load of one upstream.

    Parameters
    ----------
    row : UpstreamRow
        The upstream's row of the table.
    leaving : bool
        Whether the upstream accepts no new requests.
    open_grants : int
        Number of open grants.
    excess_requests : int
        Requests in the load reports beyond the open grants.
    last_load : UpstreamLoad or None
        Newest load report.
    speed : float
        Smoothed tokens per second of one request; 0 if unknown.
    busy_seconds, idle_while_waiting_seconds : float
        Slot-seconds in use, and free while requests were waiting.
    """

    row: UpstreamRow
    leaving: bool = False
    open_grants: int = 0
    excess_requests: int = 0
    last_load: UpstreamLoad | None = None
    speed: float = 0.0
    busy_seconds: float = 0.0
    idle_while_waiting_seconds: float = 0.0
    _peaks: list[int] = field(default_factory=lambda: [0, 0])
    _troughs: list[int] = field(default_factory=lambda: [0, 0])
    _recent_excess: deque[float] = field(
        default_factory=lambda: deque(maxlen=EXCESS_REPORTS)
    )

    @property
    def slots_in_use(self) -> int:
        """Return the number of slots in use by open grants and excess requests."""
        return self.open_grants + self.excess_requests

    def count_grant(self, step: int) -> None:
        """Count an opened grant (step 1) or a closed one (step -1)."""
        self.open_grants += step
        self._peaks[-1] = max(self._peaks[-1], self.open_grants)
        self._troughs[-1] = min(self._troughs[-1], self.open_grants)

    def apply_load(self, load: UpstreamLoad) -> None:
        """Update the excess requests from a load report.

        A report lags, so it is compared with the maximum number of open grants since
        the report before the last. Requests that each of the last `EXCESS_REPORTS`
        reports shows beyond the midpoint between the most and the fewest open grants
        also count as excess: they come from elsewhere.
        """
        self.last_load = load
        reported = load.running + load.waiting
        midpoint = (max(self._peaks) + min(self._troughs)) / 2
        self._recent_excess.append(reported - midpoint)
        lasting_excess = 0
        if len(self._recent_excess) == EXCESS_REPORTS:
            lasting_excess = int(max(0.0, min(self._recent_excess)))
        self.excess_requests = max(lasting_excess, reported - max(self._peaks))
        self._peaks = [self._peaks[-1], self.open_grants]
        self._troughs = [self._troughs[-1], self.open_grants]

    def min_open_grants(self) -> int:
        """Return the minimum number of open grants since the report before the last."""
        return min(self._troughs)

    def observe_speed(self, speed: float) -> None:
        """Add the speed of a finished request, tokens per second."""
        if self.speed == 0.0:
            self.speed = speed
        self.speed += SPEED_SMOOTHING * (speed - self.speed)


class SlotTable:
    """Slots of all upstreams of a service in one region.

    Attributes
    ----------
    recovering : bool
        Whether requests of clients that have not connected yet may be running. A slot
        then counts as free only if a load report shows it free.
    """

    def __init__(self) -> None:
        self.recovering = True
        self._upstreams: dict[UpstreamId, UpstreamSlots] = {}
        self._sort_keys: dict[UpstreamId, tuple[float, UpstreamId]] = {}
        self._by_score: SortedList[tuple[float, UpstreamId]] = SortedList()
        self._last_count_at: float | None = None

    def __contains__(self, upstream: object) -> bool:
        return upstream in self._upstreams

    def __iter__(self) -> Iterator[UpstreamSlots]:
        return iter(self._upstreams.values())

    def configure(self, rows: Iterable[UpstreamRow], leaving: frozenset[str]) -> None:
        """Apply the region's rows and the platform's list of leaving upstreams."""
        rows_by_name = {row.name: row for row in rows}
        for name in self._upstreams.keys() - rows_by_name.keys():
            self._upstreams[name].leaving = True
            self._update_score(name)
        for name, row in rows_by_name.items():
            upstream_slots = self._upstreams.setdefault(name, UpstreamSlots(row))
            upstream_slots.row = row
            upstream_slots.leaving = (
                row.state is UpstreamState.LEAVING or name in leaving
            )
            self._update_score(name)

    def set_recovering(self, recovering: bool) -> None:
        """Set whether requests of unknown clients may be running."""
        self.recovering = recovering
        for name in self._upstreams:
            self._update_score(name)

    def min_open_grants(self, upstream: UpstreamId) -> int:
        """Return an upstream's minimum open grants since its report before the last."""
        upstream_slots = self._upstreams.get(upstream)
        return upstream_slots.min_open_grants() if upstream_slots else 0

    def acquire(self, upstream: UpstreamId) -> None:
        """Count an opened grant on an upstream."""
        self._count_grant(upstream, 1)

    def release(self, upstream: UpstreamId) -> None:
        """Count a closed grant on an upstream."""
        self._count_grant(upstream, -1)

    def on_load(self, load: UpstreamLoad) -> None:
        """Apply a load report."""
        upstream_slots = self._upstreams.get(load.upstream)
        if upstream_slots is None:
            return
        upstream_slots.apply_load(load)
        self._update_score(load.upstream)

    def observe_speed(self, upstream: UpstreamId, speed: float) -> None:
        """Add the speed of a finished request, tokens per second."""
        upstream_slots = self._upstreams.get(upstream)
        if upstream_slots is not None:
            upstream_slots.observe_speed(speed)
            self._update_score(upstream)

    def count_time(self, now: float, waiting: int) -> None:
        """Add the time since the last call to each upstream's busy and idle time.

        Parameters
        ----------
        now : float
            Current time, seconds since the Unix epoch.
        waiting : int
            Number of requests waiting for a grant.
        """
        elapsed = (
            0.0 if self._last_count_at is None else max(0.0, now - self._last_count_at)
        )
        self._last_count_at = now
        for upstream_slots in self._upstreams.values():
            if upstream_slots.leaving:
                continue
            busy = min(upstream_slots.slots_in_use, upstream_slots.row.slots)
            upstream_slots.busy_seconds += elapsed * busy
            idle = min(upstream_slots.row.slots - busy, waiting)
            upstream_slots.idle_while_waiting_seconds += elapsed * idle

    def best_upstream(self, avoid: Iterable[UpstreamId] = ()) -> UpstreamId | None:
        """Return the upstream with the largest free share, weighted by its speed."""
        for _, name in self._by_score:
            if name not in avoid:
                return UpstreamId(name)
        return None

    def free_slots(self, upstream_slots: UpstreamSlots) -> int:
        """Return the number of slots of an upstream that can be granted."""
        if upstream_slots.leaving:
            return 0
        in_use = upstream_slots.slots_in_use
        if self.recovering:
            if upstream_slots.last_load is None:
                return 0
            reported = (
                upstream_slots.last_load.running + upstream_slots.last_load.waiting
            )
            in_use = max(in_use, upstream_slots.open_grants + reported)
        return max(0, upstream_slots.row.slots - in_use)

    def _count_grant(self, upstream: UpstreamId, step: int) -> None:
        upstream_slots = self._upstreams.get(upstream)
        if upstream_slots is not None:
            upstream_slots.count_grant(step)
            self._update_score(upstream)

    def _update_score(self, name: UpstreamId) -> None:
        key = self._sort_keys.pop(name, None)
        if key is not None:
            self._by_score.remove(key)
        upstream_slots = self._upstreams[name]
        free = self.free_slots(upstream_slots)
        if free == 0:
            return
        score = free / upstream_slots.row.slots * (upstream_slots.speed or 1.0)
        self._sort_keys[name] = (-score, name)
        self._by_score.add(self._sort_keys[name])
