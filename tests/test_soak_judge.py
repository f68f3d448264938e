"""Tests of the judge of the gateways' soak with hand-made histories."""

import pytest

from standins.gateway_fleet import KEY, GatewayResponse
from standins.modelengine import ExecutedRequest, ReceivedRequest
from standins.soak_judge import (
    CRASHING_PART,
    CRASHING_PATH,
    STORE,
    GatewayCall,
    SoakHistory,
    find_violations,
)
from standins.soak_streams import Fault, WireCall, WireHistory, find_faults
from standins.soak_versions import (
    VersionGauges,
    VersionHistory,
    VersionProbe,
    count_older_lives,
    find_steps_back,
)
from standins.wirecaller import Ending, WireAnswer
from standins.wirerecord import RecordedRun, RunBegun, RunEnd
from standins.wireupstream import Work, event


def response(status, body=b"e1 ran a", whole=True, seconds=0.1):
    return GatewayResponse(status, {}, body, whole, seconds)


def call(path="/write/x", res=None):
    return GatewayCall("a", path, "vm", 0.0, res or response(200))


def executed_request(received_at=0.0):
    return ExecutedRequest("a", "/write/x", "team", b"a", received_at, 1)


def crashing_request(received_at):
    parts = ("first", CRASHING_PART, "own")
    return ExecutedRequest("a", "/stream/once/x", "team", b"a", received_at, 1, parts)


def received(received_at, run=1):
    return {"e1": [ReceivedRequest("a", received_at, run)]}


def killer(received_at):
    return ExecutedRequest("a", CRASHING_PATH, "team", b"a", received_at, 1)


def stream_of(attempt, received_at, first_event, version):
    return ExecutedRequest(
        attempt, "/stream/x", "team", b"", received_at, first_event, (), version
    )


def streams(count, version, again=""):
    """Return a history of streams that go on at a version, in one answer or again."""
    calls, executed = [], []
    for number in range(count):
        name = f"s{number}"
        broken = GatewayResponse(200, {}, b"", whole=False, seconds=0.1)
        calls.append(GatewayCall(name, "/stream/x", "vm", 0.0, broken))
        executed.append(stream_of(name, 1.0, 1, "v1"))
        executed.append(stream_of(name + again, 2.0, 3, version))
        if again:
            calls.append(
                GatewayCall(name + again, "/stream/x", "vm", 0.0, broken, KEY, name, 2)
            )
    return SoakHistory(calls, {"e1": executed})


BROKEN = GatewayCall("a", CRASHING_PATH, "vm", 0.0, None)
CRASHED_LATE = [crashing_request(20.0 + number) for number in range(4)]
VIOLATIONS = [
    SoakHistory([call()], {"e1": CRASHED_LATE}, crashed_at=[1.0] * 5),
    SoakHistory([call()], {"e1": [executed_request()], "e2": [executed_request()]}),
    SoakHistory([call(res=response(503))], {"e1": [executed_request()]}),
    SoakHistory([call(res=response(200, b"e1 ran b"))], {"e1": [executed_request()]}),
    SoakHistory([call(res=response(504, seconds=9.0))], {}),
    SoakHistory([], {"e1": [executed_request()]}),
    SoakHistory([call()], {}, {("e1", 1): 1.0}, received=received(9.0)),
    SoakHistory([BROKEN], {"e1": [killer(at) for at in (1, 1, 1, 6, 7, 8, 9)]}),
    streams(3, "v2"),
    streams(3, "v2", "-again"),
]


@pytest.mark.parametrize("history", VIOLATIONS)
def test_each_violation_is_found(history):
    assert find_violations(history)


@pytest.mark.parametrize(
    "history",
    [
        SoakHistory([BROKEN], {"e1": [killer(at) for at in (1, 1, 1, 4, 4, 6, 7, 8)]}),
        streams(3, "v1"),
        streams(3, "v1", "-again"),
        streams(2, "v2"),
    ],
)
def test_what_the_rules_allow_is_no_violation(history):
    assert find_violations(history) == []


def test_disturbed_drain_and_broken_response_are_allowed():
    for name in ("vm", STORE):
        disturbed = SoakHistory(
            [call()],
            {},
            {("e1", 1): 1.0},
            {name: [(2.0, 5.0)]},
            received=received(4.0),
        )
        assert not find_violations(disturbed)
    broken = SoakHistory(
        [call(res=response(200, b"e1", whole=False))], {"e1": [executed_request()]}
    )
    assert not find_violations(broken)


def sent(attempt_id, sent_at, gateway="vm", seal=None):
    """Return a call; `seal` names the upstream whose response was passed on."""
    headers = {"oleandershift-response-seal": f"{seal}.{attempt_id}"} if seal else {}
    res = GatewayResponse(500, headers, b"", True, 0.1)
    return GatewayCall(attempt_id, "/read/x", gateway, sent_at, res)


def arrived(attempt_id, received_at, run=1, **fields):
    return ReceivedRequest(attempt_id, received_at, run, **fields)


def drained_history(**fields):
    return SoakHistory([call()], {}, {("e1", 1): 1.0}, received=received(4.0), **fields)


def test_disturbance_of_another_gateway_does_not_excuse_a_drain():
    assert find_violations(drained_history(disturbances={"other": [(2.0, 5.0)]}))


def removed_history(sent_at, received_at, run=1, **fields):
    """Return a history in which the store removes the first run at 1.0."""
    requests = {"e1": [arrived("a", received_at, run)]}
    return SoakHistory(
        [sent("a", sent_at)], removed_at={("e1", 1): 1.0}, received=requests, **fields
    )


@pytest.mark.parametrize("sent_at", [3.4, 3.6])
def test_late_request_to_a_removed_upstream_is_found(sent_at):
    assert find_violations(removed_history(sent_at, 3.7))


@pytest.mark.parametrize(
    "history",
    [
        removed_history(3.4, 3.7, interruptions={"e1": [(3.4, 3.6)]}),
        removed_history(3.6, 3.7, run=2),
        removed_history(3.6, 3.7, disturbances={"vm": [(2.0, 2.5)]}),
        removed_history(3.6, 3.7, disturbances={STORE: [(0.0, 1.5)]}),
    ],
    ids=["held by its link", "later run", "gateway disturbed", "store disturbed"],
)
def test_request_to_a_removed_upstream_is_allowed(history):
    assert find_violations(history) == []


def leaving_history(sent_at, gateway="vm", seal="e1", run=1, says=True, **fields):
    """Return a history in which `vm` passes on a leaving response at 1.1."""
    return SoakHistory(
        [sent("first", 1.0, seal=seal), sent("late", sent_at, gateway)],
        received={
            "e1": [
                arrived("first", 1.05, says_leaving=says),
                arrived("late", sent_at + 0.1, run),
            ]
        },
        **fields,
    )


def test_late_request_to_an_upstream_that_said_that_it_leaves_is_found():
    assert find_violations(leaving_history(3.7))


@pytest.mark.parametrize(
    "excuse",
    [
        {"disturbances": {"vm": [(0.0, 9.0)], STORE: [(0.0, 9.0)]}},
        {"interruptions": {"other": [(2.0, 2.5)]}},
        {"interruptions": {"vm": [(0.0, 0.5)]}},
        {"interruptions": {"vm": [(8.0, 9.0)]}},
    ],
    ids=["out of touch", "another gateway", "before", "after"],
)
def test_only_a_restart_or_freeze_since_then_excuses_a_late_request(excuse):
    assert find_violations(leaving_history(3.7, **excuse))


@pytest.mark.parametrize(
    "history",
    [
        leaving_history(3.5),
        leaving_history(3.7, gateway="other"),
        leaving_history(3.7, seal=None),
        leaving_history(3.7, run=2),
        leaving_history(3.7, says=False),
        leaving_history(3.7, interruptions={"vm": [(2.0, 2.5)]}),
    ],
    ids=[
        "in time",
        "another gateway",
        "not passed on",
        "later run",
        "unsaid",
        "interrupted",
    ],
)
def test_request_to_an_upstream_that_said_that_it_leaves_is_allowed(history):
    assert find_violations(history) == []


def away_history(arrival_times, gateway="vm", run=1, **fields):
    """Return a history in which `vm` is turned away from 1.0 to 3.0."""
    refused = arrived("refused", 0.9, refused_at=1.0, away_until=3.0)
    later = [arrived(f"a{at}", at, run) for at in arrival_times]
    calls = [sent(req.attempt_id, req.received_at, gateway) for req in later]
    return SoakHistory(
        [sent("refused", 0.8), *calls], received={"e1": [refused, *later]}, **fields
    )


def test_third_request_while_an_upstream_is_away_is_found():
    assert find_violations(away_history([1.6, 2.0, 2.9]))


@pytest.mark.parametrize(
    "excuse",
    [
        {"interruptions": {"other": [(1.5, 2.0)], "e2": [(1.5, 2.0)]}},
        {"disturbances": {STORE: [(0.0, 9.0)]}},
    ],
    ids=["other gateway and link", "store"],
)
def test_disturbances_elsewhere_excuse_no_requests_while_away(excuse):
    assert find_violations(away_history([1.6, 2.0, 2.9], **excuse))


@pytest.mark.parametrize(
    "history",
    [
        away_history([1.1, 1.2, 1.3, 1.4, 1.6, 2.9]),
        away_history([2.0, 2.9, 3.1, 3.2]),
        away_history([1.6, 2.0, 2.9], gateway="other"),
        away_history([1.6, 2.0, 2.9], run=2),
        away_history([1.6, 2.0, 2.9], interruptions={"vm": [(1.5, 1.8)]}),
        away_history([1.6, 2.0, 2.9], interruptions={"e1": [(1.5, 1.8)]}),
    ],
    ids=["notice", "end", "another gateway", "later run", "interrupted", "link"],
)
def test_requests_while_an_upstream_is_away_are_allowed(history):
    assert find_violations(history) == []


def recorded(run, attempt="a", first=1, last=3, version="v1", end=RunEnd.FINISHED):
    """Return the record of a run of a stream of three events."""
    begun = RunBegun(run, attempt, "/s/x", "s", first, 3, version, 200, "", "", 0.0)
    return RecordedRun(begun, list(range(first, last + 1)), end)


def recorded_body(run, body, end=RunEnd.FINISHED, status=200):
    begun = RunBegun(run, "a", "/p/x", "", 1, 0, "v1", status, body, "", 0.0)
    return RecordedRun(begun, [], end)


def events(run, *numbers, stream="s"):
    work = Work(stream, 3, 4)
    return b"".join(event(run, work, number) for number in numbers)


def wire_answer(body, ending=Ending.STATED, seal="r1", status=200):
    fields = {"oleandershift-response-seal": seal} if seal else {}
    return WireAnswer(status, fields, body, ending, 2.0)


def stream_call(body, ending=Ending.STATED, attempt="a", last_event=0, **fields):
    fields = {"is_resumable": True, "seal": "r1", **fields}
    answer = wire_answer(body, ending, fields.pop("seal"))
    return WireCall(
        attempt, "/s/x", "vm", 1.0, answer, "s", 3, last_event=last_event, **fields
    )


def plain_call(body, ending=Ending.STATED, **fields):
    return WireCall("a", "/p/x", "vm", 1.0, wire_answer(body, ending, **fields))


def wire_history(*items, killed_at=()):
    """Return a history of calls and records of runs."""
    calls = [item for item in items if isinstance(item, WireCall)]
    runs = [item for item in items if isinstance(item, RecordedRun)]
    by_name = {run.begun.run: run for run in runs}
    return WireHistory(calls, by_name, {"vm": list(killed_at)})


def faults(history):
    return [item.fault for item in find_faults(history)]


NEW_WEIGHTS = b"oleandershift-weight-versions: 2\n"
BROKEN_STREAM = stream_call(events("r1", 1), Ending.CUT)
KILLED_AFTER_ONE = recorded("r1", last=1, end=RunEnd.NONE)
AGAIN = {"attempt": "again", "last_event": 1, "seal": "r2"}


@pytest.mark.parametrize(
    ("fault", "history"),
    [
        (
            Fault.SHORT_PROCESS_ENDED,
            wire_history(
                stream_call(events("r1", 1, 2)),
                recorded("r1", last=2, end=RunEnd.NONE),
            ),
        ),
        (
            Fault.SHORT_PROCESS_ENDED,
            wire_history(stream_call(b""), recorded("r1", last=0, end=RunEnd.NONE)),
        ),
        (
            Fault.SHORT_PROCESS_ENDED,
            wire_history(
                stream_call(events("r1", 1), Ending.CLOSED, protocol="HTTP/1.0"),
                KILLED_AFTER_ONE,
            ),
        ),
        (
            Fault.SHORT_PROCESS_ENDED,
            wire_history(
                BROKEN_STREAM,
                recorded("r1", last=1, end=RunEnd.CUT),
                stream_call(events("r2", 2), **AGAIN),
                recorded("r2", "again", 2, 2, end=RunEnd.NONE),
            ),
        ),
        (
            Fault.SHORT_CUT,
            wire_history(
                stream_call(events("r1", 1, 2)), recorded("r1", end=RunEnd.CUT)
            ),
        ),
        (
            Fault.SHORT_CUT,
            wire_history(
                stream_call(events("r1", 1)), recorded("r1", last=2, end=RunEnd.STATED)
            ),
        ),
        (
            Fault.SHORT_GONE,
            wire_history(
                stream_call(events("r1", 1, 2)), recorded("r1", end=RunEnd.GONE)
            ),
        ),
        (
            Fault.SHORT_FINISHED,
            wire_history(stream_call(events("r1", 1, 2)), recorded("r1")),
        ),
        (Fault.SHORT_UNKNOWN, wire_history(stream_call(b"", seal="r9"))),
        (
            Fault.MISSING,
            wire_history(stream_call(events("r1", 1, 3)), recorded("r1")),
        ),
        (
            Fault.MISSING,
            wire_history(stream_call(events("r1", 3)), recorded("r1")),
        ),
        (
            Fault.MISSING,
            wire_history(stream_call(events("r1", 1, 3), Ending.CUT), recorded("r1")),
        ),
        (
            Fault.TWICE,
            wire_history(stream_call(events("r1", 1, 2, 2, 3)), recorded("r1")),
        ),
        (
            Fault.TWICE,
            wire_history(
                BROKEN_STREAM,
                KILLED_AFTER_ONE,
                stream_call(events("r2", 1, 2, 3), **AGAIN),
                recorded("r2", "again"),
            ),
        ),
        (
            Fault.JOINED,
            wire_history(
                stream_call(events("r1", 1) + events("r2", 2, 3)),
                recorded("r1"),
                recorded("r2"),
            ),
        ),
        (
            Fault.JOINED,
            wire_history(
                stream_call(events("r1", 1) + events("r2", 2, 3), is_resumable=False),
                KILLED_AFTER_ONE,
                recorded("r2", first=2),
            ),
        ),
        (
            Fault.VERSIONS,
            wire_history(
                stream_call(events("r1", 1) + events("r2", 2, 3)),
                KILLED_AFTER_ONE,
                recorded("r2", first=2, version="v2"),
            ),
        ),
        (
            Fault.VERSIONS,
            wire_history(
                BROKEN_STREAM,
                KILLED_AFTER_ONE,
                stream_call(events("r2", 2, 3), **AGAIN),
                recorded("r2", "again", 2, version="v2"),
            ),
        ),
        (
            Fault.FOREIGN,
            wire_history(
                stream_call(events("r1", 1, 2, 3, stream="t")), recorded("r1")
            ),
        ),
        (
            Fault.FOREIGN,
            wire_history(
                stream_call(events("r2", 1, 2, 3)), recorded("r1"), recorded("r2", "b")
            ),
        ),
        (
            Fault.FOREIGN,
            wire_history(stream_call(events("r1", 1, 2, 3)), KILLED_AFTER_ONE),
        ),
        (Fault.FOREIGN, wire_history(stream_call(b"", Ending.CUT))),
        (
            Fault.GARBLED,
            wire_history(stream_call(events("r1", 1, 2, 3) + b"id: 4"), recorded("r1")),
        ),
        (
            Fault.GARBLED,
            wire_history(stream_call(b"other\n\n", Ending.CUT), recorded("r1")),
        ),
        (
            Fault.SHORT_PROCESS_ENDED,
            wire_history(plain_call(b"bo"), recorded_body("r1", "body", RunEnd.NONE)),
        ),
        (
            Fault.SHORT_FINISHED,
            wire_history(plain_call(b"bo"), recorded_body("r1", "body")),
        ),
        (Fault.BODY, wire_history(plain_call(b"else"), recorded_body("r1", "body"))),
        (Fault.SEAL, wire_history(plain_call(b"body", seal=""))),
        (
            Fault.STATUS,
            wire_history(plain_call(b"body"), recorded_body("r1", "body", status=500)),
        ),
        (
            Fault.UNASKED_BYTES,
            wire_history(stream_call(b"", Ending.CUT, unasked=b"x"), KILLED_AFTER_ONE),
        ),
        (
            Fault.EXECUTED_TWICE,
            wire_history(
                stream_call(events("r1", 1, 2, 3), is_resumable=False),
                recorded("r1"),
                recorded("r2"),
            ),
        ),
        (
            Fault.REFUSED,
            wire_history(
                plain_call(b"", seal="", status=503), recorded_body("r1", "body")
            ),
        ),
    ],
)
def test_each_fault_of_an_answer_is_found(fault, history):
    found = [item for item in find_faults(history) if item.is_counted]
    assert fault in [item.fault for item in found]


def test_chunks_for_a_caller_with_the_old_protocol_are_found():
    answer = WireAnswer(200, {"transfer-encoding": "chunked"}, b"", Ending.CUT, 2.0)
    call = WireCall("a", "/s/x", "vm", 1.0, answer, protocol="HTTP/1.0")
    assert Fault.CHUNKS in faults(wire_history(call))


@pytest.mark.parametrize(
    "history",
    [
        wire_history(stream_call(events("r1", 1, 2, 3)), recorded("r1")),
        wire_history(
            stream_call(events("r1", 1, 2, 3)), recorded("r1", end=RunEnd.NONE)
        ),
        wire_history(stream_call(NEW_WEIGHTS + events("r1", 1, 2, 3)), recorded("r1")),
        wire_history(BROKEN_STREAM, KILLED_AFTER_ONE),
        wire_history(
            stream_call(events("r1", 1, 2)[:-4], Ending.RESET), recorded("r1")
        ),
        wire_history(
            stream_call(events("r1", 1) + events("r2", 2, 3)),
            KILLED_AFTER_ONE,
            recorded("r2", first=2),
        ),
        wire_history(
            BROKEN_STREAM,
            KILLED_AFTER_ONE,
            stream_call(events("r2", 2, 3), **AGAIN),
            recorded("r2", "again", 2),
        ),
        wire_history(plain_call(b"body"), recorded_body("r1", "body")),
        wire_history(
            plain_call(b"bo", Ending.CUT), recorded_body("r1", "body", RunEnd.NONE)
        ),
        wire_history(plain_call(b"no", seal="", status=503)),
    ],
    ids=[
        "whole",
        "whole before its upstream ended",
        "new weights",
        "broken",
        "broken within an event",
        "resumed by the gateway",
        "taken up",
        "plain",
        "plain and broken",
        "refused",
    ],
)
def test_sound_answers_have_no_fault(history):
    assert faults(history) == []


@pytest.mark.parametrize(
    "history",
    [
        wire_history(
            stream_call(events("r1", 1)), recorded("r1", last=1, end=RunEnd.STATED)
        ),
        wire_history(plain_call(b"bo"), recorded_body("r1", "body", RunEnd.STATED)),
    ],
)
def test_end_that_a_live_upstream_states_does_not_count(history):
    assert faults(history) == [Fault.STATED]
    assert not any(item.is_counted for item in find_faults(history))


@pytest.mark.parametrize(
    ("ending", "killed_at", "expected"),
    [
        (Ending.CLOSED, 1.9, Fault.GATEWAY_ENDED),
        (Ending.CLOSED, 0.4, Fault.SHORT_FINISHED),
        (Ending.STATED, 1.9, Fault.SHORT_FINISHED),
    ],
    ids=["its kernel closed", "killed before", "ended by a length"],
)
def test_only_the_kill_of_a_gateway_excuses_an_end_without_framing(
    ending, killed_at, expected
):
    call = stream_call(events("r1", 1), ending, protocol="HTTP/1.0")
    history = wire_history(call, recorded("r1"), killed_at=[killed_at])
    assert faults(history) == [expected]


def probe(version, status, sent_at, pid=1):
    return VersionProbe(("vm", pid), version, status, sent_at, sent_at)


def gauges(version, revision=1, pid=1, era=1):
    return VersionGauges(("vm", pid), 1.0, version, revision, era)


@pytest.mark.parametrize(
    "history",
    [
        VersionHistory([probe(2, 200, 1.0), probe(2, 404, 1.3)]),
        VersionHistory([probe(5, 200, 1.0), probe(2, 404, 1.3)]),
        VersionHistory([], [gauges(2), gauges(1)]),
        VersionHistory([], [gauges(2, 5), gauges(2, 4)]),
    ],
    ids=["route gone", "older route gone", "version", "revision"],
)
def test_number_that_goes_back_is_found(history):
    assert len(find_steps_back(history)) == 1


@pytest.mark.parametrize(
    "history",
    [
        VersionHistory([probe(2, 404, 1.0), probe(2, 200, 1.3)]),
        VersionHistory([probe(2, 200, 1.0), probe(2, 404, 1.2)]),
        VersionHistory([probe(2, 200, 1.0), probe(5, 404, 1.3)]),
        VersionHistory([probe(2, 200, 1.0), probe(2, 503, 1.3)]),
        VersionHistory([probe(2, 200, 1.0), probe(2, 404, 1.3, pid=2)]),
        VersionHistory([], [gauges(2), gauges(1, pid=2)]),
        VersionHistory([], [gauges(2, 5), gauges(2, 4, era=2)]),
        VersionHistory([], [gauges(2, 5), gauges(3, 5)]),
    ],
    ids=[
        "not yet there",
        "at once",
        "newer route",
        "refused",
        "another process asked",
        "another process",
        "another store",
        "forward",
    ],
)
def test_number_that_may_be_lower_is_no_step_back(history):
    assert find_steps_back(history) == []


def test_process_with_an_older_version_than_the_one_before_is_counted():
    lives = [gauges(2), gauges(0, pid=2), gauges(1, pid=2), gauges(3, pid=3)]
    history = VersionHistory([], lives)
    assert count_older_lives(history) == 1
