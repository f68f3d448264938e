"""Sends to upstreams that restart or are registered anew, found in a review."""

import asyncio
import time
from dataclasses import replace

import pytest
from test_gateway_departures import leave_while_held
from upstreams import make_upstream

from oleandershift.io.forwarding import response_matcher
from oleandershift.io.pool import ConnectionPool

__all__ = ["leave_while_held"]

TIMEOUT_SECONDS = 5.0
RESPONSE = (
    b"HTTP/1.1 200 OK\r\noleandershift-attempt-id: %b\r\ncontent-length: 0\r\n\r\n"
)


def test_request_chosen_before_its_only_upstream_restarted_is_served(
    gateway, engine, store, leave_while_held
):
    born = int(time.time() * 1000) + 1

    def restart():
        store.put("servers", "e1", engine.entry("model", "one") | {"born": born})

    def is_known():
        return gateway._view.directory.get("e1").incarnation == born

    answer = leave_while_held(restart, is_known)
    assert answer.status == 200


@pytest.fixture
def upstream_port():
    """Run an upstream in the loop of the test; return a function that starts it."""

    async def serve(reader, writer):
        while request := await reader.readuntil(b"\r\n\r\n"):
            writer.write(RESPONSE % request.split()[1])

    async def start():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server, server.sockets[0].getsockname()[1]

    return start


def test_response_on_a_reused_connection_speaks_for_the_registered_run(upstream_port):
    async def run():
        server, port = await upstream_port()
        pool, responses = ConnectionPool(4), []
        pool.on_response = lambda upstream, head: responses.append(upstream.run)
        earlier = make_upstream(port=port)
        later = replace(earlier, incarnation=2)
        for name, upstream in ((b"a1", earlier), (b"a2", later)):
            conn = await pool.acquire(upstream, True)
            request = b"GET %b HTTP/1.1\r\n\r\n" % name
            exchange = conn.send(request, response_matcher(name.decode()))
            await exchange.head
            assert await exchange.read() == b""
            pool.release(upstream, conn)
        pool.close()
        server.close()
        assert pool.opened_count == 1
        return responses, [earlier.run, later.run]

    responses, expected = asyncio.run(asyncio.wait_for(run(), TIMEOUT_SECONDS))
    assert responses == expected
