"""Soak test of gateways: calls on persistent connections under random faults.

The gateways run as processes and the upstreams behind proxies. Faults are injected
continuously and overlap. At the end, the responses to callers are checked against the
requests that the upstreams executed.
"""

import argparse
import http.client
import random
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from standins.gateway_fleet import (
    KEY,
    Gateway,
    GatewayFleet,
    GatewayResponse,
    call_on,
    configuration,
    running_fleet,
)
from standins.metastore import StoreMode
from standins.modelengine import Behaviour, ExecutedRequest, ModelEngine
from standins.proxy import Proxy
from standins.proxy_faults import CutStage, CutStyle, ProxyFaults, ProxyMode

PATHS = (
    "/stream/resumable/x",
    "/stream/once/x",
    "/read/x",
    "/write/x",
)
CALLERS = 12
CALLS_PER_CONNECTION = 20
MEAN_PAUSE_SECONDS = 0.02
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that the request has not been and will not be executed."""

DEADLINE_TOLERANCE_SECONDS = 1.0
"""Longest allowed delay of a response past the deadline, on a shared machine."""

MAX_FREEZE_SECONDS = 1.5
"""Longest freeze of a process; callers' deadlines are longer."""

DRAIN_SECONDS = 2.5
"""A draining upstream gets no new request after this time (`drainMs` of the fleet)."""

DEADLINE_SECONDS = 4.0

CRASHING_PART = "bad"
CRASHING_FRACTION = 0.01
"""Fraction of the streams whose prompt has a part that crashes upstreams."""

CRASHES_TO_LEARN = 5
CONTACT_SECONDS = 4.0
MAX_LATE_CRASHES = 3
"""After so many crashes and the contact time, so many more requests with the part may
reach upstreams."""


@dataclass(frozen=True)
class GatewayCall:
    """One call as its caller saw it; `response` is None if the connection broke."""

    attempt_id: str
    path: str
    gateway: str
    sent_at: float
    response: GatewayResponse | None
    key: str = KEY


@dataclass
class SoakHistory:
    """Events of a run, from which violations are found.

    Parameters
    ----------
    calls : list of GatewayCall
        Calls with their responses.
    arrivals : dict
        Requests that each upstream executed, by name of the upstream.
    drain_started_at : dict
        Monotonic time at which each upstream started to drain.
    disturbances : list of tuple
        Start and end of the intervals in which a gateway was frozen or killed, or the
        store disturbed, including the time to catch up.
    crashed_at : list of float
        Time of each crash of an upstream under a prompt.
    """

    calls: list[GatewayCall] = field(default_factory=list)
    arrivals: dict[str, list[ExecutedRequest]] = field(default_factory=dict)
    drain_started_at: dict[str, float] = field(default_factory=dict)
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)


def find_violations(history: SoakHistory) -> list[str]:
    """Return a description of every violated guarantee."""
    executions: Counter[str] = Counter()
    for requests in history.arrivals.values():
        executions.update(req.attempt_id for req in requests)
    violations = []
    for call in history.calls:
        violations += _call_violations(call, executions[call.attempt_id])
    sent = {call.attempt_id for call in history.calls}
    violations += [
        f"{attempt_id} was executed but never sent"
        for attempt_id in executions
        if attempt_id not in sent
    ]
    return violations + _drain_violations(history) + _crash_violations(history)


def _call_violations(call: GatewayCall, executions: int) -> list[str]:
    violations = []
    label = f"{call.attempt_id} {call.path} at {call.gateway}"
    if executions > 1 and call.path.startswith(("/write/", "/stream/once/")):
        violations.append(f"{label}: executed {executions} times")
    res = call.response
    if res is None:
        return violations
    if res.status in NOT_EXECUTED_STATUSES and executions:
        violations.append(
            f"{label}: responded with {res.status}, executed {executions} times"
        )
    if res.status == 200 and res.whole and not _has_expected_body(call, res):
        violations.append(f"{label}: unexpected body {res.body[:60]!r}")
    if res.seconds > DEADLINE_SECONDS + DEADLINE_TOLERANCE_SECONDS + MAX_FREEZE_SECONDS:
        violations.append(f"{label}: responded after {res.seconds:.1f} s")
    return violations


def _has_expected_body(call: GatewayCall, res: GatewayResponse) -> bool:
    if call.path.startswith("/stream/"):
        return res.body == b"".join(
            b"id: %d\ndata: %b\n\n" % (number, call.attempt_id.encode())
            for number in range(1, 6)
        )
    return res.body.endswith(b" ran " + call.attempt_id.encode())


def _drain_violations(history: SoakHistory) -> list[str]:
    violations = []
    for name, started_at in history.drain_started_at.items():
        for req in history.arrivals.get(name, ()):
            drained_at = started_at + DRAIN_SECONDS
            if req.received_at > drained_at and not _was_disturbed(
                history, started_at, req.received_at
            ):
                delay = req.received_at - started_at
                violations.append(
                    f"{req.attempt_id} reached draining {name} after {delay:.1f} s"
                )
    return violations


def _crash_violations(history: SoakHistory) -> list[str]:
    crashes = sorted(history.crashed_at)
    if len(crashes) < CRASHES_TO_LEARN:
        return []
    known_at = crashes[CRASHES_TO_LEARN - 1] + CONTACT_SECONDS
    late = [
        req.attempt_id
        for requests in history.arrivals.values()
        for req in requests
        if CRASHING_PART in req.parts
        and req.received_at > known_at
        and not _was_disturbed(
            history, req.received_at - CONTACT_SECONDS, req.received_at
        )
    ]
    if len(late) <= MAX_LATE_CRASHES:
        return []
    return [f"{len(late)} requests crashed upstreams late: {', '.join(late)}"]


def _was_disturbed(history: SoakHistory, start: float, end: float) -> bool:
    """Return whether a disturbance overlaps an interval."""
    return any(
        begin <= end and finish >= start for begin, finish in history.disturbances
    )


class _Callers:
    """Threads that call gateways on persistent connections."""

    def __init__(self, fleet: GatewayFleet, history: SoakHistory, seed: int) -> None:
        self._fleet = fleet
        self._history = history
        self._seed = seed
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(DEADLINE_SECONDS * 4)

    def _run(self, number: int) -> None:
        rng = random.Random(self._seed * 1000 + number)
        serial = 0
        while not self._stopping.is_set():
            gateway = rng.choice(self._fleet.gateways)
            conn = http.client.HTTPConnection(
                gateway.ip, gateway.frontend_port, timeout=20
            )
            for _ in range(CALLS_PER_CONNECTION):
                serial += 1
                if self._stopping.is_set() or not self._call(
                    conn, gateway, rng, f"c{number}-{serial}"
                ):
                    break
            conn.close()

    def _call(
        self,
        conn: http.client.HTTPConnection,
        gateway: Gateway,
        rng: random.Random,
        attempt_id: str,
    ) -> bool:
        path = rng.choice(PATHS)
        sent_at = time.monotonic()
        try:
            res = call_on(conn, path, attempt_id, **_prompt_headers(path, rng))
        except (OSError, http.client.HTTPException):
            res = None
        self._history.calls.append(
            GatewayCall(attempt_id, path, gateway.name, sent_at, res)
        )
        time.sleep(rng.uniform(0, 2 * MEAN_PAUSE_SECONDS))
        return res is not None and res.headers.get("connection") != "close"


def _prompt_headers(path: str, rng: random.Random) -> dict[str, str]:
    """Return the headers of a stream's prompt; some have a part that crashes."""
    if not path.startswith("/stream/"):
        return {}
    crashes = rng.random() < CRASHING_FRACTION
    middle = CRASHING_PART if crashes else f"part{rng.randrange(5)}"
    own = f"{rng.getrandbits(32):08x}"
    return {
        "Oleandershift-Token-Usage": "30,10",
        "Oleandershift-Prompt-Prefix": f"first:10,{middle}:10,{own}:10",
    }


class _FaultInjector:
    """Injector of random faults, reproducible by its seed.

    The names of the fault methods are the labels of the printed fault counts.
    """

    def __init__(
        self,
        fleet: GatewayFleet,
        proxies: list[Proxy],
        history: SoakHistory,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._proxies = proxies
        self._history = history
        self._rng = rng
        self._version = 1
        self.injected: Counter[str] = Counter()
        self._injections = (
            self._freeze,
            self._kill,
            self._stop,
            self._hang_up,
            self._misconduct,
            self._link,
            self._store,
            self._store_link,
            self._forget,
            self._configure,
            self._leave,
        )

    def run(self, until: float) -> None:
        """Inject faults, up to three at a time, until a monotonic time."""
        running: list[threading.Thread] = []
        while time.monotonic() < until:
            running = [thread for thread in running if thread.is_alive()]
            if len(running) < 3:
                inject = self._rng.choice(self._injections)
                self.injected[inject.__name__.strip("_")] += 1
                thread = threading.Thread(target=inject, daemon=True)
                thread.start()
                running.append(thread)
            time.sleep(self._rng.uniform(0.1, 0.6))
        for thread in running:
            thread.join()

    def _freeze(self) -> None:
        process = self._rng.choice(self._fleet.gateways).process
        with self._disturbance():
            process.freeze()
            time.sleep(self._rng.uniform(0.1, MAX_FREEZE_SECONDS))
            process.thaw()

    def _kill(self) -> None:
        process = self._rng.choice(self._fleet.gateways).process
        with self._disturbance():
            process.kill()
            process.start()

    def _stop(self) -> None:
        process = self._rng.choice(self._fleet.gateways).process
        process.terminate()
        if process.wait(9.0) is None:
            process.kill()
        if not process.is_running():
            process.start()

    def _hang_up(self) -> None:
        import signal

        self._rng.choice(self._fleet.gateways).process.signal(signal.SIGHUP)

    def _misconduct(self) -> None:
        engine = self._rng.choice(list(self._fleet.engines.values()))
        engine.queued_behaviours = self._rng.choices(list(Behaviour)[1:], k=5)

    def _link(self) -> None:
        self._disturb_link(self._rng.choice(self._proxies))

    def _store_link(self) -> None:
        with self._disturbance():
            self._disturb_link(self._rng.choice(self._fleet.gateways).store_proxy)

    def _disturb_link(self, proxy: Proxy) -> None:
        stage = self._rng.choice(list(CutStage))
        style = self._rng.choice(list(CutStyle))
        mode = self._rng.choice(list(ProxyMode))
        proxy.set_faults(ProxyFaults(mode=mode, stage=stage, style=style))
        time.sleep(self._rng.uniform(0.1, 1.0))
        proxy.set_faults(ProxyFaults())

    def _store(self) -> None:
        modes = list(StoreMode)[1:]
        with self._disturbance():
            self._fleet.store.set_mode(self._rng.choice(modes))
            time.sleep(self._rng.uniform(0.2, 2.0))
            self._fleet.store.set_mode(StoreMode.SERVE)

    def _forget(self) -> None:
        self._fleet.store.forget_history()

    def _configure(self) -> None:
        self._version += self._rng.randint(1, 5)
        self._fleet.store.put("config", "main", configuration(self._version))

    def _leave(self) -> None:
        draining = set(self._history.drain_started_at)
        active = [name for name in self._fleet.engines if name not in draining]
        if len(active) < 3:
            return
        name = self._rng.choice(active)
        engine = self._fleet.engines[name]
        entry = engine.entry("model", "one", "draining")
        self._fleet.store.put("servers", name, entry)
        self._history.drain_started_at[name] = time.monotonic()

    def _disturbance(self) -> "_Disturbance":
        return _Disturbance(self._history)


class _Disturbance:
    """Records the interval of a disturbance and of the catch-up after it."""

    CATCH_UP_SECONDS = 4.0

    def __init__(self, history: SoakHistory) -> None:
        self._history = history
        self._started_at = 0.0

    def __enter__(self) -> None:
        self._started_at = time.monotonic()

    def __exit__(self, *_: object) -> None:
        finish = time.monotonic() + self.CATCH_UP_SECONDS
        self._history.disturbances.append((self._started_at, finish))


def _register_again(
    fleet: GatewayFleet, history: SoakHistory, engine: ModelEngine
) -> None:
    """Register an upstream after a crash, in the state that it had."""
    state = "draining" if engine.name in history.drain_started_at else "ready"
    entry = engine.entry("model", "one", state)
    fleet.store.put("servers", engine.name, entry)


def run(seed: int, seconds: float, folder: Path, gateways: int = 3) -> list[str]:
    """Run a soak test, print its statuses and faults, and return the violations."""
    history = SoakHistory()
    rng = random.Random(seed)
    proxies: list[Proxy] = []
    with running_fleet(folder, gateways, engines=0) as fleet:
        for number in range(5):
            engine = fleet.add_engine(f"e{number + 1}")
            proxy = Proxy("127.0.0.1", engine.port)
            proxy.start()
            proxies.append(proxy)
            engine.address = f"127.0.0.1:{proxy.port}"
            engine.crashing_part = CRASHING_PART
            engine.on_restart = partial(_register_again, fleet, history)
            fleet.store.put("servers", engine.name, engine.entry("model", "one"))
        callers = _Callers(fleet, history, seed)
        injector = _FaultInjector(fleet, proxies, history, rng)
        callers.start()
        injector.run(time.monotonic() + seconds)
        callers.stop()
        for name, engine in fleet.engines.items():
            history.arrivals[name] = engine.ledger()
            history.crashed_at += engine.crashed_at
    for proxy in proxies:
        proxy.stop()
    statuses = Counter(
        "closed" if call.response is None else str(call.response.status)
        for call in history.calls
    )
    print(
        f"seed {seed}: {dict(statuses)}; faults {dict(injector.injected)}; "
        f"{len(history.crashed_at)} crashes",
        flush=True,
    )
    return find_violations(history)


def main(argv: Sequence[str] | None = None) -> int:
    """Run soak tests with consecutive seeds."""
    parser = argparse.ArgumentParser("standins.gateway_soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=10.0, help="of each run")
    parser.add_argument("--gateways", type=int, default=3, help="processes")
    cfg = parser.parse_args(argv)
    failed = 0
    for seed in range(cfg.seed, cfg.seed + cfg.runs):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = run(seed, cfg.seconds, folder, cfg.gateways)
        for violation in violations:
            print(f"seed {seed}: {violation} (logs in {folder})")
        failed += bool(violations)
    print(f"{cfg.runs - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
