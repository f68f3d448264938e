"""Gateway processes on loopback addresses, with a metadata store and upstreams."""

import http.client
import itertools
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from standins.metastore import MetaStore
from standins.modelengine import ModelEngine
from standins.ports import free_ip
from standins.processes import ChildProcess, stop_all
from standins.proxy import Proxy

WAIT_TIMEOUT_SECONDS = 20.0
HOST = "caller.example"
KEY = "key-of-the-team"
NETWORK = "127.31"
"""First two numbers of the VMs' addresses."""

METRICS_PORT = 9464
"""Default port of the gateway's metrics."""

_vm_numbers = itertools.count(1)

_SETTINGS = """\
nodeName = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "{zone}"
portRange = [7400, 7415]
[zones]
{zones}
[listen]
frontend = "{ip}:7301"
readiness = "{ip}:7302"
[limits]
memoryMb = 300
maxFds = {max_fds}
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


def vm_settings(
    name: str,
    ip: str,
    store: str,
    zone: str = "one",
    zones: Iterable[str] = ("one", "two"),
    max_fds: int = 4096,
) -> str:
    """Return the settings file of a VM.

    Parameters
    ----------
    name, ip : str
        Name and address of the VM.
    store : str
        Address of the platform's store.
    zone, zones : str, iterable of str
        Its data centre, and all of them.
    max_fds : int
        Limit of descriptors.
    """
    return _SETTINGS.format(
        name=name,
        ip=ip,
        zone=zone,
        zones="\n".join(f'{item} = "{item}"' for item in zones),
        store=store,
        max_fds=max_fds,
    )


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Wait until a condition holds; fail with its description after the timeout."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"timed out: {description}"
        time.sleep(0.02)


def wait_for_new_route(gateways: Iterable["Gateway"]) -> None:
    """Wait until gateways serve the route `/new/`."""
    for gateway in gateways:

        def serves_it(gateway: "Gateway" = gateway) -> bool:
            return gateway.call("/new/x", "a").status == 200

        wait_until(serves_it, f"{gateway.name} has the new route")


def route(path: str, kind: str, **fields: object) -> dict[str, object]:
    """Return the configuration of one route."""
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
    """Return a gateway configuration with the default routes and further ones."""
    default_routes = (
        route("/stream/resumable/", "streaming", resumable=True),
        route("/stream/once/", "streaming"),
        route("/read/", "idempotent"),
        route("/write/", "non_idempotent"),
        route("/public/", "idempotent", public=True),
    )
    return {
        "version": version,
        "routes": [*default_routes, *routes],
        "services": [
            {"name": "model", "healthPath": "/healthz", "maxConnections": 100},
            {"name": "other", "healthPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {"idleTimeoutMs": 15000, "headerTimeoutMs": 3000},
        "tenants": [{"name": "team", "apiKeys": list(keys)}],
    }


@dataclass
class GatewayResponse:
    """Response of a gateway as its caller received it."""

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

    def call(
        self, path: str, attempt: str, body: bytes | None = None, /, **headers: str
    ) -> GatewayResponse:
        """Send one request on a new connection; its default body is the attempt."""
        conn = http.client.HTTPConnection(
            self.ip, self.frontend_port, timeout=WAIT_TIMEOUT_SECONDS
        )
        try:
            return call_on(conn, path, attempt, body, **headers)
        finally:
            conn.close()

    def metrics(self) -> str:
        """Return the metrics page."""
        conn = http.client.HTTPConnection(self.ip, METRICS_PORT, timeout=5)
        try:
            conn.request("GET", "/metrics")
            return conn.getresponse().read().decode()
        finally:
            conn.close()

    def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        return is_ready(self.ip, self.ready_port)


def is_ready(ip: str, port: int) -> bool:
    """Return whether a readiness probe succeeds."""
    conn = http.client.HTTPConnection(ip, port, timeout=1.0)
    try:
        conn.request("GET", "/v1/readyz")
        return conn.getresponse().status == 200
    except OSError:
        return False
    finally:
        conn.close()


def call_on(
    conn: http.client.HTTPConnection,
    path: str,
    attempt: str,
    body: bytes | None = None,
    /,
    **headers: str,
) -> GatewayResponse:
    """Send one request on an open connection."""
    started = time.monotonic()
    fields = {
        "Host": HOST,
        "Oleandershift-Attempt-Id": attempt,
        "Oleandershift-Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
        **headers,
    }
    sent = attempt.encode() if body is None else body
    conn.request("POST", path, body=sent, headers=fields)
    res = conn.getresponse()
    try:
        received, whole = res.read(), True
    except (http.client.IncompleteRead, ConnectionError) as exc:
        received, whole = getattr(exc, "partial", b""), False
    res_headers = {name.lower(): value for name, value in res.getheaders()}
    return GatewayResponse(
        res.status, res_headers, received, whole, time.monotonic() - started
    )


@dataclass
class GatewayFleet:
    """Gateways in front of upstreams, with a shared metadata store."""

    folder: Path
    store: MetaStore
    engines: dict[str, ModelEngine] = field(default_factory=dict)
    gateways: list[Gateway] = field(default_factory=list)
    upstream_proxies: dict[str, Proxy] = field(default_factory=dict)
    max_fds: int = 4096
    zones: tuple[str, ...] = ("one", "two")

    def add_engine(
        self, name: str, service: str = "model", pause_seconds: float = 0.01
    ) -> ModelEngine:
        """Start an upstream and register it in the store."""
        engine = ModelEngine(name, pause_seconds=pause_seconds)
        engine.start()
        self.engines[name] = engine
        self.store.put("servers", name, engine.entry(service, "one"))
        return engine

    def add_gateway(self, zone: str = "one") -> Gateway:
        """Start a gateway on its own address, behind a proxy to the store."""
        number = next(_vm_numbers)
        ip = free_ip(NETWORK)
        name = f"vm-{number}"
        path = self.folder / f"{name}.toml"
        proxy = Proxy("127.0.0.1", self.store.port)
        proxy.start()
        store = f"127.0.0.1:{proxy.port}"
        settings = vm_settings(name, ip, store, zone, self.zones, self.max_fds)
        path.write_text(settings)
        process = ChildProcess(
            name,
            "oleandershift.cli.gateway",
            ["--node-file", str(path)],
            self.folder,
            has_log_file_flag=False,
        )
        process.start()
        gateway = Gateway(name, ip, process, proxy)
        self.gateways.append(gateway)
        return gateway

    def log(self, gateway: Gateway) -> str:
        """Return the log of a gateway."""
        return gateway.process.stderr_path.read_text()

    def stop(self) -> None:
        """Stop all processes and servers."""
        stop_all([gateway.process for gateway in self.gateways], 0.2)
        for gateway in self.gateways:
            gateway.store_proxy.stop()
        for proxy in self.upstream_proxies.values():
            proxy.stop()
        for engine in self.engines.values():
            engine.stop()
        self.store.stop()


@contextmanager
def running_fleet(
    folder: Path,
    gateways: int = 1,
    engines: int = 2,
    max_fds: int = 4096,
    spec: object = None,
    places: Sequence[str] = (),
) -> Iterator[GatewayFleet]:
    """Run a fleet and yield it when all its gateways are ready.

    Parameters
    ----------
    folder : Path
        Where logs are kept.
    gateways, engines, max_fds : int
        Number of gateways and upstreams, and descriptors of each gateway.
    spec : object
        First configuration, in place of the default one.
    places : sequence of str
        Data centre of each gateway, in place of `gateways`.
    """
    store = MetaStore()
    store.start()
    zones = tuple(dict.fromkeys(places)) or ("one", "two")
    fleet = GatewayFleet(folder, store, max_fds=max_fds, zones=zones)
    try:
        store.put("config", "main", configuration(1) if spec is None else spec)
        for number in range(engines):
            fleet.add_engine(f"e{number + 1}")
        for place in places or ["one"] * gateways:
            fleet.add_gateway(place)
        for gateway in fleet.gateways:
            wait_until(gateway.is_ready, f"{gateway.name} is ready")
        yield fleet
    finally:
        fleet.stop()
