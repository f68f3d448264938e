"""Answers without a length, of upstream processes that are killed before their end."""

import socket
import time

import pytest

from standins.gateway_fleet import running_fleet, wait_until
from standins.killedupstream import event
from standins.ports import free_port
from standins.processes import ChildProcess

KILLED = 1
CALLS = 40
EVENTS = 5


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path, engines=0) as running:
        yield running


@pytest.fixture
def killed(fleet, tmp_path):
    """Run upstreams that are killed in the middle of their first answer."""
    processes = []
    for number in range(KILLED):
        port = free_port()
        process = ChildProcess(
            f"killed-{number}",
            "standins.killedupstream",
            ["--port", str(port)],
            tmp_path,
            has_log_file_flag=False,
        )
        process.start()
        processes.append(process)
        wait_until(lambda port=port: accepts(port), f"port {port} accepts")
        entry = {
            "service": "model",
            "address": f"127.0.0.1:{port}",
            "zone": "one",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }
        fleet.store.put("servers", process.name, entry)
    yield processes
    for process in processes:
        process.kill()


def accepts(port):
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0


def add_sound_upstream(fleet):
    fleet.add_engine("sound")
    (gateway,) = fleet.gateways
    expected = f"oleander_upstreams {KILLED + 1}.0"
    wait_until(lambda: expected in gateway.metrics(), expected)


def answers_until_killed(fleet, killed, path):
    """Call until all the upstreams have been killed under answers."""
    (gateway,) = fleet.gateways
    answers = []
    for number in range(CALLS):
        answers.append((f"a{number}", gateway.call(path, f"a{number}")))
        if not any(process.is_running() for process in killed):
            return answers
    raise AssertionError(f"upstreams live after {CALLS} calls")


def whole_stream(attempt):
    return b"".join(event(number, attempt.encode()) for number in range(1, EVENTS + 1))


def test_stream_whose_upstream_was_killed_does_not_look_complete(fleet, killed):
    add_sound_upstream(fleet)
    for attempt, answer in answers_until_killed(fleet, killed, "/stream/once/x"):
        if answer.status == 200 and answer.whole:
            assert answer.body == whole_stream(attempt)


def test_resumable_stream_whose_upstream_was_killed_goes_on_at_another(fleet, killed):
    add_sound_upstream(fleet)
    for attempt, answer in answers_until_killed(fleet, killed, "/stream/resumable/x"):
        assert (answer.status, answer.whole) == (200, True)
        assert answer.body == whole_stream(attempt)


def test_answer_whose_upstream_was_killed_does_not_look_complete(fleet, killed):
    add_sound_upstream(fleet)
    for attempt, answer in answers_until_killed(fleet, killed, "/write/x"):
        if answer.status == 200:
            assert answer.body == f"sound ran {attempt}".encode()
        else:
            assert answer.status == 502


def test_repeatable_call_whose_upstream_was_killed_is_answered_by_another(
    fleet, killed
):
    add_sound_upstream(fleet)
    for attempt, answer in answers_until_killed(fleet, killed, "/read/x"):
        assert answer.status == 200
        assert answer.body == f"sound ran {attempt}".encode()
