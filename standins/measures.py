"""Figures of a run, worked out from the calls and the engines' ledgers."""

import math
import time
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate, combinations, pairwise

from msgspec import Struct
from msgspec.structs import replace

from standins.calls import CallRecord
from standins.ledger import Execution
from standins.load import make_histogram

GRID_STEP_SECONDS = 0.05
LARGE_TEAM_WEIGHT = 4.0


@dataclass(frozen=True)
class Window:
    """Part of a run that is measured; seconds since the Unix epoch."""

    start: float
    end: float

    @property
    def step_count(self) -> int:
        """Return the number of steps of the grid."""
        return int((self.end - self.start) / GRID_STEP_SECONDS)

    def step_at(self, at: float) -> int:
        """Return the first step of the grid at or after an instant, within bounds."""
        place = math.ceil((min(at, self.end) - self.start) / GRID_STEP_SECONDS)
        return max(0, min(self.step_count, place))


@dataclass(frozen=True)
class MeasuredCall:
    """One call with its executions.

    Parameters
    ----------
    record : CallRecord
        The call, as its caller saw it.
    executions : tuple of Execution
        Its executions by start; empty when it never ran.
    """

    record: CallRecord
    executions: tuple[Execution, ...]

    @property
    def wait_ended_at(self) -> float:
        """Return the instant at which it began to run, or was given up."""
        if self.executions:
            return self.executions[0].started
        return self.record.finished or math.inf


class Gap(Struct, frozen=True):
    """Largest gap of weighted service between two teams that both had work waiting.

    Parameters
    ----------
    tokens : float
        Tokens over weight.
    ahead, behind : str
        The teams.
    seconds : float
        Length of the window in which it opened.
    """

    tokens: float
    ahead: str
    behind: str
    seconds: float = 0.0


class WaitPercentiles(Struct, frozen=True):
    """Waits of one kind and team size, milliseconds."""

    kind: str
    size: str
    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class TeamService(Struct, frozen=True):
    """What one team received.

    Parameters
    ----------
    team : str
        The team.
    weight : float
        Its share.
    tokens, weighted : float
        Service within the window, and the same over the weight.
    backlogged : float
        Part of the window in which it had a request waiting.
    """

    team: str
    weight: float
    tokens: float
    weighted: float
    backlogged: float


def join_executions(
    records: Iterable[CallRecord], ledgers: Iterable[Iterable[Execution]]
) -> tuple[MeasuredCall, ...]:
    """Return the calls with what the ledgers say that ran for them."""
    ran: defaultdict[str, list[Execution]] = defaultdict(list)
    now = time.time()
    for ledger in ledgers:
        for execution in ledger:
            if execution.started:
                ran[execution.echo].append(_ended(execution, now))
    for executions in ran.values():
        executions.sort(key=lambda execution: execution.started)
    return tuple(MeasuredCall(record, tuple(ran[record.echo])) for record in records)


def _ended(execution: Execution, now: float) -> Execution:
    return replace(execution, finished=execution.finished or now)


class ServiceCurves:
    """Weighted service and backlog of teams on a grid of instants.

    Parameters
    ----------
    jobs : iterable of Job
        Calls of one service.
    weights : mapping of str to float
        Weight by team.
    window : Window
        What is measured.
    """

    def __init__(
        self, jobs: Iterable[MeasuredCall], weights: Mapping[str, float], window: Window
    ) -> None:
        self._window = window
        self._weights = weights
        steps = window.step_count + 1
        rates = {team: [0.0] * (steps + 1) for team in weights}
        waiting = {team: [0] * (steps + 1) for team in weights}
        for job in jobs:
            team = job.record.team
            _add_interval(waiting[team], window, job.record.sent, job.wait_ended_at)
            for execution in job.executions:
                _add_service(rates[team], window, execution)
        self._served = {
            team: list(accumulate(rate[:steps])) for team, rate in rates.items()
        }
        self._waiting = {
            team: list(accumulate(count[:steps])) for team, count in waiting.items()
        }

    def services(self) -> tuple[TeamService, ...]:
        """Return what each team received, by weighted service."""
        found = [
            TeamService(
                team,
                weight,
                self._served[team][-1],
                self._served[team][-1] / weight,
                sum(map(bool, self._waiting[team])) / len(self._waiting[team]),
            )
            for team, weight in self._weights.items()
        ]
        return tuple(sorted(found, key=lambda one: -one.weighted))

    def largest_gaps(self) -> tuple[Gap, ...]:
        """Return the largest gap of each pair of teams, the largest one first."""
        found = (self._pair_gap(*pair) for pair in combinations(self._weights, 2))
        return tuple(sorted(found, key=lambda gap: -gap.tokens))

    def _pair_gap(self, one: str, other: str) -> Gap:
        largest = Gap(0.0, one, other)
        low = high = None
        for step in range(self._window.step_count + 1):
            if not (self._waiting[one][step] and self._waiting[other][step]):
                low = high = None
                continue
            lead = self._lead(one, other, step)
            if low is None or lead < low[0]:
                low = (lead, step)
            if high is None or lead > high[0]:
                high = (lead, step)
            if high[0] - low[0] > largest.tokens:
                ahead, behind = (one, other) if high[1] > low[1] else (other, one)
                seconds = abs(high[1] - low[1]) * GRID_STEP_SECONDS
                largest = Gap(high[0] - low[0], ahead, behind, seconds)
        return largest

    def _lead(self, one: str, other: str, step: int) -> float:
        mine = self._served[one][step] / self._weights[one]
        return mine - self._served[other][step] / self._weights[other]


def utilisation(jobs: Iterable[MeasuredCall], slots: int, window: Window) -> float:
    """Return the share of slot-time busy while any request waits."""
    steps = window.step_count + 1
    busy = [0] * (steps + 1)
    waiting = [0] * (steps + 1)
    for job in jobs:
        _add_interval(waiting, window, job.record.sent, job.wait_ended_at)
        for execution in job.executions:
            _add_interval(busy, window, execution.started, execution.finished)
    pairs = zip(accumulate(busy[:steps]), accumulate(waiting[:steps]), strict=True)
    running = [count for count, waits in pairs if waits]
    return sum(running) / (slots * len(running)) if running else 1.0


def wait_percentiles(
    jobs: Iterable[MeasuredCall], weights: Mapping[str, float], window: Window
) -> tuple[WaitPercentiles, ...]:
    """Return percentiles of the waits until the first execution, by kind and size."""
    found: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
    for job in jobs:
        if job.executions and window.start <= job.record.sent <= window.end:
            large = weights[job.record.team] >= LARGE_TEAM_WEIGHT
            size = "large" if large else "small"
            key = (job.record.kind, size)
            found[key].append(max(0.0, job.wait_ended_at - job.record.sent))
    return tuple(_waits(key, times) for key, times in sorted(found.items()))


def _waits(key: tuple[str, str], times: Sequence[float]) -> WaitPercentiles:
    made = make_histogram(times)
    points = [made.get_value_at_percentile(point) for point in (50, 95, 99)]
    return WaitPercentiles(*key, len(times), *points)


def _add_interval(counts: list[int], window: Window, start: float, end: float) -> None:
    counts[window.step_at(start)] += 1
    counts[window.step_at(end)] -= 1


def _add_service(rates: list[float], window: Window, execution: Execution) -> None:
    """Add an execution's tokens, spread evenly over its time, to the grid's steps."""
    length = max(execution.finished - execution.started, 1e-6)
    edges = [
        max(execution.started, window.start),
        *(
            window.start + step * GRID_STEP_SECONDS
            for step in range(
                window.step_at(execution.started), window.step_at(execution.finished)
            )
        ),
        min(execution.finished, window.end),
    ]
    for begin, end in pairwise(edges):
        if end > begin:
            share = (end - begin) / length
            rates[window.step_at(end)] += share * execution.tokens
