"""What an upstream says after a restart at the same address counts for its new run."""

import time

import pytest

from standins.behaviours import Behaviour
from standins.gateway_fleet import running_fleet, wait_until
from standins.soak_judge import (
    AWAY_NOTICE_SECONDS,
    DRAIN_SECONDS,
    MAX_REQUESTS_WHILE_AWAY,
)


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path) as running:
        yield running


@pytest.fixture
def gateway(fleet):
    return fleet.gateways[0]


@pytest.fixture
def restarted(fleet, gateway):
    """Upstream that served a request after a restart and has not registered yet."""
    engine = fleet.engines["e1"]
    engine.restart_seconds = 0.1
    engine.restart()
    wait_until(lambda: engine.run == 2, "it is restarted")
    wait_until(
        lambda: gateway.call("/read/x", "a") and engine.received, "it is used again"
    )
    return engine


@pytest.fixture
def register(fleet, gateway, restarted):
    def register_and_wait():
        changes = fleet.log(gateway).count("upstream.changed")
        fleet.store.put("servers", "e1", restarted.entry("model", "one"))
        wait_until(
            lambda: fleet.log(gateway).count("upstream.changed") > changes,
            "its registration is read",
        )

    return register_and_wait


def say_leaving(gateway, engine):
    engine.is_leaving = True
    wait_until(
        lambda: gateway.call("/read/x", "a") and engine.received[-1].says_leaving,
        "it says that it leaves",
    )


def turn_away(gateway, engine):
    engine.retry_after = "10"
    engine.queued_behaviours = [Behaviour.REFUSE]
    wait_until(
        lambda: gateway.call("/read/x", "a") and engine.received[-1].refused_at,
        "it refuses a request",
    )


def arrivals_of_calls(gateway, engine):
    before = len(engine.received)
    for number in range(20):
        assert gateway.call("/read/x", f"b{number}").status == 200
    return len(engine.received) - before


def test_restarted_upstream_that_leaves_gets_no_new_requests(
    gateway, restarted, register
):
    register()
    say_leaving(gateway, restarted)
    time.sleep(DRAIN_SECONDS)
    assert arrivals_of_calls(gateway, restarted) == 0


def test_upstream_that_leaves_before_its_registration_is_read_gets_no_new_requests(
    gateway, restarted, register
):
    say_leaving(gateway, restarted)
    register()
    time.sleep(DRAIN_SECONDS)
    assert arrivals_of_calls(gateway, restarted) == 0


def test_restarted_upstream_that_turns_away_gets_no_requests(
    gateway, restarted, register
):
    register()
    turn_away(gateway, restarted)
    time.sleep(AWAY_NOTICE_SECONDS)
    assert arrivals_of_calls(gateway, restarted) <= MAX_REQUESTS_WHILE_AWAY


def test_upstream_that_turns_away_before_its_registration_is_read_gets_no_requests(
    gateway, restarted, register
):
    turn_away(gateway, restarted)
    register()
    time.sleep(AWAY_NOTICE_SECONDS)
    assert arrivals_of_calls(gateway, restarted) <= MAX_REQUESTS_WHILE_AWAY


def test_limit_named_before_the_registration_is_read_holds_for_the_new_run(
    fleet, gateway, restarted, register
):
    restarted.limit = "1"
    before = len(restarted.received)
    wait_until(
        lambda: gateway.call("/read/x", "a") and len(restarted.received) > before,
        "it names its limit",
    )
    register()
    limited = "oleander_upstreams_limited 1.0"
    wait_until(lambda: limited in gateway.metrics(), "the limit is known")
    assert arrivals_of_calls(gateway, restarted) <= 3


def test_word_of_the_run_before_does_not_hold_for_the_next(fleet, gateway):
    engine = fleet.engines["e1"]
    wait_until(lambda: gateway.call("/read/x", "a") and engine.received, "it is used")
    turn_away(gateway, engine)
    engine.restart_seconds = 0.1
    engine.restart()
    wait_until(lambda: engine.run == 2, "it is restarted")
    fleet.store.put("servers", "e1", engine.entry("model", "one"))
    before = len(engine.received)
    wait_until(
        lambda: gateway.call("/read/x", "b") and len(engine.received) > before,
        "the new run is used",
    )
