"""Starts gateways with the deploy file's command, and records what a case sees.

The store and the upstreams are the project's stand-ins. They run in the process of the
case; each gateway is a process of its own on its own loopback address.
"""

import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from standins.metastore import MetaStore
from standins.ports import free_ip, free_port

ROOT = Path(__file__).resolve().parents[2]
HOST = "caller.example"
KEY = "key-of-the-team"
HEARTBEAT_SECONDS = 1.2
START_SECONDS = 20.0
CONTACT_SECONDS = 4.0
"""Time without impairment after which a machine is in touch (`contactMs`)."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SETTINGS = """\
nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "fukuoka-a"
region = "fukuoka"
portRange = [7400, 7415]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "retry", "recover", "stream", "tenants"]
[zones]
fukuoka-a = "fukuoka"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
[limits]
cpuFraction = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 2500
graceS = 8
lossSlackMs = 200
configApplyMs = 2500
downgradeMs = 250
outerMs = 6000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryExtra = 58
recoveryS = 12
iterationMs = 250
reuseWindowS = 10
quotaWindowS = 4
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class SetupError(Exception):
    """The case can't run."""


class Record:
    """Lines on what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Append a line, and print it."""
        line = f"{time.monotonic() - self._started_at:8.3f} s  {text}"
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)


def wait_until(
    condition: Callable[[], bool], description: str, seconds: float = START_SECONDS
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    SetupError
        When it does not hold in time.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= deadline:
            raise SetupError(f"timed out: {description}")
        time.sleep(0.02)


def deploy_command() -> list[str]:
    """Return program and arguments of the deploy file's only role."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return shlex.split(deploy["roles"]["gateway"]["run"])


@dataclass
class Gateway:
    """A gateway process on its own loopback address."""

    name: str
    ip: str
    frontend: int
    readiness: int
    settings: Path
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the variables that the platform passes on."""
        env = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["OLEANDERSHIFT_NODE_FILE"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy_command(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds, as the platform asks it."""
        try:
            with socket.create_connection((self.ip, self.readiness), 1.0) as conn:
                conn.settimeout(1.0)
                conn.sendall(
                    b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n"
                    b"Connection: close\r\n\r\n"
                )
                return conn.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def exit_code(self) -> int | None:
        """Return the exit code; None while the process runs."""
        return self.process.poll() if self.process is not None else None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def connect(self) -> socket.socket:
        """Open a caller's connection."""
        conn = socket.create_connection((self.ip, self.frontend), 5.0)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.settimeout(10.0)
        return conn


@dataclass
class Fleet:
    """A store, upstreams that the case adds, and gateways."""

    folder: Path
    store: MetaStore
    gateways: list[Gateway] = field(default_factory=list)

    def add_gateway(self, store_port: int | None = None) -> Gateway:
        """Write the settings of a gateway and start it.

        Parameters
        ----------
        store_port : int or None
            Port at which it reaches the store; None for the store's own.
        """
        number = len(self.gateways) + 1
        ip = free_ip("127.31")
        gateway = Gateway(
            f"edge-fukuoka-a-{number}",
            ip,
            free_port(ip),
            free_port(ip),
            self.folder / f"edge-{number}.toml",
            self.folder / f"edge-{number}.log",
        )
        gateway.settings.write_text(
            SETTINGS.format(
                name=gateway.name,
                ip=ip,
                frontend=gateway.frontend,
                readiness=gateway.readiness,
                store=f"127.0.0.1:{store_port or self.store.port}",
            )
        )
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    def wait_ready(self) -> None:
        """Wait until all gateways are ready."""
        for gateway in self.gateways:
            wait_until(gateway.is_ready, f"{gateway.name} is ready")

    def wait_in_touch(self) -> None:
        """Wait until all gateways are ready, and in touch by the rules' bound."""
        self.wait_ready()
        time.sleep(CONTACT_SECONDS + 0.5)

    def stop(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.wait(5.0)
        self.store.stop()


@contextmanager
def running_fleet(
    config: dict[str, object], store: MetaStore | None = None
) -> Iterator[Fleet]:
    """Run a store with a configuration; end what the case has started."""
    store = store or MetaStore()
    store.start()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), store)
        try:
            store.put("config", "main", config)
            yield fleet
        finally:
            fleet.stop()


def route(path: str, kind: str, service: str, **fields: object) -> dict[str, object]:
    """Return the configuration of one route."""
    return {
        "name": path.strip("/"),
        "host": HOST,
        "pathPrefix": path,
        "type": kind,
        "timeoutMs": 4000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def configuration(
    version: int, *routes: dict[str, object], services: tuple[str, ...]
) -> dict[str, object]:
    """Return a configuration with one team."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "tokensPerS": 190000,
        },
        "tenants": [{"name": "team", "apiKeys": [KEY], "priority": 1}],
    }


def request_bytes(
    method: str, path: str, attempt: str, body: bytes = b"", deadline_ms: int = 4000
) -> bytes:
    """Return a caller's request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Oleandershift-Attempt-Id: {attempt}\r\n"
        f"Oleandershift-Deadline-Ms: {deadline_ms}\r\n"
        f"Authorization: Bearer {KEY}\r\n"
    )
    if method not in ("GET", "HEAD"):
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def run_case(name: str, run: Callable[[Record], bool]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it can't run.

    Parameters
    ----------
    name : str
        Folder of the case.
    run : callable
        Writes to the record and returns whether the rule held.
    """
    # So that the processes end though the case is stopped from outside.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(ROOT / "review" / name / "record.txt")
    try:
        held = run(record)
    except Exception:
        record.write("the case could not run: " + json.dumps(traceback.format_exc()))
        sys.exit(2)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
