"""Choice of the upstream that gets a request."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from oleandershift.directory import Upstream
from oleandershift.hashing import ranked
from oleandershift.ids import DataCentreId, RegionId, UpstreamId
from oleandershift.prompts import PrefixPart, Prompt
from oleandershift.routing import Service

PREFILL_TOKENS_PER_SECOND = 80_000.0
"""Prompt tokens that an engine reads in a second, until it has been observed."""

FULL_BATCH_DELAY_SECONDS = 0.5
"""Delay that an engine whose slots are all taken adds to a first token. What runs takes
memory from cached prefixes and steps from prompts, in proportion to the slots taken."""

INTER_REGION_DELAY_SECONDS = 0.012
"""One-way delay between regions (deployment sheets)."""

INTRA_REGION_DELAY_SECONDS = 0.001
"""One-way delay between data centres of a region (deployment sheets)."""

PLAIN_REQUEST_SECONDS = 0.06
"""Typical work of a plain service's request (deployment sheets)."""

PREFIX_MISS_WEIGHT = 4.0
"""Weight of the time to read a shared prefix again against this request's own delay:
it also delays every request behind it, and drives other prefixes out of memory."""

RANK_PENALTY_SECONDS = 0.005
"""Preference for the engine of the next higher hash weight, so that all VMs send what
does not fit at a prefix's first engine to the same second one."""

LATE_FRACTION = 0.6
"""Part of the target from which on a prediction counts as probably late."""

LATE_WEIGHT = 10.0
"""Weight of a predicted delay past that part: a late answer is worth a third."""

MAX_CACHED_PARTS = 4096
"""Prefix parts remembered for an upstream."""


@dataclass(slots=True)
class InFlightRequest:
    """One request that is at an upstream.

    Parameters
    ----------
    upstream : Upstream
        Where it is.
    prefill_tokens : int
        Prompt tokens that the engine has still to read; 0 after the first event.
    kv_tokens : int
        Tokens in the engine's memory that only this request uses.
    """

    upstream: Upstream
    prefill_tokens: int
    kv_tokens: int = 0
    is_open: bool = True


@dataclass(slots=True)
class Load:
    """Work at one upstream.

    Parameters
    ----------
    running : int
        Requests sent and not ended.
    prefill_tokens : int
        Prompt tokens of requests whose first event has not come.
    kv_tokens : int
        Tokens in memory that only these requests use.
    """

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0


@dataclass(slots=True)
class _Memory:
    """Prefix parts believed to be held by an engine, the oldest first."""

    parts: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def cached(self, now: float, parts: Iterable[PrefixPart], window: float) -> int:
        """Return the tokens of the leading parts that were used within a window."""
        tokens = 0
        for part in parts:
            used = self.parts.get(part.name)
            if used is None or used < now - window:
                break
            tokens += part.tokens
        return tokens

    def note(self, now: float, parts: Iterable[PrefixPart]) -> None:
        for part in parts:
            self.parts[part.name] = now
            self.parts.move_to_end(part.name)
        while len(self.parts) > MAX_CACHED_PARTS:
            self.parts.popitem(last=False)


class LoadTracker:
    """What this VM has at each upstream, and what it believes the others have.

    Parameters
    ----------
    reuse_s : float
        Seconds after its last use in which a prefix is believed to be held.
    """

    def __init__(self, reuse_s: float) -> None:
        self._reuse_s = reuse_s
        self._own: dict[UpstreamId, Load] = {}
        self._memory: dict[UpstreamId, _Memory] = {}
        self._others: Mapping[UpstreamId, Load] = {}

    def begin(
        self, now: float, upstream: Upstream, prompt: Prompt | None
    ) -> InFlightRequest:
        """Take note of a request that is about to be sent."""
        unread = held = 0
        if prompt is not None:
            held = prompt.unique_tokens + prompt.output_tokens
            unread = self.uncached_tokens(now, upstream.name, prompt)
            memory = self._memory.setdefault(upstream.name, _Memory())
            memory.note(now, prompt.parts)
        load = self._own.setdefault(upstream.name, Load())
        load.running += 1
        load.prefill_tokens += unread
        load.kv_tokens += held
        return InFlightRequest(upstream, unread, held)

    def on_first_event(self, ticket: InFlightRequest) -> None:
        """Take note of a request's first event."""
        if ticket.is_open and ticket.prefill_tokens:
            self._own[ticket.upstream.name].prefill_tokens -= ticket.prefill_tokens
            ticket.prefill_tokens = 0

    def end(self, ticket: InFlightRequest) -> None:
        """Take note of a request's end."""
        if ticket.is_open:
            self.on_first_event(ticket)
            ticket.is_open = False
            load = self._own[ticket.upstream.name]
            load.running -= 1
            load.kv_tokens -= ticket.kv_tokens

    def clear_cache(self, name: UpstreamId) -> None:
        """Take note that an upstream restarted and holds nothing."""
        self._memory.pop(name, None)

    def set_remote(self, others: Mapping[UpstreamId, Load]) -> None:
        """Take the other VMs' work."""
        self._others = others

    def local(self) -> Mapping[UpstreamId, Load]:
        """Return this VM's work."""
        return self._own

    def total(self, name: UpstreamId) -> Load:
        """Return all known work at an upstream."""
        own = self._own.get(name, Load())
        others = self._others.get(name, Load())
        return Load(
            own.running + others.running,
            own.prefill_tokens + others.prefill_tokens,
            own.kv_tokens + others.kv_tokens,
        )

    def uncached_tokens(self, now: float, name: UpstreamId, prompt: Prompt) -> int:
        """Return the prompt tokens that an engine probably has to read."""
        memory = self._memory.get(name)
        if memory is None:
            return prompt.tokens
        cached = memory.cached(now, prompt.parts, self._reuse_s)
        return max(0, prompt.tokens - cached)


@dataclass(frozen=True)
class Location:
    """Where this VM stands."""

    data_centre: DataCentreId
    region: RegionId
    regions: Mapping[DataCentreId, RegionId]

    def one_way_delay_s(self, data_centre: DataCentreId) -> float:
        """Return the one-way delay to a data centre in seconds."""
        if data_centre == self.data_centre:
            return 0.0
        if self.regions.get(data_centre) == self.region:
            return INTRA_REGION_DELAY_SECONDS
        return INTER_REGION_DELAY_SECONDS


@dataclass(frozen=True)
class Choice:
    """An upstream, and what its first byte is predicted to take.

    Parameters
    ----------
    upstream : Upstream
        Where.
    backlog_s : float
        Seconds for the work that is there already.
    request_s : float
        Seconds for this request's own prompt and its way.
    load : Load
        The known work that this is predicted from.
    uncached_tokens : int
        Prompt tokens that are believed to be read for this request.
    is_home : bool
        Whether this is where all VMs send the shared prefix, load permitting.
    """

    upstream: Upstream
    backlog_s: float
    request_s: float
    load: Load
    uncached_tokens: int = 0
    is_home: bool = False

    @property
    def first_byte_s(self) -> float:
        """Return the predicted seconds until the first byte."""
        return self.backlog_s + self.request_s


class Placement:
    """Chooses the upstream whose first byte is expected soonest.

    Answers two loads: long prompts, which hold up what an engine runs beside them, by
    counting the prompt tokens still to be read; and prompts that share parts, by
    sending them where the parts were read before while they come in time there.

    Parameters
    ----------
    loads : Loads
        Work at the upstreams.
    place : Place
        Where this VM stands.
    """

    def __init__(self, loads: LoadTracker, place: Location) -> None:
        self._loads = loads
        self._place = place

    def choose(
        self,
        now: float,
        service: Service,
        candidates: Collection[Upstream],
        prompt: Prompt | None,
        target_s: float,
    ) -> Choice | None:
        """Return the best of the candidates, if there are any.

        Parameters
        ----------
        now : float
            The current instant.
        service : Service
            What the candidates serve.
        candidates : collection of Upstream
            Upstreams that may get the request.
        prompt : Prompt or None
            Size and parts of a generation.
        target_s : float
            Seconds to the first byte within which the answer has its full value.
        """
        if not candidates:
            return None
        if not service.generates or prompt is None:
            plain = [self._plain(item) for item in candidates]
            return min(plain, key=lambda item: (item.first_byte_s, item.upstream.name))
        ranking = _ranking(candidates, prompt)
        choices = [
            self._generation(now, item, prompt, rank)
            for rank, item in enumerate(ranking)
        ]
        costs = [
            _cost(item, rank, prompt, target_s) for rank, item in enumerate(choices)
        ]
        return choices[costs.index(min(costs))]

    def _plain(self, upstream: Upstream) -> Choice:
        load = self._loads.total(upstream.name)
        waiting = load.running / max(1, upstream.slots)
        way = 2 * self._place.one_way_delay_s(upstream.data_centre)
        return Choice(upstream, waiting * PLAIN_REQUEST_SECONDS, way, load)

    def _generation(
        self, now: float, upstream: Upstream, prompt: Prompt, rank: int
    ) -> Choice:
        load = self._loads.total(upstream.name)
        uncached = self._loads.uncached_tokens(now, upstream.name, prompt)
        is_home = rank == 0 and len(prompt.parts) > 1
        if is_home:
            uncached = min(uncached, prompt.unique_tokens)
        way = 2 * self._place.one_way_delay_s(upstream.data_centre)
        return Choice(
            upstream,
            load.prefill_tokens / PREFILL_TOKENS_PER_SECOND
            + FULL_BATCH_DELAY_SECONDS * load.running / max(1, upstream.slots),
            uncached / PREFILL_TOKENS_PER_SECOND + way,
            load,
            uncached,
            is_home,
        )


def _cost(choice: Choice, rank: int, prompt: Prompt, target_s: float) -> float:
    """Return what a placement costs this request and those behind it, in seconds."""
    reread = (
        max(0, choice.uncached_tokens - prompt.unique_tokens)
        / PREFILL_TOKENS_PER_SECOND
    )
    late = max(0.0, choice.first_byte_s - LATE_FRACTION * target_s)
    return (
        choice.first_byte_s
        + PREFIX_MISS_WEIGHT * reread
        + LATE_WEIGHT * late
        + RANK_PENALTY_SECONDS * rank
    )


def _ranking(candidates: Collection[Upstream], prompt: Prompt) -> list[Upstream]:
    """Return the candidates in the order in which all VMs prefer them for a prefix."""
    shared = prompt.parts[:-1]
    key = shared[-1].name if shared else prompt.parts[-1].name if prompt.parts else ""
    return ranked(key, candidates, lambda item: item.name)
