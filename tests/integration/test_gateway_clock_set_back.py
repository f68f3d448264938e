"""Upstreams that start again on a host whose clock was set back meanwhile."""

import time

import pytest

from oleandershift.directory import CONFIRMATION_SECONDS
from oleandershift.state import REGISTRATION_SECONDS
from standins.gateway_fleet import running_fleet, wait_until
from standins.soak_judge import DRAIN_SECONDS

SET_BACK_MS = 600_000
CLOCK_BEHIND_MS = 6_000


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path, gateways=2, engines=1) as running:
        yield running


@pytest.fixture
def engine(fleet):
    return fleet.engines["e1"]


@pytest.fixture
def register(fleet, engine):
    def register(state="ready"):
        fleet.store.put("servers", "e1", engine.entry("model", "one", state))

    return register


@pytest.fixture
def start_again(engine):
    """Return a function that restarts the upstream after its clock was set back."""

    def start_again():
        engine.clock_ahead_ms = -SET_BACK_MS
        engine.restart_seconds = 0.1
        engine.restart()
        wait_until(lambda: engine.run == 2, "it is restarted")

    return start_again


def serve(fleet, attempt):
    return {gateway.call("/read/x", attempt).status for gateway in fleet.gateways}


def test_upstream_that_drained_serves_again_after_its_clock_was_set_back(
    fleet, register, start_again
):
    register("draining")
    wait_until(lambda: serve(fleet, "a") == {503}, "nobody sends to it")
    start_again()
    register()
    time.sleep(CONFIRMATION_SECONDS)
    wait_until(lambda: serve(fleet, "b") == {200}, "all send to its new life")


def test_upstream_that_drains_after_its_clock_was_set_back_gets_no_requests(
    fleet, engine, register, start_again
):
    start_again()
    register()
    wait_until(lambda: 200 in serve(fleet, "a"), "its new life serves")
    register("draining")
    time.sleep(DRAIN_SECONDS)
    before = len(engine.received)
    assert serve(fleet, "b") == {503}
    assert len(engine.received) == before


def test_leaving_of_the_run_before_does_not_hold_for_one_whose_clock_is_behind(
    fleet, engine, register
):
    engine.clock_ahead_ms = -CLOCK_BEHIND_MS
    engine.restart_seconds = 0.1
    time.sleep(CLOCK_BEHIND_MS / 1000)
    engine.is_leaving = True
    wait_until(lambda: serve(fleet, "a") == {503}, "all know that it leaves")
    time.sleep(REGISTRATION_SECONDS)
    engine.restart()
    wait_until(lambda: engine.run == 2, "it is restarted")
    register()
    wait_until(lambda: serve(fleet, "b") == {200}, "all send to its new run")
