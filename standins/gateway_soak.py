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
from enum import Enum
from pathlib import Path

from standins.coldroute import run_coldroute
from standins.gateway_fleet import Gateway, GatewayFleet, call_on, running_fleet
from standins.processes import exit_on_signals
from standins.proxy import Proxy
from standins.soak_faults import FaultInjector
from standins.soak_judge import (
    CRASHING_PART,
    CRASHING_PATH,
    DEADLINE_SECONDS,
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
        injector = FaultInjector(fleet, proxies, history, rng)
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


class Preset(Enum):
    """Fleet that is played."""

    SMALL = "small"
    COLDROUTE = "dcfa-coldroute"


def main(argv: Sequence[str] | None = None) -> int:
    """Run soak tests with consecutive seeds."""
    parser = argparse.ArgumentParser("standins.gateway_soak", description=__doc__)
    parser.add_argument("--preset", type=Preset, default=Preset.SMALL)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--runs", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=10.0, help="of each run")
    parser.add_argument("--gateways", type=int, default=3, help="of the small fleet")
    parser.add_argument("--logs", type=Path, help="where folders of logs are made")
    cfg = parser.parse_args(argv)
    exit_on_signals()
    failed = 0
    for seed in range(cfg.seed, cfg.seed + cfg.runs):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=cfg.logs))
        if cfg.preset is Preset.COLDROUTE:
            violations = run_coldroute(seed, cfg.seconds, folder)
        else:
            violations = run(seed, cfg.seconds, folder, cfg.gateways)
        for violation in violations:
            print(f"seed {seed}: {violation} (logs in {folder})")
        failed += bool(violations)
    print(f"{cfg.runs - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
