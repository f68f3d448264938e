"""Gateway processes on loopback, with their store and upstreams."""

import http.client
import itertools
import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from standins.metastore import MetaStore
from standins.modelengine import ModelEngine
from standins.processes import ChildProcess, stop_all
from standins.proxy import Proxy

WAIT_TIMEOUT_SECONDS = 20.0
HOST = "caller.example"
KEY = "key-of-the-team"
_numbers = itertools.count(1)

SETTINGS = """\
nodeName = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "{zone}"
portRange = [7400, 7415]
[zones]
one = "one"
two = "two"
[listen]
frontend = "{ip}:7301"
readiness = "{ip}:7302"
[limits]
memoryMb = 300
maxFds = 4096
[bounds]
drainMs = 2500
graceS = 8
configApplyMs = 2500
retryRatio = 0.2
retryExtra = 200
retryWindowS = 10
[platform]
address = "{store}"
"""


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait for a condition, or fail with what did not come."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"not in time: {description}"
        time.sleep(0.02)


def route(path: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": path.strip("/"),
        "host": HOST,
        "pathPrefix": path,
        "type": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": "model",
        "maxAttempts": 3,
        **fields,
    }


def configuration(
    version: int, *routes: dict[str, object], keys: tuple[str, ...] = (KEY,)
) -> dict[str, object]:
    """Return a configuration with the usual routes and some more."""
    usual = (
        route("/stream/resumable/", "streaming", resumable=True),
        route("/stream/once/", "streaming"),
        route("/read/", "idempotent"),
        route("/write/", "non_idempotent"),
        route("/public/", "idempotent", public=True),
    )
    return {
        "version": version,
        "routes": [*usual, *routes],
        "services": [
            {"name": "model", "healthPath": "/healthz", "maxConnections": 100},
            {"name": "other", "healthPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {"idleTimeoutMs": 15000, "headerTimeoutMs": 3000},
        "tenants": [{"name": "team", "apiKeys": list(keys)}],
    }


@dataclass
class GatewayResponse:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    seconds: float


@dataclass
class Gateway:
    """One gateway process."""

    name: str
    ip: str
    process: ChildProcess
    store_proxy: Proxy
    frontend_port: int = 7301
    ready_port: int = 7302

    def call(self, path: str, attempt: str, **headers: str) -> GatewayResponse:
        """Make one call on a connection of its own."""
        conn = http.client.HTTPConnection(
            self.ip, self.frontend_port, timeout=WAIT_TIMEOUT_SECONDS
        )
        try:
            return call_on(conn, path, attempt, **headers)
        finally:
            conn.close()

    def is_ready(self) -> bool:
        """Tell whether it says that it is ready."""
        conn = http.client.HTTPConnection(self.ip, self.ready_port, timeout=1.0)
        try:
            conn.request("GET", "/v1/readyz")
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()


def call_on(
    conn: http.client.HTTPConnection, path: str, attempt: str, **headers: str
) -> GatewayResponse:
    """Make one call on an open connection."""
    started = time.monotonic()
    fields = {
        "Host": HOST,
        "Oleandershift-Attempt-Id": attempt,
        "Oleandershift-Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
        **headers,
    }
    conn.request("POST", path, body=attempt.encode(), headers=fields)
    res = conn.getresponse()
    try:
        body, whole = res.read(), True
    except (http.client.IncompleteRead, ConnectionError) as exc:
        body, whole = getattr(exc, "partial", b""), False
    found = {name.lower(): value for name, value in res.getheaders()}
    return GatewayResponse(res.status, found, body, whole, time.monotonic() - started)


@dataclass
class GatewayFleet:
    """Gateways before upstreams, with one store."""

    folder: Path
    store: MetaStore
    engines: dict[str, ModelEngine] = field(default_factory=dict)
    gateways: list[Gateway] = field(default_factory=list)

    def add_engine(
        self, name: str, service: str = "model", pause_seconds: float = 0.01
    ) -> ModelEngine:
        """Start and register an upstream."""
        made = ModelEngine(name, pause_seconds=pause_seconds)
        made.start()
        self.engines[name] = made
        self.store.put("servers", name, made.entry(service, "one"))
        return made

    def add_gateway(self, zone: str = "one") -> Gateway:
        """Start a gateway on an address of its own."""
        number = next(_numbers)
        ip = f"127.31.{os.getpid() % 250}.{number}"
        name = f"vm-{number}"
        path = self.folder / f"{name}.toml"
        link = Proxy("127.0.0.1", self.store.port)
        link.start()
        store = f"127.0.0.1:{link.port}"
        path.write_text(SETTINGS.format(name=name, ip=ip, zone=zone, store=store))
        process = ChildProcess(
            name,
            "oleandershift.cli.gateway",
            ["--node-file", str(path)],
            self.folder,
            has_log_file_flag=False,
        )
        process.start()
        made = Gateway(name, ip, process, link)
        self.gateways.append(made)
        return made

    def log(self, gateway: Gateway) -> str:
        """Return what a gateway wrote."""
        return gateway.process.stderr_path.read_text()

    def stop(self) -> None:
        """End everything."""
        stop_all([gateway.process for gateway in self.gateways], 0.2)
        for gateway in self.gateways:
            gateway.store_proxy.stop()
        for engine in self.engines.values():
            engine.stop()
        self.store.stop()


@contextmanager
def running_fleet(
    folder: Path, gateways: int = 1, engines: int = 2
) -> Iterator[GatewayFleet]:
    """Run a fleet that is ready to serve."""
    store = MetaStore()
    store.start()
    fleet = GatewayFleet(folder, store)
    try:
        store.put("config", "main", configuration(1))
        for number in range(engines):
            fleet.add_engine(f"e{number + 1}")
        for _ in range(gateways):
            fleet.add_gateway()
        for gateway in fleet.gateways:
            wait_until(gateway.is_ready, f"{gateway.name} is ready")
        yield fleet
    finally:
        fleet.stop()
