"""Bench: the same work through each policy on a fleet of real processes."""

import argparse
import os
import shlex
import sys
import time
from dataclasses import replace
from pathlib import Path

import msgspec

from oleandershift.policies import POLICIES
from standins.calls import Verdict
from standins.cases import CASES, ActionRunner, Case
from standins.experiment import RunReport, run_experiment
from standins.fleet import Fleet, FleetConfig, FleetError, add_fleet_flags
from standins.load import describe_failures
from standins.picture import max_p95_wait_seconds, render_svg
from standins.presets import PRESETS
from standins.processes import exit_on_signals

REPORT_NAME = "report.json"
PICTURE_NAME = "report.svg"
_IN_ORDER = {Verdict.WHOLE.value, Verdict.PENDING.value}
POLICY_ORDER = ("fcfs", "static", "gossip", "fair")


class BenchReport(msgspec.Struct, frozen=True):
    """Everything that one bench measured.

    Parameters
    ----------
    command : str
        How it was started.
    at : str
        When it ended.
    processors : int
        Of the machine.
    load_average : float
        Over the last minute at the end, other work on the machine included.
    runs : tuple of RunReport
        One for each preset, case and policy.
    """

    command: str
    at: str
    processors: int
    load_average: float
    runs: tuple[RunReport, ...]


def format_table(runs: tuple[RunReport, ...]) -> list[str]:
    """Return the main figures as a table in Markdown."""
    lines = [
        "| preset | case | policy | gap | bound | worst gap over bound | busy "
        "| p95 wait small / large, s "
        "| control B/s a VM | between regions B/s | messages/s | not whole |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for one in runs:
        others = sum(n for what, n in one.verdicts.items() if what not in _IN_ORDER)
        lines.append(
            f"| {one.preset} | {one.case} | {one.policy} | {one.gap.tokens:,.0f} "
            f"| {one.bound:,.0f} | {one.worst_ratio:.2f} | {one.utilisation:.1%} "
            f"| {max_p95_wait_seconds(one, 'small'):.1f} "
            f"/ {max_p95_wait_seconds(one, 'large'):.1f} "
            f"| {one.control.mean_vm_bytes_per_second:,.0f} "
            f"| {one.control.cross_region_bytes_per_second:,.0f} "
            f"| {one.control.messages_per_second:,.0f} | {others} |"
        )
    return lines


def measure_case(cfg: FleetConfig, name: str, seconds: float) -> RunReport:
    """Start a fleet, run one case on it and stop it."""
    case = CASES[name]
    with Fleet(_adapted(cfg, case)) as fleet:
        loads = case.loads(fleet.addresses)
        harm = ActionRunner(fleet, case, seconds)
        outcome = run_experiment(
            fleet, loads, cfg.seed, seconds, name, harm, drain=False
        )
    ended = [one for one in outcome.records if one.verdict is not Verdict.PENDING]
    for line in describe_failures(ended):
        print(f"    {line}")
    return outcome.report


def _adapted(cfg: FleetConfig, case: Case) -> FleetConfig:
    return replace(
        cfg, weights=tuple(case.weights.items()), one_entry=case.single_entry
    )


def main() -> int:
    """Run the bench."""
    parser = argparse.ArgumentParser("standins.bench", description=__doc__)
    add_fleet_flags(parser)
    parser.add_argument("--preset", choices=sorted(PRESETS), action="append")
    parser.add_argument("--policy", choices=sorted(POLICIES), action="append")
    parser.add_argument("--case", choices=sorted(CASES), action="append")
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--out", type=Path, default=Path("out/bench"))
    flags = parser.parse_args()
    exit_on_signals()
    runs = []
    for preset in flags.preset or sorted(PRESETS, reverse=True):
        for name in flags.case or ["backlog"]:
            for policy in flags.policy or POLICY_ORDER:
                cfg = FleetConfig(
                    preset=preset,
                    policy=policy,
                    net=flags.net,
                    seed=flags.seed,
                    log_level=flags.log_level,
                    out=flags.out / f"{preset}-{name}-{policy}",
                )
                print(
                    f"{preset}, {name}, {policy}: {CASES[name].description}", flush=True
                )
                try:
                    runs.append(measure_case(cfg, name, flags.seconds))
                except FleetError as exc:
                    print(exc)
                    return 1
                print(format_table((runs[-1],))[-1], flush=True)
    _write(tuple(runs), flags.out)
    return 0


def _write(runs: tuple[RunReport, ...], out: Path) -> None:
    report = BenchReport(
        command=shlex.join(["python", "-m", "standins.bench", *sys.argv[1:]]),
        at=time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        processors=os.cpu_count() or 0,
        load_average=os.getloadavg()[0],
        runs=runs,
    )
    path = out / REPORT_NAME
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    (out / PICTURE_NAME).write_text(render_svg(runs), encoding="utf-8")
    print("\n".join(format_table(runs)))
    print(f"{path} and {out / PICTURE_NAME}")


if __name__ == "__main__":
    raise SystemExit(main())
