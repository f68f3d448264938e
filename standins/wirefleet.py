"""Upstream processes of a fleet: started, killed, replaced, registered in the store."""

import itertools
import math
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from standins.gateway_fleet import wait_until
from standins.metastore import MetaStore
from standins.ports import free_port, is_listening
from standins.processes import ChildProcess, stop_all
from standins.proxy import Proxy
from standins.registration import registration
from standins.soak_log import SoakLog

LAPSE_SECONDS = 3.6
"""Time without a report after which the store drops a registration."""

DRAIN_SECONDS = 2.5
REUSE_SECONDS = 2.0
"""Time after which the address of an upstream that is gone may be used again."""

MAX_CLOCK_STEP_SECONDS = 3600.0
MIN_STAYING = 2
MAX_CHANGES_AT_ONCE = 3


IDLE_LIFE_SECONDS = 3.0


@dataclass
class WireLife:
    """A life of an upstream while it serves.

    Parameters
    ----------
    name : str
        Instance id.
    number : int
        Number of the life, from 1.
    version : str
        Software version.
    is_set_back : bool
        Whether its clock is behind that of an earlier life.
    registered_at, ended_at : float
        Monotonic times between which it was registered and undisturbed.
    """

    name: str
    number: int
    version: str
    is_set_back: bool
    registered_at: float
    ended_at: float


class WireProcess:
    """One upstream, at one address, in its lives one after the other.

    Parameters
    ----------
    name, service, zone, version : str
        Instance id, service, data centre and software version.
    slots : int
        Requests that it takes at once.
    port : int
        Port that it listens on.
    is_proxied : bool
        Whether its link can be disturbed.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        version: str,
        slots: int,
        port: int = 0,
        is_proxied: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.port = port or free_port()
        self.life = 0
        self.clock_step_ms = 0
        self.born_ms = 0
        self.is_busy = False
        self.process: ChildProcess | None = None
        self.proxy = Proxy("127.0.0.1", self.port) if is_proxied else None
        if self.proxy is not None:
            self.proxy.start()

    @property
    def address(self) -> str:
        """Return the address under which it is registered."""
        port = self.port if self.proxy is None else self.proxy.port
        return f"127.0.0.1:{port}"

    def start(self, folder: Path, seed: str) -> None:
        """Begin a life, and wait until it listens."""
        self.life += 1
        self.born_ms = int(time.time() * 1000) + self.clock_step_ms
        label = f"{self.name}-{self.life}"
        args = ["--name", self.name, "--life", str(self.life)]
        args += ["--port", str(self.port), "--version", self.version]
        args += ["--slots", str(self.slots), "--seed", seed]
        args += ["--record", str(folder / f"{label}.record")]
        self.process = ChildProcess(
            label, "standins.wireupstream", args, folder, has_log_file_flag=False
        )
        self.process.start()
        wait_until(lambda: is_listening("127.0.0.1", self.port), f"{label} listens")
        if self.proxy is not None and self.life > 1:
            self.proxy.accept_again()

    def kill(self) -> None:
        """End the life by SIGKILL; what stands for its link accepts nothing then."""
        assert self.process is not None
        if self.proxy is not None:
            self.proxy.refuse()
        self.process.kill()

    def entry(self, state: str) -> dict[str, object]:
        """Return the entry that registers it with the platform."""
        return registration(
            self.address,
            self.born_ms,
            self.service,
            self.zone,
            self.version,
            state,
            self.slots,
            self.life,
        )


class WireFleet:
    """Upstream processes, and changes of them that are drawn from a seed.

    The names of the methods of the changes are the labels of their counts.

    Parameters
    ----------
    store : MetaStore
        Store in which they are registered.
    folder : Path
        Where logs and records are kept.
    seed : int
        Seed of the run.
    versions : sequence of str
        Software versions between which releases change.

    Attributes
    ----------
    proxies : dict
        Links that can be disturbed, by name of the upstream.
    drawn : Counter
        Number of changes by kind.
    lives : list of WireLife
        Lives that were registered.
    """

    versions = ("v1", "v2")

    def __init__(self, store: MetaStore, folder: Path, seed: int) -> None:
        self._store = store
        self._folder = folder
        self._log = SoakLog(folder / "upstreams.jsonl")
        self._seed = f"upstream-{seed}"
        self._rng = random.Random(f"changes-{seed}")
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._all: list[WireProcess] = []
        self._serving: list[WireProcess] = []
        self.proxies: dict[str, Proxy] = {}
        self.drawn: Counter[str] = Counter()
        self.lives: list[WireLife] = []
        self._changes: tuple[Callable[[WireProcess], None], ...] = (
            self._kill_and_return,
            self._kill_and_return,
            self._kill_and_return,
            self._kill_and_step_clock_back,
            self._kill_and_replace,
            self._kill_and_reuse_address,
            self._release,
            self._release_in_place,
            self._freeze_upstream,
        )

    def add(
        self,
        service: str,
        zone: str,
        slots: int,
        version: str = "v1",
        port: int = 0,
        is_proxied: bool = False,
    ) -> WireProcess:
        """Start an upstream under a new id and register it."""
        name = f"e{next(self._numbers)}"
        item = WireProcess(name, service, zone, version, slots, port, is_proxied)
        with self._lock:
            self._all.append(item)
            if item.proxy is not None:
                self.proxies[name] = item.proxy
        item.start(self._folder, self._seed)
        self._register(item)
        with self._lock:
            self._serving.append(item)
        return item

    def run(self, until: float) -> None:
        """Change upstreams, some at a time, until a monotonic time."""
        threads = [
            threading.Thread(target=self._change_until, args=(until,), daemon=True)
            for _ in range(MAX_CHANGES_AT_ONCE)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def restart_one(self) -> None:
        """Kill an upstream that starts again under its id; none if too few stay."""
        with self._chosen() as item:
            if item is not None:
                self._kill_and_return(item)

    def idle_lives(
        self, busy: Collection[tuple[str, int]], until: float
    ) -> list[WireLife]:
        """Return the lives that were long there under calls and have run nothing."""
        return [
            life
            for life in self.lives
            if min(life.ended_at, until) - life.registered_at > IDLE_LIFE_SECONDS
            and (life.name, life.number) not in busy
        ]

    def stop(self) -> None:
        """End all processes."""
        stop_all([item.process for item in self._all if item.process], 0.2)
        for proxy in self.proxies.values():
            proxy.stop()
        self._log.close()

    def _change_until(self, until: float) -> None:
        while time.monotonic() < until:
            change = self._rng.choice(self._changes)
            with self._chosen() as item:
                if item is not None:
                    name = change.__name__.strip("_")
                    self.drawn[name] += 1
                    self._log.write(name, upstream=item.name, life=item.life)
                    change(item)
            time.sleep(self._rng.uniform(0.1, 0.8))

    @contextmanager
    def _chosen(self) -> Iterator[WireProcess | None]:
        """Choose an upstream for a change; None if too few would stay."""
        with self._lock:
            services = Counter(item.service for item in self._serving)
            free = [
                item
                for item in self._serving
                if not item.is_busy and services[item.service] > MIN_STAYING
            ]
            item = self._rng.choice(free) if free else None
            if item is not None:
                item.is_busy = True
                self._serving.remove(item)
                self._end_life(item)
        yield item
        if item is not None:
            with self._lock:
                item.is_busy = False

    def _kill_and_return(self, item: WireProcess) -> None:
        self._end(item)
        time.sleep(self._rng.uniform(0.0, 1.5))
        self._return(item)

    def _kill_and_step_clock_back(self, item: WireProcess) -> None:
        """Kill an upstream whose next life begins earlier by its own clock."""
        self._end(item)
        item.clock_step_ms -= int(self._rng.uniform(2.0, MAX_CLOCK_STEP_SECONDS) * 1000)
        time.sleep(self._rng.uniform(0.0, 1.0))
        self._return(item)

    def _kill_and_replace(self, item: WireProcess) -> None:
        """Kill an upstream for good; another one begins, and its entry lapses."""
        self._end(item)
        self._successor(item)
        time.sleep(LAPSE_SECONDS)
        self._store.delete("servers", item.name)

    def _kill_and_reuse_address(self, item: WireProcess) -> None:
        """Kill an upstream for good; another one begins later at its address."""
        self._end(item)
        time.sleep(REUSE_SECONDS)
        self._successor(item, port=item.port if item.proxy is None else 0)
        time.sleep(LAPSE_SECONDS - REUSE_SECONDS)
        self._store.delete("servers", item.name)

    def _release(self, item: WireProcess) -> None:
        """Replace an upstream by one of another software version."""
        self._successor(item, version=self._other_version(item))
        self._drain(item)
        self._store.delete("servers", item.name)

    def _release_in_place(self, item: WireProcess) -> None:
        """Let an upstream return under its id at another software version."""
        self._drain(item)
        item.version = self._other_version(item)
        self._return(item)

    def _freeze_upstream(self, item: WireProcess) -> None:
        assert item.process is not None
        item.process.freeze()
        time.sleep(self._rng.uniform(0.1, 1.5))
        item.process.thaw()
        with self._lock:
            self._serving.append(item)

    def _end(self, item: WireProcess) -> None:
        """Kill an upstream."""
        self._log.write("killed", upstream=item.name, life=item.life)
        item.kill()

    def _drain(self, item: WireProcess) -> None:
        """Let an upstream leave, and end it while some streams may still run."""
        self._log.write("draining", upstream=item.name, life=item.life)
        self._store.put("servers", item.name, item.entry("draining"))
        time.sleep(DRAIN_SECONDS + self._rng.uniform(0.0, 0.5))
        self._end(item)

    def _return(self, item: WireProcess) -> None:
        item.start(self._folder, self._seed)
        self._register(item)
        with self._lock:
            self._serving.append(item)

    def _successor(
        self, item: WireProcess, version: str = "", port: int = 0
    ) -> WireProcess:
        is_proxied = item.proxy is not None
        return self.add(
            item.service,
            item.zone,
            item.slots,
            version or item.version,
            port,
            is_proxied,
        )

    def _other_version(self, item: WireProcess) -> str:
        return next(other for other in self.versions if other != item.version)

    def _register(self, item: WireProcess) -> None:
        entry = item.entry("ready")
        self._log.write("registered", upstream=item.name, life=item.life, entry=entry)
        self._store.put("servers", item.name, entry)
        now, is_set_back = time.monotonic(), item.clock_step_ms < 0
        life = WireLife(item.name, item.life, item.version, is_set_back, now, math.inf)
        with self._lock:
            self.lives.append(life)

    def _end_life(self, item: WireProcess) -> None:
        for life in self.lives:
            if (life.name, life.number) == (item.name, item.life):
                life.ended_at = time.monotonic()
