"""Soak test: random calls under random faults, judged by the upstreams' ledgers."""

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
        Of calls and faults.
    requests : int
        Number of calls.
    ip : str
        Loopback address.
    out : Path
        Folder for logs.
    policy : str
        Of the routers.
    """

    seed: int
    requests: int
    ip: str
    out: Path
    policy: str = "fair"


@dataclass(frozen=True)
class SoakReport:
    """What came out.

    Parameters
    ----------
    outcomes : Counter of str
        Calls by form and what their callers saw.
    faults : Counter of str
        Faults injected.
    executions : int
        Entries of the ledgers.
    violations : tuple of str
        What must not happen and did.
    seconds : float
        Duration of the load.
    """

    outcomes: Counter[str]
    faults: Counter[str]
    executions: int
    violations: tuple[str, ...]
    seconds: float


def find_violations(
    records: Sequence[SoakRecord], executions: Sequence[Execution]
) -> tuple[str, ...]:
    """Return every breach of the rules.

    No charge runs twice; nothing that was answered `not-run` ran; no foreign or cut
    answer is passed on as whole.
    """
    by_request = Counter(execution.tag.split("/")[0] for execution in executions)
    charges = Counter(execution.key for execution in executions if execution.key)
    found = [
        f"charge {key} ran {count} times" for key, count in charges.items() if count > 1
    ]
    for record in records:
        if record.outcome is CallOutcome.WRONG:
            found.append(f"{record.request_id}: wrong answer {record.detail}")
        if record.outcome is CallOutcome.NOT_RUN and by_request[record.request_id]:
            found.append(f"{record.request_id}: answered not-run and ran")
    return tuple(found + _charged_though_not_run(records, charges))


def _charged_though_not_run(
    records: Sequence[SoakRecord], charges: Counter[str]
) -> list[str]:
    answers: dict[str, set[CallOutcome]] = {}
    for record in records:
        if record.call.kind is CallKind.CHARGE:
            answers.setdefault(record.call.echo, set()).add(record.outcome)
    return [
        f"charge {mark} ran although every call with it was answered not-run"
        for mark, seen in answers.items()
        if seen == {CallOutcome.NOT_RUN} and charges[mark]
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
            chaos = random.Random(cfg.seed + 1)
            while not done.wait(
                chaos.uniform(MIN_FAULT_INTERVAL_SECONDS, MAX_FAULT_INTERVAL_SECONDS)
            ):
                faults[fleet.inject_fault(chaos)] += 1

        injector = threading.Thread(target=inject)
        began = time.monotonic()
        injector.start()
        try:
            with ThreadPoolExecutor(CALLERS) as pool:
                records = list(pool.map(SoakClient().send, calls))
        finally:
            done.set()
            injector.join()
        seconds = time.monotonic() - began
        fleet.clear_faults()
        exits = fleet.stop_routers()
        executions = fleet.executions()
    violations = find_violations(records, executions)
    violations += tuple(f"router exited with {code}" for code in exits if code != 0)
    seen = Counter(map(_summary, records))
    return SoakReport(seen, faults, len(executions), violations, seconds)


def main(argv: Sequence[str] | None = None) -> int:
    """Run a soak test and print what came out."""
    parser = argparse.ArgumentParser("standins.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=DEFAULT_REQUESTS)
    parser.add_argument("--net", default=DEFAULT_SUBNET, help="loopback subnet, 127.x")
    parser.add_argument("--out", type=Path, default=Path("out/soak"))
    parser.add_argument("--policy", default="fair")
    given = parser.parse_args(argv)
    exit_on_signals()
    ip = f"{given.net}.{os.getpid() % SUBNET_COUNT}.1"
    print(f"seed {given.seed}, {given.requests} requests", flush=True)
    cfg = SoakConfig(given.seed, given.requests, ip, given.out, given.policy)
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
