"""The deployment dcfa-coldroute, played as real processes.

Seven gateways in three data centres, upstreams that are processes of their own, and
callers on sockets. Rates are scaled to the machine; the shares of the kinds of request
are those of the sheet.
"""

import math
import random
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec

from standins.gateway_fleet import (
    HOST,
    Gateway,
    GatewayFleet,
    route,
    running_fleet,
)
from standins.proxy import Proxy
from standins.proxy_faults import CutStage, CutStyle, ProxyFaults, ProxyMode
from standins.soak_faults import FaultInjector
from standins.soak_judge import SoakHistory
from standins.soak_streams import (
    OLD_PROTOCOL,
    WireCall,
    WireHistory,
    find_faults,
    whole_events,
)
from standins.soak_versions import (
    VersionGauges,
    VersionHistory,
    VersionProbe,
    count_older_lives,
    find_steps_back,
)
from standins.wirecaller import BadAnswerError, Ending, WireAnswer, WireConnection
from standins.wirefleet import WireFleet
from standins.wirerecord import read_records
from standins.wireupstream import Work

PLACES = ("south-a",) * 3 + ("north-a",) * 2 + ("northwest-a",) * 2
MODELS, DESK = "assistant-pool", "hire-desk"
TEAMS = 16
CALLERS = 60
CALLS_A_SECOND = 60.0
"""Of all kinds together; the sheet has 210."""

SLOW_FRACTION = 0.05
OLD_PROTOCOL_FRACTION = 0.05
LARGE_FRACTION = 0.05
LARGE_PADDING = 6000
LEAVE_FRACTION = 0.04
"""Fraction of the calls that their callers leave on the way."""

MAX_LEFT_BYTES = 6000
MAX_TAKE_UPS = 3
PROBE_PAUSE_SECONDS = 0.1
PROBED_VERSIONS = 3
LAST_SECONDS = 2.0
"""Time that calls still have when the faults are over."""


class Kind(NamedTuple):
    """A kind of request, as the deployment's sheet has it.

    Parameters
    ----------
    name, type, service : str
        Name, route type and service.
    weight : float
        Requests a second.
    pieces, max_pieces : int
        Mean and largest number of events; 0 for a plain answer.
    deadline_seconds : float
        Longest time that the caller waits.
    target_ms, max_attempts : int
        Of the route.
    is_resumable : bool
        Whether its streams may be resumed.
    """

    name: str
    type: str
    service: str
    weight: float
    pieces: int
    max_pieces: int
    deadline_seconds: float
    target_ms: int
    max_attempts: int
    is_resumable: bool = False

    @property
    def path(self) -> str:
        """Return the prefix of its route."""
        return f"/{self.name}/"


KINDS = (
    Kind("agreement-review", "streaming", MODELS, 54.6, 64, 187, 15.0, 600, 1),
    Kind("hirer-chat", "streaming", MODELS, 47.4, 49, 159, 12.0, 300, 2, True),
    Kind("message-tagging", "streaming", MODELS, 81.2, 4, 15, 3.0, 400, 1),
    Kind("booking-commit", "non_idempotent", DESK, 19.1, 0, 0, 1.2, 250, 1),
    Kind("fleet-lookup", "idempotent", DESK, 7.62, 0, 0, 1.2, 250, 2),
)


def key_of(team: int) -> str:
    """Return the API key of a team."""
    return f"key-of-team-{team}"


def version_path(version: int) -> str:
    """Return the prefix of the route that is there from a version on."""
    return f"/from-{version}/"


def coldroute_configuration(versions: list[int]) -> dict[str, object]:
    """Return the newest of some versions; each has added a route to those before."""
    routes = [
        route(
            kind.path,
            kind.type,
            service=kind.service,
            timeoutMs=int(kind.deadline_seconds * 1000),
            targetLatencyMs=kind.target_ms,
            maxAttempts=kind.max_attempts,
            **({"resumable": True} if kind.is_resumable else {}),
            **({"targetGapMs": 300, "sticky": True} if kind.pieces else {}),
        )
        for kind in KINDS
    ]
    routes += [
        route(version_path(version), "idempotent", service=DESK, timeoutMs=1200)
        for version in versions
    ]
    return {
        "version": versions[-1],
        "routes": routes,
        "services": [
            {"name": MODELS, "healthPath": "/healthz", "maxConnections": 620},
            {"name": DESK, "healthPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {"idleTimeoutMs": 15000, "headerTimeoutMs": 3000},
        "tenants": [
            {"name": f"team-{team}", "apiKeys": [key_of(team)]} for team in range(TEAMS)
        ],
    }


class ColdrouteFaults(FaultInjector):
    """Faults of the deployment's list, beside those of upstream processes."""

    cut_styles = (CutStyle.RESET,)
    """A link that fails closes no connection in good order."""

    pause_seconds = (0.2, 1.0)

    def __init__(
        self,
        fleet: GatewayFleet,
        proxies: dict[str, Proxy],
        history: SoakHistory,
        rng: random.Random,
        versions: list[int],
    ) -> None:
        super().__init__(fleet, proxies, history, rng)
        self._versions = versions
        self._writing = threading.Lock()
        self._injections = (
            self._freeze,
            self._kill,
            self._stop,
            self._hang_up,
            self._link,
            self._store,
            self._store_link,
            self._forget,
            self._configure,
        )

    def _configuration(self, version: int) -> dict[str, object]:
        return coldroute_configuration([*self._versions, version])

    def _configure(self) -> None:
        with self._writing:
            super()._configure()
            self._versions.append(self._version)

    def _disturb_link(self, proxy: Proxy) -> None:
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.HALF_CLOSE]
        faults = ProxyFaults(
            mode=self._rng.choice(modes),
            stage=self._rng.choice(list(CutStage)),
            style=CutStyle.RESET,
            after_bytes=self._rng.randrange(4000),
        )
        proxy.set_faults(faults)
        time.sleep(self._rng.uniform(0.1, 1.0))
        proxy.set_faults(ProxyFaults())


class WireCallers:
    """Threads that call gateways and keep each answer's bytes.

    A caller stays on its connection until that ends.

    Parameters
    ----------
    fleet : GatewayFleet
        Fleet of the gateways.
    history : WireHistory
        Where calls are recorded.
    seed : int
        Seed of the run.
    until : float
        Monotonic time at which the last call begins.
    """

    def __init__(
        self, fleet: GatewayFleet, history: WireHistory, seed: int, until: float
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._seed = seed
        self._until = until
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start calling."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait until the last call has ended."""
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        rng = random.Random(self._seed * 1000 + number)
        caller = _Caller(self._fleet, self._history, rng, f"c{number}", self._until)
        while time.monotonic() < self._until:
            begun_at = time.monotonic()
            caller.call()
            pause = rng.expovariate(CALLS_A_SECOND / CALLERS)
            due_at = min(begun_at + pause, self._until)
            time.sleep(max(due_at - time.monotonic(), 0.0))
        caller.close()


class _Caller:
    """One caller with its connection."""

    def __init__(
        self,
        fleet: GatewayFleet,
        history: WireHistory,
        rng: random.Random,
        name: str,
        until: float,
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._rng = rng
        self._name = name
        self._until = until
        self._serial = 0
        self._gateway = rng.choice(fleet.gateways)
        self._conn: WireConnection | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def call(self) -> None:
        """Call once, and take up a stream that breaks, at any gateway."""
        rng = self._rng
        kind = rng.choices(KINDS, [kind.weight for kind in KINDS])[0]
        self._serial += 1
        attempt_id = f"{self._name}-{self._serial}"
        work = self._draw_work(kind, attempt_id)
        protocol = OLD_PROTOCOL if rng.random() < OLD_PROTOCOL_FRACTION else "HTTP/1.1"
        call = self._call(kind, work, attempt_id, protocol)
        resumes = attempt_id
        for number in range(MAX_TAKE_UPS):
            if call is None or not self._is_broken(call):
                return
            last_event = call.last_event + whole_events(call.answer.body)
            if not last_event or time.monotonic() > self._until:
                return
            self.close()
            again = f"{attempt_id}-again{number + 1}"
            call = self._call(kind, work, again, protocol, resumes, last_event)

    def _is_broken(self, call: WireCall) -> bool:
        answer = call.answer
        gave_up = answer.ending in (Ending.NOTHING, Ending.LATE, Ending.LEFT)
        is_open = call.is_resumable and not gave_up
        return is_open and answer.status == 200 and not answer.is_complete

    def _draw_work(self, kind: Kind, attempt_id: str) -> Work:
        if not kind.pieces:
            return Work()
        mean = kind.pieces
        pieces = min(int(self._rng.expovariate(1 / mean)) + 1, kind.max_pieces)
        is_large = self._rng.random() < LARGE_FRACTION
        return Work(attempt_id, pieces, LARGE_PADDING if is_large else 20)

    def _connect(self) -> WireConnection | None:
        is_slow = self._rng.random() < SLOW_FRACTION
        gateway = self._gateway
        try:
            return WireConnection(gateway.ip, gateway.frontend_port, is_slow)
        except OSError:
            time.sleep(0.05)
            return None

    def _call(
        self,
        kind: Kind,
        work: Work,
        attempt_id: str,
        protocol: str,
        resumes: str = "",
        last_event: int = 0,
    ) -> WireCall | None:
        """Call once; None without a connection."""
        if self._conn is None:
            self._gateway = self._rng.choice(self._fleet.gateways)
            self._conn = self._connect()
            if self._conn is None:
                return None
        left = self._until + LAST_SECONDS - time.monotonic()
        patience = max(min(kind.deadline_seconds, left), 0.5)
        fields = self._fields(kind, attempt_id, patience)
        if last_event:
            fields |= {"Resumes": resumes, "Last-Event-Id": str(last_event)}
        is_lookup = kind.type == "idempotent"
        body = b"" if is_lookup else msgspec.json.encode(work)
        method = "GET" if is_lookup else "POST"
        leaves = self._rng.random() < LEAVE_FRACTION
        wanted_bytes = self._rng.uniform(0, MAX_LEFT_BYTES) if leaves else math.inf
        unasked = self._conn.unasked_bytes()
        sent_at = time.monotonic()
        try:
            answer = self._conn.call(
                method,
                kind.path + "x",
                fields,
                body,
                patience + 0.5,
                protocol,
                wanted_bytes,
            )
        except BadAnswerError as exc:
            unasked += str(exc).encode()
            answer = WireAnswer(0, {}, b"", Ending.NOTHING, time.monotonic())
        call = WireCall(
            attempt_id,
            kind.path,
            self._gateway.name,
            sent_at,
            answer,
            work.stream,
            work.pieces if work.stream else 0,
            kind.is_resumable,
            is_lookup,
            last_event,
            unasked,
            protocol,
        )
        self._history.calls.append(call)
        if not _is_kept(answer) or protocol == OLD_PROTOCOL:
            self.close()
        return call

    def _fields(self, kind: Kind, attempt_id: str, patience: float) -> dict[str, str]:
        fields = {
            "Host": HOST,
            "Oleandershift-Attempt-Id": attempt_id,
            "Oleandershift-Deadline-Ms": str(int(patience * 1000)),
            "Authorization": f"Bearer {key_of(self._rng.randrange(TEAMS))}",
        }
        if not kind.pieces:
            return fields
        part, own = self._rng.randrange(20), self._rng.getrandbits(32)
        return {
            **fields,
            "Content-Type": "application/json",
            "Oleandershift-Model": "m",
            "Oleandershift-Token-Usage": f"{kind.pieces * 60},{kind.pieces * 6}",
            "Oleandershift-Prompt-Prefix": f"a1:100,b{part:x}:100,{own:08x}:200",
        }


def _is_kept(answer: WireAnswer) -> bool:
    says_close = answer.headers.get("connection", "").lower() == "close"
    return answer.ending is Ending.STATED and not says_close


class VersionProber:
    """Asks gateways for the routes of recent versions, and for their metrics.

    Parameters
    ----------
    fleet : GatewayFleet
        Fleet of the gateways.
    history : VersionHistory
        Where answers are recorded.
    versions : list of int
        Versions that have been in force, in order; grows.
    rng : random.Random
        Source of the draws.
    """

    def __init__(
        self,
        fleet: GatewayFleet,
        history: VersionHistory,
        versions: list[int],
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._versions = versions
        self._rng = rng
        self._serial = 0
        self.asked: list[tuple[str, str, str]] = []

    def run(self, until: float) -> None:
        """Ask one gateway after the other until a monotonic time."""
        while time.monotonic() < until:
            gateway = self._rng.choice(self._fleet.gateways)
            for ask in (self._ask_route, self._ask_metrics):
                self._ask_one_life(gateway, ask)
            time.sleep(PROBE_PAUSE_SECONDS)

    def _ask_one_life(self, gateway: Gateway, ask: Callable[[Gateway], None]) -> None:
        try:
            ask(gateway)
        except (OSError, ValueError, BadAnswerError):
            return

    def _ask_route(self, gateway: Gateway) -> None:
        pid = gateway.process.pid
        version = self._rng.choice(self._versions[-PROBED_VERSIONS:])
        self._serial += 1
        attempt_id = f"probe-{self._serial}"
        fields = {
            "Host": HOST,
            "Oleandershift-Attempt-Id": attempt_id,
            "Oleandershift-Deadline-Ms": "1200",
            "Authorization": f"Bearer {key_of(0)}",
        }
        conn = WireConnection(gateway.ip, gateway.frontend_port)
        sent_at = time.monotonic()
        answer = conn.call("GET", version_path(version) + "x", fields, b"", 1.5)
        conn.close()
        if gateway.process.pid == pid:
            life = gateway.name, pid
            self._history.probes.append(
                VersionProbe(life, version, answer.status, sent_at, answer.ended_at)
            )

    def _ask_metrics(self, gateway: Gateway) -> None:
        pid, sent_at = gateway.process.pid, time.monotonic()
        page = gateway.metrics()
        if gateway.process.pid != pid:
            return
        values = dict(
            line.rsplit(" ", 1) for line in page.splitlines() if line[:1] != "#"
        )
        version, revision, era = (
            int(float(values.get(f"oleander_{name}", 0)))
            for name in ("configuration_version", "upstreams_revision", "store_era")
        )
        self._history.gauges.append(
            VersionGauges((gateway.name, pid), sent_at, version, revision, era)
        )


def run_coldroute(seed: int, seconds: float, folder: Path) -> list[str]:
    """Play the deployment, print what came of it, and return the violations."""
    history, soak, numbers = WireHistory(), SoakHistory(), VersionHistory()
    versions = [1]
    spec = coldroute_configuration(versions)
    with running_fleet(folder, engines=0, spec=spec, places=PLACES) as fleet:
        upstreams = WireFleet(fleet.store, folder, seed)
        try:
            _add_upstreams(upstreams)
            faults = ColdrouteFaults(
                fleet, upstreams.proxies, soak, random.Random(seed), versions
            )
            prober = VersionProber(
                fleet, numbers, versions, random.Random(f"probes-{seed}")
            )
            until = time.monotonic() + seconds
            callers = WireCallers(fleet, history, seed, until)
            threads = [
                threading.Thread(target=work.run, args=(until,), daemon=True)
                for work in (upstreams, prober)
            ]
            callers.start()
            for thread in threads:
                thread.start()
            faults.run(until)
            for thread in threads:
                thread.join()
            callers.join()
        finally:
            upstreams.stop()
    history.runs = read_records(folder)
    history.killed_at = soak.killed_at
    findings = find_faults(history)
    steps = find_steps_back(numbers)
    _print_summary(seed, history, faults.injected, upstreams.drawn)
    kinds = Counter(item.fault.value for item in findings)
    older = count_older_lives(numbers)
    print(
        f"seed {seed}: {len(numbers.probes)} probes, {len(numbers.gauges)} samples, "
        f"{len(steps)} steps back, {older} lives with an older version; "
        f"findings {dict(kinds)}",
        flush=True,
    )
    return [*(item.text for item in findings if item.is_counted), *steps]


def _add_upstreams(upstreams: WireFleet) -> None:
    places = tuple(dict.fromkeys(PLACES))
    for number in range(6):
        place = places[number % len(places)]
        upstreams.add(MODELS, place, 128, is_proxied=number % 3 == 2)
    for place in places:
        upstreams.add(DESK, place, 6)


def _print_summary(
    seed: int, history: WireHistory, injected: Counter[str], drawn: Counter[str]
) -> None:
    endings = Counter(
        f"{call.answer.status} {call.answer.ending.value}" for call in history.calls
    )
    styles = Counter(run.begun.style.split()[0] for run in history.runs.values())
    ends = Counter(run.end.value for run in history.runs.values())
    print(
        f"seed {seed}: {len(history.calls)} calls {dict(endings)}; "
        f"{len(history.runs)} runs {dict(styles)} {dict(ends)}; "
        f"faults {dict(injected)}; upstreams {dict(drawn)}",
        flush=True,
    )
