"""Runs emulations with several values of a threshold, over loads and seeds.

python -m standins.sweep shedding.SHARE_PATIENCE 0.5 0.65 0.8 --picture sweep.svg
"""

import argparse
import importlib
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

from standins.deployments import DEPLOYMENTS
from standins.emulator import Emulation
from standins.value import Value, value_of

DEFAULT_LOAD_FACTORS = (0.55, 1.0)
"""Calm and heavy days, as fractions of the load on the deployment sheets."""

DEFAULT_SEEDS = (1, 2, 3)
DEFAULT_SECONDS = 24.0
"""Duration that includes all default surges."""

DEFAULT_JOBS = 3


@dataclass(frozen=True)
class Threshold:
    """A constant that the gateways' decisions use.

    Parameters
    ----------
    module, name : str
        Module within `oleandershift` and name of the constant.
    """

    module: str
    name: str

    def set(self, value: float) -> None:
        """Set the constant in this process."""
        setattr(self._import_module(), self.name, value)

    def exists(self) -> bool:
        """Return whether the module has a number of that name."""
        try:
            value = getattr(self._import_module(), self.name, None)
        except ModuleNotFoundError:
            return False
        return isinstance(value, int | float)

    def _import_module(self) -> object:
        return importlib.import_module(f"oleandershift.{self.module}")


@dataclass(frozen=True)
class Trial:
    """One run of a sweep.

    Parameters
    ----------
    threshold : Threshold
        The threshold to vary.
    value : float
        Value of the threshold.
    deployment : str
        Name of the deployment.
    load : float
        Fraction of the load on the deployment sheet.
    seed : int
        Seed of the emulation.
    seconds : float
        Duration of the load in seconds.
    """

    threshold: Threshold
    value: float
    deployment: str
    load: float
    seed: int
    seconds: float


@dataclass(frozen=True)
class Cell:
    """Results for one value of the threshold and one load.

    Parameters
    ----------
    value : float
        Value of the threshold.
    deployment : str
        Name of the deployment.
    load : float
        Fraction of the load on the deployment sheet.
    results : tuple of Value
        Result for each seed.
    """

    value: float
    deployment: str
    load: float
    results: tuple[Value, ...]

    @property
    def index(self) -> float:
        """Mean index over the seeds."""
        return mean(result.index for result in self.results)


def run_trial(trial: Trial) -> Value:
    """Run one trial; it changes the threshold for the rest of the process."""
    trial.threshold.set(trial.value)
    deployment = DEPLOYMENTS[trial.deployment].scaled(trial.load)
    return value_of(Emulation(deployment, trial.seed, trial.seconds).run())


def sweep(trials: Sequence[Trial], jobs: int) -> list[Cell]:
    """Run each trial in a new process and group the results by value and load."""
    with ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        values = list(pool.map(run_trial, trials))
    grouped: dict[tuple[float, str, float], list[Value]] = {}
    for trial, value in zip(trials, values, strict=True):
        key = trial.value, trial.deployment, trial.load
        grouped.setdefault(key, []).append(value)
    return [Cell(*key, tuple(results)) for key, results in grouped.items()]


def format_table(cells: Sequence[Cell]) -> str:
    """Return the cells as a text table."""
    lines = ["   value  deployment  load  index  whole  teams windows   kind rereads"]
    for cell in cells:
        parts = [
            mean(getattr(result, part) for result in cell.results)
            for part in ("index", "whole", "teams", "windows", "kind", "rereads")
        ]
        figures = "".join(f"{part:7.3f}" for part in parts)
        lines.append(f"{cell.value:8g}  {cell.deployment:10}  {cell.load:4g}{figures}")
    return "\n".join(lines)


def plot_index(cells: Sequence[Cell], name: str, path: Path) -> None:
    """Plot the index against the threshold, with a line for each load."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(7, 4), layout="constrained")
    axes = figure.subplots()
    for deployment, load in sorted({(cell.deployment, cell.load) for cell in cells}):
        matching = [c for c in cells if (c.deployment, c.load) == (deployment, load)]
        indexes = [[result.index for result in cell.results] for cell in matching]
        axes.errorbar(
            [cell.value for cell in matching],
            [mean(values) for values in indexes],
            yerr=[
                [mean(values) - min(values) for values in indexes],
                [max(values) - mean(values) for values in indexes],
            ],
            marker="o",
            capsize=3,
            label=f"{deployment}, load factor {load:g}",
        )
    axes.set_xlabel(name)
    axes.set_ylabel("earned / owed value minus rereads")
    axes.set_title(f"Sweep of {name}: mean, minimum and maximum over seeds")
    axes.grid(alpha=0.3)
    axes.legend()
    figure.savefig(path)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sweep",
        description=__doc__,
        epilog="example: python -m standins.sweep shedding.SHARE_PATIENCE 0.5 0.65 0.8",
    )
    parser.add_argument("threshold", help="constant as MODULE.NAME")
    parser.add_argument("values", nargs="+", type=float, help="values of the constant")
    parser.add_argument(
        "--deployment", nargs="+", choices=DEPLOYMENTS, default=list(DEPLOYMENTS)
    )
    parser.add_argument("--load", nargs="+", type=float, default=DEFAULT_LOAD_FACTORS)
    parser.add_argument("--seeds", nargs="+", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--picture", type=Path, help="file for the plot")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run a sweep and print its results."""
    parser = _parser()
    args = parser.parse_args(argv)
    module, _, name = args.threshold.rpartition(".")
    threshold = Threshold(module, name)
    if not threshold.exists():
        parser.error(f"oleandershift has no constant {args.threshold!r}")
    trials = [
        Trial(threshold, value, deployment, load, seed, args.seconds)
        for value in args.values
        for deployment in args.deployment
        for load in args.load
        for seed in args.seeds
    ]
    cells = sweep(trials, args.jobs)
    print(format_table(cells))
    if args.picture is not None:
        plot_index(cells, args.threshold, args.picture)
    return 0


if __name__ == "__main__":
    sys.exit(main())
