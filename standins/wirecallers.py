"""Callers of dcfa-coldroute, each with a connection that it keeps until its end."""

import math
import random
import threading
import time

import msgspec

from standins.coldroute_sheet import KINDS, TEAMS, Kind, key_of
from standins.gateway_fleet import HOST, GatewayFleet
from standins.soak_streams import OLD_PROTOCOL, WireCall, WireHistory, whole_events
from standins.wirecaller import BadAnswerError, Ending, WireAnswer, WireConnection
from standins.wireupstream import Work

CALLERS = 60
CALLS_A_SECOND = 60.0
"""Of all kinds together; the sheet has 210."""

SLOW_FRACTION = 0.05
OLD_PROTOCOL_FRACTION = 0.05
LARGE_FRACTION = 0.05
LARGE_PADDING = 6000
LEAVE_FRACTION = 0.06
"""Fraction of the calls that their callers leave on the way, and take up if they may.
"""

MAX_LEFT_BYTES = 6000
MAX_TAKE_UPS = 3
LAST_SECONDS = 2.0
"""Time that calls still have when the faults are over."""


class WireCallers:
    """Threads that call gateways and keep each answer's bytes.

    A caller stays on its connection until that ends.

    Parameters
    ----------
    fleet : GatewayFleet
        Fleet of the gateways.
    history : WireHistory
        Where calls are recorded.
    seed : int
        Seed of the run.
    until : float
        Monotonic time at which the last call begins.
    """

    def __init__(
        self, fleet: GatewayFleet, history: WireHistory, seed: int, until: float
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._seed = seed
        self._until = until
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start calling."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait until the last call has ended."""
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        rng = random.Random(self._seed * 1000 + number)
        caller = _Caller(self._fleet, self._history, rng, f"c{number}", self._until)
        while time.monotonic() < self._until:
            begun_at = time.monotonic()
            caller.call()
            pause = rng.expovariate(CALLS_A_SECOND / CALLERS)
            due_at = min(begun_at + pause, self._until)
            time.sleep(max(due_at - time.monotonic(), 0.0))
        caller.close()


class _Caller:
    """One caller with its connection."""

    def __init__(
        self,
        fleet: GatewayFleet,
        history: WireHistory,
        rng: random.Random,
        name: str,
        until: float,
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._rng = rng
        self._name = name
        self._until = until
        self._serial = 0
        self._gateway = rng.choice(fleet.gateways)
        self._conn: WireConnection | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def call(self) -> None:
        """Call once, and take up a stream that breaks, at any gateway."""
        rng = self._rng
        kind = rng.choices(KINDS, [kind.weight for kind in KINDS])[0]
        self._serial += 1
        attempt_id = f"{self._name}-{self._serial}"
        work = self._draw_work(kind, attempt_id)
        protocol = OLD_PROTOCOL if rng.random() < OLD_PROTOCOL_FRACTION else "HTTP/1.1"
        call = self._call(kind, work, attempt_id, protocol)
        resumes = attempt_id
        for number in range(MAX_TAKE_UPS):
            if call is None or not self._may_go_on(call):
                return
            last_event = call.last_event + whole_events(call.answer.body)
            if not last_event or time.monotonic() > self._until:
                return
            self.close()
            again = f"{attempt_id}-again{number + 1}"
            call = self._call(kind, work, again, protocol, resumes, last_event)

    def _may_go_on(self, call: WireCall) -> bool:
        answer = call.answer
        gave_up = answer.ending in (Ending.NOTHING, Ending.LATE)
        is_open = call.is_resumable and not gave_up
        return is_open and answer.status == 200 and not answer.is_complete

    def _draw_work(self, kind: Kind, attempt_id: str) -> Work:
        if not kind.pieces:
            return Work()
        mean = kind.pieces
        pieces = min(int(self._rng.expovariate(1 / mean)) + 1, kind.max_pieces)
        is_large = self._rng.random() < LARGE_FRACTION
        return Work(attempt_id, pieces, LARGE_PADDING if is_large else 20)

    def _connect(self) -> WireConnection | None:
        is_slow = self._rng.random() < SLOW_FRACTION
        gateway = self._gateway
        try:
            return WireConnection(gateway.ip, gateway.frontend_port, is_slow)
        except OSError:
            time.sleep(0.05)
            return None

    def _call(
        self,
        kind: Kind,
        work: Work,
        attempt_id: str,
        protocol: str,
        resumes: str = "",
        last_event: int = 0,
    ) -> WireCall | None:
        """Call once; None without a connection."""
        if self._conn is None:
            self._gateway = self._rng.choice(self._fleet.gateways)
            self._conn = self._connect()
            if self._conn is None:
                return None
        left = self._until + LAST_SECONDS - time.monotonic()
        patience = max(min(kind.deadline_seconds, left), 0.5)
        fields = self._fields(kind, attempt_id, patience)
        if last_event:
            fields |= {"Resumes": resumes, "Last-Event-Id": str(last_event)}
        is_lookup = kind.type == "idempotent"
        body = b"" if is_lookup else msgspec.json.encode(work)
        method = "GET" if is_lookup else "POST"
        leaves = self._rng.random() < LEAVE_FRACTION
        wanted_bytes = self._rng.uniform(0, MAX_LEFT_BYTES) if leaves else math.inf
        unasked = self._conn.unasked_bytes()
        sent_at = time.monotonic()
        try:
            answer = self._conn.call(
                method,
                kind.path + "x",
                fields,
                body,
                patience + 0.5,
                protocol,
                wanted_bytes,
            )
        except BadAnswerError as exc:
            unasked += str(exc).encode()
            answer = WireAnswer(0, {}, b"", Ending.NOTHING, time.monotonic())
        call = WireCall(
            attempt_id,
            kind.path,
            self._gateway.name,
            sent_at,
            answer,
            work.stream,
            work.pieces if work.stream else 0,
            kind.is_resumable,
            is_lookup,
            last_event,
            unasked,
            protocol,
        )
        self._history.calls.append(call)
        if not _is_kept(answer) or protocol == OLD_PROTOCOL:
            self.close()
        return call

    def _fields(self, kind: Kind, attempt_id: str, patience: float) -> dict[str, str]:
        fields = {
            "Host": HOST,
            "Oleandershift-Attempt-Id": attempt_id,
            "Oleandershift-Deadline-Ms": str(int(patience * 1000)),
            "Authorization": f"Bearer {key_of(self._rng.randrange(TEAMS))}",
        }
        if not kind.pieces:
            return fields
        part, own = self._rng.randrange(20), self._rng.getrandbits(32)
        return {
            **fields,
            "Content-Type": "application/json",
            "Oleandershift-Model": "m",
            "Oleandershift-Token-Usage": f"{kind.pieces * 60},{kind.pieces * 6}",
            "Oleandershift-Prompt-Prefix": f"a1:100,b{part:x}:100,{own:08x}:200",
        }


def _is_kept(answer: WireAnswer) -> bool:
    says_close = answer.headers.get("connection", "").lower() == "close"
    return answer.ending is Ending.STATED and not says_close
