"""Judge of the soak of gateways: finds the guarantees that a run has violated."""

from collections import Counter
from dataclasses import dataclass, field

from standins.gateway_fleet import KEY, GatewayResponse
from standins.modelengine import ExecutedRequest

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that the request has not been and will not be executed."""

DEADLINE_TOLERANCE_SECONDS = 1.0
"""Longest allowed delay of a response past the deadline, on a shared machine."""

MAX_FREEZE_SECONDS = 1.5
"""Longest freeze of a process; callers' deadlines are longer."""

DRAIN_SECONDS = 2.5
"""A draining upstream gets no new request after this time (`drainMs` of the fleet)."""

DEADLINE_SECONDS = 4.0

CRASHING_PART = "bad"
CRASHES_TO_LEARN = 5
CONTACT_SECONDS = 4.0
MAX_LATE_CRASHES = 3
"""After so many crashes and the contact time, so many more requests with the part may
reach upstreams."""


@dataclass(frozen=True)
class GatewayCall:
    """One call as its caller saw it; `response` is None if the connection broke."""

    attempt_id: str
    path: str
    gateway: str
    sent_at: float
    response: GatewayResponse | None
    key: str = KEY


@dataclass
class SoakHistory:
    """Events of a run, from which violations are found.

    Parameters
    ----------
    calls : list of GatewayCall
        Calls with their responses.
    arrivals : dict
        Requests that each upstream executed, by name of the upstream.
    drain_started_at : dict
        Monotonic time at which each upstream started to drain.
    disturbances : list of tuple
        Start and end of the intervals in which a gateway was frozen or killed, or the
        store disturbed, including the time to catch up.
    crashed_at : list of float
        Time of each crash of an upstream under a prompt.
    """

    calls: list[GatewayCall] = field(default_factory=list)
    arrivals: dict[str, list[ExecutedRequest]] = field(default_factory=dict)
    drain_started_at: dict[str, float] = field(default_factory=dict)
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)


def find_violations(history: SoakHistory) -> list[str]:
    """Return a description of every violated guarantee."""
    executions: Counter[str] = Counter()
    for requests in history.arrivals.values():
        executions.update(req.attempt_id for req in requests)
    violations = []
    for call in history.calls:
        violations += _call_violations(call, executions[call.attempt_id])
    sent = {call.attempt_id for call in history.calls}
    violations += [
        f"{attempt_id} was executed but never sent"
        for attempt_id in executions
        if attempt_id not in sent
    ]
    return violations + _drain_violations(history) + _crash_violations(history)


def _call_violations(call: GatewayCall, executions: int) -> list[str]:
    violations = []
    label = f"{call.attempt_id} {call.path} at {call.gateway}"
    if executions > 1 and call.path.startswith(("/write/", "/stream/once/")):
        violations.append(f"{label}: executed {executions} times")
    res = call.response
    if res is None:
        return violations
    if res.status in NOT_EXECUTED_STATUSES and executions:
        violations.append(
            f"{label}: responded with {res.status}, executed {executions} times"
        )
    if res.status == 200 and res.whole and not _has_expected_body(call, res):
        violations.append(f"{label}: unexpected body {res.body[:60]!r}")
    if res.seconds > DEADLINE_SECONDS + DEADLINE_TOLERANCE_SECONDS + MAX_FREEZE_SECONDS:
        violations.append(f"{label}: responded after {res.seconds:.1f} s")
    return violations


def _has_expected_body(call: GatewayCall, res: GatewayResponse) -> bool:
    if call.path.startswith("/stream/"):
        return res.body == b"".join(
            b"id: %d\ndata: %b\n\n" % (number, call.attempt_id.encode())
            for number in range(1, 6)
        )
    return res.body.endswith(b" ran " + call.attempt_id.encode())


def _drain_violations(history: SoakHistory) -> list[str]:
    violations = []
    for name, started_at in history.drain_started_at.items():
        for req in history.arrivals.get(name, ()):
            drained_at = started_at + DRAIN_SECONDS
            if req.received_at > drained_at and not _was_disturbed(
                history, started_at, req.received_at
            ):
                delay = req.received_at - started_at
                violations.append(
                    f"{req.attempt_id} reached draining {name} after {delay:.1f} s"
                )
    return violations


def _crash_violations(history: SoakHistory) -> list[str]:
    crashes = sorted(history.crashed_at)
    if len(crashes) < CRASHES_TO_LEARN:
        return []
    known_at = crashes[CRASHES_TO_LEARN - 1] + CONTACT_SECONDS
    late = [
        req.attempt_id
        for requests in history.arrivals.values()
        for req in requests
        if CRASHING_PART in req.parts
        and req.received_at > known_at
        and not _was_disturbed(
            history, req.received_at - CONTACT_SECONDS, req.received_at
        )
    ]
    if len(late) <= MAX_LATE_CRASHES:
        return []
    return [f"{len(late)} requests crashed upstreams late: {', '.join(late)}"]


def _was_disturbed(history: SoakHistory, start: float, end: float) -> bool:
    """Return whether a disturbance overlaps an interval."""
    return any(
        begin <= end and finish >= start for begin, finish in history.disturbances
    )
