"""Slots of one region's upstreams: how many are taken, and where the next one goes."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from oleandershift.dispatch import UpstreamLoad
from oleandershift.ids import UpstreamId
from oleandershift.rows import UpstreamRow, UpstreamState

REPORT_LAG_SECONDS = 2.0
EXCESS_REPORTS = 3
SPEED_SMOOTHING = 0.2


@dataclass
class UpstreamSlots:
    """State of one upstream.

    Parameters
    ----------
    row : UpstreamRow
        Its row of the table.
    leaving : bool
        It takes no new work.
    open_grants : int
        Open grants.
    excess_requests : int
        Requests beyond the open grants that its load report shows.
    speed : float
        Tokens a second of one request, smoothed; 0 while unknown.
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
    _surpluses: deque[float] = field(
        default_factory=lambda: deque(maxlen=EXCESS_REPORTS)
    )

    @property
    def slots_in_use(self) -> int:
        """Return the slots that are taken for all that is known."""
        return self.open_grants + self.excess_requests

    def count_grant(self, step: int) -> None:
        """Count a grant opened (1) or closed (-1)."""
        self.open_grants += step
        self._peaks[-1] = max(self._peaks[-1], self.open_grants)
        self._troughs[-1] = min(self._troughs[-1], self.open_grants)

    def apply_load(self, load: UpstreamLoad) -> None:
        """Take a load report.

        A report lags, so that it is compared with the most grants open since the
        report before the last. What all of the last few reports show beyond the middle
        of the grants open is taken as well: it is the work of others.
        """
        self.last_load = load
        shown = load.running + load.waiting
        middle = (max(self._peaks) + min(self._troughs)) / 2
        self._surpluses.append(shown - middle)
        lasting = 0
        if len(self._surpluses) == EXCESS_REPORTS:
            lasting = int(max(0.0, min(self._surpluses)))
        self.excess_requests = max(lasting, shown - max(self._peaks))
        self._peaks = [self._peaks[-1], self.open_grants]
        self._troughs = [self._troughs[-1], self.open_grants]

    def min_open_grants(self) -> int:
        """Return the fewest grants open since the report before the last."""
        return min(self._troughs)

    def observe_speed(self, speed: float) -> None:
        """Take the speed of one finished request, tokens a second."""
        if self.speed == 0.0:
            self.speed = speed
        self.speed += SPEED_SMOOTHING * (speed - self.speed)


class SlotTable:
    """Every upstream of a service in one region.

    Attributes
    ----------
    recovering : bool
        Work of clients not yet heard of may run: a slot counts as free only where a
        load report shows it free.
    """

    def __init__(self) -> None:
        self.recovering = True
        self._upstreams: dict[UpstreamId, UpstreamSlots] = {}
        self._keys: dict[UpstreamId, tuple[float, UpstreamId]] = {}
        self._free: SortedList[tuple[float, UpstreamId]] = SortedList()
        self._counted_at: float | None = None

    def __contains__(self, upstream: object) -> bool:
        return upstream in self._upstreams

    def __iter__(self) -> Iterator[UpstreamSlots]:
        return iter(self._upstreams.values())

    def configure(self, rows: Iterable[UpstreamRow], leaving: frozenset[str]) -> None:
        """Take the region's rows and the platform's leaving upstreams."""
        wanted = {row.name: row for row in rows}
        for name in self._upstreams.keys() - wanted.keys():
            self._upstreams[name].leaving = True
            self._place(name)
        for name, row in wanted.items():
            held = self._upstreams.setdefault(name, UpstreamSlots(row))
            held.row = row
            held.leaving = row.state is UpstreamState.LEAVING or name in leaving
            self._place(name)

    def set_recovering(self, recovering: bool) -> None:
        """Say whether work of unknown clients may run."""
        self.recovering = recovering
        for name in self._upstreams:
            self._place(name)

    def min_open_grants(self, upstream: UpstreamId) -> int:
        """Return the fewest grants open since an upstream's report before the last."""
        held = self._upstreams.get(upstream)
        return held.min_open_grants() if held else 0

    def acquire(self, upstream: UpstreamId) -> None:
        """Count an opened grant."""
        self._change(upstream, 1)

    def release(self, upstream: UpstreamId) -> None:
        """Count a closed grant."""
        self._change(upstream, -1)

    def on_load(self, load: UpstreamLoad) -> None:
        """Take a load report."""
        held = self._upstreams.get(load.upstream)
        if held is None:
            return
        held.apply_load(load)
        self._place(load.upstream)

    def observe_speed(self, upstream: UpstreamId, speed: float) -> None:
        """Take the speed of one finished request, tokens a second."""
        held = self._upstreams.get(upstream)
        if held is not None:
            held.observe_speed(speed)
            self._place(upstream)

    def count_time(self, now: float, waiting: int) -> None:
        """Add the time since the last call to each upstream's busy and idle time.

        Parameters
        ----------
        now : float
            The current instant.
        waiting : int
            Requests that wait for a grant.
        """
        elapsed = 0.0 if self._counted_at is None else max(0.0, now - self._counted_at)
        self._counted_at = now
        for held in self._upstreams.values():
            if held.leaving:
                continue
            busy = min(held.slots_in_use, held.row.slots)
            held.busy_seconds += elapsed * busy
            idle = min(held.row.slots - busy, waiting)
            held.idle_while_waiting_seconds += elapsed * idle

    def best_upstream(self, avoid: Iterable[UpstreamId] = ()) -> UpstreamId | None:
        """Return the upstream with the most free slots, weighted by speed."""
        for _, name in self._free:
            if name not in avoid:
                return UpstreamId(name)
        return None

    def free_slots(self, held: UpstreamSlots) -> int:
        """Return the slots of an upstream that a grant may take."""
        if held.leaving:
            return 0
        taken = held.slots_in_use
        if self.recovering:
            if held.last_load is None:
                return 0
            reported = held.last_load.running + held.last_load.waiting
            taken = max(taken, held.open_grants + reported)
        return max(0, held.row.slots - taken)

    def _change(self, upstream: UpstreamId, step: int) -> None:
        held = self._upstreams.get(upstream)
        if held is not None:
            held.count_grant(step)
            self._place(upstream)

    def _place(self, name: UpstreamId) -> None:
        key = self._keys.pop(name, None)
        if key is not None:
            self._free.remove(key)
        held = self._upstreams[name]
        free = self.free_slots(held)
        if free == 0:
            return
        score = free / held.row.slots * (held.speed or 1.0)
        self._keys[name] = (-score, name)
        self._free.add(self._keys[name])
