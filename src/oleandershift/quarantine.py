"""Quarantine of requests and prompt parts that crash the upstreams that run them."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from oleandershift.digests import CrashRecord, SuspectRecord
from oleandershift.directory import UpstreamRun
from oleandershift.ids import UpstreamId
from oleandershift.suspects import RequestSuspects, Suspect, SuspectKind

SAME_EVENT_SECONDS = 0.5
"""Time within which crashes under a prompt part count as one event: a cause outside the
prompts, such as a rack that loses power, ends several upstreams at once."""

CONFIRMATION_SECONDS = 5.0
"""Time after a broken exchange in which the crash of its upstream shows: connects are
refused, or its registration ends."""

SOUND_ANSWER_SECONDS = 0.5
"""Age at which an unfinished answer shows that its upstream does not crash under it."""

PROBE_SECONDS = 5.0
"""Longest time for which one request may probe a suspect after its block."""

BLOCK_GROWTH = 16.0
"""Factor of a block's length for each further crash."""

MAX_BLOCK_SECONDS = 86_400.0

MEMORY_SECONDS = 3600.0
"""Time after the last crash, or after the end of a block, for which crashes count."""

MAX_RETRIED_CRASHES = 1
"""Crashes under a request up to which it is tried again within one call. Upstreams also
crash by themselves, but seldom two in a row under one request."""

MAX_SUSPECTS = 512
MAX_CRASHES_PER_SUSPECT = 12
MAX_ANSWERED = 1024
MAX_BROKEN_EXCHANGES = 256
"""Limits of what is remembered; the oldest entries are forgotten."""

MAX_SENT_CRASHES = 22
MAX_SENT_SUSPECTS = 22
"""Limits of a message to other VMs, so that it fits into one packet of 1500 bytes."""

FORGETTING_SECONDS = 1.0
"""Interval at which suspects are looked through for those to forget."""

_NEVER = float("-inf")


class BlockChange(Enum):
    """Change of what is believed of a suspect.

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
        Crashes under a suspect, without an answer in between, that block it.
    block_s : float
        Seconds for which it is blocked at first.
    """

    crashes: int = 3
    block_s: float = 30.0


@dataclass(frozen=True, slots=True)
class SuspectChange:
    """A suspect that was blocked or released.

    Parameters
    ----------
    suspect : Suspect
        The suspect.
    change : BlockChange
        What has changed.
    upstreams : tuple of UpstreamId
        Upstreams that crashed under it, in order.
    request : str
        Latest request of this VM under which an upstream crashed; empty without one.
    blocked_until : float
        Clock time in seconds at which its block ends.
    """

    suspect: Suspect
    change: BlockChange
    upstreams: tuple[UpstreamId, ...]
    request: str
    blocked_until: float


@dataclass(frozen=True, slots=True)
class BrokenExchange:
    """An exchange that broke off; its upstream may have crashed.

    Parameters
    ----------
    run : UpstreamRun
        The upstream.
    suspects : tuple of Suspect
        Suspects that its request carries.
    request : str
        Id of the attempt.
    sent_at, broken_at : float
        Clock time in seconds at which the request was sent, and the exchange broke.
    """

    run: UpstreamRun
    suspects: tuple[Suspect, ...]
    request: str
    sent_at: float
    broken_at: float


@dataclass(frozen=True, slots=True)
class _Crash:
    run: UpstreamRun
    sent_at: float
    crashed_at: float

    def is_same_as(self, other: "_Crash") -> bool:
        """Return whether both are one crash of an upstream, seen by two requests."""
        return self.run == other.run and (
            abs(self.crashed_at - other.crashed_at) < SAME_EVENT_SECONDS
            or (self.sent_at <= other.crashed_at and other.sent_at <= self.crashed_at)
        )


@dataclass(slots=True)
class _Case:
    """What is known against a suspect.

    Attributes
    ----------
    known_crashes : list of _Crash
        Crashes under it, in order.
    answered_at : float
        Start of its latest answer.
    is_blocked : bool
        Whether requests with it are rejected.
    blocked_until : float
        End of its latest block.
    counted_until : float
        Latest crash that its latest block counts.
    probed_until : float
        End of the time for the current probe of this VM.
    request : str
        Latest request of this VM under which an upstream crashed.
    """

    known_crashes: list[_Crash] = field(default_factory=list)
    answered_at: float = _NEVER
    is_blocked: bool = False
    blocked_until: float = _NEVER
    counted_until: float = _NEVER
    probed_until: float = _NEVER
    request: str = ""

    @property
    def crashes(self) -> list[_Crash]:
        """Crashes since the latest answer, in order."""
        return [
            item for item in self.known_crashes if item.crashed_at > self.answered_at
        ]

    @property
    def last_crash(self) -> float:
        """Time of the latest crash."""
        return self.known_crashes[-1].crashed_at if self.known_crashes else _NEVER

    def add(self, crash: _Crash) -> bool:
        """Add a crash; return False if it is known already."""
        if any(crash.is_same_as(known) for known in self.known_crashes):
            return False
        self.known_crashes.append(crash)
        self.known_crashes.sort(key=lambda item: item.crashed_at)
        del self.known_crashes[:-MAX_CRASHES_PER_SUSPECT]
        return True

    def clear_block(self) -> None:
        """Forget the latest block."""
        self.is_blocked = False
        self.blocked_until = self.probed_until = self.counted_until = _NEVER


class Quarantine:
    """Blocks requests and prompt parts that crash each upstream that runs them.

    A crash breaks all exchanges of an upstream, so it does not show which request was
    the cause. A suspect is blocked when upstreams crashed under it several times and
    none has answered it since the first of these crashes. What many requests share is
    answered elsewhere all the time, so it is not blocked with what is at fault.

    When a block has ended, one VM sends one request on behalf of all; the others follow
    later. An answer releases the suspect, and a crash blocks it for much longer.

    Parameters
    ----------
    limits : QuarantineLimits
        When and for how long suspects are blocked.
    rank : callable
        Returns how many VMs come before this one in the order in which they probe a
        suspect, from the current time in seconds and its name.
    """

    def __init__(
        self, limits: QuarantineLimits, rank: Callable[[float, str], int]
    ) -> None:
        self._limits = limits
        self._rank = rank
        self._cases: dict[Suspect, _Case] = {}
        self._answered_at: OrderedDict[Suspect, float] = OrderedDict()
        self._broken: list[BrokenExchange] = []
        self._suspected_requests = 0
        # Cases to look at in the next update, and those that were blocked and have not
        # been answered since.
        self._changed: set[Suspect] = set()
        self._blocked: set[Suspect] = set()
        self._news: set[Suspect] = set()
        self._forget_at = _NEVER

    def rejected(self, now: float, suspects: RequestSuspects) -> Suspect | None:
        """Return a suspect for which a request must not be sent, if it has one."""
        for suspect in self._blocked_of(suspects):
            if self._rejects(now, suspect):
                return suspect
        return None

    def retry_after_s(self, now: float, suspect: Suspect) -> float:
        """Return the seconds until a request with a rejected suspect may be sent."""
        if suspect not in self._blocked:
            return 0.0
        case = self._cases[suspect]
        turns = self._rank(now, suspect.name).bit_length()
        turn_at = case.blocked_until + turns * PROBE_SECONDS
        return max(0.0, turn_at - now, case.probed_until - now)

    def rejected_count(self, now: float) -> int:
        """Return the number of suspects whose requests are rejected."""
        return sum(self._rejects(now, suspect) for suspect in self._blocked)

    def may_retry(self, suspects: RequestSuspects) -> bool:
        """Return whether a request whose exchange broke may be sent again at once."""
        if not self._suspected_requests:
            return True
        case = self._cases.get(suspects.request)
        return case is None or len(case.crashes) <= MAX_RETRIED_CRASHES

    def on_sent(self, now: float, suspects: RequestSuspects) -> None:
        """Record that a request is sent, which may probe a suspect after its block."""
        for suspect in self._blocked_of(suspects):
            self._cases[suspect].probed_until = now + PROBE_SECONDS

    def on_broken(self, broken: BrokenExchange) -> None:
        """Record an exchange that broke off before or just after its first event."""
        self._broken.append(broken)
        del self._broken[:-MAX_BROKEN_EXCHANGES]

    def on_answer(self, began_at: float, suspects: RequestSuspects) -> None:
        """Record an answer under which the upstream did not crash.

        Parameters
        ----------
        began_at : float
            Time at which the answer began, seconds.
        suspects : RequestSuspects
            Suspects of the request.
        """
        for suspect in self._carried(suspects):
            if self._record_answer(suspect, began_at):
                self._news.add(suspect)

    @property
    def has_unconfirmed(self) -> bool:
        """Whether an exchange broke off whose upstream may have crashed."""
        return bool(self._broken)

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
                crash = _Crash(broken.run, broken.sent_at, broken.broken_at)
                for suspect in broken.suspects:
                    if self._record_crash(suspect, crash):
                        self._news.add(suspect)
                    self._cases[suspect].request = broken.request
            elif now - broken.broken_at < CONFIRMATION_SECONDS:
                unconfirmed.append(broken)
        self._broken = unconfirmed

    def merge(self, now: float, records: Iterable[SuspectRecord]) -> set[Suspect]:
        """Add what another VM knows; return the suspects of which some of it is new."""
        news = set()
        for record in records:
            suspect = Suspect(record.kind, record.name)
            if record.answer_age_ms >= 0:
                answered_at = now - record.answer_age_ms / 1000
                if self._record_answer(suspect, answered_at):
                    news.add(suspect)
            for item in record.crashes:
                crashed_at = now - max(0, item.age_ms) / 1000
                crash = _Crash(
                    UpstreamRun(item.upstream, item.incarnation),
                    crashed_at - max(0, item.after_ms) / 1000,
                    crashed_at,
                )
                if self._record_crash(suspect, crash):
                    news.add(suspect)
        return news

    def take_news(self) -> set[Suspect]:
        """Return and forget the suspects of which this VM has found out something."""
        news, self._news = self._news, set()
        return news

    def suspects(self) -> tuple[Suspect, ...]:
        """Return all that is suspected, the longest known first."""
        return tuple(self._cases)

    def often_suspected(self) -> set[Suspect]:
        """Return the suspects that a VM which has just started has to know."""
        return {
            suspect for suspect, case in self._cases.items() if len(case.crashes) > 1
        }

    def records(
        self, now: float, suspects: Iterable[Suspect]
    ) -> tuple[SuspectRecord, ...]:
        """Return what other VMs have to know of suspects, the most relevant first.

        Not all of them may fit into one message.
        """
        cases = [
            (suspect, case, case.crashes)
            for suspect in suspects
            if (case := self._cases.get(suspect)) is not None
        ]
        cases.sort(key=lambda item: (len(item[2]), item[1].last_crash), reverse=True)
        records = []
        remaining = MAX_SENT_CRASHES
        for suspect, case, crashes in cases[:MAX_SENT_SUSPECTS]:
            newest = crashes[-remaining:] if remaining else []
            remaining -= len(newest)
            if crashes and not newest:
                break
            records.append(_to_record(now, suspect, case, newest))
        return tuple(records)

    def update(self, now: float) -> list[SuspectChange]:
        """Block and release suspects; return what has changed."""
        changes = []
        for suspect in self._changed | self._blocked:
            case = self._cases[suspect]
            change = self._update_block(now, suspect, case)
            if change is not None:
                changes.append(_to_change(suspect, case, change))
        self._changed.clear()
        if now >= self._forget_at:
            self._forget_at = now + FORGETTING_SECONDS
            self._forget(now)
        return changes

    def _update_block(
        self, now: float, suspect: Suspect, case: _Case
    ) -> BlockChange | None:
        crashes, was_in_force = case.crashes, case.is_blocked
        if not crashes:
            case.clear_block()
            self._blocked.discard(suspect)
            return BlockChange.ANSWERED if was_in_force else None
        last_at = crashes[-1].crashed_at
        if last_at > case.counted_until and self._is_too_many(suspect, crashes):
            self._block(now, case, crashes)
            self._blocked.add(suspect)
            newly_blocked = case.is_blocked and not was_in_force
            return BlockChange.BLOCKED if newly_blocked else None
        if case.is_blocked and now >= case.blocked_until:
            case.is_blocked = False
            return BlockChange.EXPIRED
        return None

    def _is_too_many(self, suspect: Suspect, crashes: list[_Crash]) -> bool:
        """Return whether crashes block a suspect; after a block, a single one does."""
        if suspect in self._blocked:
            return True
        limit = self._limits.crashes
        if suspect.kind is SuspectKind.REQUEST:
            return len(crashes) >= limit and _count_attempts(crashes) > 1
        events = _count_events(crashes)
        return events >= limit or (events > 1 and len(crashes) > limit)

    def _block(self, now: float, case: _Case, crashes: list[_Crash]) -> None:
        further = max(0, len(crashes) - self._limits.crashes)
        block_s = min(self._limits.block_s * BLOCK_GROWTH**further, MAX_BLOCK_SECONDS)
        case.counted_until = crashes[-1].crashed_at
        case.blocked_until = case.counted_until + block_s
        case.is_blocked = now < case.blocked_until
        case.probed_until = _NEVER

    def _rejects(self, now: float, suspect: Suspect) -> bool:
        """Return whether requests with a suspect that was blocked are rejected."""
        case = self._cases[suspect]
        if case.is_blocked or now < case.probed_until:
            return True
        # With each turn twice as many VMs may probe it.
        turns = int((now - case.blocked_until) / PROBE_SECONDS)
        return self._rank(now, suspect.name).bit_length() > turns

    def _blocked_of(self, suspects: RequestSuspects) -> list[Suspect]:
        """Return those that were blocked and have not been answered since."""
        if not self._blocked:
            return []
        return [item for item in self._carried(suspects) if item in self._blocked]

    def _carried(self, suspects: RequestSuspects) -> tuple[Suspect, ...]:
        """Return the suspects, without the request itself if none is suspected."""
        return suspects.all() if self._suspected_requests else suspects.parts

    def _record_answer(self, suspect: Suspect, began_at: float) -> bool:
        """Record an answer; return whether it clears a suspect of crashes."""
        began_at = max(began_at, self._answered_at.get(suspect, _NEVER))
        self._answered_at[suspect] = began_at
        self._answered_at.move_to_end(suspect)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)
        case = self._cases.get(suspect)
        if case is None:
            return False
        had_crashes = bool(case.crashes)
        case.answered_at = max(case.answered_at, began_at)
        self._changed.add(suspect)
        return had_crashes and not case.crashes

    def _record_crash(self, suspect: Suspect, crash: _Crash) -> bool:
        """Record a crash; return whether it is new and counts."""
        case = self._cases.get(suspect)
        if case is None:
            case = _Case(answered_at=self._answered_at.get(suspect, _NEVER))
            self._add_case(suspect, case)
        self._changed.add(suspect)
        return case.add(crash) and crash.crashed_at > case.answered_at

    def _add_case(self, suspect: Suspect, case: _Case) -> None:
        """Add a case; drop one with few unanswered crashes if there are too many."""
        if len(self._cases) >= MAX_SUSPECTS:
            self._drop(self._least_suspected())
        self._cases[suspect] = case
        self._suspected_requests += suspect.kind is SuspectKind.REQUEST

    def _least_suspected(self) -> Suspect:
        """Return the oldest suspect with one crash, or the one with the fewest."""
        for suspect, case in self._cases.items():
            if len(case.crashes) <= 1 and suspect not in self._blocked:
                return suspect
        return min(
            self._cases,
            key=lambda suspect: (
                len(self._cases[suspect].crashes),
                self._cases[suspect].last_crash,
            ),
        )

    def _drop(self, suspect: Suspect) -> None:
        del self._cases[suspect]
        self._changed.discard(suspect)
        self._blocked.discard(suspect)
        self._news.discard(suspect)
        self._suspected_requests -= suspect.kind is SuspectKind.REQUEST

    def _forget(self, now: float) -> None:
        for suspect, case in list(self._cases.items()):
            remembered_at = max(case.last_crash, case.blocked_until)
            if not case.is_blocked and remembered_at < now - MEMORY_SECONDS:
                self._drop(suspect)


def _count_events(crashes: list[_Crash]) -> int:
    """Return the number of events that crashes, in order, belong to."""
    events = 0
    event_at = _NEVER
    for crash in crashes:
        if crash.crashed_at - event_at >= SAME_EVENT_SECONDS:
            events += 1
            event_at = crash.crashed_at
    return events


def _count_attempts(crashes: list[_Crash]) -> int:
    """Return how often a request was sent again after a crash under it, and crashed."""
    attempts = 0
    crashed_at = _NEVER
    for crash in crashes:
        if crash.sent_at >= crashed_at:
            attempts += 1
            crashed_at = crash.crashed_at
    return attempts


def _to_record(
    now: float, suspect: Suspect, case: _Case, crashes: list[_Crash]
) -> SuspectRecord:
    is_answered = case.answered_at > _NEVER
    return SuspectRecord(
        suspect.name,
        tuple(
            CrashRecord(
                crash.run.upstream,
                crash.run.incarnation,
                _age_ms(now, crash.crashed_at),
                _age_ms(crash.crashed_at, crash.sent_at),
            )
            for crash in reversed(crashes)
        ),
        _age_ms(now, case.answered_at) if is_answered else -1,
        suspect.kind,
    )


def _to_change(suspect: Suspect, case: _Case, change: BlockChange) -> SuspectChange:
    upstreams = tuple(crash.run.upstream for crash in case.known_crashes)
    return SuspectChange(suspect, change, upstreams, case.request, case.blocked_until)


def _age_ms(now: float, instant: float) -> int:
    return max(0, round((now - instant) * 1000))
