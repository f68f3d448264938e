"""Contract tests of the connections to upstreams."""

from collections.abc import Iterator

import pytest

from oleandershift.io.upstreams import UpstreamConnectionPool
from standins.plain import PlainService
from standins.run import UpstreamConfig


@pytest.fixture
def slow_upstream() -> Iterator[PlainService]:
    standin = PlainService(UpstreamConfig(overhead_seconds=0.5))
    standin.start()
    yield standin
    standin.stop()


def test_response_may_take_longer_than_the_connect_timeout(
    slow_upstream: PlainService,
) -> None:
    connections = UpstreamConnectionPool(
        connect_timeout_seconds=0.1, read_timeout_seconds=10.0
    )
    conn = connections.connect(slow_upstream.url)
    conn.request("GET", "/x")
    assert conn.getresponse().status == 200
    conn.close()
    connections.close()
