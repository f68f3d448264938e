"""Soak test of gateways: calls on kept connections under random faults.

The gateways run as processes, the upstreams behind proxies; faults come in series and
overlap. What callers and upstreams saw is judged at the end.
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
from standins.modelengine import Behaviour, ExecutedRequest
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
"""Statuses that promise that a request has not run and never will."""

DEADLINE_TOLERANCE_SECONDS = 1.0
"""Longest answer past a caller's deadline, on a shared machine."""

MAX_FREEZE_SECONDS = 1.5
"""Longest pause of a process; a caller's deadline is longer."""

DRAIN_SECONDS = 2.5
"""An upstream that leaves gets no new work after this time (settings of the fleet)."""

DEADLINE_SECONDS = 4.0


@dataclass(frozen=True)
class GatewayCall:
    """One call as its caller saw it; `response` is None for a closed connection."""

    attempt_id: str
    path: str
    gateway: str
    sent_at: float
    response: GatewayResponse | None
    key: str = KEY


@dataclass
class SoakHistory:
    """Everything that a run is judged by.

    Parameters
    ----------
    calls : list of Call
        What callers saw.
    arrivals : dict
        What each upstream ran.
    drain_started_at : dict
        When each upstream said that it leaves.
    disturbances : list of tuple
        Spans in which a gateway was paused or the store disturbed, with which gateway
        it concerns; empty means all.
    """

    calls: list[GatewayCall] = field(default_factory=list)
    arrivals: dict[str, list[ExecutedRequest]] = field(default_factory=dict)
    drain_started_at: dict[str, float] = field(default_factory=dict)
    disturbances: list[tuple[float, float]] = field(default_factory=list)


def find_violations(history: SoakHistory) -> list[str]:
    """Return every promise that was broken."""
    runs: Counter[str] = Counter()
    for arrivals in history.arrivals.values():
        runs.update(arrival.attempt_id for arrival in arrivals)
    findings = []
    for call in history.calls:
        findings += _judge_call(call, runs[call.attempt_id])
    sent = {call.attempt_id for call in history.calls}
    findings += [f"{name} ran but was never sent" for name in runs if name not in sent]
    return findings + _judge_leaving(history)


def _judge_call(call: GatewayCall, runs: int) -> list[str]:
    findings = []
    place = f"{call.attempt_id} {call.path} at {call.gateway}"
    if runs > 1 and call.path.startswith(("/write/", "/stream/once/")):
        findings.append(f"{place}: ran {runs} times")
    answer = call.response
    if answer is None:
        return findings
    if answer.status in NOT_EXECUTED_STATUSES and runs:
        findings.append(f"{place}: answered {answer.status}, ran {runs} times")
    if answer.status == 200 and answer.whole and not _is_own(call, answer):
        findings.append(f"{place}: got {answer.body[:60]!r}")
    if (
        answer.seconds
        > DEADLINE_SECONDS + DEADLINE_TOLERANCE_SECONDS + MAX_FREEZE_SECONDS
    ):
        findings.append(f"{place}: answered after {answer.seconds:.1f} s")
    return findings


def _is_own(call: GatewayCall, answer: GatewayResponse) -> bool:
    if call.path.startswith("/stream/"):
        return answer.body == b"".join(
            b"id: %d\ndata: %b\n\n" % (number, call.attempt_id.encode())
            for number in range(1, 6)
        )
    return answer.body.endswith(b" ran " + call.attempt_id.encode())


def _judge_leaving(history: SoakHistory) -> list[str]:
    findings = []
    for name, left in history.drain_started_at.items():
        for arrival in history.arrivals.get(name, ()):
            bound = left + DRAIN_SECONDS
            if arrival.received_at > bound and not _excused(
                history, left, arrival.received_at
            ):
                late = arrival.received_at - left
                findings.append(
                    f"{arrival.attempt_id} reached {name} {late:.1f} s late"
                )
    return findings


def _excused(history: SoakHistory, start: float, end: float) -> bool:
    """Tell whether the store or a process was disturbed in between."""
    return any(begin <= end and over >= start for begin, over in history.disturbances)


class _Callers:
    """Threads that call gateways on connections that they keep."""

    def __init__(self, fleet: GatewayFleet, history: SoakHistory, seed: int) -> None:
        self._fleet = fleet
        self._history = history
        self._seed = seed
        self._over = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._over.set()
        for thread in self._threads:
            thread.join(DEADLINE_SECONDS * 4)

    def _run(self, number: int) -> None:
        rng = random.Random(self._seed * 1000 + number)
        serial = 0
        while not self._over.is_set():
            gateway = rng.choice(self._fleet.gateways)
            conn = http.client.HTTPConnection(
                gateway.ip, gateway.frontend_port, timeout=20
            )
            for _ in range(CALLS_PER_CONNECTION):
                serial += 1
                if self._over.is_set() or not self._call(
                    conn, gateway, rng, f"c{number}-{serial}"
                ):
                    break
            conn.close()

    def _call(
        self,
        conn: http.client.HTTPConnection,
        gateway: Gateway,
        rng: random.Random,
        attempt: str,
    ) -> bool:
        path = rng.choice(PATHS)
        at = time.monotonic()
        try:
            answer = call_on(conn, path, attempt)
        except (OSError, http.client.HTTPException):
            answer = None
        self._history.calls.append(GatewayCall(attempt, path, gateway.name, at, answer))
        time.sleep(rng.uniform(0, 2 * MEAN_PAUSE_SECONDS))
        return answer is not None and answer.headers.get("connection") != "close"


class _Faults:
    """Faults drawn from a seed."""

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
        self._kinds = (
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
        """Inject faults, up to three at a time, until an instant."""
        running: list[threading.Thread] = []
        while time.monotonic() < until:
            running = [thread for thread in running if thread.is_alive()]
            if len(running) < 3:
                kind = self._rng.choice(self._kinds)
                self.injected[kind.__name__.strip("_")] += 1
                thread = threading.Thread(target=kind, daemon=True)
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
        leaving = set(self._history.drain_started_at)
        staying = [name for name in self._fleet.engines if name not in leaving]
        if len(staying) < 3:
            return
        name = self._rng.choice(staying)
        engine = self._fleet.engines[name]
        entry = engine.entry("model", "one", "draining")
        self._fleet.store.put("servers", name, entry)
        self._history.drain_started_at[name] = time.monotonic()

    def _disturbance(self) -> "_Disturbance":
        return _Disturbance(self._history)


class _Disturbance:
    """Notes a span, and the time after it in which beliefs catch up."""

    CATCH_UP_SECONDS = 4.0

    def __init__(self, history: SoakHistory) -> None:
        self._history = history
        self._begin = 0.0

    def __enter__(self) -> None:
        self._begin = time.monotonic()

    def __exit__(self, *_: object) -> None:
        over = time.monotonic() + self.CATCH_UP_SECONDS
        self._history.disturbances.append((self._begin, over))


def run(seed: int, seconds: float, folder: Path, gateways: int = 3) -> list[str]:
    """Run a soak; print what was injected and return the broken promises."""
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
            fleet.store.put("servers", engine.name, engine.entry("model", "one"))
        callers = _Callers(fleet, history, seed)
        faults = _Faults(fleet, proxies, history, rng)
        callers.start()
        faults.run(time.monotonic() + seconds)
        callers.stop()
        for name, engine in fleet.engines.items():
            history.arrivals[name] = engine.ledger()
    for proxy in proxies:
        proxy.stop()
    seen = Counter(
        "closed" if call.response is None else str(call.response.status)
        for call in history.calls
    )
    print(f"seed {seed}: {dict(seen)}; faults {dict(faults.injected)}", flush=True)
    return find_violations(history)


def main(argv: Sequence[str] | None = None) -> int:
    """Run soaks with a series of seeds."""
    parser = argparse.ArgumentParser("standins.gateway_soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=10.0, help="of each run")
    parser.add_argument("--gateways", type=int, default=3, help="processes")
    cfg = parser.parse_args(argv)
    failed = 0
    for seed in range(cfg.seed, cfg.seed + cfg.runs):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        findings = run(seed, cfg.seconds, folder, cfg.gateways)
        for finding in findings:
            print(f"seed {seed}: {finding} (logs in {folder})")
        failed += bool(findings)
    print(f"{cfg.runs - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
