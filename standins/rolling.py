"""Rolling restart of every VM under load: no request may fail."""

import argparse
import os
import sys
import threading
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from standins.balancer import Balancer
from standins.processes import exit_on_signals
from standins.soak_calls import CallOutcome
from standins.soak_fleet import SoakFleet
from standins.steady import send_calls_until

DEFAULT_VMS = 9
CALLERS = 12
GRACE_SECONDS = 1.0
CLAIM_SECONDS = 6.0
IDLE_SECONDS = 60.0
SETTLE_SECONDS = 0.2
DEFAULT_SUBNET = "127.22"
SUBNET_COUNT = 250


@dataclass(frozen=True)
class RollingReport:
    """Result of a rolling restart.

    Parameters
    ----------
    calls : int
        Number of calls.
    failures : Counter of str
        Number of calls without a complete response, by outcome, status and detail.
    exit_codes : tuple of int or None
        Exit codes of the stopped processes.
    seconds : float
        Duration in seconds.
    """

    calls: int
    failures: Counter[str]
    exit_codes: tuple[int | None, ...]
    seconds: float


def run(ip: str, out: Path, vms: int, seed: int, policy: str = "fair") -> RollingReport:
    """Restart one VM after another under load."""
    done = threading.Event()
    exit_codes: list[int | None] = []
    with SoakFleet(
        ip, out, policy, vms, GRACE_SECONDS, CLAIM_SECONDS, IDLE_SECONDS
    ) as fleet:
        balancer = Balancer(fleet.router_urls)
        started_at = time.monotonic()
        balancer.start()
        with ThreadPoolExecutor(CALLERS) as pool:
            callers = [
                pool.submit(send_calls_until, balancer, seed * CALLERS + number, done)
                for number in range(CALLERS)
            ]
            try:
                for number in range(vms):
                    exit_codes += fleet.restart_vm(number)
                    time.sleep(SETTLE_SECONDS)
            finally:
                done.set()
                balancer.stop()
        records = [call.record for caller in callers for call in caller.result()]
    failed = (call for call in records if call.outcome is not CallOutcome.COMPLETE)
    failures = Counter(
        f"{call.outcome.value} {call.status} {call.detail}" for call in failed
    )
    seconds = time.monotonic() - started_at
    return RollingReport(len(records), failures, tuple(exit_codes), seconds)


def main(argv: Sequence[str] | None = None) -> int:
    """Run a rolling restart and print its result."""
    parser = argparse.ArgumentParser("standins.rolling", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=DEFAULT_VMS)
    parser.add_argument("--net", default=DEFAULT_SUBNET, help="loopback subnet, 127.x")
    parser.add_argument("--out", type=Path, default=Path("out/rolling"))
    parser.add_argument("--policy", default="fair")
    args = parser.parse_args(argv)
    exit_on_signals()
    ip = f"{args.net}.{os.getpid() % SUBNET_COUNT}.4"
    report = run(ip, args.out, args.vms, args.seed, args.policy)
    print(f"{report.calls} calls in {report.seconds:.1f} s, {args.vms} VMs restarted")
    print(f"exit codes {Counter(report.exit_codes)}")
    print(f"{report.failures.total()} failures {dict(report.failures)}")
    return 1 if report.failures or set(report.exit_codes) != {0} else 0


if __name__ == "__main__":
    sys.exit(main())
