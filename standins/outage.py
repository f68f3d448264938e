"""What is served, refused and lost while the platform or a router is out."""

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
    """A time with one thing out.

    Parameters
    ----------
    name : str
        For the report.
    started_at : float
        Monotonic instant.
    """

    name: str
    started_at: float


@dataclass(frozen=True)
class OutageReport:
    """What came out.

    Parameters
    ----------
    outcomes : dict of str to Counter of str
        By phase in which a call was sent: what callers saw.
    violations : tuple of str
        What must not happen and did.
    """

    outcomes: dict[str, Counter[str]]
    violations: tuple[str, ...]


def _run_phases(fleet: SoakFleet, away_seconds: float) -> list[Phase]:
    phases: list[Phase] = []

    def phase(name: str, seconds: float, begin: Callable[[], None]) -> None:
        phases.append(Phase(name, time.monotonic()))
        begin()
        time.sleep(seconds)

    def platform(faults: PlatformFaults) -> Callable[[], None]:
        return lambda: fleet.set_platform_faults(faults)

    well = platform(PlatformFaults())
    phase("1 all well", NORMAL_PHASE_SECONDS, well)
    closed = platform(PlatformFaults(outage=Outage.CLOSED))
    phase("2 platform away", away_seconds, closed)
    phase("3 all well", NORMAL_PHASE_SECONDS, well)
    slow = platform(PlatformFaults(slow_seconds=SLOW_CALL_SECONDS))
    phase(f"4 platform takes {SLOW_CALL_SECONDS:.0f} s a call", away_seconds, slow)
    phase("5 all well", NORMAL_PHASE_SECONDS, well)
    phase("6 router frozen", NORMAL_PHASE_SECONDS, lambda: fleet.freeze_router(0))
    phase(
        "7 router killed",
        NORMAL_PHASE_SECONDS,
        lambda: fleet.kill_and_restart_router(1),
    )
    phase("8 all well", NORMAL_PHASE_SECONDS, well)
    return phases


def _count(phases: list[Phase], records: list[TimedRecord]) -> dict[str, Counter[str]]:
    seen: dict[str, Counter[str]] = {phase.name: Counter() for phase in phases}
    for one in records:
        began = [phase for phase in phases if phase.started_at <= one.sent_at]
        record = one.record
        summary = f"{record.call.kind.value} {record.outcome.value} {record.detail}"
        seen[(began or phases)[-1].name][summary.strip()] += 1
    return seen


def run(ip: str, out: Path, away_seconds: float, seed: int) -> OutageReport:
    """Go through the phases while callers go on."""
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
            phases = _run_phases(fleet, away_seconds)
        finally:
            done.set()
            balancer.stop()
        records = [one for caller in callers for one in caller.result()]
        executions = fleet.executions()
    violations = find_violations([one.record for one in records], executions)
    return OutageReport(_count(phases, records), violations)


def main() -> int:
    """Run the phases and print what came out."""
    parser = argparse.ArgumentParser("standins.outage", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--away-seconds", type=float, default=DEFAULT_OUTAGE_SECONDS)
    parser.add_argument("--net", default=DEFAULT_SUBNET, help="loopback subnet, 127.x")
    parser.add_argument("--out", type=Path, default=Path("out/outage"))
    given = parser.parse_args()
    exit_on_signals()
    ip = f"{given.net}.{os.getpid() % SUBNET_COUNT}.6"
    report = run(ip, given.out, given.away_seconds, given.seed)
    for phase, seen in report.outcomes.items():
        print(phase)
        for what, count in sorted(seen.items()):
            print(f"    {count:6} {what}")
    print(f"{len(report.violations)} violations")
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
