"""Judge of the soak of gateways: finds the guarantees that a run has violated."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from typing import TypeAlias

from standins.gateway_fleet import KEY, GatewayResponse
from standins.modelengine import SEAL_HEADER, ExecutedRequest, ReceivedRequest

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
"""Statuses which guarantee that the request has not been and will not be executed."""

DEADLINE_TOLERANCE_SECONDS = 1.0
"""Longest allowed delay of a response past the deadline, on a shared machine."""

MAX_FREEZE_SECONDS = 1.5
"""Longest freeze of a process; callers' deadlines are longer."""

DRAIN_SECONDS = 2.5
"""An upstream that leaves gets no new request after this time (`drainMs` of the fleet).
"""

AWAY_NOTICE_SECONDS = 0.5
MAX_REQUESTS_WHILE_AWAY = 2
"""After the notice time, so many requests of a gateway may reach an upstream that has
turned it away with `Retry-After`, until the end of that time."""

DEADLINE_SECONDS = 4.0

CRASHING_PART = "bad"
CRASHES_TO_LEARN = 5
CONTACT_SECONDS = 4.0
MAX_LATE_CRASHES = 3
"""After so many crashes and the contact time, so many more requests with the part may
reach upstreams."""

CRASHING_PATH = "/read/killer"
REPEATED_CRASHES_TO_LEARN = 3
"""Likewise for a request that is repeated."""

MAX_MIXED_STREAMS = 2
"""Streams that may have events of several software versions."""

Run: TypeAlias = tuple[str, int]
"""Name of an upstream and number of its run."""

Interval: TypeAlias = tuple[float, float]

STORE = "store"
"""Name of the store in the disturbances."""


@dataclass(frozen=True)
class GatewayCall:
    """One call as its caller saw it.

    Parameters
    ----------
    attempt_id, path, gateway, key : str
        What was sent where.
    sent_at : float
        Monotonic time at which it was sent.
    response : GatewayResponse or None
        None if the connection broke.
    resumes : str
        Attempt that began the stream which it goes on with; empty without one.
    last_event : int
        Last event that was received of that stream.
    """

    attempt_id: str
    path: str
    gateway: str
    sent_at: float
    response: GatewayResponse | None
    key: str = KEY
    resumes: str = ""
    last_event: int = 0


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
        Monotonic time at which the store had registered each run as draining.
    disturbances : dict
        Start and end of the intervals in which a gateway was frozen, killed or cut off
        from the store, by its name, or in which the store was disturbed, by `STORE`;
        including the time to catch up.
    crashed_at : list of float
        Time of each crash of an upstream under a prompt.
    removed_at : dict
        Monotonic time at which the store had removed each run.
    received : dict
        Requests that reached each upstream, by name of the upstream.
    interruptions : dict
        Start and end of the intervals in which a gateway was frozen or restarted, or
        the link to an upstream disturbed, by name of the gateway or upstream.
    killed_at : dict
        Monotonic times of the kills of each gateway, by its name.
    """

    calls: list[GatewayCall] = field(default_factory=list)
    arrivals: dict[str, list[ExecutedRequest]] = field(default_factory=dict)
    drain_started_at: dict[Run, float] = field(default_factory=dict)
    disturbances: dict[str, list[Interval]] = field(default_factory=dict)
    crashed_at: list[float] = field(default_factory=list)
    removed_at: dict[Run, float] = field(default_factory=dict)
    received: dict[str, list[ReceivedRequest]] = field(default_factory=dict)
    interruptions: dict[str, list[Interval]] = field(default_factory=dict)
    killed_at: dict[str, list[float]] = field(default_factory=dict)

    def was_interrupted(self, name: str, start: float, end: float) -> bool:
        """Return whether a gateway or link was interrupted within an interval."""
        return _overlaps(self.interruptions.get(name, ()), start, end)


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
    return [
        *violations,
        *_crash_violations(history),
        *_repeated_crash_violations(history),
        *_version_violations(history),
        *_store_violations(history),
        *_leaving_violations(history),
        *_away_violations(history),
    ]


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
            for number in range(call.last_event + 1, 6)
        )
    return res.body.endswith(b" ran " + call.attempt_id.encode())


def _store_violations(history: SoakHistory) -> Iterator[str]:
    """Find late requests to upstreams that the store had said to leave.

    A disturbed link to a removed upstream excuses a request, as it may have held it.
    """
    calls = {call.attempt_id: call for call in history.calls}
    for run, req in _received(history):
        call = calls.get(req.attempt_id)
        gateway = call.gateway if call is not None else "unknown"
        drained_at = history.drain_started_at.get(run, math.inf)
        removed_at = history.removed_at.get(run, math.inf)
        was_held = history.was_interrupted(run[0], removed_at, req.received_at)
        for word, left_at, is_excused in (
            ("draining", drained_at, False),
            ("removed", removed_at, was_held),
        ):
            is_late = req.received_at > left_at + DRAIN_SECONDS
            if is_late and not (
                is_excused
                or _was_disturbed(history, (gateway, STORE), left_at, req.received_at)
            ):
                delay = req.received_at - left_at
                yield (
                    f"{req.attempt_id} reached {word} {run} from {gateway} "
                    f"after {delay:.1f} s"
                )


def _leaving_violations(history: SoakHistory) -> Iterator[str]:
    """Find late requests to upstreams whose own word that they leave was passed on."""
    calls = {call.attempt_id: call for call in history.calls}
    passed_on = _passed_on_leaving(history, calls)
    for run, req in _received(history):
        call = calls.get(req.attempt_id)
        if call is None:
            continue
        for heard, heard_at in passed_on.get((call.gateway, run), ()):
            if call.sent_at > heard_at + DRAIN_SECONDS and not history.was_interrupted(
                call.gateway, heard.sent_at, req.received_at
            ):
                delay = req.received_at - heard_at
                yield (
                    f"{req.attempt_id} reached {run} from {call.gateway} {delay:.1f} s "
                    f"after the response to {heard.attempt_id} had said that it leaves"
                )
                break


def _passed_on_leaving(
    history: SoakHistory, calls: dict[str, GatewayCall]
) -> dict[tuple[str, Run], list[tuple[GatewayCall, float]]]:
    """Return the responses that say that a run leaves, with their times, by gateway."""
    passed_on = defaultdict(list)
    for run, req in _received(history):
        call = calls.get(req.attempt_id)
        if not req.says_leaving or call is None or call.response is None:
            continue
        seal = call.response.headers.get(SEAL_HEADER.lower(), "")
        if seal == f"{run[0]}.{req.attempt_id}":
            heard_at = call.sent_at + call.response.seconds
            passed_on[call.gateway, run].append((call, heard_at))
    return passed_on


def _away_violations(history: SoakHistory) -> Iterator[str]:
    """Find upstreams that got too much from a gateway that they had turned away."""
    gateways = {call.attempt_id: call.gateway for call in history.calls}
    by_pair = defaultdict(list)
    for run, req in _received(history):
        if gateway := gateways.get(req.attempt_id):
            by_pair[gateway, run].append(req)
    for (gateway, run), requests in by_pair.items():
        for refused in requests:
            early = _received_while_away(requests, refused)
            if len(early) <= MAX_REQUESTS_WHILE_AWAY or refused.refused_at is None:
                continue
            interval = (refused.refused_at, early[MAX_REQUESTS_WHILE_AWAY].received_at)
            if not any(
                history.was_interrupted(name, *interval) for name in (gateway, run[0])
            ):
                yield (
                    f"{len(early)} requests reached {run} from {gateway} while it was "
                    f"away after {refused.attempt_id}, the first {early[0].attempt_id}"
                )


def _received_while_away(
    requests: list[ReceivedRequest], refused: ReceivedRequest
) -> list[ReceivedRequest]:
    """Return the requests from the notice time after a refusal to its end."""
    if refused.refused_at is None or refused.away_until is None:
        return []
    start = refused.refused_at + AWAY_NOTICE_SECONDS
    return sorted(
        (req for req in requests if start < req.received_at < refused.away_until),
        key=lambda req: req.received_at,
    )


def _received(history: SoakHistory) -> Iterator[tuple[Run, ReceivedRequest]]:
    for name, requests in history.received.items():
        for req in requests:
            yield (name, req.run), req


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
            history,
            history.disturbances,
            req.received_at - CONTACT_SECONDS,
            req.received_at,
        )
    ]
    if len(late) <= MAX_LATE_CRASHES:
        return []
    return [f"{len(late)} requests crashed upstreams late: {', '.join(late)}"]


def _repeated_crash_violations(history: SoakHistory) -> list[str]:
    """Find a request that went on crashing upstreams."""
    reached_at = sorted(
        req.received_at
        for requests in history.arrivals.values()
        for req in requests
        if req.path == CRASHING_PATH
    )
    if len(reached_at) < REPEATED_CRASHES_TO_LEARN:
        return []
    known_at = reached_at[REPEATED_CRASHES_TO_LEARN - 1] + CONTACT_SECONDS
    late = [
        at
        for at in reached_at
        if at > known_at
        and not _was_disturbed(history, history.disturbances, at - CONTACT_SECONDS, at)
    ]
    if len(late) <= MAX_LATE_CRASHES:
        return []
    return [f"a request crashed {len(late)} upstreams after the third"]


def _version_violations(history: SoakHistory) -> list[str]:
    """Find streams with events of several software versions."""
    executed = defaultdict(list)
    for requests in history.arrivals.values():
        for req in requests:
            executed[req.attempt_id].append(req)
    mixed = set()
    for call in history.calls:
        attempts = [*executed[call.resumes], *executed[call.attempt_id]]
        attempts.sort(key=lambda req: req.received_at)
        for previous, req in pairwise(attempts):
            if req.first_event > 1 and req.version != previous.version:
                mixed.add(call.attempt_id)
    if len(mixed) <= MAX_MIXED_STREAMS:
        return []
    return [f"{len(mixed)} streams of several versions: {', '.join(sorted(mixed))}"]


def _was_disturbed(
    history: SoakHistory, names: Iterable[str], start: float, end: float
) -> bool:
    """Return whether a disturbance of any of some names overlaps an interval."""
    return any(
        _overlaps(history.disturbances.get(name, ()), start, end) for name in names
    )


def _overlaps(intervals: Iterable[Interval], start: float, end: float) -> bool:
    """Return whether any of some intervals overlaps another one."""
    return any(begin <= end and finish >= start for begin, finish in intervals)
