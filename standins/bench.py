"""Bench: runs the same work with each policy on a fleet of real processes."""

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
_EXPECTED_VERDICTS = {Verdict.WHOLE.value, Verdict.PENDING.value}
POLICY_ORDER = ("fcfs", "static", "gossip", "fair")


class BenchReport(msgspec.Struct, frozen=True):
    """Report of one run of the bench.

    Parameters
    ----------
    command : str
        Command line that started the bench.
    at : str
        Time at which the bench ended, UTC.
    processors : int
        CPU count of the machine.
    load_average : float
        One-minute load average at the end; includes other work on the machine.
    runs : tuple of RunReport
        One report for each preset, case and policy.
    """

    command: str
    at: str
    processors: int
    load_average: float
    runs: tuple[RunReport, ...]


def format_table(runs: tuple[RunReport, ...]) -> list[str]:
    """Return the main figures of the runs as lines of a Markdown table."""
    lines = [
        "| preset | case | policy | gap | bound | worst gap over bound | busy "
        "| p95 wait small / large, s "
        "| control B/s a VM | between regions B/s | messages/s | not whole |",
        "|---|---|---|---|---|---|---|---|---|---|---|---|",
    ]
    for run in runs:
        not_whole = sum(
            count
            for verdict, count in run.verdicts.items()
            if verdict not in _EXPECTED_VERDICTS
        )
        lines.append(
            f"| {run.preset} | {run.case} | {run.policy} | {run.gap.tokens:,.0f} "
            f"| {run.bound:,.0f} | {run.worst_ratio:.2f} | {run.utilisation:.1%} "
            f"| {max_p95_wait_seconds(run, 'small'):.1f} "
            f"/ {max_p95_wait_seconds(run, 'large'):.1f} "
            f"| {run.control.mean_vm_bytes_per_second:,.0f} "
            f"| {run.control.cross_region_bytes_per_second:,.0f} "
            f"| {run.control.messages_per_second:,.0f} | {not_whole} |"
        )
    return lines


def measure_case(cfg: FleetConfig, name: str, seconds: float) -> RunReport:
    """Start a fleet, run one case on it and stop the fleet."""
    case = CASES[name]
    with Fleet(_configure_for_case(cfg, case)) as fleet:
        loads = case.loads(fleet.addresses)
        action_runner = ActionRunner(fleet, case, seconds)
        result = run_experiment(
            fleet, loads, cfg.seed, seconds, name, action_runner, drain=False
        )
    finished = [call for call in result.records if call.verdict is not Verdict.PENDING]
    for line in describe_failures(finished):
        print(f"    {line}")
    return result.report


def _configure_for_case(cfg: FleetConfig, case: Case) -> FleetConfig:
    return replace(
        cfg, weights=tuple(case.weights.items()), one_entry=case.single_entry
    )


def main() -> int:
    """Run the selected presets, cases and policies and write the report."""
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
    _write_report(tuple(runs), flags.out)
    return 0


def _write_report(runs: tuple[RunReport, ...], out: Path) -> None:
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
