"""Simulation of a language model engine: batching, chunked prefill and prefix caching.

It follows the platform's description of its engines (protocol page, "Model engines" and
"Requests"; speeds from the deployment sheets). It uses neither a network nor a clock.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from oleandershift.prompts import PrefixPart


@dataclass(frozen=True)
class EngineProfile:
    """Capacity and speed of an engine.

    Parameters
    ----------
    slots : int
        Maximum number of running requests.
    base_step_s, step_s_per_request : float
        Duration of a step, and the addition for each request that generates tokens.
    step_s_per_context_token : float
        Addition to a step for each context token of the requests that generate tokens.
    prefill_tokens_per_s : float
        Prefill rate in prompt tokens per second.
    attention_s_per_token_pair : float
        Seconds for each pair of a prompt token and an earlier token.
    first_token_delay_s : float
        Additional delay of the first token after the prefill.
    prefill_chunk_tokens : int
        Maximum number of prompt tokens prefilled in a step.
    kv_cache_tokens : int
        Size of the KV cache, which running requests and cached prefixes share.
    tokens_per_event : int
        Tokens per event of a stream.
    """

    slots: int
    base_step_s: float
    step_s_per_request: float
    step_s_per_context_token: float
    prefill_tokens_per_s: float
    attention_s_per_token_pair: float
    first_token_delay_s: float
    prefill_chunk_tokens: int
    kv_cache_tokens: int
    tokens_per_event: int


@dataclass(eq=False)
class Job:
    """A generation on an engine.

    Parameters
    ----------
    name : str
        Id of the job.
    parts : sequence of PrefixPart
        Parts of the prompt.
    output_tokens : int
        Number of tokens to generate.
    remaining_prefill_tokens : int
        Tokens that the engine still has to prefill.
    context_tokens : int
        Cached and prefilled tokens since the job's last admission.
    generated_tokens : int
        Tokens generated so far.
    first_token_at : float or None
        Earliest time of the first token after the prefill; None until the prefill ends.
    """

    name: str
    parts: Sequence[PrefixPart]
    output_tokens: int
    remaining_prefill_tokens: int = 0
    context_tokens: int = 0
    generated_tokens: int = 0
    first_token_at: float | None = None

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return sum(part.tokens for part in self.parts)


@dataclass(frozen=True)
class EngineEvent:
    """An event of a job's stream.

    Parameters
    ----------
    job : Job
        Job that generated the event.
    emitted_at : float
        Time at which the engine sends the event.
    is_first, is_last : bool
        Whether the event is the first or the last of the stream.
    """

    job: Job
    emitted_at: float
    is_first: bool
    is_last: bool


@dataclass
class PrefillCounts:
    """Numbers of tokens that an engine prefilled or found in its cache.

    Parameters
    ----------
    prefilled : int
        Prefilled tokens.
    cached : int
        Tokens found in the prefix cache.
    recomputed : int
        Shared tokens that were prefilled although an engine had used them within the
        reuse window.
    """

    prefilled: int = 0
    cached: int = 0
    recomputed: int = 0


@dataclass
class _KvCache:
    """KV cache of an engine; prompt parts that no running job uses may be evicted."""

    capacity_tokens: int
    tokens_by_part: OrderedDict[str, int] = field(default_factory=OrderedDict)
    user_counts: Counter[str] = field(default_factory=Counter)
    used_tokens: int = 0

    def cached_tokens(self, parts: Iterable[PrefixPart]) -> int:
        """Return the number of tokens of the leading parts that are cached."""
        tokens = 0
        for part in parts:
            if part.name not in self.tokens_by_part:
                break
            tokens += part.tokens
        return tokens

    def make_room(self, tokens: int) -> bool:
        """Evict the least recently used parts and return whether `tokens` now fit."""
        excess = self.used_tokens + tokens - self.capacity_tokens
        if excess <= 0:
            return True
        evicted = []
        for name, size in self.tokens_by_part.items():
            if not self.user_counts[name]:
                evicted.append(name)
                excess -= size
                if excess <= 0:
                    break
        for name in evicted:
            self.used_tokens -= self.tokens_by_part.pop(name)
        return excess <= 0

    def acquire(self, parts: Iterable[PrefixPart]) -> bool:
        """Cache and pin a job's parts; return False if they do not fit."""
        parts = list(parts)
        for part in parts:
            self.user_counts[part.name] += 1
        missing = [part for part in parts if part.name not in self.tokens_by_part]
        if not self.make_room(sum(part.tokens for part in missing)):
            self.release(parts)
            return False
        for part in missing:
            self.tokens_by_part[part.name] = part.tokens
            self.used_tokens += part.tokens
        for part in parts:
            self.tokens_by_part.move_to_end(part.name)
        return True

    def release(self, parts: Iterable[PrefixPart]) -> None:
        for part in parts:
            self.user_counts[part.name] -= 1
            if not self.user_counts[part.name]:
                del self.user_counts[part.name]


class BatchEngine:
    """An engine that processes its jobs in discrete steps.

    The caller must call `finish_step` at the time `step_ends_at`.

    Parameters
    ----------
    profile : EngineProfile
        Capacity and speed of the engine.
    last_used : dict of str to float
        Time at which any engine last prefilled or reused a part; shared by all engines.
    reuse_s : float
        Seconds after its last use during which prefilling a part again counts as
        recomputation.

    Attributes
    ----------
    step_ends_at : float or None
        End of the current step; None while the engine is idle.
    prefill_counts : PrefillCounts
        Prefilled and cached tokens so far.
    preemptions : int
        Number of preempted jobs.
    """

    def __init__(
        self, profile: EngineProfile, last_used: dict[str, float], reuse_s: float
    ) -> None:
        self._profile = profile
        self._last_used = last_used
        self._reuse_s = reuse_s
        self._queue: deque[Job] = deque()
        self._prefilling: list[Job] = []
        self._decoding: list[Job] = []
        self._cache = _KvCache(profile.kv_cache_tokens)
        self._context_tokens = 0
        self._chunks: list[tuple[Job, int]] = []
        self.step_ends_at: float | None = None
        self.prefill_counts = PrefillCounts()
        self.preemptions = 0

    @property
    def running(self) -> int:
        """Number of jobs that occupy a slot."""
        return len(self._prefilling) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Number of jobs that wait for a slot or for space in the cache."""
        return len(self._queue)

    def submit(self, now: float, job: Job) -> None:
        """Queue a job; it can start with the next step."""
        self._queue.append(job)
        if self.step_ends_at is None:
            self._begin_step(now)

    def cancel(self, job: Job) -> None:
        """Remove a job whose caller has disconnected."""
        if job in self._queue:
            self._queue.remove(job)
        elif job in self._prefilling:
            self._prefilling.remove(job)
            self._cache.used_tokens -= job.generated_tokens
            self._cache.release(job.parts)
        elif job in self._decoding:
            self._finish(job)

    def finish_step(self) -> list[EngineEvent]:
        """End the current step and return its events; begin the next step."""
        assert self.step_ends_at is not None
        now = self.step_ends_at
        events = [
            event for job in list(self._decoding) for event in self._decode(now, job)
        ]
        for job, tokens in self._chunks:
            if job not in self._prefilling:
                continue
            job.remaining_prefill_tokens -= tokens
            job.context_tokens += tokens
            if not job.remaining_prefill_tokens:
                self._prefilling.remove(job)
                self._decoding.append(job)
                self._context_tokens += job.prompt_tokens + job.generated_tokens
                job.first_token_at = now + self._profile.first_token_delay_s
        self._begin_step(now)
        return events

    def _decode(self, now: float, job: Job) -> list[EngineEvent]:
        if job.first_token_at is not None and now < job.first_token_at:
            return []
        job.generated_tokens += 1
        self._context_tokens += 1
        self._cache.used_tokens += 1
        is_first = job.generated_tokens == 1
        is_last = job.generated_tokens >= job.output_tokens
        if is_last:
            self._finish(job)
        elif not self._cache.make_room(0):
            self._preempt()
        if (
            is_first
            or is_last
            or not job.generated_tokens % self._profile.tokens_per_event
        ):
            return [EngineEvent(job, now, is_first, is_last)]
        return []

    def _finish(self, job: Job) -> None:
        self._decoding.remove(job)
        self._context_tokens -= job.prompt_tokens + job.generated_tokens
        self._cache.used_tokens -= job.generated_tokens
        self._cache.release(job.parts)

    def _preempt(self) -> None:
        """Requeue the newest job; its prompt and its output are prefilled again."""
        newest = self._decoding[-1]
        generated_tokens = newest.generated_tokens
        self._finish(newest)
        newest.generated_tokens = generated_tokens
        newest.first_token_at = None
        self.preemptions += 1
        self._queue.appendleft(newest)

    def _begin_step(self, now: float) -> None:
        self._admit(now)
        if not self.running:
            self.step_ends_at = None
            return
        duration_s = self._profile.base_step_s + self._profile.step_s_per_request * len(
            self._decoding
        )
        duration_s += self._profile.step_s_per_context_token * self._context_tokens
        self._chunks = []
        budget = self._profile.prefill_chunk_tokens
        for job in self._prefilling:
            tokens = min(budget, job.remaining_prefill_tokens)
            if not tokens:
                break
            budget -= tokens
            self._chunks.append((job, tokens))
            duration_s += tokens / self._profile.prefill_tokens_per_s
            duration_s += (
                self._profile.attention_s_per_token_pair
                * tokens
                * (job.context_tokens + tokens / 2)
            )
        self.step_ends_at = now + duration_s

    def _admit(self, now: float) -> None:
        while self._queue and self.running < self._profile.slots:
            job = self._queue[0]
            cached_tokens = self._cache.cached_tokens(job.parts)
            if not self._cache.acquire(job.parts):
                return
            self._queue.popleft()
            job.context_tokens = cached_tokens
            job.remaining_prefill_tokens = (
                max(1, job.prompt_tokens - cached_tokens) + job.generated_tokens
            )
            self._cache.used_tokens += job.generated_tokens
            self._count_prefill(now, job, cached_tokens)
            self._prefilling.append(job)

    def _count_prefill(self, now: float, job: Job, cached_tokens: int) -> None:
        self.prefill_counts.cached += cached_tokens
        self.prefill_counts.prefilled += job.remaining_prefill_tokens
        end_position = 0
        for part in job.parts[:-1]:
            end_position += part.tokens
            last_used_at = self._last_used.get(part.name)
            if (
                end_position > cached_tokens
                and last_used_at is not None
                and last_used_at > now - self._reuse_s
            ):
                self.prefill_counts.recomputed += part.tokens
        for part in job.parts:
            self._last_used[part.name] = now
