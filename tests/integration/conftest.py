"""Fixtures: a real router process, its agent's part, and upstreams."""

import hashlib
import json
import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import urllib3

from oleandershift.ids import FleetId, Incarnation, RegionId, VmId
from oleandershift.io.links import Links
from oleandershift.io.logs import EventLog
from oleandershift.messages import (
    Body,
    DrainCommand,
    Envelope,
    MembersView,
    ProcessId,
    Role,
    Row,
    RowsUpdate,
    StatusReport,
    Subscribe,
)
from oleandershift.rows import ServiceRow, TeamRow, UpstreamRow, encode_row
from standins.faulty import FaultyUpstream
from standins.ports import free_port

KEY = "key-of-the-team"
WAIT_SECONDS = 30.0


def wait_until(condition: Callable[[], bool], what: str) -> None:
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, f"not in time: {what}"
        time.sleep(0.02)


class LocalAgent:
    """The part of a VM's agent that a router sees."""

    def __init__(self) -> None:
        self.port = free_port()
        self.rows: dict[tuple[str, str], Row] = {}
        self.leaving: tuple[str, ...] = ()
        self.order: DrainCommand | None = None
        self.answer_after_seconds = 0.0
        self.reports: list[StatusReport] = []
        process = ProcessId(VmId("vm1"), Role.AGENT, Incarnation(time.time_ns()))
        events = EventLog(process, RegionId("north"))
        self._links = Links(
            FleetId("oleander"),
            process,
            RegionId("north"),
            f"tcp://127.0.0.1:{self.port}",
            self._take,
            events,
        )
        self._links.start()

    def put(self, row: ServiceRow | UpstreamRow | TeamRow) -> None:
        """Set a row."""
        kinds = {ServiceRow: "services", UpstreamRow: "upstreams", TeamRow: "teams"}
        kind = kinds[type(row)]
        held = self.rows.get((kind, row.name))
        version = held.version + 1 if held else 1
        self.rows[kind, row.name] = Row(kind, row.name, version, encode_row(row))

    def close(self) -> None:
        """Stop answering."""
        self._links.close()

    def _take(self, envelope: Envelope) -> None:
        if isinstance(envelope.body, StatusReport):
            self.reports.append(envelope.body)
        if isinstance(envelope.body, Subscribe):
            time.sleep(self.answer_after_seconds)
            self._answer(envelope.body)

    def _answer(self, subscribe: Subscribe) -> None:
        rows = tuple(self.rows.values())
        view = MembersView(time.time_ns(), (), self.leaving)
        bodies: list[Body] = [RowsUpdate(rows, bool(rows)), view]
        if self.order is not None:
            bodies.append(self.order)
        bodies.append(RowsUpdate((), query_id=subscribe.query_id))
        for body in bodies:
            self._links.send(subscribe.address, body)


@dataclass
class RouterProcess:
    """A router in a process of its own."""

    agent: LocalAgent
    log: Path
    flags: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.port = free_port()
        settings = {
            "vm": "vm1",
            "region": "north",
            "data-centre": "north-1",
            "ip": "127.0.0.1",
            "agent-port": str(self.agent.port),
            "router-port": str(free_port()),
            "http-port": str(self.port),
            "log-file": str(self.log),
            "max-requests": "64",
            "grace-seconds": "0.5",
            "policy": "fcfs",
            **self.flags,
        }
        flags = [f"--{name}={value}" for name, value in settings.items()]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "oleandershift.cli.router", *flags],
            env=dict(os.environ, PYTHONUNBUFFERED="1"),
        )
        self.url = f"http://127.0.0.1:{self.port}"
        self.http = urllib3.PoolManager(maxsize=64, retries=False, timeout=WAIT_SECONDS)

    def call(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> urllib3.BaseHTTPResponse:
        """Send a request with the team's key."""
        sent = {"Authorization": f"Bearer {KEY}"}
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        return self.http.request(method, self.url + path, body=body, headers=sent)

    def is_ready(self) -> bool:
        """Tell whether it takes requests."""
        assert self.process.poll() is None
        try:
            return self.call("GET", "/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def events(self) -> list[dict[str, str]]:
        """Return its time line."""
        lines = self.log.read_text().splitlines() if self.log.exists() else []
        return [json.loads(line).get("event") or {} for line in lines]

    def close(self) -> None:
        """Kill it if it runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(WAIT_SECONDS)


@pytest.fixture
def agent() -> Iterator[LocalAgent]:
    made = LocalAgent()
    yield made
    made.close()


@pytest.fixture
def upstream() -> Iterator[FaultyUpstream]:
    made = FaultyUpstream()
    yield made
    made.close()


@pytest.fixture
def table(agent: LocalAgent, upstream: FaultyUpstream) -> LocalAgent:
    marks = ("POST /charge", "POST /charges/*")
    agent.put(ServiceRow(name="chat", non_idempotent=marks, max_body_bytes=4096))
    agent.put(UpstreamRow(name="u1", service="chat", region="north", url=upstream.url))
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    agent.put(TeamRow(name="team", key_hashes=(digest,)))
    return agent


@pytest.fixture
def start_router(tmp_path: Path) -> Iterator[Callable[..., RouterProcess]]:
    started: list[RouterProcess] = []

    def start(agent: LocalAgent, **flags: str) -> RouterProcess:
        log = tmp_path / f"router{len(started)}.jsonl"
        named = {name.replace("_", "-"): value for name, value in flags.items()}
        started.append(RouterProcess(agent, log, named))
        return started[-1]

    yield start
    for router in started:
        router.close()


@pytest.fixture
def router(
    table: LocalAgent, start_router: Callable[..., RouterProcess]
) -> RouterProcess:
    made = start_router(table)
    wait_until(made.is_ready, "router ready")
    return made
