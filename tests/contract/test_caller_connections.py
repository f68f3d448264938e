"""What a gateway makes of callers' bytes."""

import asyncio
import contextlib

import pytest

from oleandershift.io.callers import CallerRequest, Responder, protocol_factory
from oleandershift.routing import Limits

LIMITS = Limits(
    header_bytes=2000, body_bytes=1000, header_timeout_ms=200, idle_timeout_ms=400
)


class Echo:
    """Answers with the request's target and body."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []
        self.is_closing = False
        self.left = 0

    def limits(self) -> Limits:
        """Return small bounds."""
        return LIMITS

    def should_close(self) -> bool:
        """Tell whether the test stops the server."""
        return self.is_closing

    async def handle(self, req: CallerRequest, res: Responder) -> None:
        """Answer by the target."""
        self.requests.append(req)
        try:
            if req.target == b"/slow":
                await asyncio.sleep(5)
        except asyncio.CancelledError:
            self.left += 1
            raise
        if req.target == b"/stream":
            res.start(200, [])
            res.write(b"one")
            res.write(b"two")
            res.finish()
            return
        res.send(200, [(b"x-target", req.target)], req.body)


@pytest.fixture
def echo():
    return Echo()


def exchange(handler, *parts, wait=0.3, closes=True):
    """Send bytes to a server of `handler`; return what came until its close."""

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
        if not closes:
            writer.close()
            await asyncio.sleep(wait)
            server.close()
            return b""
        found = b""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                while data := await reader.read(4096):
                    found += data
        writer.close()
        server.close()
        return found

    return asyncio.run(run())


def post(target=b"/a", body=b"x", extra=b""):
    head = b"POST %b HTTP/1.1\r\nHost: h\r\n%bContent-Length: %d\r\n\r\n"
    return head % (target, extra, len(body)) + body


def test_request_in_many_pieces(echo):
    data = post(body=b"body")
    found = exchange(echo, *(data[n : n + 7] for n in range(0, len(data), 7)))
    assert found.startswith(b"HTTP/1.1 200 OK\r\n")
    assert found.endswith(b"body")


def test_requests_one_after_the_other_keep_their_order(echo):
    found = exchange(echo, b"".join(post(b"/%d" % n) for n in range(8)))
    targets = [req.target for req in echo.requests]
    assert targets == [b"/%d" % n for n in range(8)]
    assert found.count(b"HTTP/1.1 200") == 8


def test_chunked_body(echo):
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    exchange(echo, head, b"3\r\nabc\r\n", b"2\r\nde\r\n0\r\n\r\n")
    assert echo.requests[0].body == b"abcde"


def test_stream_is_chunked(echo):
    found = exchange(echo, post(b"/stream"))
    assert found.endswith(b"3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n")


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
def test_ambiguous_request_is_refused_and_closed(echo, data):
    found = exchange(echo, data + post(b"/smuggled"), wait=1.0)
    assert found.startswith(b"HTTP/1.1 400")
    assert echo.requests == []


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (post(extra=b"X: %b\r\n" % (b"y" * 3000)), b"431"),
        (post(body=b"y" * 1001), b"413"),
        (b"POST /a HTTP/1.1\r\nHo", b"408"),
    ],
)
def test_limits(echo, data, status):
    found = exchange(echo, data, wait=1.0)
    assert found.startswith(b"HTTP/1.1 " + status)
    assert echo.requests == []


def test_idle_connection_is_closed_quietly(echo):
    found = exchange(echo, post(), wait=2.0)
    assert found.count(b"HTTP/1.1") == 1


def test_stopping_server_closes_after_its_answer(echo):
    echo.is_closing = True
    found = exchange(echo, post())
    assert b"connection: close\r\n" in found


def test_work_stops_when_the_caller_leaves(echo):
    exchange(echo, post(b"/slow"), closes=False)
    assert echo.left == 1
