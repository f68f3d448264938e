"""Stand-in for an upstream of the platform, by its published protocol."""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from standins.server import Exchange, Server

ATTEMPT = "Oleandershift-Attempt-Id"
RECEIPT = "Oleandershift-Response-Seal"
NOT_RUN = "Oleandershift-Not-Executed"


class Conduct(Enum):
    """What an upstream does with a request."""

    ANSWER = "answer"
    REFUSE = "refuse"
    FAIL = "fail"
    CUT_BEFORE = "cut-before"
    CUT_AFTER = "cut-after"
    CUT_MIDWAY = "cut-midway"
    GARBAGE = "garbage"
    LEFTOVER = "leftover"
    UNFRAMED = "unframed"
    ENCODED = "encoded"
    HANG = "hang"


@dataclass(frozen=True)
class Arrival:
    """A request that an upstream ran."""

    attempt: str
    path: str
    team: str
    body: bytes
    at: float
    first_event: int


class ModelEngine:
    """Upstream that streams events, or answers plainly, and keeps a ledger.

    Parameters
    ----------
    name : str
        Its id.
    events : int
        Events of a stream.
    pause_seconds : float
        Time between events, and the work of a plain answer.
    """

    def __init__(
        self,
        name: str,
        ip: str = "127.0.0.1",
        events: int = 5,
        pause_seconds: float = 0.01,
    ) -> None:
        self._server = Server(ip, 0, self._handle)
        self.name = name
        self.born = int(time.time() * 1000)
        self.address = f"{ip}:{self._server.port}"
        self.port = self._server.port
        self.start = self._server.start
        self.stop = self._server.stop
        self.conduct = Conduct.ANSWER
        self.next_conducts: list[Conduct] = []
        self._events = events
        self._pause = pause_seconds
        self._lock = threading.Lock()
        self._ledger: list[Arrival] = []

    def entry(self, service: str, zone: str, state: str = "ready") -> dict[str, object]:
        """Return its registration."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def ledger(self) -> list[Arrival]:
        """Return what it ran."""
        with self._lock:
            return list(self._ledger)

    def runs(self) -> Counter[str]:
        """Return how often each attempt ran."""
        return Counter(arrival.attempt for arrival in self.ledger())

    def _handle(self, exchange: Exchange) -> None:
        with self._lock:
            conduct = self.next_conducts.pop(0) if self.next_conducts else self.conduct
        expected = exchange.headers.get("Oleandershift-Expect-Instance")
        attempt = exchange.headers.get(ATTEMPT, "")
        if expected is not None and expected != self.name:
            exchange.json(421, {}, {"Oleandershift-Instance-Id": self.name})
        elif conduct is Conduct.REFUSE:
            exchange.json(503, {}, {NOT_RUN: "1", ATTEMPT: attempt})
        elif conduct is Conduct.CUT_BEFORE:
            exchange.abort()
        else:
            self._run(exchange, attempt, conduct)

    def _run(self, exchange: Exchange, attempt: str, conduct: Conduct) -> None:
        first = int(exchange.headers.get("Last-Event-Id", 0)) + 1
        arrival = Arrival(
            attempt,
            exchange.path,
            exchange.headers.get("Oleandershift-Tenant", ""),
            exchange.body,
            time.monotonic(),
            first,
        )
        with self._lock:
            self._ledger.append(arrival)
        headers = {ATTEMPT: attempt, RECEIPT: f"{self.name}.{attempt}"}
        if conduct is Conduct.HANG:
            while not exchange.hung_up():
                time.sleep(0.01)
        elif conduct is Conduct.FAIL:
            exchange.json(500, {"error": "failed"}, headers)
        elif conduct is Conduct.CUT_AFTER:
            exchange.abort()
        elif conduct is Conduct.GARBAGE:
            exchange.write(b"this is no answer\r\n\r\n")
            exchange.abort()
        elif "/stream/" in exchange.path:
            self._stream(exchange, attempt, headers, first, conduct)
        else:
            self._plain(exchange, attempt, headers, conduct)

    def _plain(
        self,
        exchange: Exchange,
        attempt: str,
        headers: dict[str, str],
        conduct: Conduct,
    ) -> None:
        time.sleep(self._pause)
        body = f"{self.name} ran {attempt}".encode()
        if conduct is Conduct.ENCODED:
            headers = {**headers, "Content-Encoding": "gzip"}
        if conduct is Conduct.LEFTOVER:
            other = {ATTEMPT: "another", RECEIPT: "another"}
            exchange.begin(200, {"Content-Length": "5", **other})
            exchange.write(b"other")
        if conduct is Conduct.UNFRAMED:
            exchange.begin(200, {**headers, "Connection": "close"})
            exchange.write(body)
            return
        exchange.begin(200, {"Content-Length": str(len(body)), **headers})
        if conduct is Conduct.CUT_MIDWAY:
            exchange.write(body[:5])
            exchange.abort()
            return
        exchange.write(body)

    def _stream(
        self,
        exchange: Exchange,
        attempt: str,
        headers: dict[str, str],
        first: int,
        conduct: Conduct,
    ) -> None:
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        exchange.begin(200, {**kind, **headers})
        for number in range(first, self._events + 1):
            event = b"id: %d\ndata: %b\n\n" % (number, attempt.encode())
            if conduct is Conduct.CUT_MIDWAY and number == self._events // 2 + 1:
                exchange.chunk(event[:6])
                exchange.abort()
                return
            exchange.chunk(event)
            time.sleep(self._pause)
        exchange.chunk(b"")
