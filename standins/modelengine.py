"""Stand-in for an upstream that implements the platform's published protocol."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from standins.behaviours import (
    ENDLESS_BYTES,
    ERROR_STREAMS,
    SLOW_BYTES,
    SLOW_BYTES_SECONDS,
    UNFRAMED_STREAMS,
    Behaviour,
)
from standins.registration import registration
from standins.server import Exchange, Server

ATTEMPT_HEADER = "Oleandershift-Attempt-Id"
SEAL_HEADER = "Oleandershift-Response-Seal"
NOT_EXECUTED_HEADER = "Oleandershift-Not-Executed"
LEAVING_HEADER = "Server-Leaving"
LIMIT_HEADER = "Server-Limit"
PROMPT_PREFIX_HEADER = "Oleandershift-Prompt-Prefix"


@dataclass(frozen=True)
class ExecutedRequest:
    """A request that an upstream executed.

    Parameters
    ----------
    attempt_id : str
        Attempt id from the request.
    path, team : str
        Path of the request and team of its caller.
    body : bytes
        Body of the request.
    received_at : float
        Time at which the request was received, by the monotonic clock.
    first_event : int
        Number of the first event to send, from 1; greater if a stream is resumed.
    parts : tuple of str
        Names of the parts of its prompt.
    version : str
        Software version of the upstream.
    """

    attempt_id: str
    path: str
    team: str
    body: bytes
    received_at: float
    first_event: int
    parts: tuple[str, ...] = ()
    version: str = "v1"


@dataclass
class ReceivedRequest:
    """A request that reached an upstream, executed or not.

    Parameters
    ----------
    attempt_id : str
        Attempt id from the request.
    received_at : float
        Time at which the request was received, by the monotonic clock.
    run : int
        Number of the upstream's run that received it, from 1.
    says_leaving : bool
        Whether the response says that the upstream leaves.
    refused_at, away_until : float or None
        Time at which it was refused with `Retry-After`, and the end of that time.
    """

    attempt_id: str
    received_at: float
    run: int = 1
    says_leaving: bool = False
    refused_at: float | None = None
    away_until: float | None = None


def _prompt_parts(exchange: Exchange) -> tuple[str, ...]:
    prefix = exchange.headers.get(PROMPT_PREFIX_HEADER, "")
    return tuple(entry.partition(":")[0] for entry in prefix.split(",") if entry)


class ModelEngine:
    """Upstream that serves streams and plain requests and keeps a ledger of them.

    Parameters
    ----------
    name : str
        Instance id.
    ip : str
        Address to listen on.
    events : int
        Number of events of a stream.
    pause_seconds : float
        Time between events, and service time of a plain request.

    Attributes
    ----------
    version : str
        Version of its software.
    behaviour : Behaviour
        Response to requests for which none is queued.
    queued_behaviours : list of Behaviour
        Responses to the next requests.
    resumed_behaviour : Behaviour or None
        Response to requests that resume a stream; None for the same as to others.
    run : int
        Number of its run, from 1; each restart begins another one.
    is_leaving : bool
        Whether its responses say that it leaves; a restart ends it.
    limit : str or None
        Requests a second that its responses name as its limit; a restart ends it.
    retry_after : str or None
        Value of the header `Retry-After` when it refuses a request.
    received : list of ReceivedRequest
        Requests that reached it.
    padding : bytes
        Appended to the body of a plain response.
    crashing_part : str or None
        Prompt part under which the upstream crashes instead of a response.
    crashing_path : str or None
        End of the path of requests under which the upstream crashes as well.
    begins_before_crash : bool
        Whether it then sends the first event of a stream that ends with the connection.
    restart_seconds : float
        Time after a crash at which it runs again, at the same address.
    clock_ahead_ms : int
        How far the clock of its host is ahead at its next start; negative if behind.
    on_restart : callable
        Called with this upstream after a restart.
    crashed_at : list of float
        Time of each crash, by the monotonic clock.
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
        self.run = 1
        self.started_at_ms = int(time.time() * 1000)
        self.address = f"{ip}:{self._server.port}"
        self.port = self._server.port
        self.version = "v1"
        self.crashing_part: str | None = None
        self.crashing_path: str | None = None
        self.begins_before_crash = False
        self.restart_seconds = 1.0
        self.clock_ahead_ms = 0
        self.on_restart: Callable[[ModelEngine], None] = lambda engine: None
        self.crashed_at: list[float] = []
        self._ip = ip
        self._is_up = False
        self._is_stopped = False
        self.behaviour = Behaviour.ANSWER
        self.queued_behaviours: list[Behaviour] = []
        self.is_leaving = False
        self.resumed_behaviour: Behaviour | None = None
        self.limit: str | None = None
        self.retry_after: str | None = None
        self.received: list[ReceivedRequest] = []
        self.padding = b""
        self._event_count = events
        self._pause_seconds = pause_seconds
        self._lock = threading.Lock()
        self._ledger: list[ExecutedRequest] = []

    @property
    def arrivals(self) -> list[float]:
        """Time of each request that reached it, by the monotonic clock."""
        return [req.received_at for req in self.received]

    def start(self) -> None:
        """Accept connections."""
        self._is_up = True
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections and reset the open ones; don't restart."""
        with self._lock:
            was_up, self._is_up = self._is_up, False
            self._is_stopped = True
        if was_up:
            self._server.stop()

    def restart(self) -> bool:
        """End as a process does, and run again later; return False if it is down."""
        with self._lock:
            was_up, self._is_up = self._is_up, False
        if was_up:
            threading.Thread(target=self._restart, daemon=True).start()
        return was_up

    def _crash(self) -> None:
        """Restart because of a crash; once for several calls."""
        crashed_at = time.monotonic()
        if self.restart():
            self.crashed_at.append(crashed_at)

    def _restart(self) -> None:
        self._server.stop()
        time.sleep(self.restart_seconds)
        if self._is_stopped:
            return
        self._server = Server(self._ip, self.port, self._handle)
        self.run += 1
        self.limit = None
        self.is_leaving = False
        self.queued_behaviours = []
        self.started_at_ms = int(time.time() * 1000) + self.clock_ahead_ms
        self.start()
        self.on_restart(self)

    def entry(self, service: str, zone: str, state: str = "ready") -> dict[str, object]:
        """Return the entry that registers the upstream with the platform."""
        return registration(
            self.address, self.started_at_ms, service, zone, self.version, state
        )

    def ledger(self) -> list[ExecutedRequest]:
        """Return the executed requests in order."""
        with self._lock:
            return list(self._ledger)

    def runs(self) -> Counter[str]:
        """Return the number of executions of each attempt."""
        return Counter(executed.attempt_id for executed in self.ledger())

    def _handle(self, exchange: Exchange) -> None:
        attempt_id = exchange.headers.get(ATTEMPT_HEADER, "")
        req = ReceivedRequest(attempt_id, time.monotonic(), self.run, self.is_leaving)
        said = {LEAVING_HEADER: "1"} if req.says_leaving else {}
        if self.limit is not None:
            said[LIMIT_HEADER] = self.limit
        exchange.extra_headers = said
        with self._lock:
            self.received.append(req)
            behaviour = (
                self.queued_behaviours.pop(0)
                if self.queued_behaviours
                else self.behaviour
            )
        if self._uses_resumed_behaviour(exchange):
            behaviour = self.resumed_behaviour or behaviour
        expected_instance = exchange.headers.get("Oleandershift-Expect-Instance")
        if expected_instance is not None and expected_instance != self.name:
            headers = {"Oleandershift-Instance-Id": self.name}
            exchange.send_json(421, {}, {**headers, ATTEMPT_HEADER: attempt_id})
        elif behaviour is Behaviour.REFUSE:
            self._refuse(exchange, req)
        elif behaviour is Behaviour.CUT_BEFORE:
            exchange.abort()
        elif behaviour is Behaviour.ENDLESS_REFUSAL:
            self._send_without_end(exchange, behaviour)
        else:
            self._execute(exchange, attempt_id, behaviour)

    def _uses_resumed_behaviour(self, exchange: Exchange) -> bool:
        """Return whether a request is answered as one that resumes a stream.

        An answer without an event would be the upstream's own complete one to a caller
        that takes a stream up.
        """
        is_own_answer = (
            self.resumed_behaviour is Behaviour.ERROR_EMPTY
            and "Resumes" in exchange.headers
        )
        return "Last-Event-Id" in exchange.headers and not is_own_answer

    def _refuse(self, exchange: Exchange, req: ReceivedRequest) -> None:
        retry_after = self.retry_after
        away = {} if retry_after is None else {"Retry-After": retry_after}
        headers = {NOT_EXECUTED_HEADER: "1", ATTEMPT_HEADER: req.attempt_id, **away}
        exchange.send_json(503, {}, headers)
        if retry_after is not None:
            req.refused_at = time.monotonic()
            req.away_until = req.refused_at + float(retry_after)

    def _execute(
        self, exchange: Exchange, attempt_id: str, behaviour: Behaviour
    ) -> None:
        first_event = int(exchange.headers.get("Last-Event-Id", 0)) + 1
        executed = ExecutedRequest(
            attempt_id,
            exchange.path,
            exchange.headers.get("Oleandershift-Tenant", ""),
            exchange.body,
            time.monotonic(),
            first_event,
            _prompt_parts(exchange),
            self.version,
        )
        with self._lock:
            self._ledger.append(executed)
        if self._crashes_under(executed):
            if self.begins_before_crash:
                self._send_first_event(exchange, attempt_id)
                self._crash()
                return
            self._crash()
            exchange.abort()
            return
        headers = {ATTEMPT_HEADER: attempt_id, SEAL_HEADER: f"{self.name}.{attempt_id}"}
        if behaviour is Behaviour.HANG:
            while not exchange.client_disconnected():
                time.sleep(0.01)
        elif behaviour is Behaviour.FAIL:
            exchange.send_json(500, {"error": "failed"}, headers)
        elif behaviour is Behaviour.CUT_AFTER:
            exchange.abort()
        elif behaviour in ENDLESS_BYTES:
            self._send_without_end(exchange, behaviour)
        elif behaviour is Behaviour.GARBAGE:
            exchange.write(b"this is no answer\r\n\r\n")
            exchange.abort()
        elif "/stream/" in exchange.path:
            self._send_stream(exchange, attempt_id, headers, first_event, behaviour)
        else:
            self._send_plain(exchange, attempt_id, headers, behaviour)

    def _crashes_under(self, executed: ExecutedRequest) -> bool:
        path = self.crashing_path
        has_path = path is not None and executed.path.endswith(path)
        return has_path or self.crashing_part in executed.parts[:-1]

    def _send_first_event(self, exchange: Exchange, attempt_id: str) -> None:
        seal = {ATTEMPT_HEADER: attempt_id, SEAL_HEADER: f"{self.name}.{attempt_id}"}
        exchange.send_head(200, {"Connection": "close", **seal})
        exchange.write(b"id: 1\ndata: x\n\n")

    def _send_without_end(self, exchange: Exchange, behaviour: Behaviour) -> None:
        start, repeated = ENDLESS_BYTES[behaviour]
        pause_seconds = SLOW_BYTES_SECONDS if len(repeated) < SLOW_BYTES else 0.0
        try:
            exchange.write(start)
            while not exchange.client_disconnected():
                exchange.write(repeated)
                time.sleep(pause_seconds)
        except OSError:
            return

    def _send_plain(
        self,
        exchange: Exchange,
        attempt_id: str,
        headers: dict[str, str],
        behaviour: Behaviour,
    ) -> None:
        time.sleep(self._pause_seconds)
        body = f"{self.name} ran {attempt_id}".encode() + self.padding
        if behaviour is Behaviour.ENCODED:
            headers = {**headers, "Content-Encoding": "gzip"}
        if behaviour is Behaviour.LEFTOVER:
            other_headers = {ATTEMPT_HEADER: "another", SEAL_HEADER: "another"}
            exchange.send_head(200, {"Content-Length": "5", **other_headers})
            exchange.write(b"other")
        if behaviour is Behaviour.UNFRAMED:
            exchange.send_head(200, {**headers, "Connection": "close"})
            exchange.write(body)
            return
        exchange.send_head(200, {"Content-Length": str(len(body)), **headers})
        if behaviour in (Behaviour.CUT_MIDWAY, Behaviour.CUT_LATE):
            exchange.write(body[:5] if behaviour is Behaviour.CUT_MIDWAY else body[:-1])
            exchange.abort()
            return
        if exchange.method != "HEAD":
            exchange.write(body)

    def _send_stream(
        self,
        exchange: Exchange,
        attempt_id: str,
        headers: dict[str, str],
        first_event: int,
        behaviour: Behaviour,
    ) -> None:
        if behaviour in ERROR_STREAMS:
            content_type, body = ERROR_STREAMS[behaviour]
            fields = {"Content-Type": content_type, "Content-Length": str(len(body))}
            exchange.send_head(200, {**fields, **headers})
            exchange.write(body)
            return
        is_unframed = behaviour in UNFRAMED_STREAMS
        framing = (
            {"Connection": "close"} if is_unframed else {"Transfer-Encoding": "chunked"}
        )
        write = exchange.write if is_unframed else exchange.write_chunk
        stream_headers = {"Content-Type": "text/event-stream", **framing}
        exchange.send_head(200, {**stream_headers, **headers})
        if behaviour is Behaviour.END_EMPTY:
            return
        for number in range(first_event, self._event_count + 1):
            event = b"id: %d\ndata: %b\n\n" % (number, attempt_id.encode())
            if behaviour is Behaviour.END_IN_EVENT and number > first_event:
                write(event[:6])
                return
            if (
                behaviour is Behaviour.CUT_MIDWAY
                and number == self._event_count // 2 + 1
            ):
                write(event[:6])
                exchange.abort()
                return
            write(event)
            time.sleep(self._pause_seconds)
        if not is_unframed:
            write(b"")
