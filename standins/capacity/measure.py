"""Timing of calls, least-squares slopes, and the report."""

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
        Section of the report.
    name : str
        Name of the measured quantity.
    value : float
        Measured value.
    unit : str
        Unit of the value.
    """

    section: str
    name: str
    value: float
    unit: str


def cpu_microseconds(call: Callable[[], Any], budget_seconds: float = 0.05) -> float:
    """Return the CPU time of a call: the smallest mean of `BATCHES` batches.

    Parameters
    ----------
    call : callable
        Function to time.
    budget_seconds : float
        Approximate total time of the batches.
    """
    started = time.perf_counter()
    call()
    call_seconds = max(time.perf_counter() - started, 1e-7)
    repeats = max(1, int(budget_seconds / BATCHES / call_seconds))
    best = float("inf")
    for _ in range(BATCHES):
        before = time.thread_time_ns()
        for _ in range(repeats):
            call()
        best = min(best, (time.thread_time_ns() - before) / repeats)
    return best / 1000


class Stopwatch:
    """Accumulates the CPU time of calls.

    Attributes
    ----------
    seconds : float
        CPU time accumulated so far.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    def time(self, call: Callable[..., Any], *args: Any) -> Any:
        """Run a call, add its CPU time and return its result."""
        before = time.thread_time_ns()
        result = call(*args)
        self.seconds += (time.thread_time_ns() - before) / 1e9
        return result


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the slope of the least-squares line through the points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    return covariance / variance


class Report:
    """Collects figures and prints each one when it is added."""

    def __init__(self) -> None:
        self.figures: list[Figure] = []
        self._section_name = ""

    def begin_section(self, name: str) -> None:
        """Start a section and print its name."""
        self._section_name = name
        print(f"\n{name}", flush=True)

    def add(self, name: str, value: float, unit: str) -> None:
        """Add a figure to the current section and print it."""
        self.figures.append(Figure(self._section_name, name, value, unit))
        print(f"  {name:<66} {value:>12,.2f} {unit}", flush=True)
