"""Contract of the fault-injecting proxy: docs/STANDINS.md."""

import threading
import time
from collections.abc import Callable, Iterator

import pytest
import urllib3

from standins.plain import PlainService
from standins.proxy import Proxy
from standins.proxy_faults import CutStage, CutStyle, ProxyFaults, ProxyMode

LOST = (urllib3.exceptions.HTTPError,)


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


def _ask(pool: urllib3.PoolManager, url: str) -> int:
    """Return the status; a head cut short looks whole to the client library."""
    answer = pool.request("POST", url, json={"echo": "a"})
    if "Oleander-Request-Id" not in answer.headers:
        raise urllib3.exceptions.ProtocolError
    return answer.status


@pytest.fixture
def ask(proxy: Proxy) -> Iterator[Callable[[], int]]:
    with urllib3.PoolManager(retries=False, timeout=1) as pool:
        yield lambda: _ask(pool, proxy.url)


@pytest.mark.parametrize("style", CutStyle)
@pytest.mark.parametrize(
    ("stage", "after_bytes", "executed"),
    [
        (CutStage.BEFORE_CONNECT, 0, 0),
        (CutStage.AFTER_CONNECT, 0, 0),
        (CutStage.MID_REQUEST, 20, 0),
        (CutStage.AFTER_REQUEST, 0, 1),
        (CutStage.MID_RESPONSE, 40, 1),
    ],
)
def test_cut_at_each_stage(
    stage: CutStage,
    after_bytes: int,
    executed: int,
    style: CutStyle,
    proxy: Proxy,
    service: PlainService,
    ask: Callable[[], int],
) -> None:
    proxy.set_faults(ProxyFaults(ProxyMode.CUT, stage, style, after_bytes))
    with pytest.raises(LOST):
        ask()
    assert len(service.ledger.executions()) == executed


@pytest.mark.parametrize(
    ("mode", "executed"),
    [
        (ProxyMode.DROP_TO_SERVER, 0),
        (ProxyMode.DROP_TO_CLIENT, 1),
        (ProxyMode.BLACK_HOLE, 0),
    ],
)
def test_held_bytes_pass_after_healing(
    mode: ProxyMode,
    executed: int,
    proxy: Proxy,
    service: PlainService,
    ask: Callable[[], int],
) -> None:
    assert ask() == 200
    proxy.set_faults(ProxyFaults(mode))
    with pytest.raises(LOST):
        ask()
    assert len(service.ledger.executions()) == 1 + executed
    heal = threading.Timer(0.2, proxy.set_faults, (ProxyFaults(),))
    heal.start()
    assert ask() == 200


def test_half_close_passes_the_answer(proxy: Proxy, ask: Callable[[], int]) -> None:
    proxy.set_faults(ProxyFaults(ProxyMode.HALF_CLOSE, after_bytes=10))
    with pytest.raises(LOST):
        ask()
    assert proxy.counters().to_server_bytes == 10


def test_probability_is_seeded(proxy: Proxy) -> None:
    def outcomes() -> list[bool]:
        fault = ProxyMode.CUT, CutStage.BEFORE_CONNECT
        proxy.set_faults(ProxyFaults(*fault, probability=0.5, seed=7))
        return [_answers(proxy) for _ in range(12)]

    first = outcomes()
    assert first == outcomes()
    assert set(first) == {True, False}


def _answers(proxy: Proxy) -> bool:
    with urllib3.PoolManager(retries=False, timeout=5) as pool:
        try:
            return _ask(pool, proxy.url) == 200
        except LOST:
            return False


def test_control_delays_and_cuts(
    proxy: Proxy, ask: Callable[[], int], service: PlainService
) -> None:
    with urllib3.PoolManager(retries=False, timeout=5) as pool:
        url = proxy.control_url + "/faults"
        assert pool.request("PUT", url, json={"delay_seconds": 0.1}).status == 200
        began = time.monotonic()
        assert ask() == 200
        assert time.monotonic() - began >= 0.2
        pool.request("POST", proxy.control_url + "/cut")
        assert pool.request("PUT", url, json={"mode": "none"}).status == 400
