"""Property of callers' connections: requests are read as they were sent."""

import asyncio
from dataclasses import dataclass

from hypothesis import given, settings, strategies as st

from oleandershift.io.callers import protocol_factory
from oleandershift.routing import Limits

LIMITS = Limits(header_bytes=4000, body_bytes=4000)
OFFER = b"Connection: keep-alive, Upgrade\r\nUpgrade: h2c\r\n"
QUOTED = b"GET /quoted HTTP/1.1\r\nHost: other\r\n\r\n"


@dataclass(frozen=True)
class SentRequest:
    """A request as its caller sends it.

    Parameters
    ----------
    chunks : tuple of bytes or None
        Body in chunks; None if it has a length.
    """

    method: bytes
    body: bytes
    has_offer: bool
    has_trailer: bool
    chunk_bytes: int

    def encode(self, number):
        """Return the bytes of the request."""
        head = b"%b /%d HTTP/1.1\r\nHost: h\r\nX-Number: %d\r\n"
        parts = [head % (self.method, number, number)]
        if self.has_offer:
            parts.append(OFFER)
        if not self.chunk_bytes:
            parts.append(b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body)
            return b"".join(parts)
        parts.append(b"Transfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(self.body), self.chunk_bytes):
            chunk = self.body[start : start + self.chunk_bytes]
            parts.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        trailer = b"X-Number: 99\r\nHost: other\r\n" if self.has_trailer else b""
        parts.append(b"0\r\n" + trailer + b"\r\n")
        return b"".join(parts)


class RecordingHandler:
    """Records what was read, and answers it."""

    def __init__(self):
        self.found = []

    def limits(self):
        """Return small limits."""
        return LIMITS

    def should_close(self):
        """Return that connections are kept."""
        return False

    def team_of(self, req):
        """Return that no request has a team."""

    def turn_away(self, req, res):
        """Record that a request had no room, which no test expects."""
        self.found.append(None)

    async def handle(self, req, res):
        """Record a request."""
        numbers = [value for name, value in req.headers if name == b"x-number"]
        assert not {b"upgrade"} & {name for name, _ in req.headers}
        self.found.append((req.method, req.target, numbers, req.body))
        res.send(200, [], b"")


class MemoryTransport:
    """Transport that keeps what is written."""

    def __init__(self):
        self.written = b""
        self._is_closing = False

    def write(self, data):
        """Keep bytes."""
        self.written += data

    def is_closing(self):
        """Return whether the connection was closed."""
        return self._is_closing

    def close(self):
        """Close the connection."""
        self._is_closing = True

    def get_write_buffer_size(self):
        """Return that everything is sent."""
        return 0

    def pause_reading(self):
        """Go on; the test sends little."""

    resume_reading = pause_reading


def read(segments):
    """Return what a connection reads, and what it writes."""
    handler, transport = RecordingHandler(), MemoryTransport()

    async def run():
        conn = protocol_factory(handler, set())()
        conn.connection_made(transport)
        for segment in segments:
            if not transport.is_closing():
                conn.data_received(segment)
            await asyncio.sleep(0)
        for _ in range(20 * len(handler.found) + 20):
            await asyncio.sleep(0)
        conn.connection_lost(None)

    asyncio.run(run())
    return handler.found, transport


def cut(data, points):
    """Return the parts of some bytes between points."""
    edges = [0, *sorted(point % (len(data) + 1) for point in points), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b]


REQUESTS = st.builds(
    SentRequest,
    method=st.sampled_from([b"GET", b"POST", b"PUT", b"HEAD", b"DELETE"]),
    body=st.one_of(st.just(b""), st.just(QUOTED), st.binary(max_size=60)),
    has_offer=st.booleans(),
    has_trailer=st.booleans(),
    chunk_bytes=st.sampled_from([0, 0, 7, 1000]),
)
POINTS = st.lists(st.integers(0, 5000), max_size=30)


@given(requests=st.lists(REQUESTS, min_size=1, max_size=6), points=POINTS)
@settings(max_examples=300)
def test_requests_in_any_segments_are_read_as_they_were_sent(requests, points):
    data = b"".join(req.encode(number) for number, req in enumerate(requests))
    found, transport = read(cut(data, points))
    assert found == [
        (req.method, b"/%d" % number, [b"%d" % number], req.body)
        for number, req in enumerate(requests)
    ]
    assert transport.written.count(b"HTTP/1.1 200") == len(requests)


@given(
    requests=st.lists(REQUESTS, min_size=1, max_size=4),
    points=POINTS,
    place=st.integers(0, 5000),
    damage=st.binary(min_size=1, max_size=6),
)
@settings(max_examples=300)
def test_damaged_bytes_raise_no_error(requests, points, place, damage):
    data = b"".join(req.encode(number) for number, req in enumerate(requests))
    at = place % (len(data) + 1)
    found, _ = read(cut(data[:at] + damage + data[at + len(damage) :], points))
    assert None not in found
