"""Model of a language model's engine: batches, chunked prompts, cached prefixes.

Follows what the platform publishes of its engines (protocol page, "Model engines" and
"Requests"; speeds from the deployment sheets). It knows no network and no clock.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from oleandershift.prompts import PrefixPart


@dataclass(frozen=True)
class EngineProfile:
    """What an engine can do.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    base_step_s, step_s_per_request : float
        Seconds of a step, and more for each running request.
    step_s_per_context_token : float
        Seconds of a step for each token in the memory of running requests.
    prefill_tokens_per_s : float
        Prompt tokens read in a second.
    attention_s_per_token_pair : float
        Seconds for each pair of a prompt token and one before it.
    first_token_delay_s : float
        Seconds that a first token takes besides.
    prefill_chunk_tokens : int
        Most prompt tokens read in a step.
    kv_cache_tokens : int
        Tokens that running requests and cached prefixes share.
    tokens_per_event : int
        Tokens that an event of a stream holds.
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
    """A generation at an engine.

    Parameters
    ----------
    name : str
        Its id.
    parts : sequence of PrefixPart
        The prompt.
    output_tokens : int
        Tokens that it generates.
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
        """Return the prompt tokens."""
        return sum(part.tokens for part in self.parts)


@dataclass(frozen=True)
class EngineEvent:
    """An event of a job's stream.

    Parameters
    ----------
    job : Job
        Whose.
    emitted_at : float
        Instant at which it leaves the engine.
    is_first, is_last : bool
        Whether it begins or ends the stream.
    """

    job: Job
    emitted_at: float
    is_first: bool
    is_last: bool


@dataclass
class PrefillCounts:
    """Prompt tokens by how an engine came to them.

    Parameters
    ----------
    prefilled : int
        Tokens read.
    cached : int
        Tokens found in memory.
    recomputed : int
        Shared tokens read although some engine had read them within the reuse window.
    """

    prefilled: int = 0
    cached: int = 0
    recomputed: int = 0


@dataclass
class _PrefixMemory:
    """Prompt parts in memory; those that no running job uses may yield."""

    size: int
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    users: Counter[str] = field(default_factory=Counter)
    used: int = 0

    def cached(self, parts: Iterable[PrefixPart]) -> int:
        """Return the tokens of the leading parts that are in memory."""
        tokens = 0
        for part in parts:
            if part.name not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def free(self, tokens: int) -> bool:
        """Make room by dropping what was used least recently; tell whether it fits."""
        excess = self.used + tokens - self.size
        if excess <= 0:
            return True
        yielding = []
        for name, size in self.parts.items():
            if not self.users[name]:
                yielding.append(name)
                excess -= size
                if excess <= 0:
                    break
        for name in yielding:
            self.used -= self.parts.pop(name)
        return excess <= 0

    def hold(self, parts: Iterable[PrefixPart]) -> bool:
        """Take a job's parts into memory; tell whether they fitted."""
        parts = list(parts)
        for part in parts:
            self.users[part.name] += 1
        missing = [part for part in parts if part.name not in self.parts]
        if not self.free(sum(part.tokens for part in missing)):
            self.release(parts)
            return False
        for part in missing:
            self.parts[part.name] = part.tokens
            self.used += part.tokens
        for part in parts:
            self.parts.move_to_end(part.name)
        return True

    def release(self, parts: Iterable[PrefixPart]) -> None:
        for part in parts:
            self.users[part.name] -= 1
            if not self.users[part.name]:
                del self.users[part.name]


class BatchEngine:
    """An engine that runs its jobs step by step.

    The caller asks when the next step ends, and takes its events then.

    Parameters
    ----------
    speed : EngineSpeed
        What it can do.
    last_use : dict of str to float
        When any engine last read or found a part; shared by the engines.
    reuse_s : float
        Time after its last use in which reading a part counts as reading it again.
    """

    def __init__(
        self, profile: EngineProfile, last_used: dict[str, float], reuse_s: float
    ) -> None:
        self._speed = profile
        self._last_use = last_used
        self._reuse_s = reuse_s
        self._queue: deque[Job] = deque()
        self._reading: list[Job] = []
        self._writing: list[Job] = []
        self._memory = _PrefixMemory(profile.kv_cache_tokens)
        self._context = 0
        self._chunks: list[tuple[Job, int]] = []
        self.step_ends_at: float | None = None
        self.prefill_counts = PrefillCounts()
        self.preemptions = 0

    @property
    def running(self) -> int:
        """Return the jobs that hold a slot."""
        return len(self._reading) + len(self._writing)

    @property
    def waiting(self) -> int:
        """Return the jobs that wait for a slot or memory."""
        return len(self._queue)

    def submit(self, now: float, job: Job) -> None:
        """Take a job; it begins at the next step."""
        self._queue.append(job)
        if self.step_ends_at is None:
            self._begin_step(now)

    def cancel(self, job: Job) -> None:
        """Drop a job whose caller has left."""
        if job in self._queue:
            self._queue.remove(job)
        elif job in self._reading:
            self._reading.remove(job)
            self._memory.used -= job.generated_tokens
            self._memory.release(job.parts)
        elif job in self._writing:
            self._end(job)

    def finish_step(self) -> list[EngineEvent]:
        """Finish the step under way, begin the next and return the events made."""
        assert self.step_ends_at is not None
        now = self.step_ends_at
        events = [
            event for job in list(self._writing) for event in self._write(now, job)
        ]
        for job, tokens in self._chunks:
            if job not in self._reading:
                continue
            job.remaining_prefill_tokens -= tokens
            job.context_tokens += tokens
            if not job.remaining_prefill_tokens:
                self._reading.remove(job)
                self._writing.append(job)
                self._context += job.prompt_tokens + job.generated_tokens
                job.first_token_at = now + self._speed.first_token_delay_s
        self._begin_step(now)
        return events

    def _write(self, now: float, job: Job) -> list[EngineEvent]:
        if job.first_token_at is not None and now < job.first_token_at:
            return []
        job.generated_tokens += 1
        self._context += 1
        self._memory.used += 1
        is_first = job.generated_tokens == 1
        is_last = job.generated_tokens >= job.output_tokens
        if is_last:
            self._end(job)
        elif not self._memory.free(0):
            self._preempt()
        if (
            is_first
            or is_last
            or not job.generated_tokens % self._speed.tokens_per_event
        ):
            return [EngineEvent(job, now, is_first, is_last)]
        return []

    def _end(self, job: Job) -> None:
        self._writing.remove(job)
        self._context -= job.prompt_tokens + job.generated_tokens
        self._memory.used -= job.generated_tokens
        self._memory.release(job.parts)

    def _preempt(self) -> None:
        """Put the newest request back; its prompt and output are read again."""
        newest = self._writing[-1]
        made = newest.generated_tokens
        self._end(newest)
        newest.generated_tokens = made
        newest.first_token_at = None
        self.preemptions += 1
        self._queue.appendleft(newest)

    def _begin_step(self, now: float) -> None:
        self._admit(now)
        if not self.running:
            self.step_ends_at = None
            return
        seconds = self._speed.base_step_s + self._speed.step_s_per_request * len(
            self._writing
        )
        seconds += self._speed.step_s_per_context_token * self._context
        self._chunks = []
        room = self._speed.prefill_chunk_tokens
        for job in self._reading:
            tokens = min(room, job.remaining_prefill_tokens)
            if not tokens:
                break
            room -= tokens
            self._chunks.append((job, tokens))
            seconds += tokens / self._speed.prefill_tokens_per_s
            seconds += (
                self._speed.attention_s_per_token_pair
                * tokens
                * (job.context_tokens + tokens / 2)
            )
        self.step_ends_at = now + seconds

    def _admit(self, now: float) -> None:
        while self._queue and self.running < self._speed.slots:
            job = self._queue[0]
            cached = self._memory.cached(job.parts)
            if not self._memory.hold(job.parts):
                return
            self._queue.popleft()
            job.context_tokens = cached
            job.remaining_prefill_tokens = (
                max(1, job.prompt_tokens - cached) + job.generated_tokens
            )
            self._memory.used += job.generated_tokens
            self._count(now, job, cached)
            self._reading.append(job)

    def _count(self, now: float, job: Job, cached: int) -> None:
        self.prefill_counts.cached += cached
        self.prefill_counts.prefilled += job.remaining_prefill_tokens
        seen = 0
        for part in job.parts[:-1]:
            seen += part.tokens
            last = self._last_use.get(part.name)
            if seen > cached and last is not None and last > now - self._reuse_s:
                self.prefill_counts.recomputed += part.tokens
        for part in job.parts:
            self._last_use[part.name] = now
