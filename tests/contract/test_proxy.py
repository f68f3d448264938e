"""Contract of the fault-injecting proxy: docs/STANDINS.md."""

import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest
import urllib3

from oleandershift.io.lingering import reset_on_close
from standins.plain import PlainService
from standins.proxy import Proxy
from standins.proxy_faults import CutStage, CutStyle, ProxyFaults, ProxyMode

BROKEN_RESPONSE = (urllib3.exceptions.HTTPError,)


@pytest.fixture
def service() -> Iterator[PlainService]:
    standin = PlainService()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def proxy(service: PlainService) -> Iterator[Proxy]:
    host, port = service.url.removeprefix("http://").split(":")
    standin = Proxy(host, int(port))
    standin.start()
    yield standin
    standin.stop()


def _send_request(pool: urllib3.PoolManager, url: str) -> int:
    """Return the status.

    The client library accepts a truncated head as complete, so a response without a
    request id counts as broken.
    """
    res = pool.request("POST", url, json={"echo": "a"})
    if "Oleander-Request-Id" not in res.headers:
        raise urllib3.exceptions.ProtocolError
    return res.status


@pytest.fixture
def send_request(proxy: Proxy) -> Iterator[Callable[[], int]]:
    with urllib3.PoolManager(retries=False, timeout=1) as pool:
        yield lambda: _send_request(pool, proxy.url)


@pytest.mark.parametrize("style", CutStyle)
@pytest.mark.parametrize(
    ("stage", "after_bytes", "executions"),
    [
        (CutStage.BEFORE_CONNECT, 0, 0),
        (CutStage.AFTER_CONNECT, 0, 0),
        (CutStage.MID_REQUEST, 20, 0),
        (CutStage.AFTER_REQUEST, 0, 1),
        (CutStage.MID_RESPONSE, 40, 1),
    ],
)
def test_cut_at_each_stage_breaks_the_response(
    stage: CutStage,
    after_bytes: int,
    executions: int,
    style: CutStyle,
    proxy: Proxy,
    service: PlainService,
    send_request: Callable[[], int],
) -> None:
    proxy.set_faults(ProxyFaults(ProxyMode.CUT, stage, style, after_bytes))
    with pytest.raises(BROKEN_RESPONSE):
        send_request()
    assert len(service.ledger.executions()) == executions


@pytest.mark.parametrize(
    ("mode", "executions"),
    [
        (ProxyMode.DROP_TO_SERVER, 0),
        (ProxyMode.DROP_TO_CLIENT, 1),
        (ProxyMode.BLACK_HOLE, 0),
    ],
)
def test_held_bytes_are_forwarded_after_the_fault_is_cleared(
    mode: ProxyMode,
    executions: int,
    proxy: Proxy,
    service: PlainService,
    send_request: Callable[[], int],
) -> None:
    assert send_request() == 200
    proxy.set_faults(ProxyFaults(mode))
    with pytest.raises(BROKEN_RESPONSE):
        send_request()
    assert len(service.ledger.executions()) == 1 + executions
    clear_faults = threading.Timer(0.2, proxy.set_faults, (ProxyFaults(),))
    clear_faults.start()
    assert send_request() == 200


def test_half_close_forwards_only_the_first_bytes_to_the_server(
    proxy: Proxy, send_request: Callable[[], int]
) -> None:
    proxy.set_faults(ProxyFaults(ProxyMode.HALF_CLOSE, after_bytes=10))
    with pytest.raises(BROKEN_RESPONSE):
        send_request()
    assert proxy.counters().to_server_bytes == 10


HALF_OF_THE_CONNECTIONS = ProxyFaults(
    ProxyMode.CUT, CutStage.BEFORE_CONNECT, probability=0.5, seed=7
)


def test_same_seed_selects_the_same_connections(proxy: Proxy) -> None:
    def outcomes() -> list[bool]:
        proxy.set_faults(HALF_OF_THE_CONNECTIONS)
        return [_succeeds(proxy) for _ in range(12)]

    first = outcomes()
    assert first == outcomes()
    assert set(first) == {True, False}


def test_connection_of_earlier_faults_does_not_shift_the_choice_of_the_next_ones(
    proxy: Proxy, send_request: Callable[[], int]
) -> None:
    proxy.set_faults(HALF_OF_THE_CONNECTIONS)
    first = [_succeeds(proxy) for _ in range(12)]
    proxy.set_faults(ProxyFaults())
    assert send_request() == 200
    proxy.set_faults(HALF_OF_THE_CONNECTIONS)
    assert send_request() == 200
    assert proxy.counters().accepted == 13
    assert [_succeeds(proxy) for _ in range(12)] == first


def _succeeds(proxy: Proxy) -> bool:
    with urllib3.PoolManager(retries=False, timeout=5) as pool:
        try:
            return _send_request(pool, proxy.url) == 200
        except BROKEN_RESPONSE:
            return False


def test_control_port_sets_a_delay_cuts_and_rejects_an_unknown_mode(
    proxy: Proxy, send_request: Callable[[], int], service: PlainService
) -> None:
    with urllib3.PoolManager(retries=False, timeout=5) as pool:
        url = proxy.control_url + "/faults"
        assert pool.request("PUT", url, json={"delay_seconds": 0.1}).status == 200
        started_at = time.monotonic()
        assert send_request() == 200
        assert time.monotonic() - started_at >= 0.2
        pool.request("POST", proxy.control_url + "/cut")
        assert pool.request("PUT", url, json={"mode": "none"}).status == 400


@pytest.fixture
def server() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


@pytest.fixture
def link(server: socket.socket) -> Iterator[Proxy]:
    standin = Proxy(*server.getsockname())
    standin.start()
    yield standin
    standin.stop()


@pytest.mark.parametrize("style", CutStyle)
def test_client_sees_the_end_that_the_server_chose(
    server: socket.socket, link: Proxy, style: CutStyle
) -> None:
    with socket.create_connection((link.ip, link.port), timeout=5) as client:
        conn, _ = server.accept()
        conn.sendall(b"x")
        assert client.recv(1) == b"x"
        if style is CutStyle.RESET:
            reset_on_close(conn)
        conn.close()
        if style is CutStyle.FINISH:
            assert client.recv(1) == b""
        else:
            with pytest.raises(ConnectionResetError):
                client.recv(1)


def test_proxy_refuses_connections_until_it_accepts_again(link: Proxy) -> None:
    address = link.ip, link.port
    link.refuse()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=5)
    link.accept_again()
    socket.create_connection(address, timeout=5).close()
