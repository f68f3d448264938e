"""Load generator for several teams, in closed or open loop."""

import argparse
import queue
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from itertools import islice
from pathlib import Path

from hdrh.histogram import HdrHistogram

from standins.calls import Caller, CallRecord, Verdict, pending_record
from standins.fleet_file import FleetFile, TeamAccess, read_fleet_file
from standins.workload import RequestMix, WorkItem, generate_work

MAX_RETRY_DELAY_SECONDS = 1.0
JOIN_TIMEOUT_SECONDS = 50.0
OPEN_LOOP_CALLERS = 256
MAX_LISTED_FAILURES = 10
CALLERS_PER_SLOT = 2.5
HISTOGRAM_MAX_MS = 600_000


@dataclass(frozen=True)
class TeamLoad:
    """Load that one team offers.

    Parameters
    ----------
    callers : int
        Concurrent callers in closed loop; 0 turns the closed loop off.
    rate : float
        Arrival rate in open loop, requests/s; 0 turns the open loop off.
    mix : RequestMix
        Kinds and costs of the requests.
    """

    callers: int = 0
    rate: float = 0.0
    mix: RequestMix = field(default_factory=RequestMix)


class _WorkSource:
    """Thread-safe iterator over a team's work, shared by its callers."""

    def __init__(self, items: Iterator[WorkItem]) -> None:
        self._items = items
        self._lock = threading.Lock()

    def next_item(self) -> WorkItem:
        with self._lock:
            return next(self._items)


class LoadGenerator:
    """Sends the load of several teams and checks every response.

    Parameters
    ----------
    fleet : FleetFile
        Addresses of the fleet under load.
    loads : mapping of str to TeamLoad
        Load of each team, by team name.
    seed : int
        Seed of the work and of the open-loop arrivals.
    choose_router : callable, optional
        Returns the router URL for a work item; by default the URL in the item.
    """

    def __init__(
        self,
        fleet: FleetFile,
        loads: Mapping[str, TeamLoad],
        seed: int,
        choose_router: Callable[[WorkItem], str] | None = None,
    ) -> None:
        self._choose_router = choose_router
        self._fleet = fleet
        self._seed = seed
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._records: list[CallRecord] = []
        self._pending: dict[str, CallRecord] = {}
        self._arrivals: queue.SimpleQueue[WorkItem | None] = queue.SimpleQueue()
        self._threads: list[threading.Thread] = []
        teams = {team.name: team for team in fleet.teams}
        for name, load in loads.items():
            self._add_team_threads(teams[name], load)

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop_sending(self) -> None:
        """Stop sending new requests without waiting for responses."""
        self._stopping.set()
        for _ in range(OPEN_LOOP_CALLERS):
            self._arrivals.put(None)

    def stop(self) -> None:
        """Stop sending new requests and wait for the outstanding responses."""
        self.stop_sending()
        deadline = time.monotonic() + JOIN_TIMEOUT_SECONDS
        for thread in self._threads:
            thread.join(max(deadline - time.monotonic(), 0.0))

    def run(self, seconds: float) -> tuple[CallRecord, ...]:
        """Send for `seconds`, wait for the responses and return the finished calls."""
        self.start()
        self._stopping.wait(seconds)
        self.stop()
        return self.records()

    def records(self) -> tuple[CallRecord, ...]:
        """Return the finished calls."""
        with self._lock:
            return tuple(self._records)

    def pending(self) -> tuple[CallRecord, ...]:
        """Return the calls in progress."""
        with self._lock:
            return tuple(self._pending.values())

    def _add_team_threads(self, team: TeamAccess, load: TeamLoad) -> None:
        source = _WorkSource(generate_work(self._fleet, team, load.mix, self._seed))
        for _ in range(load.callers):
            self._add_thread(self._run_closed_loop, source)
        if load.rate:
            self._add_thread(self._generate_arrivals, source, load.rate, team.name)
            existing_callers = sum(1 for t in self._threads if t.name == "open-loop")
            for _ in range(existing_callers, OPEN_LOOP_CALLERS):
                self._add_thread(self._run_open_loop_caller, name="open-loop")

    def _add_thread(self, target: object, *args: object, name: str = "caller") -> None:
        self._threads.append(
            threading.Thread(target=target, args=args, name=name, daemon=True)  # type: ignore[arg-type]
        )

    def _run_closed_loop(self, source: _WorkSource) -> None:
        caller = Caller()
        while not self._stopping.is_set():
            record = self._send_and_record(caller, source.next_item())
            if record.verdict is not Verdict.WHOLE:
                pause = record.retry_after or MAX_RETRY_DELAY_SECONDS
                self._stopping.wait(min(pause, MAX_RETRY_DELAY_SECONDS))
        caller.close()

    def _generate_arrivals(self, source: _WorkSource, rate: float, team: str) -> None:
        rng = random.Random(f"{self._seed}/{team}/arrivals")
        while not self._stopping.wait(rng.expovariate(rate)):
            self._arrivals.put(source.next_item())

    def _run_open_loop_caller(self) -> None:
        caller = Caller()
        while (item := self._arrivals.get()) is not None:
            self._send_and_record(caller, item)
        caller.close()

    def _send_and_record(self, caller: Caller, item: WorkItem) -> CallRecord:
        if self._choose_router is not None:
            item = replace(item, router=self._choose_router(item))
        with self._lock:
            self._pending[item.echo] = pending_record(item, time.time())
        record = caller.call(item)
        with self._lock:
            del self._pending[item.echo]
            self._records.append(record)
        return record


def backlogged_loads(
    fleet: FleetFile,
    mix: RequestMix,
    spare_callers: int,
    callers_per_slot: float = CALLERS_PER_SLOT,
) -> dict[str, TeamLoad]:
    """Return closed-loop loads that keep every team backlogged at its fair share.

    Parameters
    ----------
    fleet : FleetFile
        Upstreams and teams of the fleet.
    mix : RequestMix
        Kinds and costs of the requests.
    spare_callers : int
        Callers added to each team beyond `callers_per_slot`.
    callers_per_slot : float
        Callers for each slot of the team's fair share.
    """
    slots = sum(upstream.slots for upstream in fleet.upstreams_of(fleet.engine_service))
    weights = sum(team.weight for team in fleet.teams)
    return {
        team.name: TeamLoad(
            callers=round(callers_per_slot * slots * team.weight / weights)
            + spare_callers,
            mix=mix,
        )
        for team in fleet.teams
    }


def count_verdicts(records: Sequence[CallRecord]) -> Counter[Verdict]:
    """Return the number of calls by verdict."""
    return Counter(record.verdict for record in records)


def describe_failures(records: Sequence[CallRecord]) -> tuple[str, ...]:
    """Return one line for each of the first calls without a complete response."""
    failed = (record for record in records if record.verdict is not Verdict.WHOLE)
    return tuple(
        f"{call.verdict.value} {call.status} {call.run or '-'} {call.request or '-'} "
        f"{call.team} {call.service} {call.echo}: {call.detail}"
        for call in islice(failed, MAX_LISTED_FAILURES)
    )


def make_histogram(seconds: Sequence[float]) -> HdrHistogram:
    """Return an HDR histogram, in milliseconds, of durations in seconds."""
    histogram = HdrHistogram(1, HISTOGRAM_MAX_MS, 3)
    for duration in seconds:
        histogram.record_value(max(1, round(duration * 1000)))
    return histogram


def main() -> int:
    """Send load to a running fleet and print verdicts and latencies."""
    parser = argparse.ArgumentParser("standins.load", description=__doc__)
    parser.add_argument("--fleet", type=Path, default=Path("out/fleet/fleet.json"))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--spare", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    cfg = parser.parse_args()
    fleet = read_fleet_file(cfg.fleet)
    loads = backlogged_loads(fleet, RequestMix(plain=0.1), cfg.spare)
    records = LoadGenerator(fleet, loads, cfg.seed).run(cfg.seconds)
    times = make_histogram([record.finished - record.sent for record in records])
    for verdict, count in count_verdicts(records).items():
        print(f"{verdict.value:8} {count}")
    for percentile in (50, 95, 99):
        print(f"p{percentile} {times.get_value_at_percentile(percentile)} ms")
    for line in describe_failures(records):
        print(line)
    whole = count_verdicts(records)[Verdict.WHOLE]
    return 0 if whole == len(records) else 1


if __name__ == "__main__":
    raise SystemExit(main())
