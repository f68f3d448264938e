"""Test of the allocator process, in which the test acts as its agent and router."""

import queue
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

from oleandershift.ids import (
    DataCentreId,
    FleetId,
    Incarnation,
    RegionId,
    Seq,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.io.links import Links
from oleandershift.io.logs import EventLog
from oleandershift.messages import (
    Body,
    Envelope,
    Grants,
    Member,
    MembersView,
    ProcessId,
    Role,
    Row,
    RowsUpdate,
    Snapshot,
    StatusReport,
    TeamLoad,
)
from oleandershift.rows import ServiceRow, TeamRow, UpstreamRow, encode_row
from standins.ports import free_ports

LIMIT_SECONDS = 30.0
REGION = RegionId("r1")
SERVICE = ServiceId("drafting")


class FakeProcess:
    """Process on the allocator's VM, simulated by the test."""

    def __init__(self, role: Role, port: int) -> None:
        self.process = ProcessId(VmId("v1"), role, Incarnation(time.time_ns()))
        self.received: queue.Queue[Envelope] = queue.Queue()
        self.links = Links(
            FleetId("oleander"),
            self.process,
            REGION,
            f"tcp://127.0.0.1:{port}",
            self.received.put,
            EventLog(self.process, REGION),
        )
        self.links.start()

    def wait_for(self, kind: type[Body], send: tuple[str, Body] | None = None) -> Body:
        """Return the first message of a type, resending `send` until it arrives.

        `Grants` without any grant are skipped.
        """
        limit = time.monotonic() + LIMIT_SECONDS
        while time.monotonic() < limit:
            if send is not None:
                self.links.send(*send)
            try:
                body = self.received.get(timeout=0.2).body
            except queue.Empty:
                continue
            if isinstance(body, kind) and getattr(body, "grants", True):
                return body
        raise AssertionError(f"no {kind.__name__} received")


@pytest.fixture
def ports() -> list[int]:
    return free_ports(4)


@pytest.fixture
def agent(ports: list[int]) -> Iterator[FakeProcess]:
    fake = FakeProcess(Role.AGENT, ports[0])
    yield fake
    fake.links.close()


@pytest.fixture
def router(ports: list[int]) -> Iterator[FakeProcess]:
    fake = FakeProcess(Role.ROUTER, ports[2])
    yield fake
    fake.links.close()


@pytest.fixture
def daemon(ports: list[int]) -> Iterator[subprocess.Popen[bytes]]:
    flags = {
        "vm": "v1",
        "region": REGION,
        "data-centre": "d1",
        "ip": "127.0.0.1",
        "agent-port": ports[0],
        "allocator-port": ports[1],
        "router-port": ports[2],
    }
    command = [sys.executable, "-m", "oleandershift.cli.allocator"]
    command += [f"--{name}={value}" for name, value in flags.items()]
    with subprocess.Popen(command, stderr=subprocess.DEVNULL) as process:
        yield process
        process.kill()


def rows() -> RowsUpdate:
    upstream = UpstreamRow(
        name=UpstreamId("u1"),
        service=SERVICE,
        region=REGION,
        url="http://127.0.0.1:9",
        slots=2,
    )
    table_rows = [
        Row("services", SERVICE, 1, encode_row(ServiceRow(name=SERVICE))),
        Row("upstreams", "u1", 1, encode_row(upstream)),
        Row("teams", "t1", 1, encode_row(TeamRow(name=TeamId("t1")))),
    ]
    return RowsUpdate(tuple(table_rows), complete=True)


def test_allocator_grants_slots_and_stops_on_sigterm(
    ports: list[int],
    agent: FakeProcess,
    router: FakeProcess,
    daemon: subprocess.Popen[bytes],
) -> None:
    address = f"tcp://127.0.0.1:{ports[1]}"
    member = Member(
        VmId("v1"),
        REGION,
        DataCentreId("d1"),
        "127.0.0.1",
        ports[0],
        ports[3],
        ports[1],
        ports[2],
        9,
        Incarnation(1),
    )
    agent.links.send(address, rows())
    agent.wait_for(StatusReport, (address, MembersView(Seq(1), (member,))))
    agent.links.send(address, rows())
    snapshot = Snapshot(
        SERVICE,
        router.process,
        REGION,
        f"tcp://127.0.0.1:{ports[2]}",
        Seq(0),
        Seq(1),
        (TeamLoad(TeamId("t1"), 5),),
    )
    reply = router.wait_for(Grants, (address, snapshot))
    assert isinstance(reply, Grants)
    assert {grant.upstream for grant in reply.grants} == {"u1"}
    assert len(reply.grants) == 2
    daemon.send_signal(signal.SIGTERM)
    assert daemon.wait(LIMIT_SECONDS) == 0
