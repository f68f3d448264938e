"""Cost of a request, a streamed token and a waiting request in the router."""

import socket
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import msgspec
import urllib3

from oleandershift.ids import RegionId, ServiceId, TeamId, UpstreamId
from oleandershift.keys import hash_key
from oleandershift.messages import Role, Row
from oleandershift.rows import RowKind, ServiceRow, TeamRow, UpstreamRow, encode_row
from standins.capacity.daemons import IP, STOP_TIMEOUT_SECONDS, Vm, running_vm
from standins.capacity.measure import MICROSECONDS, Report, slope
from standins.capacity.processes import resident_bytes
from standins.capacity.samples import region_of

ENGINE_IP = "127.25.1.2"
ENGINE_PORT = 27200
KEY = "ole_capacity"
QUICK, BLOCKED = ServiceId("quick"), ServiceId("blocked")
CLIENTS = 32
WHOLE_REQUESTS = 400
STREAMS = ((5, 160), (15, 96), (40, 64))
WAITING_COUNTS = (50, 150, 300)
TOKENS_PER_SECOND = 10
"""Low enough that the engine stand-in sends one event per token."""

LONG_TOKENS = 100_000
SETTLE_SECONDS = 2.0
TIMEOUT = urllib3.Timeout(30)


def _rows() -> Iterable[Row]:
    team = TeamRow(name=TeamId("team"), key_hashes=(hash_key(KEY),))
    yield Row(RowKind.TEAMS.value, team.name, 1, encode_row(team))
    for service, slots in ((QUICK, 64), (BLOCKED, 1)):
        service_row = ServiceRow(name=service)
        yield Row(RowKind.SERVICES.value, service, 1, encode_row(service_row))
        upstream = UpstreamRow(
            name=UpstreamId(f"engine-{service}"),
            service=service,
            region=RegionId(region_of(0)),
            url=f"http://{ENGINE_IP}:{ENGINE_PORT}",
            slots=slots,
        )
        yield Row(RowKind.UPSTREAMS.value, upstream.name, 1, encode_row(upstream))


@contextmanager
def _engine() -> Iterator[None]:
    args = [f"--ip={ENGINE_IP}", f"--port={ENGINE_PORT}", "--slots=128"]
    args += [f"--control-port={ENGINE_PORT + 1}", f"--speed={TOKENS_PER_SECOND}"]
    args += ["--load-factor=0"]
    command = [sys.executable, "-m", "standins.engine", *args]
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    try:
        yield
    finally:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _body(tokens: int, stream: bool) -> bytes:
    return msgspec.json.encode({"max_tokens": tokens, "stream": stream})


def _request(pool: urllib3.PoolManager, url: str, tokens: int, stream: bool) -> int:
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    response = pool.request(
        "POST",
        f"{url}/v1/{QUICK}/generate",
        body=_body(tokens, stream),
        headers=headers,
        timeout=TIMEOUT,
        retries=False,
    )
    return response.status


def _cpu_seconds_per_request(vm: Vm, count: int, tokens: int, stream: bool) -> float:
    """Send requests and return the router's CPU time per request, seconds."""
    pool = urllib3.PoolManager(maxsize=CLIENTS)
    before = vm.cpu_seconds(Role.ROUTER)
    with ThreadPoolExecutor(CLIENTS) as workers:
        futures = [
            workers.submit(_request, pool, vm.url, tokens, stream) for _ in range(count)
        ]
        statuses = [future.result() for future in futures]
    pool.clear()
    assert set(statuses) == {200}, set(statuses)
    return (vm.cpu_seconds(Role.ROUTER) - before) / count


def _open_waiting_request(vm: Vm) -> socket.socket:
    body = _body(LONG_TOKENS, True)
    head = (
        f"POST /v1/{BLOCKED}/generate HTTP/1.1\r\nHost: {IP}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    host, _, port = vm.url.removeprefix("http://").partition(":")
    conn = socket.create_connection((host, int(port)), timeout=10)
    conn.sendall(head.encode() + body)
    return conn


def _measure_waiting(report: Report, vm: Vm) -> None:
    connections = [_open_waiting_request(vm)]
    time.sleep(SETTLE_SECONDS)
    points = []
    pid = str(vm.processes[Role.ROUTER].pid)
    for count in WAITING_COUNTS:
        connections += [
            _open_waiting_request(vm) for _ in range(count + 1 - len(connections))
        ]
        time.sleep(SETTLE_SECONDS)
        points.append((count, resident_bytes(pid) / 1024))
        report.add(f"router with {count} waiting", points[-1][1] / 1024, "MiB resident")
    report.add("router, per waiting request", slope(points), "KiB resident")
    for conn in connections:
        conn.close()


def measure(report: Report) -> None:
    """Measure the router's cost of complete and streamed responses and of waiting."""
    report.begin_section("data path")
    with _engine(), running_vm(Vm(_rows())) as vm:
        _cpu_seconds_per_request(vm, CLIENTS, 1, False)
        cpu_seconds = _cpu_seconds_per_request(vm, WHOLE_REQUESTS, 1, False)
        report.add("router, whole answer", MICROSECONDS * cpu_seconds, "us/request")
        points = []
        for tokens, count in STREAMS:
            stream_seconds = _cpu_seconds_per_request(vm, count, tokens, True)
            points.append((tokens, MICROSECONDS * stream_seconds))
            name = f"router, streamed answer of {tokens} tokens"
            report.add(name, points[-1][1], "us/request")
        report.add("router, per streamed event of one token", slope(points), "us/event")
        _measure_waiting(report, vm)
