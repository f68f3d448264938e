"""Stand-in for an upstream of the platform, by its published protocol."""

import threading
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum

from standins.server import Exchange, Server

ATTEMPT_HEADER = "Oleandershift-Attempt-Id"
SEAL_HEADER = "Oleandershift-Response-Seal"
NOT_EXECUTED_HEADER = "Oleandershift-Not-Executed"


class Behaviour(Enum):
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
class ExecutedRequest:
    """A request that an upstream ran."""

    attempt_id: str
    path: str
    team: str
    body: bytes
    received_at: float
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
        self.started_at_ms = int(time.time() * 1000)
        self.address = f"{ip}:{self._server.port}"
        self.port = self._server.port
        self.start = self._server.start
        self.stop = self._server.stop
        self.behaviour = Behaviour.ANSWER
        self.queued_behaviours: list[Behaviour] = []
        self._events = events
        self._pause = pause_seconds
        self._lock = threading.Lock()
        self._ledger: list[ExecutedRequest] = []

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
            "born": self.started_at_ms,
        }

    def ledger(self) -> list[ExecutedRequest]:
        """Return what it ran."""
        with self._lock:
            return list(self._ledger)

    def runs(self) -> Counter[str]:
        """Return how often each attempt ran."""
        return Counter(arrival.attempt_id for arrival in self.ledger())

    def _handle(self, exchange: Exchange) -> None:
        with self._lock:
            conduct = (
                self.queued_behaviours.pop(0)
                if self.queued_behaviours
                else self.behaviour
            )
        expected = exchange.headers.get("Oleandershift-Expect-Instance")
        attempt = exchange.headers.get(ATTEMPT_HEADER, "")
        if expected is not None and expected != self.name:
            exchange.send_json(421, {}, {"Oleandershift-Instance-Id": self.name})
        elif conduct is Behaviour.REFUSE:
            exchange.send_json(
                503, {}, {NOT_EXECUTED_HEADER: "1", ATTEMPT_HEADER: attempt}
            )
        elif conduct is Behaviour.CUT_BEFORE:
            exchange.abort()
        else:
            self._run(exchange, attempt, conduct)

    def _run(self, exchange: Exchange, attempt: str, conduct: Behaviour) -> None:
        first = int(exchange.headers.get("Last-Event-Id", 0)) + 1
        arrival = ExecutedRequest(
            attempt,
            exchange.path,
            exchange.headers.get("Oleandershift-Tenant", ""),
            exchange.body,
            time.monotonic(),
            first,
        )
        with self._lock:
            self._ledger.append(arrival)
        headers = {ATTEMPT_HEADER: attempt, SEAL_HEADER: f"{self.name}.{attempt}"}
        if conduct is Behaviour.HANG:
            while not exchange.client_disconnected():
                time.sleep(0.01)
        elif conduct is Behaviour.FAIL:
            exchange.send_json(500, {"error": "failed"}, headers)
        elif conduct is Behaviour.CUT_AFTER:
            exchange.abort()
        elif conduct is Behaviour.GARBAGE:
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
        conduct: Behaviour,
    ) -> None:
        time.sleep(self._pause)
        body = f"{self.name} ran {attempt}".encode()
        if conduct is Behaviour.ENCODED:
            headers = {**headers, "Content-Encoding": "gzip"}
        if conduct is Behaviour.LEFTOVER:
            other = {ATTEMPT_HEADER: "another", SEAL_HEADER: "another"}
            exchange.send_head(200, {"Content-Length": "5", **other})
            exchange.write(b"other")
        if conduct is Behaviour.UNFRAMED:
            exchange.send_head(200, {**headers, "Connection": "close"})
            exchange.write(body)
            return
        exchange.send_head(200, {"Content-Length": str(len(body)), **headers})
        if conduct is Behaviour.CUT_MIDWAY:
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
        conduct: Behaviour,
    ) -> None:
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        exchange.send_head(200, {**kind, **headers})
        for number in range(first, self._events + 1):
            event = b"id: %d\ndata: %b\n\n" % (number, attempt.encode())
            if conduct is Behaviour.CUT_MIDWAY and number == self._events // 2 + 1:
                exchange.write_chunk(event[:6])
                exchange.abort()
                return
            exchange.write_chunk(event)
            time.sleep(self._pause)
        exchange.write_chunk(b"")
