"""Timing of calls, lines through points, and the report."""

import time
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

BATCHES = 5
MICROSECONDS = 1e6


class Figure(msgspec.Struct, frozen=True):
    """One measured figure.

    Parameters
    ----------
    section : str
        Part of the measurement.
    name : str
        What was measured.
    value : float
        The figure.
    unit : str
        Its unit.
    """

    section: str
    name: str
    value: float
    unit: str


def cpu_microseconds(call: Callable[[], Any], budget_seconds: float = 0.05) -> float:
    """Return the processor time of a call, the least of some batches.

    Parameters
    ----------
    call : callable
        What to time.
    budget_seconds : float
        Time to spend on it.
    """
    started = time.perf_counter()
    call()
    once = max(time.perf_counter() - started, 1e-7)
    repeats = max(1, int(budget_seconds / BATCHES / once))
    best = float("inf")
    for _ in range(BATCHES):
        before = time.thread_time_ns()
        for _ in range(repeats):
            call()
        best = min(best, (time.thread_time_ns() - before) / repeats)
    return best / 1000


class Stopwatch:
    """Adds up processor time of calls of one kind.

    Attributes
    ----------
    seconds : float
        Time so far.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    def time(self, call: Callable[..., Any], *args: Any) -> Any:
        """Call, add the time and return what the call returned."""
        before = time.thread_time_ns()
        result = call(*args)
        self.seconds += (time.thread_time_ns() - before) / 1e9
        return result


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line through points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    below = sum((x - mean_x) ** 2 for x, _ in points)
    return above / below


class Report:
    """Collects figures and prints them as they come."""

    def __init__(self) -> None:
        self.figures: list[Figure] = []
        self._section = ""

    def begin_section(self, name: str) -> None:
        """Begin a section."""
        self._section = name
        print(f"\n{name}", flush=True)

    def add(self, name: str, value: float, unit: str) -> None:
        """Add a figure to the section."""
        self.figures.append(Figure(self._section, name, value, unit))
        print(f"  {name:<66} {value:>12,.2f} {unit}", flush=True)
