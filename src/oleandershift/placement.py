"""Selection of the upstream that serves a request."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from oleandershift.directory import Upstream, UpstreamRun
from oleandershift.hashing import ranked
from oleandershift.ids import DataCentreId, RegionId, ServiceId, UpstreamId
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.routing import Service

PREFILL_TOKENS_PER_SECOND = 80_000.0
"""Prefill rate that is assumed for every engine, as actual rates are not observed."""

BATCH_DELAY_SECONDS = 0.15
BATCH_DELAY_SECONDS_PER_SLOT = 0.0073
MAX_BATCH_DELAY_SECONDS = 0.5
"""Additional delay of a first token on an engine without free slots, and its limit.
Running requests evict cached prefixes and slow down prefill in proportion to the slots
that they occupy, and more so where there are many slots."""

SLOT_HOLD_SECONDS = 2.0
"""Time for which a typical generation holds its slot (deployment sheets). A request
that arrives at a full engine waits for a slot before its prompt is read."""

INTER_REGION_DELAY_SECONDS = 0.012
"""One-way delay between regions (deployment sheets)."""

INTRA_REGION_DELAY_SECONDS = 0.001
"""One-way delay between data centres of a region (deployment sheets)."""

PLAIN_REQUEST_SECONDS = 0.06
"""Typical service time of a request to a plain service (deployment sheets)."""

PREFIX_MISS_WEIGHT = 4.0
"""Weight of the time to prefill a shared prefix again, relative to the delay of this
request: it also delays every request queued behind and evicts other prefixes."""

RANK_PENALTY_SECONDS = 0.005
"""Penalty per position in the rendezvous ranking, so that all VMs send the overflow of
a prefix's first engine to the same second engine."""

LATE_FRACTION = 0.6
"""Fraction of the target above which a predicted first byte is probably late."""

LATE_WEIGHT = 10.0
"""Weight of a predicted delay above `LATE_FRACTION`: a late response has a third of its
full value."""

LIMITED_SLOT_SECONDS = 0.4
"""Cost of a request's place at an upstream that limits the number of its requests, for
one without a prompt; a prompt of the mean size or more has none. Places that are scarce
go to the requests that spare the other upstreams the most work."""

MEAN_SIZE_WEIGHT = 0.01
"""Weight of the latest prompt in the mean size of a service's prompts."""

MAX_CACHED_PARTS = 4096
"""Maximum number of prefix parts tracked per upstream."""


@dataclass(slots=True)
class InFlightRequest:
    """A request in flight at an upstream.

    Parameters
    ----------
    upstream : Upstream
        The upstream that serves it.
    prefill_tokens : int
        Prompt tokens that the engine still has to prefill; 0 after the first event.
    kv_tokens : int
        Tokens in the engine's KV cache that only this request uses.
    is_open : bool
        Whether the request has not ended.
    """

    upstream: Upstream
    prefill_tokens: int
    kv_tokens: int = 0
    is_open: bool = True


class Load(msgspec.Struct):
    """Load of one upstream.

    Parameters
    ----------
    running : int
        Requests in flight.
    prefill_tokens : int
        Prompt tokens of requests that have not received their first event.
    kv_tokens : int
        Tokens in the KV cache that only these requests use.
    """

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0


_NO_LOAD = Load()

_NO_WAITS: Mapping[UpstreamRun, float] = {}


@dataclass(slots=True)
class _PrefixCache:
    """Estimated content of an engine's prefix cache.

    Attributes
    ----------
    last_used : OrderedDict
        Time of the last use of each part, oldest first.
    """

    last_used: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def cached_tokens(
        self, now: float, parts: Iterable[PrefixPart], window_s: float
    ) -> int:
        """Return the tokens of the leading parts used within the last `window_s`."""
        tokens = 0
        for part in parts:
            used_at = self.last_used.get(part.name)
            if used_at is None or used_at < now - window_s:
                break
            tokens += part.tokens
        return tokens

    def record_use(self, now: float, parts: Iterable[PrefixPart]) -> None:
        for part in parts:
            self.last_used[part.name] = now
            self.last_used.move_to_end(part.name)
        while len(self.last_used) > MAX_CACHED_PARTS:
            self.last_used.popitem(last=False)


class LoadTracker:
    """Tracks the load that this VM and the other VMs cause on each upstream.

    Parameters
    ----------
    reuse_s : float
        Seconds after its last use during which a prefix is assumed to be cached.
    """

    def __init__(self, reuse_s: float) -> None:
        self._reuse_s = reuse_s
        self._local: dict[UpstreamId, Load] = {}
        self._caches: dict[UpstreamId, _PrefixCache] = {}
        self._remote: Mapping[UpstreamId, Load] = {}

    def begin(
        self, now: float, upstream: Upstream, prompt: Prompt | None
    ) -> InFlightRequest:
        """Add a request that is about to be sent to the load of its upstream."""
        prefill_tokens = kv_tokens = 0
        if prompt is not None:
            kv_tokens = prompt.unique_tokens + prompt.output_tokens
            prefill_tokens = self.uncached_tokens(now, upstream.name, prompt)
            cache = self._caches.setdefault(upstream.name, _PrefixCache())
            cache.record_use(now, prompt.parts)
        load = self._local.setdefault(upstream.name, Load())
        load.running += 1
        load.prefill_tokens += prefill_tokens
        load.kv_tokens += kv_tokens
        return InFlightRequest(upstream, prefill_tokens, kv_tokens)

    def on_first_event(self, request: InFlightRequest) -> None:
        """Remove a request's prompt from the prefill backlog of its upstream."""
        if request.is_open and request.prefill_tokens:
            self._local[request.upstream.name].prefill_tokens -= request.prefill_tokens
            request.prefill_tokens = 0

    def end(self, request: InFlightRequest) -> None:
        """Remove an ended request from the load; later calls have no effect."""
        if request.is_open:
            self.on_first_event(request)
            request.is_open = False
            load = self._local[request.upstream.name]
            load.running -= 1
            load.kv_tokens -= request.kv_tokens

    def clear_cache(self, name: UpstreamId) -> None:
        """Discard the estimated prefix cache of an upstream that restarted."""
        self._caches.pop(name, None)

    def set_remote(self, loads: Mapping[UpstreamId, Load]) -> None:
        """Replace the loads that the other VMs cause, by upstream."""
        self._remote = loads

    def local(self) -> Mapping[UpstreamId, Load]:
        """Return the loads that this VM causes, by upstream."""
        return self._local

    def total(self, name: UpstreamId) -> Load:
        """Return the load that all VMs together cause on an upstream."""
        local = self._local.get(name, _NO_LOAD)
        remote = self._remote.get(name, _NO_LOAD)
        return Load(
            local.running + remote.running,
            local.prefill_tokens + remote.prefill_tokens,
            local.kv_tokens + remote.kv_tokens,
        )

    def uncached_tokens(self, now: float, name: UpstreamId, prompt: Prompt) -> int:
        """Return the prompt tokens that an engine probably has to prefill."""
        cache = self._caches.get(name)
        if cache is None:
            return prompt.tokens
        cached_tokens = cache.cached_tokens(now, prompt.parts, self._reuse_s)
        return max(0, prompt.tokens - cached_tokens)


@dataclass(frozen=True)
class Location:
    """Data centre and region of this VM.

    Parameters
    ----------
    data_centre : DataCentreId
        Data centre of this VM.
    region : RegionId
        Its region.
    regions : mapping
        Region of every known data centre.
    """

    data_centre: DataCentreId
    region: RegionId
    regions: Mapping[DataCentreId, RegionId]

    def one_way_delay_s(self, data_centre: DataCentreId) -> float:
        """Return the one-way network delay to a data centre in seconds."""
        if data_centre == self.data_centre:
            return 0.0
        if self.regions.get(data_centre) == self.region:
            return INTRA_REGION_DELAY_SECONDS
        return INTER_REGION_DELAY_SECONDS


class Choice(msgspec.Struct, frozen=True):
    """An upstream with its predicted time to the first byte.

    Parameters
    ----------
    upstream : Upstream
        The upstream.
    backlog_s : float
        Seconds that the upstream needs for earlier requests, or until it may be sent
        this one.
    request_s : float
        Seconds for prefilling this request and for the network round trip.
    load : Load
        Load that the prediction is based on.
    uncached_tokens : int
        Prompt tokens that the engine is expected to prefill for this request.
    is_home : bool
        Whether all VMs prefer this upstream for the request's shared prefix.
    wait_s : float
        Seconds until the upstream's limit allows the request; part of `backlog_s`.
    """

    upstream: Upstream
    backlog_s: float
    request_s: float
    load: Load
    uncached_tokens: int = 0
    is_home: bool = False
    wait_s: float = 0.0

    @property
    def first_byte_s(self) -> float:
        """Return the predicted time to the first byte in seconds."""
        return self.backlog_s + self.request_s


class Placement:
    """Chooses the upstream with the earliest predicted first byte.

    Long prompts delay the other requests of an engine (head-of-line blocking), so the
    prediction counts the prompt tokens that wait for prefill. Prompts with a shared
    prefix go to the engine that has it cached, unless their first byte would be late.

    Parameters
    ----------
    loads : LoadTracker
        Load of the upstreams.
    location : Location
        Data centre and region of this VM.
    """

    def __init__(self, loads: LoadTracker, location: Location) -> None:
        self._loads = loads
        self._location = location
        self._mean_tokens: dict[ServiceId, float] = {}

    def choose(
        self,
        now: float,
        service: Service,
        candidates: Collection[Upstream],
        prompt: Prompt | None,
        target_s: float,
        waits: Mapping[UpstreamRun, float] = _NO_WAITS,
    ) -> Choice | None:
        """Return the best candidate, or None if there are no candidates.

        Parameters
        ----------
        now : float
            Current time, seconds.
        service : Service
            Service of the candidates.
        candidates : collection of Upstream
            Upstreams that may serve the request.
        prompt : Prompt or None
            Prompt of a generation.
        target_s : float
            Target time to the first byte, within which a response has its full value.
        waits : mapping
            Seconds until an upstream may be sent the request, of those that have a
            limit.
        """
        if not candidates:
            return None
        if not service.generates or prompt is None:
            plain_choices = [self._predict_plain(item, waits) for item in candidates]
            return min(
                plain_choices, key=lambda item: (item.first_byte_s, item.upstream.name)
            )
        relative_size = self._relative_size(service, prompt)
        ranking = _rank(candidates, prompt)
        choices = [
            self._predict_generation(now, item, prompt, rank, waits)
            for rank, item in enumerate(ranking)
        ]
        costs = [
            _cost(item, rank, prompt, target_s) for rank, item in enumerate(choices)
        ]
        if waits:
            slot_s = LIMITED_SLOT_SECONDS * max(0.0, 1.0 - relative_size)
            costs = [
                cost + slot_s * (item.upstream.run in waits)
                for cost, item in zip(costs, choices, strict=True)
            ]
        return choices[costs.index(min(costs))]

    def _relative_size(self, service: Service, prompt: Prompt) -> float:
        """Return the size of a prompt by the mean of its service, and count it."""
        mean = self._mean_tokens.get(service.name, prompt.tokens)
        mean += MEAN_SIZE_WEIGHT * (prompt.tokens - mean)
        self._mean_tokens[service.name] = mean
        return prompt.tokens / max(1.0, mean)

    def _predict_plain(
        self, upstream: Upstream, waits: Mapping[UpstreamRun, float]
    ) -> Choice:
        wait_s = waits.get(upstream.run, 0.0)
        load = self._loads.total(upstream.name)
        utilisation = load.running / max(1, upstream.slots)
        round_trip_s = 2 * self._location.one_way_delay_s(upstream.data_centre)
        busy_s = utilisation * PLAIN_REQUEST_SECONDS
        return Choice(upstream, busy_s + wait_s, round_trip_s, load, wait_s=wait_s)

    def _predict_generation(
        self,
        now: float,
        upstream: Upstream,
        prompt: Prompt,
        rank: int,
        waits: Mapping[UpstreamRun, float],
    ) -> Choice:
        wait_s = waits.get(upstream.run, 0.0)
        load = self._loads.total(upstream.name)
        uncached = self._loads.uncached_tokens(now, upstream.name, prompt)
        is_home = rank == 0 and len(prompt.parts) > 1
        if is_home:
            uncached = min(uncached, prompt.unique_tokens)
        round_trip_s = 2 * self._location.one_way_delay_s(upstream.data_centre)
        return Choice(
            upstream,
            load.prefill_tokens / PREFILL_TOKENS_PER_SECOND
            + batch_delay_s(load.running, max(1, upstream.slots))
            + wait_s,
            uncached / PREFILL_TOKENS_PER_SECOND + round_trip_s,
            load,
            uncached,
            is_home,
            wait_s,
        )


def batch_delay_s(running: int, slots: int) -> float:
    """Return by how much running requests delay a first token, in seconds.

    Parameters
    ----------
    running : int
        Requests at the engine.
    slots : int
        Requests that it runs concurrently.
    """
    full_batch_delay_s = min(
        MAX_BATCH_DELAY_SECONDS,
        BATCH_DELAY_SECONDS + BATCH_DELAY_SECONDS_PER_SLOT * slots,
    )
    waiting = max(0, running + 1 - slots)
    return (full_batch_delay_s * running + SLOT_HOLD_SECONDS * waiting) / slots


def _cost(choice: Choice, rank: int, prompt: Prompt, target_s: float) -> float:
    """Return the cost of a choice, in seconds of delay.

    Includes the delay of the requests that are queued behind this one.
    """
    prefix_miss_s = (
        max(0, choice.uncached_tokens - prompt.unique_tokens)
        / PREFILL_TOKENS_PER_SECOND
    )
    late_s = max(0.0, choice.first_byte_s - LATE_FRACTION * target_s)
    return (
        choice.first_byte_s
        + PREFIX_MISS_WEIGHT * prefix_miss_s
        + LATE_WEIGHT * late_s
        + RANK_PENALTY_SECONDS * rank
    )


def _rank(candidates: Collection[Upstream], prompt: Prompt) -> list[Upstream]:
    """Return the candidates in the order of preference that all VMs share."""
    shared = prompt.shared_parts
    key = shared[-1].name if shared else prompt.parts[-1].name if prompt.parts else ""
    return ranked(key, candidates, lambda upstream: upstream.name)
