"""Answers without a length, of upstream processes that are killed before their end."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.gateway_fleet import running_fleet, wait_until
from standins.killedupstream import event
from standins.ports import free_port, is_listening
from standins.processes import ChildProcess
from standins.registration import registration

CALLS = 40
EVENTS = 5


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path, engines=0) as running:
        yield running


@pytest.fixture
def port():
    return free_port()


@pytest.fixture
def pause_seconds():
    """Return the time from the last event to the kill; tests may replace it."""
    return 0.05


@pytest.fixture
def exit_seconds():
    """Return the time from the answer's end to the kill; tests may replace it."""
    return 0.0


@pytest.fixture
def options():
    """Return further options of the upstream; tests may replace them."""
    return ()


@pytest.fixture
def killed(fleet, tmp_path, port, pause_seconds, exit_seconds, options):
    """Run an upstream that is killed in the middle of its first answer."""
    process = ChildProcess(
        "killed",
        "standins.killedupstream",
        [
            f"--port={port}",
            f"--pause-seconds={pause_seconds}",
            f"--exit-seconds={exit_seconds}",
            *options,
        ],
        tmp_path,
        has_log_file_flag=False,
    )
    start(process, port)
    entry = registration(f"127.0.0.1:{port}", int(time.time() * 1000))
    fleet.store.put("servers", process.name, entry)
    wait_for_upstreams(fleet, 1)
    yield process
    process.kill()


def start(process, port):
    process.start()
    wait_until(lambda: is_listening("127.0.0.1", port), f"port {port} accepts")


def wait_for_upstreams(fleet, count):
    (gateway,) = fleet.gateways
    expected = f"oleander_upstreams {count}.0"
    wait_until(lambda: expected in gateway.metrics(), expected)


def add_sound_upstream(fleet):
    fleet.add_engine("sound")
    wait_for_upstreams(fleet, 2)


def answers_until_killed(fleet, killed, path):
    """Call until the upstream has been killed under an answer."""
    (gateway,) = fleet.gateways
    answers = []
    for number in range(CALLS):
        answers.append((f"a{number}", gateway.call(path, f"a{number}")))
        if not killed.is_running():
            return answers
    raise AssertionError(f"the upstream lives after {CALLS} calls")


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


@pytest.mark.parametrize("pause_seconds", [0.5])
@pytest.mark.parametrize("path", ["/stream/once/x", "/write/x"])
def test_answer_does_not_look_complete_though_its_upstream_runs_again(
    fleet, killed, port, path
):
    (gateway,) = fleet.gateways
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(gateway.call, path, "a")
        time.sleep(0.1)
        gateway.process.freeze()
        wait_until(lambda: not killed.is_running(), "the upstream is killed")
        start(killed, port)
        gateway.process.thaw()
        answer = call.result()
    assert answer.status == 502 or not answer.whole


@pytest.mark.parametrize("exit_seconds", [0.05])
@pytest.mark.parametrize("path", ["/stream/once/x", "/write/x"])
def test_answer_does_not_look_complete_while_its_upstream_still_accepts(
    fleet, killed, path
):
    (gateway,) = fleet.gateways
    answer = gateway.call(path, "a")
    assert answer.status == 502 or not answer.whole
    wait_until(lambda: not killed.is_running(), "the upstream is killed")


@pytest.mark.parametrize("options", [("--workers",)], ids=["workers"])
@pytest.mark.parametrize("path", ["/stream/once/x", "/write/x"])
def test_answer_of_a_killed_worker_does_not_look_complete(fleet, killed, path):
    (gateway,) = fleet.gateways
    answer = gateway.call(path, "a")
    assert answer.status == 502 or not answer.whole
