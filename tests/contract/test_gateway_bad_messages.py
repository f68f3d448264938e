"""A gateway after messages and files that it can't use."""

import asyncio
import http.client
import socket
import time

import pytest
import uvloop
from gateways import running

from oleandershift.digests import Digest, Scope, encode
from oleandershift.io import gateway as gateway_module
from standins.gateway_fleet import METRICS_PORT

TIMEOUT_SECONDS = 10.0
TICKS = 5


@pytest.fixture
def tick_errors(monkeypatch):
    """Return the names of the tasks that failed."""
    failed = []
    log_exception = gateway_module.DecisionLog.exception

    def record(log, event, **fields):
        failed.append((event, fields))
        log_exception(log, event, **fields)

    monkeypatch.setattr(gateway_module.DecisionLog, "exception", record)
    return failed


async def until_known(gateway, count):
    """Wait until a gateway knows some VMs, itself included."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while gateway._peers.known_count(time.monotonic()) < count:
            await asyncio.sleep(0.01)


async def maintained(gateway):
    """Wait until a gateway's maintenance has run some times."""
    for _ in range(TICKS):
        ticked_at = gateway._arrivals._ticked_at
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while gateway._arrivals._ticked_at == ticked_at:
                await asyncio.sleep(0.01)


def vm_entry(ip, port=7400):
    return {"ip": ip, "port": port, "zone": "one"}


@pytest.mark.parametrize(
    "entry",
    [
        vm_entry("vm2.example"),
        vm_entry("::1"),
        vm_entry(""),
        vm_entry("127.0.0.1", 70_000),
        vm_entry("127.0.0.1", -1),
        vm_entry("127.0.0.1", 1 << 40),
    ],
    ids=["name", "IPv6", "empty", "port 70000", "port -1", "port 2**40"],
)
@pytest.mark.parametrize("run", [uvloop.run, asyncio.run], ids=["uvloop", "asyncio"])
def test_registration_with_a_wrong_address_does_not_end_the_maintenance(
    gateway, vm_settings, store, tick_errors, run, entry
):
    store.put("gateways", "vm2", entry)
    store.put("gateways", "vm3", vm_entry("127.0.0.1", 9))

    async def serve():
        async with running(gateway, vm_settings):
            await until_known(gateway, 2)
            await maintained(gateway)
            assert not gateway._peer_transport._transport.is_closing()

    run(serve())
    assert tick_errors == []


@pytest.mark.parametrize("run", [uvloop.run, asyncio.run], ids=["uvloop", "asyncio"])
def test_digest_with_a_wrong_address_does_not_end_the_maintenance(
    gateway, vm_settings, tick_errors, run
):
    def make_digest(vm, host, port):
        incarnation = time.time_ns()
        return encode(
            Digest(vm, "one", incarnation, 1, Scope.VM, 1, 1, 1, host, port, (), ())
        )

    async def serve():
        async with running(gateway, vm_settings):
            target = (vm_settings.ip, vm_settings.peer_port)
            with socket.socket(type=socket.SOCK_DGRAM) as sender:
                sender.sendto(make_digest("vm2", "vm2.example", 7400), target)
                sender.sendto(make_digest("vm4", "127.0.0.1", 70_000), target)
                sender.sendto(make_digest("vm3", "127.0.0.1", 9), target)
            await until_known(gateway, 2)
            await maintained(gateway)
            assert not gateway._peer_transport._transport.is_closing()

    run(serve())
    assert tick_errors == []


def test_settings_file_that_is_out_of_reach_does_not_end_the_maintenance(
    gateway, vm_settings, settings_path, tick_errors
):
    async def serve():
        async with running(gateway, vm_settings):
            folder = settings_path.parent
            folder.rename(folder.with_name("moved"))
            folder.write_text("")
            await asyncio.sleep(1.5 * gateway_module.SETTINGS_POLL_SECONDS)
            await maintained(gateway)

    uvloop.run(serve())
    assert tick_errors == []


@pytest.mark.parametrize(
    "data",
    [b"\0\r\n\r\n", b"GET /%00\xff HTTP/1.1\r\nhost: \xff\r\n\r\n", b"x" * 100_000],
)
@pytest.mark.parametrize("port", ["readiness", "metrics"])
def test_bad_bytes_on_a_probed_socket_do_not_end_it(
    gateway, vm_settings, tick_errors, port, data
):
    host = vm_settings.ip
    number = METRICS_PORT if port == "metrics" else vm_settings.readiness_address.port
    path = "/metrics" if port == "metrics" else "/v1/readyz"

    def probe():
        conn = http.client.HTTPConnection(host, number, timeout=5.0)
        conn.connect()
        conn.sock.sendall(data)
        conn.close()
        conn.request("GET", path)
        return conn.getresponse().status

    async def serve():
        async with running(gateway, vm_settings):
            return await asyncio.to_thread(probe)

    assert uvloop.run(serve()) == 200
    assert tick_errors == []
