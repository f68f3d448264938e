"""What the upstreams of the gateways' soak say of themselves, and the store of them."""

import math
import random
import threading
import time
from collections import Counter

from standins.behaviours import Behaviour
from standins.gateway_fleet import GatewayFleet
from standins.modelengine import ModelEngine
from standins.soak_judge import DRAIN_SECONDS, Run, SoakHistory

MIN_STAYING_UPSTREAMS = 2
LATE_SECONDS = 1.0
"""Time after the drain time for which a leaving upstream awaits late requests."""

MAX_NOTICE_GAP_SECONDS = 1.0
"""Longest time between an upstream's own word that it leaves and that of the store."""

AWAY_SECONDS = (0.3, 3.0)
"""Shortest and longest `Retry-After`."""

MAX_REFUSALS = 8
MAX_PAUSE_SECONDS = 0.5
DRAINING_AGAIN_FRACTION = 0.3
"""Fraction of the runs after a drain that register as draining again."""


class SoakUpstreams:
    """Changes of the upstreams' states, recorded in the history.

    An upstream that leaves stays up until it is restarted, so that late requests reach
    it and are recorded.

    Parameters
    ----------
    fleet : GatewayFleet
        Fleet with the upstreams and the store.
    history : SoakHistory
        History of the run.
    rng : random.Random
        Source of the draws.

    Attributes
    ----------
    drawn : Counter
        Number of draws of each change.
    """

    def __init__(
        self, fleet: GatewayFleet, history: SoakHistory, rng: random.Random
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._rng = rng
        self._lock = threading.Lock()
        self._left_at: dict[Run, float] = {}
        self._changes = (
            self._drain_only,
            self._say_leaving,
            self._say_leaving_and_drain,
            self._drain_and_say_leaving,
            self._remove,
            self._restart,
            self._turn_away,
        )
        self.drawn: Counter[str] = Counter()

    def run(self, until: float) -> None:
        """Draw changes, one after the other, until a monotonic time."""
        while time.monotonic() < until:
            change = self._rng.choice(self._changes)
            self.drawn[change.__name__.strip("_")] += 1
            change()
            time.sleep(self._rng.uniform(0.1, MAX_PAUSE_SECONDS))

    def register(self, engine: ModelEngine) -> None:
        """Register a new run, unless it already leaves; some drain from the start."""
        run, run_before = (engine.name, engine.run), (engine.name, engine.run - 1)
        with self._lock:
            if run in self._history.drain_started_at or run in self._history.removed_at:
                return
            was_draining = run_before in self._history.drain_started_at
            if was_draining and self._rng.random() < DRAINING_AGAIN_FRACTION:
                self._left_at[run] = time.monotonic()
                self._drain(engine)
            else:
                self._put(engine, "ready")

    def _drain_only(self) -> None:
        """Let the store alone say that an upstream leaves."""
        if engine := self._next_to_leave():
            self._drain_run(engine, engine.run)

    def _say_leaving(self) -> None:
        """Let an upstream alone say that it leaves."""
        if engine := self._next_to_leave():
            engine.is_leaving = True

    def _say_leaving_and_drain(self) -> None:
        """Let an upstream say that it leaves before the store does."""
        if engine := self._next_to_leave():
            run = engine.run
            engine.is_leaving = True
            self._pause()
            self._drain_run(engine, run)

    def _drain_and_say_leaving(self) -> None:
        """Let an upstream say that it leaves after the store does."""
        if engine := self._next_to_leave():
            run = engine.run
            self._drain_run(engine, run)
            self._pause()
            if engine.run == run:
                engine.is_leaving = True

    def _remove(self) -> None:
        """Remove a registration without draining; the upstream goes on serving."""
        if engine := self._next_to_leave():
            with self._lock:
                run = (engine.name, engine.run)
                self._fleet.store.delete("servers", engine.name)
                self._history.removed_at[run] = time.monotonic()

    def _restart(self) -> None:
        """Let an upstream run again at its address, first those that left long ago."""
        engines = list(self._fleet.engines.values())
        self._restart_one_of(self._left_long_ago() or engines)

    def _turn_away(self) -> None:
        """Let an upstream refuse some requests, with or without `Retry-After`."""
        engine = self._rng.choice(self._staying() or list(self._fleet.engines.values()))
        retry_after = f"{self._rng.uniform(*AWAY_SECONDS):.2f}"
        engine.retry_after = self._rng.choice((None, retry_after, retry_after))
        refusals = self._rng.randint(1, MAX_REFUSALS)
        engine.queued_behaviours = [Behaviour.REFUSE] * refusals

    def _staying(self) -> list[ModelEngine]:
        engines = self._fleet.engines.values()
        return [item for item in engines if (item.name, item.run) not in self._left_at]

    def _next_to_leave(self) -> ModelEngine | None:
        """Choose an upstream that leaves; if too few stay, restart one instead."""
        staying = self._staying()
        if len(staying) <= MIN_STAYING_UPSTREAMS:
            if overdue := self._left_long_ago():
                self._restart_one_of(overdue)
            return None
        engine = self._rng.choice(staying)
        self._left_at[engine.name, engine.run] = time.monotonic()
        return engine

    def _left_long_ago(self) -> list[ModelEngine]:
        """Return the upstreams that late requests would have reached by now."""
        left_before = time.monotonic() - DRAIN_SECONDS - LATE_SECONDS
        return [
            engine
            for engine in self._fleet.engines.values()
            if self._left_at.get((engine.name, engine.run), math.inf) < left_before
        ]

    def _restart_one_of(self, engines: list[ModelEngine]) -> None:
        engine = self._rng.choice(engines)
        engine.restart_seconds = self._rng.uniform(0.05, 0.8)
        engine.restart()

    def _pause(self) -> None:
        time.sleep(self._rng.uniform(0.1, MAX_NOTICE_GAP_SECONDS))

    def _drain_run(self, engine: ModelEngine, run: int) -> None:
        """Register a run as draining unless a later one has begun."""
        with self._lock:
            if engine.run == run:
                self._drain(engine)

    def _drain(self, engine: ModelEngine) -> None:
        run = (engine.name, engine.run)
        self._put(engine, "draining")
        self._history.drain_started_at[run] = time.monotonic()

    def _put(self, engine: ModelEngine, state: str) -> None:
        entry = engine.entry("model", "one", state)
        self._fleet.store.put("servers", engine.name, entry)
