"""Limits that upstreams name, and the part of them that a VM may use."""

import math
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from oleandershift.directory import Upstream, UpstreamRun
from oleandershift.hashing import ranked, weight_of
from oleandershift.ids import DataCentreId, ServiceId, UpstreamId, VmId

MAX_LIMIT = 1e6
"""Largest limit, in requests a second; a larger one counts as this."""

MIN_FLEET_RATE = 0.25
"""Requests a second that all VMs together send to an upstream whose limit is lower, as
only its answers tell that the limit has ended."""

BURST_SECONDS = 0.5
"""Time for which a VM saves up its part, so that requests in groups can use it."""

HOLDERS_BEYOND_LIMIT = 4
"""A limit of L requests a second is divided among L and this many VMs at most. Each may
send one request at any instant, so that more VMs could exceed the limit at once."""

LIMIT_TTL_SECONDS = 30.0
"""Time without an answer of an upstream after which its limit is forgotten."""

ANNOUNCED_SECONDS = 5.0
"""Time for which a limit is passed on after a VM of the data centre has heard it."""

NEED_WINDOW_SECONDS = 2.0
"""Time constant of the average rate at which a VM needs a service."""

MIN_NEED = 0.2
"""Requests a second that each VM counts for at least, so that one whose callers arrive
just now can send."""

PART_TTL_SECONDS = 0.1
"""Time for which a VM's part is used before it is computed again."""

NEED_TTL_SECONDS = 5.0
"""Time for which what others need counts without news of them. A VM that is silent may
still send, so its part is not given to the others at once."""


def parse_limit(values: Iterable[bytes]) -> float | None:
    """Return the lowest limit in the values of `Server-Limit`; None without one.

    Values that are malformed or negative are ignored.
    """
    limits = [
        limit
        for value in values
        for part in value.split(b",")
        if (limit := _parse_rate(part)) is not None
    ]
    return min(limits, default=None)


def _parse_rate(raw: bytes) -> float | None:
    try:
        rate = float(raw.decode("ascii"))
    except ValueError:
        return None
    if math.isnan(rate) or rate < 0:
        return None
    return min(rate, MAX_LIMIT)


class AnnouncedLimit(NamedTuple):
    """What an upstream said last of its limit.

    Parameters
    ----------
    run : UpstreamRun
        The upstream.
    limit : float or None
        Requests a second from all VMs together; None if it names no limit any more.
    said_at : float
        Time in seconds at which a VM received the answer.
    """

    run: UpstreamRun
    limit: float | None
    said_at: float


@dataclass(frozen=True, slots=True)
class Fleet:
    """The other VMs that may send to upstreams.

    Parameters
    ----------
    local : collection of VmId
        Other live VMs of this data centre.
    remote_sizes : mapping
        Number of live VMs of the other data centres.
    """

    local: Collection[VmId] = ()
    remote_sizes: Mapping[DataCentreId, int] = field(default_factory=dict)

    @property
    def vms(self) -> int:
        """Return the number of VMs, the own one included."""
        return 1 + len(self.local) + sum(self.remote_sizes.values())


def holders(
    vm: VmId, data_centre: DataCentreId, fleet: Fleet, upstream: UpstreamId, most: int
) -> tuple[int, bool]:
    """Choose the VMs that hold a part of a limit, if it can't be all.

    Hashes of the upstream's name choose them, so that all VMs agree and the upstreams
    have different ones.

    Parameters
    ----------
    vm, data_centre
        The own VM.
    fleet : Fleet
        The other VMs.
    upstream : UpstreamId
        The upstream.
    most : int
        Number of VMs to choose; each data centre that is chosen has at least one.

    Returns
    -------
    tuple
        Number of VMs that were chosen, and whether the own one is.
    """
    sizes = {**fleet.remote_sizes, data_centre: 1 + len(fleet.local)}
    chosen = ranked(upstream, sizes, lambda name: name)[:most]
    total = sum(sizes[name] for name in chosen)
    spare = most - len(chosen)
    quotas = {
        name: min(sizes[name], 1 + spare * sizes[name] // total) for name in chosen
    }
    own_weight = weight_of(upstream, vm)
    rank = sum(weight_of(upstream, other) > own_weight for other in fleet.local)
    return sum(quotas.values()), rank < quotas.get(data_centre, 0)


@dataclass(slots=True)
class _Bucket:
    """Requests that may be sent now; negative after bookings for later."""

    tokens: float
    updated_at: float

    def refill(self, now: float, rate: float) -> None:
        elapsed_s = max(0.0, now - self.updated_at)
        most = max(1.0, BURST_SECONDS * rate)
        self.tokens = min(most, self.tokens + elapsed_s * rate)
        self.updated_at = max(now, self.updated_at)

    def wait_s(self, rate: float) -> float:
        if self.tokens >= 1.0:
            return 0.0
        return (1.0 - self.tokens) / rate if rate > 0.0 else math.inf


class Allowances:
    """Limits that upstreams have named, and what this VM may send under them.

    A limit holds for one run of an upstream, for as long as it says so. What it
    announced last holds, whoever heard it. It is divided among the VMs in proportion to
    their need of the service, as far as that is known, else evenly.

    Parameters
    ----------
    vm, data_centre
        This VM.
    fleet : callable
        Returns the other VMs at a time.
    """

    def __init__(
        self,
        vm: VmId,
        data_centre: DataCentreId,
        fleet: Callable[[float], Fleet],
    ) -> None:
        self._vm = vm
        self._data_centre = data_centre
        self._fleet = fleet
        self._others_need: dict[ServiceId, float] = {}
        self._others_known_until = -math.inf
        self._limits: dict[UpstreamRun, AnnouncedLimit] = {}
        self._own_limits: dict[UpstreamRun, AnnouncedLimit] = {}
        self._local_limits: dict[UpstreamRun, AnnouncedLimit] = {}
        self._buckets: dict[UpstreamRun, _Bucket] = {}
        self._needs: dict[ServiceId, _DecayingRate] = {}
        self._rates: dict[UpstreamRun, tuple[float, float]] = {}

    def on_answer(
        self, now: float, run: UpstreamRun, limit: float | None, sent_at: float
    ) -> bool:
        """Record what an answer says; return whether a limit begins or ends.

        Parameters
        ----------
        now : float
            Current time, seconds.
        run : UpstreamRun
            The upstream.
        limit : float or None
            Limit that it names, if any.
        sent_at : float
            Time at which the answered request was sent, seconds. An answer without a
            limit may have been on its way when another one named it.
        """
        known = self._limits.get(run)
        if limit is None and (
            known is None or known.limit is None or sent_at <= known.said_at
        ):
            return False
        announced = AnnouncedLimit(run, limit, now)
        self._own_limits[run] = announced
        return self._merge(announced, is_local=True)

    def on_notice(self, announced: AnnouncedLimit, *, is_local: bool) -> bool:
        """Record what another VM passes on; return whether a limit begins or ends.

        Parameters
        ----------
        announced : AnnouncedLimit
            What an upstream announced.
        is_local : bool
            Whether a VM of this data centre has heard it itself.
        """
        return self._merge(announced, is_local)

    def _merge(self, announced: AnnouncedLimit, is_local: bool) -> bool:
        known = self._limits.get(announced.run)
        if known is not None and known.said_at >= announced.said_at:
            return False
        self._limits[announced.run] = announced
        if is_local:
            self._local_limits[announced.run] = announced
        if known is None or known.limit != announced.limit:
            self._rates.pop(announced.run, None)
        if announced.limit is not None and announced.run not in self._buckets:
            self._buckets[announced.run] = _Bucket(0.0, announced.said_at)
        return (known is None or known.limit is None) != (announced.limit is None)

    def carry_over(self, previous: UpstreamRun, run: UpstreamRun) -> None:
        """Let the limit of a run hold for a later one of the same upstream."""
        announced = self._limits.pop(previous, None)
        if announced is not None and announced.limit is not None:
            later = announced._replace(run=run)
            self._own_limits[run] = later
            self._merge(later, is_local=True)

    def limit(self, now: float, run: UpstreamRun) -> float | None:
        """Return the limit of an upstream in requests a second; None without one."""
        announced = self._limits.get(run)
        if announced is None or now - announced.said_at > LIMIT_TTL_SECONDS:
            return None
        return announced.limit

    def wait_s(self, now: float, upstream: Upstream) -> float:
        """Return the seconds until this VM may send an upstream a request."""
        limit = self.limit(now, upstream.run)
        if limit is None:
            return 0.0
        rate = self._rate(now, upstream, limit)
        bucket = self._buckets[upstream.run]
        bucket.refill(now, rate)
        return bucket.wait_s(rate)

    def waits(
        self, now: float, upstreams: Iterable[Upstream]
    ) -> dict[UpstreamRun, float]:
        """Return for the limited ones of some upstreams what `wait_s` does."""
        if not self._limits:
            return {}
        return {
            item.run: self.wait_s(now, item)
            for item in upstreams
            if self.limit(now, item.run) is not None
        }

    def book(self, now: float, upstream: Upstream) -> float | None:
        """Book a request; return when it may be sent, or None without a limit."""
        if self.limit(now, upstream.run) is None:
            return None
        send_at = now + self.wait_s(now, upstream)
        self._buckets[upstream.run].tokens -= 1.0
        return send_at

    def cancel(self, run: UpstreamRun) -> None:
        """Give back the booking of a request that was not sent."""
        bucket = self._buckets.get(run)
        if bucket is not None:
            bucket.tokens += 1.0

    def record_need(self, now: float, service: ServiceId) -> None:
        """Count a request that an upstream of a service should get."""
        self._needs.setdefault(service, _DecayingRate()).add(now)

    def need(self, now: float, service: ServiceId) -> float:
        """Return this VM's need of a service, in requests a second."""
        rate = self._needs.get(service)
        return 0.0 if rate is None else rate.per_second(now)

    def needs(self, now: float) -> dict[ServiceId, float]:
        """Return this VM's need of each service, in requests a second."""
        return {name: rate.per_second(now) for name, rate in self._needs.items()}

    @property
    def has_limits(self) -> bool:
        """Return whether an upstream has named a limit lately, also if it has ended."""
        return bool(self._limits)

    def limits(self, now: float) -> list[AnnouncedLimit]:
        """Return what any VM has heard lately, the newest first."""
        return _latest(now, self._limits)

    def limited_runs(self, now: float) -> list[UpstreamRun]:
        """Return the upstreams that have a limit."""
        return [run for run in self._limits if self.limit(now, run) is not None]

    def own_limits(self, now: float) -> list[AnnouncedLimit]:
        """Return what this VM has heard lately, the newest first."""
        return _latest(now, self._own_limits)

    def local_limits(self, now: float) -> list[AnnouncedLimit]:
        """Return what the VMs of this data centre have heard lately, newest first."""
        return _latest(now, self._local_limits)

    def expire(self, now: float) -> None:
        """Forget limits that are too old."""
        for limits in (self._limits, self._own_limits, self._local_limits):
            for run in [
                run
                for run, announced in limits.items()
                if now - announced.said_at > LIMIT_TTL_SECONDS
            ]:
                del limits[run]
        for run in [run for run in self._buckets if run not in self._limits]:
            del self._buckets[run]
            self._rates.pop(run, None)

    def set_others_need(self, now: float, needs: Mapping[ServiceId, float]) -> None:
        """Set what the other VMs together need, in requests a second by service."""
        self._others_need = dict(needs)
        self._others_known_until = now + NEED_TTL_SECONDS

    def _rate(self, now: float, upstream: Upstream, limit: float) -> float:
        """Return the requests a second that this VM may send to an upstream."""
        valid_until, rate = self._rates.get(upstream.run, (-math.inf, 0.0))
        if now >= valid_until:
            part = self._part(now, upstream, limit)
            rate = part * max(limit, MIN_FLEET_RATE)
            self._rates[upstream.run] = now + PART_TTL_SECONDS, rate
        return rate

    def _part(self, now: float, upstream: Upstream, limit: float) -> float:
        """Return the fraction of an upstream's limit that this VM may use."""
        fleet = self._fleet(now)
        most = math.floor(limit) + HOLDERS_BEYOND_LIMIT
        if fleet.vms > most:
            count, is_holder = holders(
                self._vm, self._data_centre, fleet, upstream.name, most
            )
            return 1.0 / count if is_holder else 0.0
        if now > self._others_known_until:
            return 1.0 / fleet.vms
        own = max(MIN_NEED, self.need(now, upstream.service))
        least = MIN_NEED * (fleet.vms - 1)
        others = max(least, self._others_need.get(upstream.service, 0.0))
        return own / (own + others)


def _latest(
    now: float, limits: Mapping[UpstreamRun, AnnouncedLimit]
) -> list[AnnouncedLimit]:
    latest = [
        item for item in limits.values() if now - item.said_at <= ANNOUNCED_SECONDS
    ]
    return sorted(latest, key=lambda item: item.said_at, reverse=True)


@dataclass(slots=True)
class _DecayingRate:
    """Exponentially weighted average of a rate of events."""

    rate: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        self.rate = self.per_second(now) + 1.0 / NEED_WINDOW_SECONDS
        self.updated_at = now

    def per_second(self, now: float) -> float:
        elapsed_s = max(0.0, now - self.updated_at)
        return self.rate * math.exp(-elapsed_s / NEED_WINDOW_SECONDS)
