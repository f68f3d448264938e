"""Reuse of connections to upstreams: no byte of one response in another."""

import asyncio
import contextlib
import os
import socket
import time
from dataclasses import dataclass, replace

import pytest
import uvloop
from hypothesis import HealthCheck, example, given, settings, strategies as st
from upstreams import make_upstream

from oleandershift.io.forwarding import (
    is_upstream_response,
    proves_not_run,
    response_matcher,
)
from oleandershift.io.pool import ConnectionPool
from oleandershift.io.upstreamconn import BrokenExchangeError

FIRST_BODY = b"first"
SECOND_BODY = b"second"
SECOND_ID = "a2"
TIMEOUT_SECONDS = 0.3
"""Time limit of exchanges that may never end."""
WHOLE_TIMEOUT_SECONDS = 10.0


def make_response(attempt, body, status=b"200 OK", framing=b""):
    framing = framing or b"content-length: %d\r\n" % len(body)
    head = b"HTTP/1.1 %b\r\noleandershift-attempt-id: %b\r\n" % (status, attempt)
    seal = b"oleandershift-response-seal: s.%b\r\n" % attempt
    return head + seal + framing + b"\r\n" + body


def make_chunked(attempt, *chunks):
    body = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return make_response(attempt, body, framing=b"transfer-encoding: chunked\r\n")


WHOLE = make_response(b"a1", FIRST_BODY)
RESPONSES = [
    WHOLE,
    make_chunked(b"a1", b"fi", b"rst", b""),
    make_chunked(b"a1", b"fi", b"rst"),
    make_response(b"a1", FIRST_BODY, framing=b"connection: close\r\n"),
    make_response(b"a1", b"", status=b"204 No Content", framing=b"x: y\r\n"),
    make_response(b"a1", FIRST_BODY, status=b"204 No Content"),
    make_response(b"a1", b"", status=b"304 Not Modified"),
    make_response(b"a1", FIRST_BODY, status=b"500 Failed"),
    b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE,
    b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + WHOLE,
    make_response(b"a1", b"", status=b"101 Switching Protocols"),
    make_response(b"a0", b"other") + WHOLE,
    WHOLE + WHOLE,
    WHOLE + FIRST_BODY,
    make_response(b"a1", b"x" * 400_000),
]
"""Responses to the first request: proper ones, and each kind of fault."""


@dataclass
class Script:
    """What the upstream sends in response to the first request on a connection.

    Parameters
    ----------
    data : bytes
        Bytes to send.
    split : int
        Position at which they are split into two parts.
    closes : bool
        Whether the upstream then closes the connection.
    """

    data: bytes
    split: int
    closes: bool


async def serve(reader, writer, script):
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if SECOND_ID.encode() in head:
                writer.write(make_response(SECOND_ID.encode(), SECOND_BODY))
                continue
            writer.write(script.data[: script.split])
            await asyncio.sleep(0.001)
            writer.write(script.data[script.split :])
            if script.closes:
                writer.close()
                return
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def exchange(pool, upstream, attempt, parts_to_read, timeout_s):
    """Send a request; return its status and body, or None if the exchange breaks.

    The exchange is given up after some parts of the body, as by a caller that leaves.
    """
    conn = await pool.acquire(upstream, repeatable=True)
    request = f"GET / HTTP/1.1\r\nhost: u\r\nid: {attempt}\r\n\r\n".encode()
    try:
        async with asyncio.timeout(timeout_s):
            pending = conn.send(request, response_matcher(attempt))
            head = await pending.head
            if not is_upstream_response(head):
                return None
            body = b""
            while parts_to_read and (part := await pending.read()):
                parts_to_read -= 1
                body += part
            return head.status, body
    except (BrokenExchangeError, TimeoutError):
        return None
    finally:
        pool.release(upstream, conn)


async def run_two_exchanges(script, parts_to_read, timeout_s=TIMEOUT_SECONDS):
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, script), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    upstream = make_upstream(port=port)
    pool = ConnectionPool(max_idle=8)
    try:
        first = await exchange(pool, upstream, "a1", parts_to_read, timeout_s)
        second = await exchange(pool, upstream, SECOND_ID, 1000, timeout_s)
    finally:
        pool.close()
        server.close()
    return first, second


@pytest.mark.parametrize("response", RESPONSES, ids=range(len(RESPONSES)))
def test_first_response_is_its_own_or_broken(response):
    first, _ = uvloop.run(run_two_exchanges(Script(response, 0, closes=False), 1000))
    assert first is None or first[1] in (FIRST_BODY, b"", b"x" * 400_000)


@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(
    response=st.sampled_from(RESPONSES),
    cut=st.floats(0.0, 1.0),
    split=st.floats(0.0, 1.0),
    closes=st.booleans(),
    parts_to_read=st.sampled_from([0, 1, 1000]),
)
@example(response=RESPONSES[-1], cut=1.0, split=0.5, closes=False, parts_to_read=1)
def test_second_response_has_no_byte_of_the_first(
    response, cut, split, closes, parts_to_read
):
    data = response[: round(cut * len(response))]
    script = Script(data, round(split * len(data)), closes)
    _, second = uvloop.run(run_two_exchanges(script, parts_to_read))
    assert second is None or second == (200, SECOND_BODY)


@pytest.mark.parametrize("position", range(len(WHOLE) + 1))
def test_response_split_at_any_byte_is_read_whole(position):
    first, second = uvloop.run(
        run_two_exchanges(
            Script(WHOLE, position, closes=False), 1000, WHOLE_TIMEOUT_SECONDS
        )
    )
    assert first == (200, FIRST_BODY)
    assert second == (200, SECOND_BODY)


REFUSAL = (
    b"HTTP/1.1 421 Misdirected Request\r\noleandershift-not-executed: 1\r\n"
    b"content-length: 5\r\n\r\n"
) + FIRST_BODY
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\ncontent-length: 5\r\n\r\n" + FIRST_BODY
REPEATED = {"answer": WHOLE, "refusal without an id": REFUSAL, "404": NOT_FOUND}


async def answer_and_repeat(reader, writer, response, writers):
    """Answer the first request, and send its answer again before the next."""
    writers.append(writer)
    repeated = b""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while head := await reader.readuntil(b"\r\n\r\n"):
            if SECOND_ID.encode() in head:
                writer.write(repeated + make_response(SECOND_ID.encode(), SECOND_BODY))
                continue
            repeated = response
            writer.write(response)
    writer.close()


async def second_of_two_exchanges(response, is_unread):
    """Return the second response where the first comes twice.

    Its copy waits to be read when the second request is sent, or follows that.
    """
    writers = []
    server = await asyncio.start_server(
        lambda reader, writer: answer_and_repeat(reader, writer, response, writers),
        "127.0.0.1",
        0,
    )
    upstream = make_upstream(port=server.sockets[0].getsockname()[1])
    pool = ConnectionPool(max_idle=8)
    try:
        await exchange(pool, upstream, "a1", 1000, WHOLE_TIMEOUT_SECONDS)
        if is_unread:
            # The event loop does not run between this and the next request.
            os.write(writers[0].get_extra_info("socket").fileno(), response)
            time.sleep(0.02)
        return await exchange(pool, upstream, SECOND_ID, 1000, WHOLE_TIMEOUT_SECONDS)
    finally:
        pool.close()
        server.close()


@pytest.mark.parametrize("is_unread", [True, False], ids=["unread", "after the send"])
@pytest.mark.parametrize("response", REPEATED.values(), ids=REPEATED)
def test_late_copy_of_a_response_is_not_taken_for_the_next_one(response, is_unread):
    second = uvloop.run(second_of_two_exchanges(response, is_unread))
    assert second == (200, SECOND_BODY)


async def reused_after_close():
    """Return whether a connection is used whose end has not been read yet."""
    writers = []
    server = await asyncio.start_server(
        lambda reader, writer: answer_and_repeat(reader, writer, WHOLE, writers),
        "127.0.0.1",
        0,
    )
    upstream = make_upstream(port=server.sockets[0].getsockname()[1])
    pool = ConnectionPool(max_idle=8)
    await exchange(pool, upstream, "a1", 1000, WHOLE_TIMEOUT_SECONDS)
    fileno = writers[0].get_extra_info("socket").fileno()
    with socket.socket(fileno=os.dup(fileno)) as upstream_end:
        upstream_end.shutdown(socket.SHUT_RDWR)
    time.sleep(0.02)
    opened_count = pool.opened_count
    await pool.acquire(upstream, repeatable=False)
    pool.close()
    server.close()
    return pool.opened_count == opened_count


def test_connection_that_the_upstream_closed_unread_is_not_used_again():
    assert not uvloop.run(reused_after_close())


async def idle_counts(pool_size, connections):
    """Return how many connections are kept of some that were used at once."""
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, Script(WHOLE, 0, closes=False)),
        "127.0.0.1",
        0,
    )
    upstreams = [
        make_upstream(port=server.sockets[0].getsockname()[1])
        for number in range(connections)
    ]
    pool = ConnectionPool(pool_size)
    conns = [await pool.acquire(upstream, repeatable=True) for upstream in upstreams]
    for conn, upstream in zip(conns, upstreams, strict=True):
        pool.release(upstream, conn)
    await asyncio.sleep(0.05)
    kept = sum(not conn.closed for conn in conns)
    reused = [await pool.acquire(upstream, repeatable=True) for upstream in upstreams]
    pool.close()
    server.close()
    return kept, sum(conn in conns for conn in reused)


def test_idle_connections_are_limited_in_total():
    assert uvloop.run(idle_counts(pool_size=3, connections=5)) == (3, 3)


EMPTY_RESPONSE = (
    b"HTTP/1.1 200 OK\r\noleandershift-attempt-id: %b\r\ncontent-length: 0\r\n\r\n"
)


@pytest.fixture
def upstream_port():
    """Run an upstream in the loop of the test; return a function that starts it."""

    async def serve(reader, writer):
        while request := await reader.readuntil(b"\r\n\r\n"):
            writer.write(EMPTY_RESPONSE % request.split()[1])

    async def start():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server, server.sockets[0].getsockname()[1]

    return start


def test_response_on_a_reused_connection_speaks_for_the_registered_run(upstream_port):
    async def run():
        server, port = await upstream_port()
        pool, responses = ConnectionPool(4), []
        pool.on_response = lambda upstream, *_: responses.append(upstream.run)
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

    responses, expected = asyncio.run(asyncio.wait_for(run(), WHOLE_TIMEOUT_SECONDS))
    assert responses == expected


REFUSAL_WITH_ID = (
    b"HTTP/1.1 503 Busy\r\noleandershift-not-executed: 1\r\n"
    b"oleandershift-attempt-id: a1\r\ncontent-length: 0\r\n\r\n"
)
COPIES = {
    "lost its id": REFUSAL_WITH_ID.replace(b"oleandershift-attempt-id: a1\r\n", b""),
    "other status": b"HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n",
    "whole": REFUSAL_WITH_ID,
    "other id in capitals": REFUSAL_WITH_ID.replace(b"id: a1", b"id: A1"),
}


async def refuse_and_repeat(reader, writer, copy):
    """Refuse the first request; send a changed copy ahead of the second answer."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(REFUSAL_WITH_ID)
        head = await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.01)
        attempt = head.split(b"id: ")[1].split(b"\r\n")[0]
        writer.write(copy + make_response(attempt, SECOND_BODY))
        await reader.readuntil(b"\r\n\r\n")
    writer.close()


async def proves_second_not_run(copy, second_id):
    """Return whether the second of two requests is taken for not run."""
    server = await asyncio.start_server(
        lambda reader, writer: refuse_and_repeat(reader, writer, copy), "127.0.0.1", 0
    )
    upstream = make_upstream(port=server.sockets[0].getsockname()[1])
    pool = ConnectionPool(max_idle=8)
    found = []
    for attempt in ("a1", second_id):
        conn = await pool.acquire(upstream, True, attempt)
        data = f"GET / HTTP/1.1\r\nhost: u\r\nid: {attempt}\r\n\r\n".encode()
        pending = conn.send(data, response_matcher(attempt))
        try:
            async with asyncio.timeout(WHOLE_TIMEOUT_SECONDS):
                found.append(proves_not_run(await pending.head))
                assert await pending.read() in (b"", SECOND_BODY)
        except BrokenExchangeError:
            found.append(False)
        finally:
            pool.release(upstream, conn)
    pool.close()
    server.close()
    assert found[0]
    return found[1]


@pytest.mark.parametrize("copy", COPIES.values(), ids=COPIES)
def test_copy_of_a_refusal_does_not_prove_that_the_next_request_was_not_run(copy):
    assert not uvloop.run(proves_second_not_run(copy, SECOND_ID))


def test_copy_of_a_refusal_is_not_taken_for_that_of_a_repeated_id():
    """The second request goes over a connection of its own, and is refused there."""
    opened = uvloop.run(connections_for(["a1", "a1", "a2", "a1", "a2", "a3"]))
    assert opened == [1, 2, 2, 3, 3, 3]


async def connections_for(attempts):
    """Return how many connections were opened after each of some requests."""

    async def serve_all(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                attempt = head.split(b"id: ")[1].split(b"\r\n")[0]
                writer.write(make_response(attempt, SECOND_BODY))
        writer.close()

    server = await asyncio.start_server(serve_all, "127.0.0.1", 0)
    upstream = make_upstream(port=server.sockets[0].getsockname()[1])
    pool, opened = ConnectionPool(max_idle=8), []
    for attempt in attempts:
        conn = await pool.acquire(upstream, True, attempt)
        data = f"GET / HTTP/1.1\r\nhost: u\r\nid: {attempt}\r\n\r\n".encode()
        pending = conn.send(data, response_matcher(attempt))
        await pending.head
        assert await pending.read() == SECOND_BODY
        assert await pending.read() == b""
        pool.release(upstream, conn)
        opened.append(pool.opened_count)
    pool.close()
    server.close()
    return opened


def test_request_without_an_id_gets_a_connection_of_its_own():
    async def opened_counts():
        server = await asyncio.start_server(
            lambda reader, writer: serve(reader, writer, Script(WHOLE, 0, False)),
            "127.0.0.1",
            0,
        )
        upstream = make_upstream(port=server.sockets[0].getsockname()[1])
        pool = ConnectionPool(max_idle=8)
        for attempt in ("a1", ""):
            pool.release(upstream, await pool.acquire(upstream, True, attempt))
        pool.close()
        server.close()
        return pool.opened_count

    assert uvloop.run(opened_counts()) == 2
