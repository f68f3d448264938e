"""Judge of answers: holds the upstreams' own records against the callers' bytes.

What counts is what an upstream made and whether it had finished, not how the gateway
has framed its answer.
"""

import re
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise
from typing import NamedTuple

from standins.soak_judge import NOT_EXECUTED_STATUSES
from standins.wirecaller import Ending, WireAnswer
from standins.wirerecord import RecordedRun, RunEnd

EVENT = re.compile(
    rb"(?:oleandershift-weight-versions: \d+\n)?"
    rb"id: (\d+)\ndata: (\S+) (\S+) \d+/(\d+) x*\Z"
)
SEPARATOR = b"\n\n"
OLD_PROTOCOL = "HTTP/1.0"
KILL_SEEN_SECONDS = 0.5
"""Time after the kill of a gateway in which its callers see their connections end."""


class Fault(Enum):
    """What is wrong with an answer, or can't be told.

    `SHORT_…` are answers that look complete before their last piece, by what the last
    upstream's run came to: its process ended, it stopped within an event or before the
    end that its framing states, its connection failed, or it wrote all. `STATED` was
    ended so by a live upstream in a way that nobody can tell from a whole answer, and
    `GATEWAY_ENDED` by the kernel of a killed gateway, to a caller that gets neither a
    length nor chunks.
    """

    SHORT_PROCESS_ENDED = "short, its upstream's process ended"
    SHORT_CUT = "short, its upstream had stopped"
    SHORT_GONE = "short, its connection had failed"
    SHORT_FINISHED = "short, its upstream wrote all"
    SHORT_UNKNOWN = "short, of no known run"
    MISSING = "a piece is missing"
    TWICE = "a piece comes twice"
    JOINED = "two runs are joined"
    VERSIONS = "two software versions are joined"
    FOREIGN = "pieces of another request"
    GARBLED = "bytes that are no piece"
    BODY = "not the upstream's whole body"
    SEAL = "a success without a seal"
    STATUS = "another status than the upstream's"
    UNASKED_BYTES = "bytes without a request"
    CHUNKS = "chunks for a caller that knows none"
    EXECUTED_TWICE = "executed twice"
    REFUSED = "refused, and executed"
    STATED = "stated by its upstream's close"
    GATEWAY_ENDED = "stated by its gateway's end"


UNCOUNTED = (Fault.STATED, Fault.GATEWAY_ENDED)
"""Classes that are recorded, and are no violations."""

SHORT_BY_END = {
    RunEnd.NONE: Fault.SHORT_PROCESS_ENDED,
    RunEnd.CUT: Fault.SHORT_CUT,
    RunEnd.GONE: Fault.SHORT_GONE,
    RunEnd.FINISHED: Fault.SHORT_FINISHED,
    RunEnd.STATED: Fault.STATED,
}


@dataclass(frozen=True)
class WireCall:
    """One call as its caller saw it.

    Parameters
    ----------
    attempt_id, path, gateway : str
        What was sent where.
    sent_at : float
        Monotonic time at which it was sent.
    answer : WireAnswer
        What came back.
    stream : str
        Stream that it asks for; empty for a plain answer.
    pieces : int
        Events of the stream.
    is_resumable, is_idempotent : bool
        What the route allows.
    last_event : int
        Last event that the caller has of the stream.
    unasked : bytes
        Bytes that came after the answer, or are none.
    protocol : str
        Protocol of the caller.
    """

    attempt_id: str
    path: str
    gateway: str
    sent_at: float
    answer: WireAnswer
    stream: str = ""
    pieces: int = 0
    is_resumable: bool = False
    is_idempotent: bool = False
    last_event: int = 0
    unasked: bytes = b""
    protocol: str = "HTTP/1.1"


@dataclass
class WireHistory:
    """Calls, the upstreams' records, and the kills of gateways.

    Parameters
    ----------
    calls : list of WireCall
        Calls; those that go on with a stream after those that they go on with.
    runs : dict
        Runs by their names.
    killed_at : dict
        Monotonic times of the kills of each gateway.
    """

    calls: list[WireCall] = field(default_factory=list)
    runs: dict[str, RecordedRun] = field(default_factory=dict)
    killed_at: dict[str, list[float]] = field(default_factory=dict)


class Finding(NamedTuple):
    """A fault and where it was seen."""

    fault: Fault
    text: str

    @property
    def is_counted(self) -> bool:
        """Return whether it is a violation."""
        return self.fault not in UNCOUNTED


class Piece(NamedTuple):
    """An event at its caller."""

    number: int
    run: str
    stream: str
    total: int


def find_faults(history: WireHistory) -> list[Finding]:
    """Return all findings, also those that don't count."""
    findings: list[Finding] = []
    tries = defaultdict(list)
    for call in history.calls:
        if call.stream:
            tries[call.stream].append(call)
        else:
            findings += _plain_faults(call, history)
        findings += _answer_faults(call, history)
    for calls in tries.values():
        findings += _stream_faults(calls, history)
    return [*findings, *_execution_faults(history)]


def whole_events(body: bytes) -> int:
    """Return the number of whole events in a body."""
    return body.count(SEPARATOR)


def _finding(fault: Fault, call: WireCall, text: str) -> Finding:
    label = f"{call.attempt_id} {call.path} at {call.gateway} ({call.protocol})"
    return Finding(fault, f"{fault.value}: {label}: {text}")


def _answer_faults(call: WireCall, history: WireHistory) -> Iterator[Finding]:
    """Find faults of an answer of any kind."""
    answer = call.answer
    if call.unasked:
        yield _finding(Fault.UNASKED_BYTES, call, repr(call.unasked[:60]))
    is_old = call.protocol == OLD_PROTOCOL
    if is_old and answer.headers.get("transfer-encoding"):
        yield _finding(Fault.CHUNKS, call, f"status {answer.status}")
    if answer.status == 200 and not answer.seal:
        yield _finding(Fault.SEAL, call, f"body {answer.body[:60]!r}")
    if not answer.seal:
        return
    run = history.runs.get(answer.seal)
    if run is None or run.begun.attempt_id != call.attempt_id:
        yield _finding(Fault.FOREIGN, call, f"seal {answer.seal}")
    elif run.begun.status != answer.status:
        statuses = f"{answer.status}, the upstream's is {run.begun.status}"
        yield _finding(Fault.STATUS, call, statuses)


def _plain_faults(call: WireCall, history: WireHistory) -> Iterator[Finding]:
    answer = call.answer
    run = history.runs.get(answer.seal)
    if answer.status != 200 or not answer.is_complete or run is None:
        return
    whole = run.begun.body.encode()
    if answer.body == whole:
        return
    text = f"{len(answer.body)} of {len(whole)} bytes, {_describe(run)}"
    if _is_end_of_gateway(call, history):
        yield _finding(Fault.GATEWAY_ENDED, call, text)
    elif whole.startswith(answer.body):
        fault = SHORT_BY_END[run.end]
        yield _finding(fault, call, text)
    else:
        yield _finding(Fault.BODY, call, f"{text}: {answer.body[:60]!r}")


def _stream_faults(calls: list[WireCall], history: WireHistory) -> Iterator[Finding]:
    """Find faults of a stream over all tries of its caller."""
    kept: list[Piece] = []
    for call in calls:
        if call.answer.status != 200:
            continue
        pieces, rest = _pieces(call.answer.body)
        before = [piece for piece in kept if piece.number <= call.last_event]
        yield from _piece_faults(call, before, pieces, history)
        yield from _end_faults(call, pieces, rest, history)
        kept = before + [item for item in pieces if isinstance(item, Piece)]


def _pieces(body: bytes) -> tuple[list[Piece | bytes], bytes]:
    """Return the events of a body, those that are none as bytes, and the rest."""
    *raw, rest = body.split(SEPARATOR)
    pieces: list[Piece | bytes] = []
    for event in raw:
        match = EVENT.match(event)
        if match is None:
            pieces.append(event)
            continue
        number, run, stream, total = match.groups()
        pieces.append(Piece(int(number), run.decode(), stream.decode(), int(total)))
    return pieces, rest


def _piece_faults(
    call: WireCall,
    before: list[Piece],
    pieces: list[Piece | bytes],
    history: WireHistory,
) -> Iterator[Finding]:
    for garbled in (item for item in pieces if isinstance(item, bytes)):
        yield _finding(Fault.GARBLED, call, repr(garbled[:80]))
    events = [item for item in pieces if isinstance(item, Piece)]
    last = call.last_event
    for piece in events:
        if piece.number > last + 1:
            yield _finding(Fault.MISSING, call, f"{piece.number} follows {last}")
        elif piece.number <= last:
            yield _finding(Fault.TWICE, call, f"{piece.number} follows {last}")
        last = piece.number
        if not _is_made(piece, call, history.runs):
            yield _finding(Fault.FOREIGN, call, f"{piece}")
    for previous, piece in pairwise([*before[-1:], *events]):
        if previous.run != piece.run:
            yield from _joint_faults(call, previous, piece, history.runs)


def _is_made(piece: Piece, call: WireCall, runs: Mapping[str, RecordedRun]) -> bool:
    """Return whether a run for this very call has made an event."""
    run = runs.get(piece.run)
    return (
        run is not None
        and run.begun.attempt_id == call.attempt_id
        and piece.stream == call.stream
        and piece.number in run.numbers
    )


def _joint_faults(
    call: WireCall, previous: Piece, piece: Piece, runs: Mapping[str, RecordedRun]
) -> Iterator[Finding]:
    before, after = runs.get(previous.run), runs.get(piece.run)
    if before is None or after is None:
        return
    text = f"{_describe(before)} to {_describe(after)} at {piece.number}"
    goes_on = after.begun.first == piece.number == previous.number + 1
    if not call.is_resumable or not goes_on:
        yield _finding(Fault.JOINED, call, text)
    if before.begun.version != after.begun.version:
        yield _finding(Fault.VERSIONS, call, text)


def _end_faults(
    call: WireCall, pieces: list[Piece | bytes], rest: bytes, history: WireHistory
) -> Iterator[Finding]:
    """Find streams that look complete and are not."""
    if not call.answer.is_complete:
        return
    events = [item for item in pieces if isinstance(item, Piece)]
    last = events[-1].number if events else call.last_event
    run = history.runs.get(events[-1].run if events else call.answer.seal)
    if rest:
        yield _finding(Fault.GARBLED, call, f"ends in {rest[:80]!r}")
    if last >= call.pieces and not rest:
        return
    text = f"{last} of {call.pieces} events, {call.answer.ending.value}"
    if _is_end_of_gateway(call, history):
        yield _finding(Fault.GATEWAY_ENDED, call, text)
    elif run is None:
        yield _finding(Fault.SHORT_UNKNOWN, call, text)
    else:
        fault = SHORT_BY_END[run.end]
        if fault is Fault.STATED and run.numbers and last < run.numbers[-1]:
            fault = Fault.SHORT_CUT
        yield _finding(fault, call, f"{text}, {_describe(run)}")


def _is_end_of_gateway(call: WireCall, history: WireHistory) -> bool:
    """Return whether the kernel of a killed gateway ended an answer without framing."""
    return call.answer.ending is Ending.CLOSED and any(
        call.sent_at <= at + KILL_SEEN_SECONDS
        and at <= call.answer.ended_at <= at + KILL_SEEN_SECONDS
        for at in history.killed_at.get(call.gateway, ())
    )


def _execution_faults(history: WireHistory) -> Iterator[Finding]:
    executions = Counter(run.begun.attempt_id for run in history.runs.values())
    for call in history.calls:
        count = executions[call.attempt_id]
        if call.is_idempotent or call.is_resumable:
            continue
        if count > 1:
            yield _finding(Fault.EXECUTED_TWICE, call, f"{count} times")
        if count and call.answer.status in NOT_EXECUTED_STATUSES:
            yield _finding(Fault.REFUSED, call, f"with {call.answer.status}")


def _describe(run: RecordedRun) -> str:
    begun = run.begun
    made = f"{begun.first} to {run.numbers[-1]}" if run.numbers else "no event"
    return (
        f"run {begun.run} at {begun.version} ({begun.style}) made {made}, "
        f"end {run.end.value}"
    )
