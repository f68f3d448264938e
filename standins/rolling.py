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
SETTLE_SECONDS = 0.2
DEFAULT_SUBNET = "127.22"
SUBNET_COUNT = 250


@dataclass(frozen=True)
class RollingReport:
    """What came out.

    Parameters
    ----------
    calls : int
        Calls made.
    failures : Counter of str
        Calls without a whole answer, by what was seen.
    exit_codes : tuple of int or None
        Exit codes of the stopped processes.
    seconds : float
        Duration.
    """

    calls: int
    failures: Counter[str]
    exit_codes: tuple[int | None, ...]
    seconds: float


def run(ip: str, out: Path, vms: int, seed: int, policy: str = "fair") -> RollingReport:
    """Restart every VM in turn while callers go on."""
    done = threading.Event()
    exits: list[int | None] = []
    with SoakFleet(ip, out, policy, vms, GRACE_SECONDS) as fleet:
        balancer = Balancer(fleet.router_urls)
        began = time.monotonic()
        balancer.start()
        with ThreadPoolExecutor(CALLERS) as pool:
            callers = [
                pool.submit(send_calls_until, balancer, seed * CALLERS + number, done)
                for number in range(CALLERS)
            ]
            try:
                for number in range(vms):
                    exits += fleet.restart_vm(number)
                    time.sleep(SETTLE_SECONDS)
            finally:
                done.set()
                balancer.stop()
        records = [one.record for caller in callers for one in caller.result()]
    failed = (one for one in records if one.outcome is not CallOutcome.COMPLETE)
    failures = Counter(
        f"{one.outcome.value} {one.status} {one.detail}" for one in failed
    )
    seconds = time.monotonic() - began
    return RollingReport(len(records), failures, tuple(exits), seconds)


def main(argv: Sequence[str] | None = None) -> int:
    """Run a rolling restart and print what came out."""
    parser = argparse.ArgumentParser("standins.rolling", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--vms", type=int, default=DEFAULT_VMS)
    parser.add_argument("--net", default=DEFAULT_SUBNET, help="loopback subnet, 127.x")
    parser.add_argument("--out", type=Path, default=Path("out/rolling"))
    parser.add_argument("--policy", default="fair")
    given = parser.parse_args(argv)
    exit_on_signals()
    ip = f"{given.net}.{os.getpid() % SUBNET_COUNT}.4"
    report = run(ip, given.out, given.vms, given.seed, given.policy)
    print(f"{report.calls} calls in {report.seconds:.1f} s, {given.vms} VMs restarted")
    print(f"exit codes {Counter(report.exit_codes)}")
    print(f"{report.failures.total()} failures {dict(report.failures)}")
    return 1 if report.failures or set(report.exit_codes) != {0} else 0


if __name__ == "__main__":
    sys.exit(main())
