"""Soak test: random calls under random faults, checked against upstream ledgers."""

import argparse
import os
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from standins.faulty import Execution
from standins.processes import exit_on_signals
from standins.soak_calls import (
    CallKind,
    CallOutcome,
    SoakClient,
    SoakRecord,
    generate_calls,
)
from standins.soak_fleet import SoakFleet

DEFAULT_REQUESTS = 10_000
CALLERS = 48
MIN_FAULT_INTERVAL_SECONDS = 0.02
MAX_FAULT_INTERVAL_SECONDS = 0.2
DEFAULT_SUBNET = "127.22"
SUBNET_COUNT = 250


@dataclass(frozen=True)
class SoakConfig:
    """Settings of a soak test.

    Parameters
    ----------
    seed : int
        Seed of the calls and faults.
    requests : int
        Number of calls.
    ip : str
        Loopback address of all processes.
    out : Path
        Directory of the logs.
    policy : str
        Scheduling policy of the routers.
    """

    seed: int
    requests: int
    ip: str
    out: Path
    policy: str = "fair"


@dataclass(frozen=True)
class SoakReport:
    """Result of a soak test.

    Parameters
    ----------
    outcomes : Counter of str
        Number of calls by kind and outcome.
    faults : Counter of str
        Number of injected faults by description.
    executions : int
        Number of executions in the upstreams' ledgers.
    violations : tuple of str
        Description of every violated guarantee.
    seconds : float
        Duration of the load in seconds.
    """

    outcomes: Counter[str]
    faults: Counter[str]
    executions: int
    violations: tuple[str, ...]
    seconds: float


def find_violations(
    records: Sequence[SoakRecord], executions: Sequence[Execution]
) -> tuple[str, ...]:
    """Return a description of every violated guarantee.

    No charge is executed twice, no request with the outcome `not-run` is executed, and
    no truncated response or response to another request is passed on as complete.
    """
    executions_by_request = Counter(
        execution.tag.split("/")[0] for execution in executions
    )
    executions_by_charge = Counter(
        execution.key for execution in executions if execution.key
    )
    violations = [
        f"charge {key} was executed {count} times"
        for key, count in executions_by_charge.items()
        if count > 1
    ]
    for record in records:
        if record.outcome is CallOutcome.WRONG:
            violations.append(f"{record.request_id}: wrong response {record.detail}")
        if (
            record.outcome is CallOutcome.NOT_RUN
            and executions_by_request[record.request_id]
        ):
            violations.append(f"{record.request_id}: reported as not run, but executed")
    return tuple(
        violations + _charges_reported_as_not_run(records, executions_by_charge)
    )


def _charges_reported_as_not_run(
    records: Sequence[SoakRecord], executions_by_charge: Counter[str]
) -> list[str]:
    outcomes_by_charge: dict[str, set[CallOutcome]] = {}
    for record in records:
        if record.call.kind is CallKind.CHARGE:
            outcomes_by_charge.setdefault(record.call.echo, set()).add(record.outcome)
    return [
        f"charge {key} was executed, but all its calls were reported as not run"
        for key, outcomes in outcomes_by_charge.items()
        if outcomes == {CallOutcome.NOT_RUN} and executions_by_charge[key]
    ]


def _summary(record: SoakRecord) -> str:
    summary = f"{record.call.kind.value} {record.outcome.value}"
    return (
        summary if record.outcome is CallOutcome.WRONG else f"{summary} {record.detail}"
    )


def run(cfg: SoakConfig) -> SoakReport:
    """Run a soak test."""
    rng = random.Random(cfg.seed)
    faults: Counter[str] = Counter()
    done = threading.Event()
    with SoakFleet(cfg.ip, cfg.out, cfg.policy) as fleet:
        calls = generate_calls(rng, cfg.requests, fleet.router_urls)

        def inject() -> None:
            fault_rng = random.Random(cfg.seed + 1)
            while not done.wait(
                fault_rng.uniform(
                    MIN_FAULT_INTERVAL_SECONDS, MAX_FAULT_INTERVAL_SECONDS
                )
            ):
                faults[fleet.inject_fault(fault_rng)] += 1

        injector = threading.Thread(target=inject)
        started_at = time.monotonic()
        injector.start()
        try:
            with ThreadPoolExecutor(CALLERS) as pool:
                records = list(pool.map(SoakClient().send, calls))
        finally:
            done.set()
            injector.join()
        seconds = time.monotonic() - started_at
        fleet.clear_faults()
        exit_codes = fleet.stop_routers()
        executions = fleet.executions()
    violations = find_violations(records, executions)
    violations += tuple(
        f"router exited with {code}" for code in exit_codes if code != 0
    )
    outcomes = Counter(map(_summary, records))
    return SoakReport(outcomes, faults, len(executions), violations, seconds)


def main(argv: Sequence[str] | None = None) -> int:
    """Run a soak test and print its result."""
    parser = argparse.ArgumentParser("standins.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=DEFAULT_REQUESTS)
    parser.add_argument("--net", default=DEFAULT_SUBNET, help="loopback subnet, 127.x")
    parser.add_argument("--out", type=Path, default=Path("out/soak"))
    parser.add_argument("--policy", default="fair")
    args = parser.parse_args(argv)
    exit_on_signals()
    ip = f"{args.net}.{os.getpid() % SUBNET_COUNT}.1"
    print(f"seed {args.seed}, {args.requests} requests", flush=True)
    cfg = SoakConfig(args.seed, args.requests, ip, args.out, args.policy)
    report = run(cfg)
    for title, counts in (("seen", report.outcomes), ("faults", report.faults)):
        for name, count in sorted(counts.items()):
            print(f"{title}: {name}: {count}")
    print(f"{report.executions} executions in {report.seconds:.1f} s")
    print(f"{len(report.violations)} violations")
    for violation in report.violations[:20]:
        print(violation)
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
