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
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from standins.behaviours import ERROR_STREAMS, Behaviour
from standins.gateway_fleet import (
    Gateway,
    GatewayFleet,
    call_on,
    configuration,
    running_fleet,
)
from standins.metastore import StoreMode
from standins.proxy import Proxy
from standins.proxy_faults import CutStage, CutStyle, ProxyFaults, ProxyMode
from standins.soak_judge import (
    CRASHING_PART,
    CRASHING_PATH,
    DEADLINE_SECONDS,
    MAX_FREEZE_SECONDS,
    STORE,
    GatewayCall,
    SoakHistory,
    find_violations,
)
from standins.soak_upstreams import SoakUpstreams

PATHS = (
    "/stream/resumable/x",
    "/stream/once/x",
    "/read/x",
    "/write/x",
    CRASHING_PATH,
)
PATH_WEIGHTS = (30, 30, 30, 30, 1)
VERSIONS = ("v1", "v2")
CALLERS = 12
CALLS_PER_CONNECTION = 20
MEAN_PAUSE_SECONDS = 0.02
CRASHING_FRACTION = 0.01
"""Fraction of the streams whose prompt has a part that crashes upstreams."""

REPORT_LAPSE_SECONDS = 3.6
"""Time without a report after which the store drops a registration."""

MISCONDUCTS = [
    item
    for item in Behaviour
    if item is not Behaviour.ANSWER and item not in ERROR_STREAMS
]
"""Responses to requests that resume no stream. One of `ERROR_STREAMS` would be the
upstream's own complete answer to these, and is passed on."""

CATCH_UP_SECONDS = 4.0
"""Time after a disturbance in which a gateway may still know too little."""


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
        (path,) = rng.choices(PATHS, PATH_WEIGHTS)
        body = b"the same" if path == CRASHING_PATH else None
        sent_at = time.monotonic()
        try:
            res = call_on(conn, path, attempt_id, body, **_prompt_headers(path, rng))
        except (OSError, http.client.HTTPException):
            res = None
        call = GatewayCall(attempt_id, path, gateway.name, sent_at, res)
        self._history.calls.append(call)
        if path.startswith("/stream/resumable/"):
            self._take_up(call, rng)
        time.sleep(rng.uniform(0, 2 * MEAN_PAUSE_SECONDS))
        return res is not None and res.headers.get("connection") != "close"

    def _take_up(self, call: GatewayCall, rng: random.Random) -> None:
        """Go on with a stream that broke off after an event, at any gateway."""
        res = call.response
        last_event = res.body.count(b"\n\n") if res is not None else 0
        if res is None or res.status != 200 or res.whole or not last_event:
            return
        gateway = rng.choice(self._fleet.gateways)
        attempt_id = f"{call.attempt_id}-again"
        headers = {"Resumes": call.attempt_id, "Last-Event-Id": str(last_event)}
        sent_at = time.monotonic()
        try:
            resumed = gateway.call(call.path, attempt_id, None, **headers)
        except (OSError, http.client.HTTPException):
            resumed = None
        self._history.calls.append(
            GatewayCall(
                attempt_id,
                call.path,
                gateway.name,
                sent_at,
                resumed,
                resumes=call.attempt_id,
                last_event=last_event,
            )
        )


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
        proxies: dict[str, Proxy],
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
            self._restore,
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
        gateway = self._rng.choice(self._fleet.gateways)
        with self._disturbance(gateway.name), self._interruption(gateway.name):
            gateway.process.freeze()
            time.sleep(self._rng.uniform(0.1, MAX_FREEZE_SECONDS))
            gateway.process.thaw()

    def _kill(self) -> None:
        gateway = self._rng.choice(self._fleet.gateways)
        with self._disturbance(gateway.name), self._interruption(gateway.name):
            gateway.process.kill()
            gateway.process.start()

    def _stop(self) -> None:
        gateway = self._rng.choice(self._fleet.gateways)
        process = gateway.process
        with self._interruption(gateway.name):
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
        engine.queued_behaviours = self._rng.choices(MISCONDUCTS, k=5)
        engine.resumed_behaviour = self._rng.choice([None, *ERROR_STREAMS])

    def _link(self) -> None:
        name = self._rng.choice(list(self._proxies))
        with self._interruption(name):
            self._disturb_link(self._proxies[name])

    def _store_link(self) -> None:
        gateway = self._rng.choice(self._fleet.gateways)
        with self._disturbance(gateway.name):
            self._disturb_link(gateway.store_proxy)

    def _disturb_link(self, proxy: Proxy) -> None:
        stage = self._rng.choice(list(CutStage))
        style = self._rng.choice(list(CutStyle))
        mode = self._rng.choice(list(ProxyMode))
        proxy.set_faults(ProxyFaults(mode=mode, stage=stage, style=style))
        time.sleep(self._rng.uniform(0.1, 1.0))
        proxy.set_faults(ProxyFaults())

    def _store(self) -> None:
        modes = list(StoreMode)[1:]
        with self._disturbance(STORE):
            self._fleet.store.set_mode(self._rng.choice(modes))
            time.sleep(self._rng.uniform(0.2, 2.0))
            self._fleet.store.set_mode(StoreMode.SERVE)

    def _forget(self) -> None:
        self._fleet.store.forget_history()

    def _restore(self) -> None:
        """Let the store come back from a copy that is up to two seconds old.

        The operator and the upstreams write again what was lost. The registrations of
        upstreams that are gone lapse anew.
        """
        store = self._fleet.store
        copy = store.copy()
        time.sleep(self._rng.uniform(0.0, 2.0))
        with self._disturbance(STORE):
            store.set_mode(StoreMode.RESET)
            time.sleep(self._rng.uniform(0.1, 1.5))
            returned = store.restore(copy, rewritten_kinds=("config", "servers"))
            store.set_mode(StoreMode.SERVE)
        time.sleep(REPORT_LAPSE_SECONDS)
        objects = store.copy().objects
        for key in returned:
            if key in objects and objects[key]["spec"] == copy.objects[key]["spec"]:
                store.delete(*key)

    def _configure(self) -> None:
        self._version += self._rng.randint(1, 5)
        self._fleet.store.put("config", "main", configuration(self._version))

    @contextmanager
    def _disturbance(self, name: str) -> Iterator[None]:
        """Record a disturbance of a gateway or the store, and the catch-up."""
        started_at = time.monotonic()
        yield
        self._history.disturbances.setdefault(name, []).append(
            (started_at, time.monotonic() + CATCH_UP_SECONDS)
        )

    @contextmanager
    def _interruption(self, name: str) -> Iterator[None]:
        """Record the interval in which a gateway, or a link, is interrupted."""
        started_at = time.monotonic()
        yield
        self._history.interruptions.setdefault(name, []).append(
            (started_at, time.monotonic())
        )


def run(seed: int, seconds: float, folder: Path, gateways: int = 3) -> list[str]:
    """Run a soak test, print its statuses and faults, and return the violations."""
    history = SoakHistory()
    rng = random.Random(seed)
    proxies: dict[str, Proxy] = {}
    with running_fleet(folder, gateways, engines=0) as fleet:
        upstreams = SoakUpstreams(fleet, history, random.Random(f"upstreams-{seed}"))
        for number in range(5):
            engine = fleet.add_engine(f"e{number + 1}")
            proxy = Proxy("127.0.0.1", engine.port)
            proxy.start()
            proxies[engine.name] = proxy
            engine.address = f"127.0.0.1:{proxy.port}"
            engine.crashing_part = CRASHING_PART
            engine.crashing_path = CRASHING_PATH
            engine.version = VERSIONS[number % len(VERSIONS)]
            engine.on_restart = upstreams.register
            upstreams.register(engine)
        callers = _Callers(fleet, history, seed)
        injector = _FaultInjector(fleet, proxies, history, rng)
        until = time.monotonic() + seconds
        changing = threading.Thread(target=upstreams.run, args=(until,), daemon=True)
        callers.start()
        changing.start()
        injector.run(until)
        changing.join()
        callers.stop()
        for name, engine in fleet.engines.items():
            history.arrivals[name] = engine.ledger()
            history.received[name] = list(engine.received)
            history.crashed_at += engine.crashed_at
    for proxy in proxies.values():
        proxy.stop()
    statuses = Counter(
        "closed" if call.response is None else str(call.response.status)
        for call in history.calls
    )
    print(
        f"seed {seed}: {dict(statuses)}; faults {dict(injector.injected)}; "
        f"upstreams {dict(upstreams.drawn)}; {len(history.crashed_at)} crashes",
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
