"""What callers of a gateway meet during its planned stop."""

import asyncio
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

import pytest
import uvloop
from gateways import running

from oleandershift.io import gateway as gateway_module
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.gateway import Gateway
from oleandershift.io.listener import Listener
from oleandershift.io.pool import ConnectionPool
from standins.behaviours import Behaviour
from standins.gateway_fleet import HOST, KEY, METRICS_PORT

TIMEOUT_SECONDS = 10.0
SERVING_SECONDS = 0.3
LATE_SECONDS = 0.5
PADDING = b"x" * 900_000
RECEIVE_BUFFER_BYTES = 4096
BODY = b"the body"


@pytest.fixture(autouse=True)
def short_grace(monkeypatch):
    """Let the gateway stop serving soon after SIGTERM."""
    monkeypatch.setattr(gateway_module, "UNREADY_SERVING_SECONDS", SERVING_SECONDS)


SHORT_GRACE_MS = 1500.0
LATE_SEND_SECONDS = 1.0


@pytest.fixture
def short_stop(vm_settings, settings_path, engine):
    """Return a gateway that has a short time to stop, and its settings."""
    bounds = replace(vm_settings.bounds, termination_grace_ms=SHORT_GRACE_MS)
    settings = replace(vm_settings, bounds=bounds)
    log = DecisionLog(settings.vm, "ERROR")
    return Gateway(settings, settings_path, METRICS_PORT, log), settings


@pytest.fixture
def slow_connects(monkeypatch):
    """Let each connection to an upstream take a second."""
    acquire = ConnectionPool.acquire

    async def acquire_late(pool, *args, **kwargs):
        await asyncio.sleep(LATE_SEND_SECONDS)
        return await acquire(pool, *args, **kwargs)

    monkeypatch.setattr(ConnectionPool, "acquire", acquire_late)


def make_request(path="/read/x"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
        f"Oleandershift-Attempt-Id: a1\r\nOleandershift-Deadline-Ms: 4000\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    ).encode() + BODY


def read_all(conn):
    parts = []
    while data := conn.recv(1 << 20):
        parts.append(data)
    return b"".join(parts)


def status_of(answer):
    return answer.partition(b"\r\n")[0]


def stop_beside(gateway, vm_settings, before, after=lambda conn: None):
    """Stop a gateway between two calls with a caller's connection; return its answer.

    The connections end with the event loop, as they would with the process.
    """
    address = vm_settings.caller_address
    stopping = threading.Event()

    def call():
        with socket.socket() as conn:
            conn.settimeout(TIMEOUT_SECONDS)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            conn.connect((address.host, address.port))
            before(conn)
            stopping.set()
            after(conn)
            return read_all(conn)

    async def serve(callers):
        async with running(gateway, vm_settings):
            answer = callers.submit(call)
            await asyncio.to_thread(stopping.wait, TIMEOUT_SECONDS)
        return answer

    with ThreadPoolExecutor(1) as callers:
        return uvloop.run(serve(callers)).result()


@pytest.mark.parametrize("sent", [10, -len(BODY), -1], ids=["head", "body", "last"])
def test_stop_answers_a_request_whose_bytes_are_still_arriving(
    gateway, vm_settings, sent
):
    request = make_request()

    def send_rest(conn):
        time.sleep(SERVING_SECONDS + LATE_SECONDS)
        conn.sendall(request[sent:])

    answer = stop_beside(
        gateway, vm_settings, lambda conn: conn.sendall(request[:sent]), send_rest
    )
    assert status_of(answer) in (
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 503 Service Unavailable",
    )


def test_stop_does_not_cut_off_an_answer_that_its_caller_reads_slowly(
    gateway, engine, vm_settings
):
    engine.padding = PADDING

    def read_late(conn):
        time.sleep(SERVING_SECONDS + LATE_SECONDS)

    answer = stop_beside(
        gateway, vm_settings, lambda conn: conn.sendall(make_request()), read_late
    )
    assert status_of(answer) == b"HTTP/1.1 200 OK"
    assert answer.endswith(PADDING)


def test_stop_answers_requests_on_connections_that_wait_to_be_accepted(
    gateway, vm_settings, monkeypatch
):
    address = vm_settings.caller_address
    conns = []

    def close_while_a_caller_waits(listener):
        if listener is gateway._caller_listener:
            conn = socket.create_connection((address.host, address.port))
            conn.settimeout(TIMEOUT_SECONDS)
            conn.sendall(make_request())
            conns.append(conn)
        close(listener)

    close = Listener.close
    monkeypatch.setattr(Listener, "close", close_while_a_caller_waits)

    async def serve():
        async with running(gateway, vm_settings):
            pass

    uvloop.run(serve())
    with conns[0] as conn:
        assert status_of(read_all(conn)) == b"HTTP/1.1 503 Service Unavailable"


def test_caller_that_leaves_amid_its_request_does_not_hold_up_the_stop(
    gateway, vm_settings
):
    stopped_at = now()
    stop_beside(
        gateway,
        vm_settings,
        lambda conn: conn.sendall(make_request()[:-1]),
        lambda conn: conn.shutdown(socket.SHUT_WR),
    )
    assert now() - stopped_at < vm_settings.bounds.termination_grace_ms / 1000 / 2


@pytest.mark.parametrize("path", ["/write/x", "/read/x", "/stream/once/x"])
def test_stop_answers_a_request_that_its_upstream_does_not_finish(
    short_stop, engine, path
):
    """It was cut off without an answer when the process ended."""
    engine.behaviour = Behaviour.HANG
    request = make_request(path)

    def send(conn):
        conn.sendall(request)
        while not engine.received:
            time.sleep(0.01)

    answer = stop_beside(*short_stop, send)
    assert status_of(answer) == b"HTTP/1.1 504 Gateway Timeout"


@pytest.mark.parametrize("path", ["/write/x", "/read/x", "/stream/once/x"])
def test_request_that_can_t_be_answered_before_the_stop_is_refused_as_not_run(
    short_stop, engine, slow_connects, path
):
    """It was read in time, but sent on when the process was about to end."""
    request = make_request(path)

    def send(conn):
        conn.sendall(request)
        time.sleep(0.1)

    answer = stop_beside(*short_stop, send)
    assert status_of(answer) == b"HTTP/1.1 503 Service Unavailable"
    assert engine.received == []


@pytest.mark.parametrize("path", ["/write/x", "/read/x", "/stream/once/x"])
def test_request_that_can_be_answered_before_the_stop_is_served(
    gateway, vm_settings, engine, slow_connects, path
):
    request = make_request(path)

    def send(conn):
        conn.sendall(request)
        time.sleep(0.1)

    answer = stop_beside(gateway, vm_settings, send)
    assert status_of(answer) == b"HTTP/1.1 200 OK"
