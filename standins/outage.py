"""Outcomes of calls while the platform is unavailable or a router fails."""

import argparse
import os
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from standins.balancer import Balancer
from standins.platform import Outage, PlatformFaults
from standins.processes import exit_on_signals
from standins.soak import find_violations
from standins.soak_fleet import SoakFleet
from standins.steady import TimedRecord, send_calls_until

VMS = 3
CALLERS = 12
NORMAL_PHASE_SECONDS = 4.0
DEFAULT_OUTAGE_SECONDS = 10.0
SLOW_CALL_SECONDS = 5.0
CLAIM_TIMEOUT_SECONDS = 6.0
DEFAULT_SUBNET = "127.22"
SUBNET_COUNT = 250


@dataclass(frozen=True)
class Phase:
    """A phase of the run, with one component failing or none.

    Parameters
    ----------
    name : str
        Name in the report.
    started_at : float
        Monotonic time of its start.
    """

    name: str
    started_at: float


@dataclass(frozen=True)
class OutageReport:
    """Result of a run.

    Parameters
    ----------
    outcomes : dict of str to Counter of str
        Number of calls by outcome, for the phase in which they were sent.
    violations : tuple of str
        Description of every violated guarantee.
    """

    outcomes: dict[str, Counter[str]]
    violations: tuple[str, ...]


def _run_phases(fleet: SoakFleet, outage_seconds: float) -> list[Phase]:
    phases: list[Phase] = []

    def run_phase(name: str, seconds: float, inject: Callable[[], None]) -> None:
        phases.append(Phase(name, time.monotonic()))
        inject()
        time.sleep(seconds)

    def fault_setter(faults: PlatformFaults) -> Callable[[], None]:
        return lambda: fleet.set_platform_faults(faults)

    healthy = fault_setter(PlatformFaults())
    run_phase("1 all well", NORMAL_PHASE_SECONDS, healthy)
    closed = fault_setter(PlatformFaults(outage=Outage.CLOSED))
    run_phase("2 platform away", outage_seconds, closed)
    run_phase("3 all well", NORMAL_PHASE_SECONDS, healthy)
    slow = fault_setter(PlatformFaults(slow_seconds=SLOW_CALL_SECONDS))
    run_phase(
        f"4 platform takes {SLOW_CALL_SECONDS:.0f} s a call", outage_seconds, slow
    )
    run_phase("5 all well", NORMAL_PHASE_SECONDS, healthy)
    run_phase("6 router frozen", NORMAL_PHASE_SECONDS, lambda: fleet.freeze_router(0))
    run_phase(
        "7 router killed",
        NORMAL_PHASE_SECONDS,
        lambda: fleet.kill_and_restart_router(1),
    )
    run_phase("8 all well", NORMAL_PHASE_SECONDS, healthy)
    return phases


def _count_outcomes(
    phases: list[Phase], records: list[TimedRecord]
) -> dict[str, Counter[str]]:
    outcomes: dict[str, Counter[str]] = {phase.name: Counter() for phase in phases}
    for timed in records:
        started = [phase for phase in phases if phase.started_at <= timed.sent_at]
        record = timed.record
        summary = f"{record.call.kind.value} {record.outcome.value} {record.detail}"
        outcomes[(started or phases)[-1].name][summary.strip()] += 1
    return outcomes


def run(ip: str, out: Path, outage_seconds: float, seed: int) -> OutageReport:
    """Run all phases under load."""
    done = threading.Event()
    fleet = SoakFleet(ip, out, "fair", VMS, claim_seconds=CLAIM_TIMEOUT_SECONDS)
    with fleet, ThreadPoolExecutor(CALLERS) as pool:
        balancer = Balancer(fleet.router_urls)
        balancer.start()
        callers = [
            pool.submit(send_calls_until, balancer, seed * CALLERS + number, done)
            for number in range(CALLERS)
        ]
        try:
            phases = _run_phases(fleet, outage_seconds)
        finally:
            done.set()
            balancer.stop()
        records = [timed for caller in callers for timed in caller.result()]
        executions = fleet.executions()
    violations = find_violations([timed.record for timed in records], executions)
    return OutageReport(_count_outcomes(phases, records), violations)


def main() -> int:
    """Run all phases and print the outcomes of each."""
    parser = argparse.ArgumentParser("standins.outage", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--away-seconds", type=float, default=DEFAULT_OUTAGE_SECONDS)
    parser.add_argument("--net", default=DEFAULT_SUBNET, help="loopback subnet, 127.x")
    parser.add_argument("--out", type=Path, default=Path("out/outage"))
    args = parser.parse_args()
    exit_on_signals()
    ip = f"{args.net}.{os.getpid() % SUBNET_COUNT}.6"
    report = run(ip, args.out, args.away_seconds, args.seed)
    for phase, outcomes in report.outcomes.items():
        print(phase)
        for outcome, count in sorted(outcomes.items()):
            print(f"    {count:6} {outcome}")
    print(f"{len(report.violations)} violations")
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
