"""Load generator: callers of several teams, in closed or open loop."""

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
    """Load of one team.

    Parameters
    ----------
    callers : int
        Requests kept going in closed loop; 0 for none.
    rate : float
        Requests a second in open loop; 0 for none.
    mix : Mix
        What they are.
    """

    callers: int = 0
    rate: float = 0.0
    mix: RequestMix = field(default_factory=RequestMix)


class _Source:
    """A team's work, handed to its callers in order."""

    def __init__(self, items: Iterator[WorkItem]) -> None:
        self._items = items
        self._lock = threading.Lock()

    def next_item(self) -> WorkItem:
        with self._lock:
            return next(self._items)


class LoadGenerator:
    """Sends the load of several teams and checks every answer.

    Parameters
    ----------
    fleet : FleetFile
        Where to send it.
    loads : mapping of str to TeamLoad
        Load by team.
    seed : int
        Of the work and of open-loop arrivals.
    choose : callable, optional
        Chooses the router of a request; the request's own one by default.
    """

    def __init__(
        self,
        fleet: FleetFile,
        loads: Mapping[str, TeamLoad],
        seed: int,
        choose_router: Callable[[WorkItem], str] | None = None,
    ) -> None:
        self._choose = choose_router
        self._fleet = fleet
        self._seed = seed
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._records: list[CallRecord] = []
        self._pending: dict[str, CallRecord] = {}
        self._waiting: queue.SimpleQueue[WorkItem | None] = queue.SimpleQueue()
        self._threads: list[threading.Thread] = []
        teams = {team.name: team for team in fleet.teams}
        for name, load in loads.items():
            self._plan(teams[name], load)

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop_sending(self) -> None:
        """Send no more."""
        self._stopping.set()
        for _ in range(OPEN_LOOP_CALLERS):
            self._waiting.put(None)

    def stop(self) -> None:
        """Send no more, and wait for every answer."""
        self.stop_sending()
        deadline = time.monotonic() + JOIN_TIMEOUT_SECONDS
        for thread in self._threads:
            thread.join(max(deadline - time.monotonic(), 0.0))

    def run(self, seconds: float) -> tuple[CallRecord, ...]:
        """Send for some time; return the calls once all have been answered."""
        self.start()
        self._stopping.wait(seconds)
        self.stop()
        return self.records()

    def records(self) -> tuple[CallRecord, ...]:
        """Return the calls that have ended so far."""
        with self._lock:
            return tuple(self._records)

    def pending(self) -> tuple[CallRecord, ...]:
        """Return the calls under way."""
        with self._lock:
            return tuple(self._pending.values())

    def _plan(self, team: TeamAccess, load: TeamLoad) -> None:
        source = _Source(generate_work(self._fleet, team, load.mix, self._seed))
        for _ in range(load.callers):
            self._add(self._keep_calling, source)
        if load.rate:
            self._add(self._arrive, source, load.rate, team.name)
            have = sum(1 for t in self._threads if t.name == "open-loop")
            for _ in range(have, OPEN_LOOP_CALLERS):
                self._add(self._serve_arrivals, name="open-loop")

    def _add(self, target: object, *args: object, name: str = "caller") -> None:
        self._threads.append(
            threading.Thread(target=target, args=args, name=name, daemon=True)  # type: ignore[arg-type]
        )

    def _keep_calling(self, source: _Source) -> None:
        caller = Caller()
        while not self._stopping.is_set():
            record = self._call(caller, source.next_item())
            if record.verdict is not Verdict.WHOLE:
                pause = record.retry_after or MAX_RETRY_DELAY_SECONDS
                self._stopping.wait(min(pause, MAX_RETRY_DELAY_SECONDS))
        caller.close()

    def _arrive(self, source: _Source, rate: float, team: str) -> None:
        rng = random.Random(f"{self._seed}/{team}/arrivals")
        while not self._stopping.wait(rng.expovariate(rate)):
            self._waiting.put(source.next_item())

    def _serve_arrivals(self) -> None:
        caller = Caller()
        while (item := self._waiting.get()) is not None:
            self._call(caller, item)
        caller.close()

    def _call(self, caller: Caller, item: WorkItem) -> CallRecord:
        if self._choose is not None:
            item = replace(item, router=self._choose(item))
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
        The fleet.
    mix : Mix
        What the requests are.
    spare_callers : int
        Callers of each team beyond those that its share keeps busy.
    callers_per_slot : float
        Callers for each slot of the team's share.
    """
    slots = sum(one.slots for one in fleet.upstreams_of(fleet.engine_service))
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
    """Return how many calls ended in each way."""
    return Counter(record.verdict for record in records)


def describe_failures(records: Sequence[CallRecord]) -> tuple[str, ...]:
    """Return a line on each of the first calls whose answer was not whole."""
    found = (record for record in records if record.verdict is not Verdict.WHOLE)
    return tuple(
        f"{one.verdict.value} {one.status} {one.run or '-'} {one.request or '-'} "
        f"{one.team} {one.service} {one.echo}: {one.detail}"
        for one in islice(found, MAX_LISTED_FAILURES)
    )


def make_histogram(seconds: Sequence[float]) -> HdrHistogram:
    """Return an HDR histogram of times, in milliseconds."""
    made = HdrHistogram(1, HISTOGRAM_MAX_MS, 3)
    for value in seconds:
        made.record_value(max(1, round(value * 1000)))
    return made


def main() -> int:
    """Send load to a running fleet and print what became of it."""
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
