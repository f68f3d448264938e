"""Teams' demand and the max-min share of each."""

import math

import pytest

from oleandershift.demand import (
    DemandMeter,
    TeamRate,
    fair_level,
    max_min_shares,
)
from oleandershift.ids import TeamId

A, B, C = TeamId("a"), TeamId("b"), TeamId("c")


def test_no_level_while_all_fits():
    assert fair_level({A: 10.0, B: 20.0}, 30.0) == math.inf


@pytest.mark.parametrize(
    ("demands", "capacity", "level"),
    [
        ({A: 100.0, B: 100.0}, 100.0, 50.0),
        ({A: 10.0, B: 100.0}, 100.0, 90.0),
        ({A: 10.0, B: 20.0, C: 200.0}, 90.0, 60.0),
    ],
)
def test_level_is_max_min(demands, capacity, level):
    assert fair_level(demands, capacity) == pytest.approx(level)


def test_meter_follows_a_steady_rate():
    meter = DemandMeter(window_s=4.0)
    for step in range(1000):
        meter.record_request(step * 0.01, A, 50)
    assert meter.rate(10.0, A).requested == pytest.approx(5000, rel=0.02)


def test_meter_forgets():
    meter = DemandMeter(window_s=2.7)
    meter.record_request(0.0, A, 100)
    assert meter.rate(5.0, A).requested < 1.0


def test_level_is_that_of_what_is_let_in():
    rates = {A: TeamRate(100.0, 50.0), B: TeamRate(100.0, 50.0)}
    assert max_min_shares(rates, math.inf, 1.0).level == pytest.approx(50.0)
    assert max_min_shares(rates, 60.0, 1.0).level == pytest.approx(30.0)


def test_team_that_got_less_of_its_due_has_a_shortfall():
    rates = {A: TeamRate(50.0, 20.0), B: TeamRate(200.0, 80.0)}
    shares = max_min_shares(rates, math.inf, 1.0)
    assert shares.shortfall(A) > 0.4
    assert shares.shortfall(B) < 0.0
    assert shares.shortfall(C) == 0.0


def test_no_shortfall_while_all_are_served():
    rates = {A: TeamRate(50.0, 50.0), B: TeamRate(200.0, 200.0)}
    assert max_min_shares(rates, math.inf, 1.1).shortfall(A) == pytest.approx(0.0)
