"""Demonstration: runs a local fleet under mixed load and prints each team's service."""

import argparse
from collections.abc import Sequence
from pathlib import Path

from oleandershift.policies import POLICIES
from oleandershift.rendering import render_html
from oleandershift.timeline import Filter, Timeline
from standins.calls import CallRecord, Verdict
from standins.experiment import RunReport, RunResult, run_experiment
from standins.fleet import Fleet, FleetConfig, FleetError, add_fleet_flags
from standins.load import backlogged_loads, count_verdicts, describe_failures
from standins.presets import PRESETS
from standins.processes import exit_on_signals
from standins.workload import RequestMix

PROGRESS_INTERVAL_SECONDS = 5.0
SPARE_CALLERS = 8
PLAIN_SHARE = 0.1
TIMELINE_PAGE_NAME = "timeline.html"


class _Progress:
    """Prints the progress of a run every `PROGRESS_INTERVAL_SECONDS`."""

    def __init__(self) -> None:
        self._next_at = 0.0

    def __call__(self, seconds: float, records: tuple[CallRecord, ...]) -> None:
        if seconds < self._next_at:
            return
        self._next_at += PROGRESS_INTERVAL_SECONDS
        whole = count_verdicts(records)[Verdict.WHOLE]
        print(
            f"  {seconds:4.0f} s: {whole} of {len(records)} answers whole", flush=True
        )


def format_report(report: RunReport) -> list[str]:
    """Return the figures of a run as lines of text."""
    lines = [
        f"{'team':18}{'weight':>7}{'tokens':>9}{'over weight':>13}{'backlogged':>12}"
    ]
    for team in report.teams:
        lines.append(
            f"{team.team:18}{team.weight:7.1f}{team.tokens:9.0f}"
            f"{team.weighted:13.0f}{team.backlogged:12.0%}"
        )
    gap, traffic = report.gap, report.control
    lines += [
        f"largest gap      {gap.tokens:.0f} weighted tokens "
        f"({gap.ahead} ahead of {gap.behind}, over {gap.seconds:.0f} s)",
        f"utilisation      {report.utilisation:.1%} of slot-time while work waits",
        f"control traffic  {traffic.mean_vm_bytes_per_second:.0f} B/s a VM, "
        f"{traffic.cross_region_bytes_per_second:.0f} B/s between regions, "
        f"{traffic.messages_per_second:.0f} messages/s",
    ]
    return lines


def write_timeline_page(logs: Path, page: Path) -> int:
    """Write the timeline page of a log directory; return the number of events."""
    timeline = Timeline()
    for log in sorted(logs.glob("*.jsonl")):
        with log.open("rb") as lines:
            timeline.add_lines(lines)
    events = timeline.events(Filter("", "", "", ""))
    page.write_text(render_html(events, timeline.faults), encoding="utf-8")
    return len(events)


def _print_result(result: RunResult, out: Path) -> None:
    for line in format_report(result.report):
        print(line)
    page = out / TIMELINE_PAGE_NAME
    events = write_timeline_page(out / "logs", page)
    print(f"time line        {page} ({events} events)")
    counts = count_verdicts(result.records)
    print(f"answers          {counts[Verdict.WHOLE]} of {len(result.records)} whole")
    for line in describe_failures(result.records):
        print(line)


def _all_whole(records: Sequence[CallRecord]) -> bool:
    return count_verdicts(records)[Verdict.WHOLE] == len(records) > 0


def main() -> int:
    """Run the demonstration; return 0 if every response is complete."""
    parser = argparse.ArgumentParser("standins.demo", description=__doc__)
    add_fleet_flags(parser)
    parser.add_argument("--preset", choices=sorted(PRESETS), default="kyushu")
    parser.add_argument("--policy", choices=sorted(POLICIES), default="fair")
    parser.add_argument("--out", type=Path, default=Path("out/demo"))
    parser.add_argument("--seconds", type=float, default=26.0)
    flags = vars(parser.parse_args())
    seconds = flags.pop("seconds")
    cfg = FleetConfig(**flags)
    exit_on_signals()
    print("starting 9 VMs in 3 regions, 9 upstreams and a platform", flush=True)
    try:
        with Fleet(cfg) as fleet:
            print(f"ready; load for {seconds:.0f} s, policy {cfg.policy}", flush=True)
            loads = backlogged_loads(
                fleet.addresses, RequestMix(plain=PLAIN_SHARE), SPARE_CALLERS
            )
            result = run_experiment(
                fleet, loads, cfg.seed, seconds, "demo", _Progress()
            )
    except FleetError as exc:
        print(exc)
        return 1
    _print_result(result, cfg.out)
    return 0 if _all_whole(result.records) else 1


if __name__ == "__main__":
    raise SystemExit(main())
