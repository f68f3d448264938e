"""Faults of the gateways' soak: processes, links, the store and configurations."""

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from standins.behaviours import ERROR_STREAMS, Behaviour
from standins.gateway_fleet import Gateway, GatewayFleet, configuration
from standins.metastore import StoreMode
from standins.proxy import Proxy
from standins.proxy_faults import CutStage, CutStyle, ProxyFaults, ProxyMode
from standins.soak_judge import MAX_FREEZE_SECONDS, STORE, SoakHistory
from standins.soak_log import SoakLog

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


class FaultInjector:
    """Injector of random faults, reproducible by its seed.

    The names of the fault methods are the labels of the printed fault counts.

    Attributes
    ----------
    injected : Counter
        Number of faults of each kind.
    cut_styles : tuple of CutStyle
        How links are cut.
    pause_seconds : tuple of float
        Shortest and longest pause between faults.
    max_freeze_seconds, max_store_seconds : float
        Longest freeze of a gateway and trouble of the store.
    max_down_seconds : float
        Longest time until a killed gateway starts again.
    """

    cut_styles: tuple[CutStyle, ...] = tuple(CutStyle)
    pause_seconds = (0.1, 0.6)
    max_freeze_seconds = MAX_FREEZE_SECONDS
    max_store_seconds = 2.0
    max_down_seconds = 0.0

    def __init__(
        self,
        fleet: GatewayFleet,
        proxies: dict[str, Proxy],
        history: SoakHistory,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._log = SoakLog(fleet.folder / "faults.jsonl")
        self._proxies = proxies
        self._history = history
        self._rng = rng
        self._version = 1
        self.injected: Counter[str] = Counter()
        self._injections: tuple[Callable[[], None], ...] = (
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
                name = inject.__name__.strip("_")
                self.injected[name] += 1
                self._log.write(name)
                thread = threading.Thread(target=inject, daemon=True)
                thread.start()
                running.append(thread)
            time.sleep(self._rng.uniform(*self.pause_seconds))
        for thread in running:
            thread.join()
        self._log.close()

    def _freeze(self) -> None:
        gateway = self._rng.choice(self._fleet.gateways)
        with self._disturbance(gateway.name), self._interruption(gateway.name):
            gateway.process.freeze()
            time.sleep(self._rng.uniform(0.1, self.max_freeze_seconds))
            gateway.process.thaw()

    def _kill(self) -> None:
        self._kill_gateway(self._rng.choice(self._fleet.gateways))

    def _kill_gateway(self, gateway: Gateway) -> None:
        with self._disturbance(gateway.name), self._interruption(gateway.name):
            self._end(gateway)
            if self.max_down_seconds and self._rng.random() < 0.5:
                time.sleep(self._rng.uniform(0.0, self.max_down_seconds))
            gateway.process.start()

    def _stop(self) -> None:
        gateway = self._rng.choice(self._fleet.gateways)
        process = gateway.process
        with self._interruption(gateway.name):
            process.terminate()
            if process.wait(9.0) is None:
                self._end(gateway)
            if not process.is_running():
                process.start()

    def _end(self, gateway: Gateway) -> None:
        """Kill a gateway."""
        killed_at = time.monotonic()
        self._log.write("killed", target=gateway.name)
        self._history.killed_at.setdefault(gateway.name, []).append(killed_at)
        gateway.process.kill()

    def _hang_up(self) -> None:
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
        style = self._rng.choice(self.cut_styles)
        mode = self._rng.choice(list(ProxyMode))
        proxy.set_faults(ProxyFaults(mode=mode, stage=stage, style=style))
        time.sleep(self._rng.uniform(0.1, 1.0))
        proxy.set_faults(ProxyFaults())

    def _store(self) -> None:
        modes = list(StoreMode)[1:]
        mode = self._rng.choice(modes)
        with self._disturbance(STORE):
            self._log.write("store", mode=mode.value)
            self._fleet.store.set_mode(mode)
            time.sleep(self._rng.uniform(0.2, self.max_store_seconds))
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
        self._fleet.store.put("config", "main", self._configuration(self._version))

    def _configuration(self, version: int) -> dict[str, object]:
        return configuration(version)

    @contextmanager
    def _disturbance(self, name: str) -> Iterator[None]:
        """Record a disturbance of a gateway or the store, and the catch-up."""
        started_at = time.monotonic()
        self._log.write("disturbance", target=name)
        yield
        self._log.write("disturbance.end", target=name)
        self._history.disturbances.setdefault(name, []).append(
            (started_at, time.monotonic() + CATCH_UP_SECONDS)
        )

    @contextmanager
    def _interruption(self, name: str) -> Iterator[None]:
        """Record the interval in which a gateway, or a link, is interrupted."""
        started_at = time.monotonic()
        self._log.write("interruption", target=name)
        yield
        self._log.write("interruption.end", target=name)
        self._history.interruptions.setdefault(name, []).append(
            (started_at, time.monotonic())
        )
