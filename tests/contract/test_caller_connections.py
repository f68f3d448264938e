"""HTTP protocol of callers' connections: framing, limits, order and disconnects."""

import asyncio
import contextlib
import socket
import time

import pytest
import uvloop

from oleandershift.io import callers
from oleandershift.io.callers import (
    READ_BYTES,
    CallerRequest,
    Responder,
    protocol_factory,
)
from oleandershift.routing import Limits

LARGE_BODY = b"x" * (16 << 20)
STREAMS = {b"/stream": (b"one", b"two"), b"/large-stream": (LARGE_BODY,)}
LARGE_STREAM_REQUEST = b"GET /large-stream HTTP/1.0\r\nHost: h\r\n\r\n"
UNSENT_SECONDS = 0.3
LIMITS = Limits(
    header_bytes=2000, body_bytes=1000, header_timeout_ms=200, idle_timeout_ms=400
)


class EchoHandler:
    """Responds with the request's target and body."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.is_closing = False
        self.cancelled = 0

    def limits(self) -> Limits:
        """Return small limits."""
        return LIMITS

    def should_close(self) -> bool:
        """Return whether the test drains the server."""
        return self.is_closing

    def team_of(self, req: CallerRequest) -> None:
        """Return that no request has a team."""

    def turn_away(self, req: CallerRequest, res: Responder) -> None:
        """Reject a request that can't wait."""
        res.send(503, [], b"")

    async def handle(self, req: CallerRequest, res: Responder) -> None:
        """Respond by the request's target."""
        self.requests.append(req)
        try:
            if req.target == b"/slow":
                await asyncio.sleep(5)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if req.target == b"/large":
            res.send(200, [], LARGE_BODY)
            return
        if req.target in STREAMS:
            res.start(200, [])
            for part in STREAMS[req.target]:
                res.write(part)
            res.finish()
            return
        res.send(200, [(b"x-target", req.target)], req.body)


@pytest.fixture
def echo():
    return EchoHandler()


def exchange(handler, *parts, wait_s=0.3, until_close=True):
    """Send bytes to a server; return what it sent until its close or `wait_s`."""

    async def run():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            protocol_factory(handler, set()), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        if not until_close:
            writer.close()
            await asyncio.sleep(wait_s)
            server.close()
            return b""
        response = b""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while data := await reader.read(4096):
                    response += data
        writer.close()
        server.close()
        return response

    return asyncio.run(run())


def post(target=b"/a", body=b"x", extra=b""):
    head = b"POST %b HTTP/1.1\r\nHost: h\r\n%bContent-Length: %d\r\n\r\n"
    return head % (target, extra, len(body)) + body


def test_request_split_into_many_segments(echo):
    data = post(body=b"body")
    response = exchange(echo, *(data[n : n + 7] for n in range(0, len(data), 7)))
    assert response.startswith(b"HTTP/1.1 200 OK\r\n")
    assert response.endswith(b"body")


def test_pipelined_requests_are_handled_in_order(echo):
    response = exchange(echo, b"".join(post(b"/%d" % n) for n in range(8)))
    targets = [req.target for req in echo.requests]
    assert targets == [b"/%d" % n for n in range(8)]
    assert response.count(b"HTTP/1.1 200") == 8


def test_chunked_request_body_is_decoded(echo):
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    exchange(echo, head, b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n")
    assert echo.requests[0].body == b"abcde"


OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"


@pytest.mark.parametrize("segment_bytes", [10_000, 100, 40])
def test_body_of_a_request_that_offers_another_protocol_is_not_lost(
    echo, segment_bytes
):
    """A body that quotes a request is not taken for one."""
    quoted = post(b"/smuggled")
    data = post(b"/a", quoted, OFFER) + post(b"/b", b"next") + post(b"/c", b"", OFFER)
    parts = range(0, len(data), segment_bytes)
    exchange(echo, b"", *(data[n : n + segment_bytes] for n in parts), wait_s=1.0)
    found = [(req.target, req.body) for req in echo.requests]
    assert found == [(b"/a", quoted), (b"/b", b"next"), (b"/c", b"")]


def test_chunked_body_behind_an_offer_of_another_protocol_is_decoded(echo):
    head = b"POST /a HTTP/1.1\r\nHost: h\r\n%bTransfer-Encoding: chunked\r\n\r\n"
    exchange(echo, head % OFFER, b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n")
    assert [req.body for req in echo.requests] == [b"abcde"]


def test_offer_of_another_protocol_is_not_passed_on_and_answered_once(echo):
    extra = OFFER + b"Expect: 100-continue\r\nX-Own: 1\r\n"
    response = exchange(echo, post(body=b"body", extra=extra))
    assert response.count(b"100 Continue") == 1
    assert response.count(b"200 OK") == 1
    names = [name for name, _ in echo.requests[0].headers]
    assert b"upgrade" not in names
    assert names.count(b"x-own") == 1
    assert echo.requests[0].keep_alive


def test_tunnel_is_refused(echo):
    response = exchange(echo, b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 501 ")
    assert echo.requests == []


def test_field_of_a_trailer_is_no_header(echo):
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    exchange(echo, head, b"1\r\na\r\n0\r\nX: 2\r\nHost: other\r\n\r\n")
    fields = [item for item in echo.requests[0].headers if item[0] in (b"x", b"host")]
    assert fields == [(b"host", b"h"), (b"x", b"1")]


def test_streamed_response_is_chunked(echo):
    response = exchange(echo, post(b"/stream"))
    assert response.endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")


@pytest.mark.parametrize(
    "data",
    [
        post(extra=b"Transfer-Encoding: chunked\r\n"),
        post(extra=b"Content-Length: 5\r\n"),
        b"nonsense\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost : h\r\nContent-Length: 0\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
    ],
)
def test_ambiguous_request_is_rejected_and_closed(echo, data):
    response = exchange(echo, data + post(b"/smuggled"), wait_s=1.0)
    assert response.startswith(b"HTTP/1.1 400")
    assert echo.requests == []


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (post(extra=b"X: %b\r\n" % (b"y" * 3000)), b"431"),
        (post(body=b"y" * 1001), b"413"),
        (b"POST /a HTTP/1.1\r\nHo", b"408"),
    ],
)
def test_request_beyond_a_limit_is_rejected(echo, data, status):
    response = exchange(echo, data, wait_s=1.0)
    assert response.startswith(b"HTTP/1.1 " + status)
    assert echo.requests == []


def test_idle_connection_is_closed_without_a_response(echo):
    response = exchange(echo, post(), wait_s=2.0)
    assert response.count(b"HTTP/1.1") == 1


def test_draining_server_closes_after_its_response(echo):
    echo.is_closing = True
    response = exchange(echo, post())
    assert b"connection: close\r\n" in response


def test_request_is_cancelled_when_the_caller_disconnects(echo):
    exchange(echo, post(b"/slow"), until_close=False)
    assert echo.cancelled == 1


def run_with_caller(handler, scenario, run=asyncio.run):
    """Run `scenario(connections, caller)` and return what the caller then receives."""

    async def connect():
        loop = asyncio.get_running_loop()
        connections = set()
        server = await loop.create_server(
            protocol_factory(handler, connections), "127.0.0.1", 0
        )
        port = server.sockets[0].getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)) as caller:
            caller.setblocking(False)
            while not connections:
                await asyncio.sleep(0.01)
            scenario(list(connections), caller)
            async with asyncio.timeout(1.0):
                response = await loop.sock_recv(caller, 4096)
        server.close()
        return response

    return run(connect())


@pytest.mark.parametrize("sends", [True, False], ids=["request unread", "idle"])
def test_stop_does_not_cut_off_a_request_that_is_not_read_yet(echo, sends):
    def stop(connections, caller):
        if sends:
            caller.send(post())
        for conn in connections:
            conn.close_if_idle()

    response = run_with_caller(echo, stop)
    assert response.startswith(b"HTTP/1.1 200") == sends


def test_request_that_came_during_a_pause_is_not_closed_as_idle(echo):
    def pause(_, caller):
        caller.send(post())
        time.sleep(2 * LIMITS.idle_timeout_ms / 1000)

    response = run_with_caller(echo, pause, uvloop.run)
    assert response.startswith(b"HTTP/1.1 200")


def test_requests_that_begin_in_the_part_of_another_are_not_too_large(echo):
    head = b"POST /x HTTP/1.1\r\nhost: a\r\nx: %b\r\ncontent-length: 1\r\n\r\n"
    request = head % (b"x" * 1500) + b"y"
    count = 2 * READ_BYTES // len(request)
    data = request * count
    part_bytes = 20 * len(request) + 700
    parts = [data[at : at + part_bytes] for at in range(0, len(data), part_bytes)]
    response = exchange(echo, *parts, wait_s=2.0)
    assert b" 431 " not in response
    assert len(echo.requests) == count


def unread_response(handler, read, run, request=None):
    """Ask for a large response, close it with `read(caller)`, and return its result.

    Also returns whether the connection has ended.
    """

    async def connect():
        loop = asyncio.get_running_loop()
        connections = set()
        server = await loop.create_server(
            protocol_factory(handler, connections), "127.0.0.1", 0
        )
        address = server.sockets[0].getsockname()
        with socket.create_connection(address, 5.0) as caller:
            caller.sendall(request or post(b"/large"))
            result = await asyncio.to_thread(read, caller)
            await asyncio.sleep(0.05)
            has_ended = not connections
        server.close()
        return result, has_ended

    return run(connect())


RUNS = pytest.mark.parametrize(
    "run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"]
)


@pytest.fixture
def short_unsent_timeout(monkeypatch):
    monkeypatch.setattr(callers, "UNSENT_TIMEOUT_SECONDS", UNSENT_SECONDS)


@RUNS
@pytest.mark.parametrize("is_closing", [True, False], ids=["closing", "kept"])
def test_caller_that_reads_nothing_does_not_keep_its_connection_for_ever(
    echo, short_unsent_timeout, run, is_closing
):
    echo.is_closing = is_closing
    wait_s = LIMITS.idle_timeout_ms / 1000 + 4 * UNSENT_SECONDS
    _, has_ended = unread_response(echo, lambda caller: time.sleep(wait_s), run)
    assert has_ended


def read_slowly(caller):
    """Return the number of bytes that a caller reads until the end, in small parts."""
    size = 0
    while data := caller.recv(len(LARGE_BODY) // 20):
        size += len(data)
        time.sleep(UNSENT_SECONDS / 6)
    return size


@RUNS
def test_caller_that_reads_slowly_gets_its_whole_response(
    echo, short_unsent_timeout, run
):
    echo.is_closing = True

    size, has_ended = unread_response(echo, read_slowly, run)
    assert size > len(LARGE_BODY)
    assert has_ended


@RUNS
def test_caller_with_http_1_0_that_reads_slowly_gets_its_whole_response(
    echo, short_unsent_timeout, run
):
    size, has_ended = unread_response(echo, read_slowly, run, LARGE_STREAM_REQUEST)
    assert size > len(LARGE_BODY)
    assert has_ended


@RUNS
def test_response_that_was_not_all_sent_is_not_complete_to_http_1_0(
    echo, short_unsent_timeout, run
):
    def read_late(caller):
        time.sleep(4 * UNSENT_SECONDS)
        with pytest.raises(ConnectionResetError):
            read_all(caller)

    _, has_ended = unread_response(echo, read_late, run, LARGE_STREAM_REQUEST)
    assert has_ended


def read_all(caller):
    while caller.recv(1 << 20):
        pass


BODY_BUDGET_BYTES = 250


class Callers:
    """Callers of one server that share a budget for their bodies."""

    def __init__(self, handler):
        self._factory = protocol_factory(handler, set(), BODY_BUDGET_BYTES)
        self._writers = []

    async def __aenter__(self):
        """Start the server."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._factory, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info):
        """Stop the server and close all connections."""
        for writer in self._writers:
            writer.close()
        self._server.close()

    async def connect(self):
        """Return the reader and the writer of a new connection."""
        port = self._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self._writers.append(writer)
        return reader, writer


async def status_of(reader):
    """Return the status of the next response, without its body."""
    async with asyncio.timeout(2.0):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        await reader.readexactly(length)
    return int(head.split()[1])


def test_answer_to_head_has_no_body(echo):
    """A caller would take the body for the start of its next response."""
    head = b"HEAD /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
    response = exchange(echo, head + post(b"/b", b"next"))
    first, second, rest = response.split(b"HTTP/1.1 200 OK\r\n")[1:] + [b""]
    assert first.endswith(b"content-length: 4\r\n\r\n")
    assert second.endswith(b"\r\n\r\nnext")
    assert rest == b""


CHUNKED = (
    b"POST %b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"64\r\n" + b"x" * 100 + b"\r\n64\r\n" + b"x" * 100 + b"\r\n0\r\n\r\n"
)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_bodies_beyond_the_memory_for_all_of_them_are_refused(echo, is_chunked):
    """Sixty large bodies at once took a gateway over its memory."""

    def request(target):
        return CHUNKED % target if is_chunked else post(target, b"x" * 200)

    async def run():
        async with Callers(echo) as callers:
            _, holding = await callers.connect()
            holding.write(request(b"/slow"))
            await asyncio.sleep(0.05)
            reader, writer = await callers.connect()
            writer.write(request(b"/a"))
            refused = await status_of(reader)
            writer.write(post(b"/small", b"x"))
            small = await status_of(reader)
            holding.close()
            await asyncio.sleep(0.05)
            writer.write(request(b"/a"))
            return refused, small, await status_of(reader)

    assert asyncio.run(run()) == (503, 200, 200)


@pytest.mark.parametrize("ending", ["leaves", "is-too-large", "is-malformed"])
def test_request_that_ends_early_gives_its_memory_back(echo, ending):
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\nx"
    chunks = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    sent = {
        "leaves": head,
        "is-too-large": chunks + b"7d0\r\n" + b"x" * 2000,
        "is-malformed": chunks + b"c8\r\n" + b"x" * 200 + b"\r\nzz\r\n",
    }

    async def run():
        async with Callers(echo) as callers:
            for _ in range(3):
                _, writer = await callers.connect()
                writer.write(sent[ending])
                await asyncio.sleep(0.02)
                writer.close()
            await asyncio.sleep(0.05)
            reader, writer = await callers.connect()
            writer.write(post(b"/a", b"x" * 200))
            return await status_of(reader)

    assert asyncio.run(run()) == 200
