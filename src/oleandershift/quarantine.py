"""Quarantine of prompt parts that crash the upstreams that answer them."""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from oleandershift.digests import CrashRecord, PartRecord
from oleandershift.directory import UpstreamRun
from oleandershift.ids import PromptPartId, UpstreamId
from oleandershift.prompts import Prompt

SAME_EVENT_SECONDS = 0.5
"""Time within which crashes count as one event: a cause outside the prompts, such as a
rack that loses power, ends several upstreams at once."""

CONFIRMATION_SECONDS = 5.0
"""Time after a broken exchange in which the crash of its upstream shows: the next
connects are refused, or its registration ends."""

SOUND_ANSWER_SECONDS = 0.5
"""Age at which an unfinished answer shows that its upstream does not crash under it."""

PROBE_SECONDS = 5.0
"""Longest time for which one request may probe a part after its block."""

MAX_BLOCK_SECONDS = 3600.0

BLOCK_JITTER = 0.5
"""Largest extension of a block on one VM, as a fraction of its duration."""

MEMORY_SECONDS = 120.0
"""Time after the last crash, or after the end of a block, for which crashes count."""

MAX_SUSPECTS = 64
MAX_CRASHES_PER_PART = 12
MAX_ANSWERED_PARTS = 1024
MAX_BROKEN_EXCHANGES = 256
"""Limits of what is remembered; the oldest entries are forgotten."""

MAX_SENT_CRASHES = 30
MAX_SENT_PARTS = 24
"""Limits of a message to other VMs, so that it fits into one packet of 1500 bytes."""

_NEVER = float("-inf")


class BlockChange(Enum):
    """Change of what is believed of a prompt part.

    Attributes
    ----------
    BLOCKED
        Upstreams crashed under it; requests with it are rejected.
    EXPIRED
        Its block has ended; single requests show whether it still crashes upstreams.
    ANSWERED
        An upstream answered a request with it and did not crash.
    """

    BLOCKED = "blocked"
    EXPIRED = "the block has expired"
    ANSWERED = "an upstream answered it"


@dataclass(frozen=True, slots=True)
class QuarantineLimits:
    """Limits of a quarantine.

    Parameters
    ----------
    crashes : int
        Crashes under a part, without an answer in between, that block it.
    block_s : float
        Seconds for which it is blocked; doubled with each further crash.
    """

    crashes: int = 3
    block_s: float = 30.0


@dataclass(frozen=True, slots=True)
class PartChange:
    """A prompt part that was blocked or released.

    Parameters
    ----------
    part : PromptPartId
        The part.
    change : BlockChange
        What has changed.
    upstreams : tuple of UpstreamId
        Upstreams that crashed under it, in order.
    request : str
        Latest request of this VM under which an upstream crashed; empty without one.
    blocked_until : float
        Clock time in seconds at which its block ends.
    """

    part: PromptPartId
    change: BlockChange
    upstreams: tuple[UpstreamId, ...]
    request: str
    blocked_until: float


@dataclass(frozen=True, slots=True)
class _BrokenExchange:
    """An exchange that broke off; its upstream may have crashed."""

    run: UpstreamRun
    prompt: Prompt
    request: str
    broken_at: float


@dataclass(slots=True)
class _Suspect:
    """A prompt part under which upstreams crashed.

    Attributes
    ----------
    crashed_at : dict
        Time of the crash of each upstream.
    answered_at : float
        Start of its latest answer.
    is_blocked : bool
        Whether requests with it are rejected.
    blocked_until : float
        End of its latest block.
    counted_until : float
        Latest crash that its latest block counts.
    probed_until : float
        End of the time for the current probe.
    request : str
        Latest request of this VM under which an upstream crashed.
    """

    crashed_at: dict[UpstreamRun, float] = field(default_factory=dict)
    answered_at: float = _NEVER
    is_blocked: bool = False
    blocked_until: float = _NEVER
    counted_until: float = _NEVER
    probed_until: float = _NEVER
    request: str = ""

    @property
    def crashes(self) -> list[float]:
        """Times of the crashes since the latest answer, in order."""
        return sorted(at for at in self.crashed_at.values() if at > self.answered_at)

    @property
    def last_crash(self) -> float:
        """Time of the latest crash."""
        return max(self.crashed_at.values(), default=_NEVER)

    def rejects(self, now: float) -> bool:
        """Return whether requests with the part are rejected."""
        return self.is_blocked or now < self.probed_until

    def clear_block(self) -> None:
        """Forget the latest block."""
        self.is_blocked = False
        self.blocked_until = self.probed_until = self.counted_until = _NEVER


class PromptQuarantine:
    """Blocks prompt parts that crash each upstream that begins to answer them.

    A crash breaks all exchanges of an upstream, so it does not show which request was
    the cause. A part is blocked when upstreams crashed under it several times and none
    has answered it since the first of these crashes. Parts that many requests share are
    answered elsewhere all the time, so they are not blocked with the one at fault.

    When a block has ended, each VM sends one request with the part at a time, until an
    upstream answers, which releases the part, or crashes, which blocks it for twice as
    long. Blocks end at a different time on each VM, so that mostly one VM probes for
    all.

    Parameters
    ----------
    limits : QuarantineLimits
        When and for how long parts are blocked.
    rng : random.Random
        Source of the extension of this VM's blocks.

    Attributes
    ----------
    revision : int
        Increases with everything that other VMs have to know.
    """

    def __init__(self, limits: QuarantineLimits, rng: random.Random) -> None:
        self._limits = limits
        self._extension = rng.uniform(1.0, 1.0 + BLOCK_JITTER)
        self._suspects: OrderedDict[PromptPartId, _Suspect] = OrderedDict()
        self._answered_at: OrderedDict[PromptPartId, float] = OrderedDict()
        self._broken: list[_BrokenExchange] = []
        self.revision = 0

    def rejected_part(self, now: float, prompt: Prompt | None) -> PromptPartId | None:
        """Return a part for which a request must not be sent, if it has one."""
        for part, suspect in self._suspects_of(prompt):
            if suspect.rejects(now):
                return part
        return None

    def retry_after_s(self, now: float, part: PromptPartId) -> float:
        """Return the seconds until a rejected part may be sent again."""
        suspect = self._suspects.get(part)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.blocked_until - now, suspect.probed_until - now)

    def rejected_count(self, now: float) -> int:
        """Return the number of parts whose requests are rejected."""
        return sum(suspect.rejects(now) for suspect in self._suspects.values())

    def on_sent(self, now: float, prompt: Prompt | None) -> None:
        """Record that a request is sent, which may probe a part after its block."""
        for _, suspect in self._suspects_of(prompt):
            if suspect.blocked_until > _NEVER:
                suspect.probed_until = now + PROBE_SECONDS

    def on_broken(
        self, now: float, run: UpstreamRun, prompt: Prompt | None, request: str
    ) -> None:
        """Record an exchange that broke off before or just after its first event."""
        if prompt is not None and prompt.shared_parts:
            self._broken.append(_BrokenExchange(run, prompt, request, now))
            del self._broken[:-MAX_BROKEN_EXCHANGES]

    def on_answer(self, began_at: float, prompt: Prompt | None) -> None:
        """Record an answer under which the upstream did not crash.

        Parameters
        ----------
        began_at : float
            Time at which the answer began, seconds.
        prompt : Prompt or None
            Prompt of the request.
        """
        if prompt is not None:
            for part in prompt.shared_parts:
                self._record_answer(part.name, began_at)

    def confirm(self, now: float, is_gone: Callable[[UpstreamRun], bool]) -> None:
        """Count the broken exchanges whose upstream has crashed.

        Parameters
        ----------
        now : float
            Current time, seconds.
        is_gone : callable
            Returns whether a run of an upstream has ended.
        """
        unconfirmed = []
        for broken in self._broken:
            if is_gone(broken.run):
                for part in broken.prompt.shared_parts:
                    suspect = self._record_crash(
                        part.name, broken.run, broken.broken_at
                    )
                    suspect.request = broken.request
            elif now - broken.broken_at < CONFIRMATION_SECONDS:
                unconfirmed.append(broken)
        self._broken = unconfirmed

    def merge(self, now: float, records: Iterable[PartRecord]) -> bool:
        """Add what another VM knows; return whether some of it is new."""
        revision = self.revision
        for record in records:
            if record.answer_age_ms >= 0:
                self._record_answer(record.part, now - record.answer_age_ms / 1000)
            for crash in record.crashes:
                run = UpstreamRun(crash.upstream, crash.incarnation)
                crashed_at = now - max(0, crash.age_ms) / 1000
                self._record_crash(record.part, run, crashed_at)
        return self.revision != revision

    def records(self, now: float) -> tuple[PartRecord, ...]:
        """Return what other VMs have to know, the most relevant first."""
        by_relevance = sorted(
            self._suspects.items(),
            key=lambda item: (len(item[1].crashes), item[1].last_crash),
            reverse=True,
        )
        records = []
        remaining = MAX_SENT_CRASHES
        for part, suspect in by_relevance[:MAX_SENT_PARTS]:
            newest = sorted(suspect.crashed_at.items(), key=lambda item: -item[1])
            crashes = tuple(
                CrashRecord(run.upstream, run.incarnation, _age_ms(now, at))
                for run, at in newest[:remaining]
                if at > suspect.answered_at
            )
            remaining -= len(crashes)
            answer_age_ms = (
                _age_ms(now, suspect.answered_at)
                if suspect.answered_at > _NEVER
                else -1
            )
            records.append(PartRecord(part, crashes, answer_age_ms))
        return tuple(records)

    def update(self, now: float) -> list[PartChange]:
        """Block and release parts; return what has changed."""
        changes = []
        for part, suspect in list(self._suspects.items()):
            change = self._update_block(now, suspect)
            if change is not None:
                runs = sorted(suspect.crashed_at, key=suspect.crashed_at.__getitem__)
                upstreams = tuple(run.upstream for run in runs)
                changes.append(
                    PartChange(
                        part,
                        change,
                        upstreams,
                        suspect.request,
                        suspect.blocked_until,
                    )
                )
            remembered_at = max(suspect.last_crash, suspect.blocked_until)
            if not suspect.is_blocked and remembered_at < now - MEMORY_SECONDS:
                del self._suspects[part]
        return changes

    def _update_block(self, now: float, suspect: _Suspect) -> BlockChange | None:
        crashes = suspect.crashes
        if not crashes:
            was_blocked = suspect.is_blocked
            suspect.clear_block()
            return BlockChange.ANSWERED if was_blocked else None
        if crashes[-1] > suspect.counted_until and self._is_too_many(suspect):
            was_blocked = suspect.is_blocked
            self._block(now, suspect)
            newly_blocked = suspect.is_blocked and not was_blocked
            return BlockChange.BLOCKED if newly_blocked else None
        if suspect.is_blocked and now >= suspect.blocked_until:
            suspect.is_blocked = False
            return BlockChange.EXPIRED
        return None

    def _is_too_many(self, suspect: _Suspect) -> bool:
        """Return whether crashes block a part; after a block, a single one does."""
        if suspect.blocked_until > _NEVER:
            return True
        crashes = suspect.crashes
        events = _count_events(crashes)
        limit = self._limits.crashes
        return events >= limit or (events > 1 and len(crashes) > limit)

    def _block(self, now: float, suspect: _Suspect) -> None:
        crashes = suspect.crashes
        doublings = max(0, len(crashes) - self._limits.crashes)
        block_s = min(self._limits.block_s * 2.0**doublings, MAX_BLOCK_SECONDS)
        suspect.blocked_until = crashes[-1] + block_s * self._extension
        suspect.is_blocked = now < suspect.blocked_until
        suspect.probed_until = _NEVER
        suspect.counted_until = crashes[-1]

    def _suspects_of(
        self, prompt: Prompt | None
    ) -> Iterable[tuple[PromptPartId, _Suspect]]:
        if prompt is None or not self._suspects:
            return ()
        return (
            (part.name, suspect)
            for part in prompt.shared_parts
            if (suspect := self._suspects.get(part.name)) is not None
        )

    def _record_answer(self, part: PromptPartId, began_at: float) -> None:
        began_at = max(began_at, self._answered_at.get(part, _NEVER))
        self._answered_at[part] = began_at
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > MAX_ANSWERED_PARTS:
            self._answered_at.popitem(last=False)
        suspect = self._suspects.get(part)
        if suspect is None:
            return
        had_crashes = bool(suspect.crashes)
        suspect.answered_at = max(suspect.answered_at, began_at)
        if had_crashes and not suspect.crashes:
            self.revision += 1

    def _record_crash(
        self, part: PromptPartId, run: UpstreamRun, crashed_at: float
    ) -> _Suspect:
        suspect = self._suspects.get(part)
        if suspect is None:
            suspect = _Suspect(answered_at=self._answered_at.get(part, _NEVER))
            self._add_suspect(part, suspect)
        if run in suspect.crashed_at:
            return suspect
        suspect.crashed_at[run] = crashed_at
        if len(suspect.crashed_at) > MAX_CRASHES_PER_PART:
            oldest = min(suspect.crashed_at, key=suspect.crashed_at.__getitem__)
            del suspect.crashed_at[oldest]
        if crashed_at > suspect.answered_at:
            self.revision += 1
        return suspect

    def _add_suspect(self, part: PromptPartId, suspect: _Suspect) -> None:
        """Add a suspect; forget the one with the fewest unanswered crashes."""
        if len(self._suspects) >= MAX_SUSPECTS:
            least = min(
                self._suspects.items(),
                key=lambda item: (len(item[1].crashes), item[1].last_crash),
            )
            del self._suspects[least[0]]
        self._suspects[part] = suspect


def _count_events(crashes: list[float]) -> int:
    """Return the number of events that sorted crash times belong to."""
    events = 0
    event_at = _NEVER
    for crashed_at in crashes:
        if crashed_at - event_at >= SAME_EVENT_SECONDS:
            events += 1
            event_at = crashed_at
    return events


def _age_ms(now: float, instant: float) -> int:
    return max(0, round((now - instant) * 1000))
