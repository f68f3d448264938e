"""Figures of a run, computed from the calls and the engines' ledgers."""

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
    """Measured interval of a run; seconds since the Unix epoch."""

    start: float
    end: float

    @property
    def step_count(self) -> int:
        """Return the number of grid steps in the window."""
        return int((self.end - self.start) / GRID_STEP_SECONDS)

    def step_at(self, at: float) -> int:
        """Return the first grid step at or after `at`, clamped to the window."""
        index = math.ceil((min(at, self.end) - self.start) / GRID_STEP_SECONDS)
        return max(0, min(self.step_count, index))


@dataclass(frozen=True)
class MeasuredCall:
    """One call and its executions.

    Parameters
    ----------
    record : CallRecord
        The call as its caller saw it.
    executions : tuple of Execution
        Executions ordered by start; empty if the call never ran.
    """

    record: CallRecord
    executions: tuple[Execution, ...]

    @property
    def wait_ended_at(self) -> float:
        """Return when the call started to run or ended without running."""
        if self.executions:
            return self.executions[0].started
        return self.record.finished or math.inf


class Gap(Struct, frozen=True):
    """Largest gap in weighted service between two teams that both had work waiting.

    Parameters
    ----------
    tokens : float
        Gap in tokens divided by weight.
    ahead, behind : str
        Team with more and team with less weighted service.
    seconds : float
        Length of the interval in which the gap opened.
    """

    tokens: float
    ahead: str
    behind: str
    seconds: float = 0.0


class WaitPercentiles(Struct, frozen=True):
    """Percentiles of the waits of one kind and team size, milliseconds."""

    kind: str
    size: str
    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class TeamService(Struct, frozen=True):
    """Service that one team received.

    Parameters
    ----------
    team : str
        Name of the team.
    weight : float
        Weight of the team.
    tokens, weighted : float
        Tokens received within the window, and the same divided by the weight.
    backlogged : float
        Fraction of the window in which the team had a request waiting.
    """

    team: str
    weight: float
    tokens: float
    weighted: float
    backlogged: float


def join_executions(
    records: Iterable[CallRecord], ledgers: Iterable[Iterable[Execution]]
) -> tuple[MeasuredCall, ...]:
    """Return the calls, each with its executions from the ledgers."""
    executions_by_echo: defaultdict[str, list[Execution]] = defaultdict(list)
    now = time.time()
    for ledger in ledgers:
        for execution in ledger:
            if execution.started:
                executions_by_echo[execution.echo].append(_with_end(execution, now))
    for executions in executions_by_echo.values():
        executions.sort(key=lambda execution: execution.started)
    return tuple(
        MeasuredCall(record, tuple(executions_by_echo[record.echo]))
        for record in records
    )


def _with_end(execution: Execution, now: float) -> Execution:
    return replace(execution, finished=execution.finished or now)


class ServiceCurves:
    """Service and backlog of teams over time, on a grid of `GRID_STEP_SECONDS`.

    Parameters
    ----------
    calls : iterable of MeasuredCall
        Calls of one service.
    weights : mapping of str to float
        Weight of each team, by team name.
    window : Window
        Measured interval.
    """

    def __init__(
        self,
        calls: Iterable[MeasuredCall],
        weights: Mapping[str, float],
        window: Window,
    ) -> None:
        self._window = window
        self._weights = weights
        steps = window.step_count + 1
        increments = {team: [0.0] * (steps + 1) for team in weights}
        waiting_changes = {team: [0] * (steps + 1) for team in weights}
        for call in calls:
            team = call.record.team
            _add_interval(
                waiting_changes[team], window, call.record.sent, call.wait_ended_at
            )
            for execution in call.executions:
                _add_service(increments[team], window, execution)
        self._served_tokens = {
            team: list(accumulate(team_increments[:steps]))
            for team, team_increments in increments.items()
        }
        self._waiting = {
            team: list(accumulate(changes[:steps]))
            for team, changes in waiting_changes.items()
        }

    def services(self) -> tuple[TeamService, ...]:
        """Return the service of each team, most weighted service first."""
        services = [
            TeamService(
                team,
                weight,
                self._served_tokens[team][-1],
                self._served_tokens[team][-1] / weight,
                sum(map(bool, self._waiting[team])) / len(self._waiting[team]),
            )
            for team, weight in self._weights.items()
        ]
        return tuple(sorted(services, key=lambda service: -service.weighted))

    def largest_gaps(self) -> tuple[Gap, ...]:
        """Return the largest gap of each pair of teams, largest first."""
        gaps = (
            self._largest_pair_gap(*pair) for pair in combinations(self._weights, 2)
        )
        return tuple(sorted(gaps, key=lambda gap: -gap.tokens))

    def _largest_pair_gap(self, first: str, second: str) -> Gap:
        largest = Gap(0.0, first, second)
        low = high = None
        for step in range(self._window.step_count + 1):
            if not (self._waiting[first][step] and self._waiting[second][step]):
                low = high = None
                continue
            lead = self._lead(first, second, step)
            if low is None or lead < low[0]:
                low = (lead, step)
            if high is None or lead > high[0]:
                high = (lead, step)
            if high[0] - low[0] > largest.tokens:
                ahead, behind = (first, second) if high[1] > low[1] else (second, first)
                seconds = abs(high[1] - low[1]) * GRID_STEP_SECONDS
                largest = Gap(high[0] - low[0], ahead, behind, seconds)
        return largest

    def _lead(self, first: str, second: str, step: int) -> float:
        first_service = self._served_tokens[first][step] / self._weights[first]
        return first_service - self._served_tokens[second][step] / self._weights[second]


def utilisation(calls: Iterable[MeasuredCall], slots: int, window: Window) -> float:
    """Return the busy share of the slot-time while any request waits."""
    steps = window.step_count + 1
    busy_changes = [0] * (steps + 1)
    waiting_changes = [0] * (steps + 1)
    for call in calls:
        _add_interval(waiting_changes, window, call.record.sent, call.wait_ended_at)
        for execution in call.executions:
            _add_interval(busy_changes, window, execution.started, execution.finished)
    pairs = zip(
        accumulate(busy_changes[:steps]),
        accumulate(waiting_changes[:steps]),
        strict=True,
    )
    running = [count for count, waits in pairs if waits]
    return sum(running) / (slots * len(running)) if running else 1.0


def wait_percentiles(
    calls: Iterable[MeasuredCall], weights: Mapping[str, float], window: Window
) -> tuple[WaitPercentiles, ...]:
    """Return percentiles of the wait for the first execution, by kind and team size."""
    durations: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
    for call in calls:
        if call.executions and window.start <= call.record.sent <= window.end:
            large = weights[call.record.team] >= LARGE_TEAM_WEIGHT
            size = "large" if large else "small"
            key = (call.record.kind, size)
            durations[key].append(max(0.0, call.wait_ended_at - call.record.sent))
    return tuple(
        _percentiles_of(key, times) for key, times in sorted(durations.items())
    )


def _percentiles_of(key: tuple[str, str], times: Sequence[float]) -> WaitPercentiles:
    wait_histogram = make_histogram(times)
    percentiles = [
        wait_histogram.get_value_at_percentile(point) for point in (50, 95, 99)
    ]
    return WaitPercentiles(*key, len(times), *percentiles)


def _add_interval(changes: list[int], window: Window, start: float, end: float) -> None:
    changes[window.step_at(start)] += 1
    changes[window.step_at(end)] -= 1


def _add_service(increments: list[float], window: Window, execution: Execution) -> None:
    """Add the tokens of an execution to the grid, spread evenly over its duration."""
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
    for start, end in pairwise(edges):
        if end > start:
            share = (end - start) / length
            increments[window.step_at(end)] += share * execution.tokens
