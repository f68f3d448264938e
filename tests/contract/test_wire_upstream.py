"""Contract of the upstream process of the soak: what it records, sends and ends."""

import threading
import time

import msgspec
import pytest

from standins.soak_streams import Fault, WireCall, WireHistory, find_faults
from standins.wirecaller import Ending, WireConnection
from standins.wirefleet import WireProcess
from standins.wirerecord import RunEnd, read_records
from standins.wireupstream import Work

CALLS = 120
PIECES = 6
LONG_PIECES = 500
STREAMS_AT_ONCE = 12
RECORD_SECONDS = 0.3
"""Time in which the end of the last run is recorded, after its last byte."""


@pytest.fixture
def upstream(tmp_path):
    item = WireProcess("e1", "models", "one", "v1", slots=64)
    item.start(tmp_path, "wire")
    yield item
    item.kill()


def called(upstream, number, pieces):
    """Return a call of a stream, or of a plain answer if it has no pieces."""
    attempt_id = f"a{number}"
    work = Work(attempt_id, pieces) if pieces else Work()
    fields = {"Oleandershift-Attempt-Id": attempt_id}
    conn = WireConnection("127.0.0.1", upstream.port)
    sent_at = time.monotonic()
    answer = conn.call("POST", "/x", fields, msgspec.json.encode(work), 20.0)
    conn.close()
    return WireCall(
        attempt_id, "/x", "none", sent_at, answer, work.stream, pieces, True
    )


def faults(history):
    return {item.fault for item in find_faults(history)}


def is_cut(run):
    return run.end is RunEnd.CUT


def test_records_agree_with_the_bytes_of_a_caller(upstream, tmp_path):
    numbers = [PIECES if number % 3 else 0 for number in range(CALLS)]
    calls = [called(upstream, *item) for item in enumerate(numbers)]
    time.sleep(RECORD_SECONDS)
    history = WireHistory(calls, read_records(tmp_path))
    assert len(history.runs) == CALLS
    cut = {run.begun.attempt_id for run in history.runs.values() if is_cut(run)}
    sound = [call for call in calls if call.attempt_id not in cut]
    assert faults(WireHistory(sound, history.runs)) <= {Fault.STATED}
    # Without a gateway, the caller itself sees a stream that ends within an event.
    assert faults(history) <= {Fault.STATED, Fault.SHORT_CUT, Fault.GARBLED}
    ends = {run.end for run in history.runs.values()}
    assert ends >= {RunEnd.FINISHED, RunEnd.STATED, RunEnd.CUT}
    whole = sum(call.answer.is_complete for call in calls)
    assert whole > CALLS / 2


def test_kernel_of_a_killed_upstream_closes_its_streams_in_good_order(
    upstream, tmp_path
):
    calls = []
    threads = [
        threading.Thread(
            target=lambda number=number: calls.append(
                called(upstream, number, LONG_PIECES)
            )
        )
        for number in range(STREAMS_AT_ONCE)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    upstream.kill()
    for thread in threads:
        thread.join()
    history = WireHistory(calls, read_records(tmp_path))
    assert Fault.SHORT_PROCESS_ENDED in faults(history)
    expected = {Fault.SHORT_PROCESS_ENDED, Fault.STATED, Fault.SHORT_CUT, Fault.GARBLED}
    assert faults(history) <= expected
    endings = {call.answer.ending for call in calls}
    assert endings >= {Ending.CLOSED, Ending.CUT}
    with pytest.raises(ConnectionRefusedError):
        WireConnection("127.0.0.1", upstream.port)
