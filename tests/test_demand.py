"""Tests of the demand meter and the max-min fair shares."""

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


def test_level_is_infinite_while_the_capacity_covers_all_demands():
    assert fair_level({A: 10.0, B: 20.0}, 30.0) == math.inf


@pytest.mark.parametrize(
    ("demands", "capacity", "level"),
    [
        ({A: 100.0, B: 100.0}, 100.0, 50.0),
        ({A: 10.0, B: 100.0}, 100.0, 90.0),
        ({A: 10.0, B: 20.0, C: 200.0}, 90.0, 60.0),
    ],
)
def test_level_is_max_min_fair(demands, capacity, level):
    assert fair_level(demands, capacity) == pytest.approx(level)


def test_meter_converges_to_a_steady_rate():
    meter = DemandMeter(window_s=4.0)
    for step in range(1000):
        meter.record_request(step * 0.01, A, 50)
    assert meter.rate(10.0, A).requested == pytest.approx(5000, rel=0.02)


def test_rate_decays_without_requests():
    meter = DemandMeter(window_s=2.7)
    meter.record_request(0.0, A, 100)
    assert meter.rate(5.0, A).requested < 1.0


def test_level_depends_on_the_admitted_rate_and_the_declared_capacity():
    rates = {A: TeamRate(100.0, 50.0), B: TeamRate(100.0, 50.0)}
    assert max_min_shares(rates, math.inf, 1.0).level == pytest.approx(50.0)
    assert max_min_shares(rates, 60.0, 1.0).level == pytest.approx(30.0)


def test_team_with_less_than_the_mean_part_of_its_entitlement_has_a_shortfall():
    rates = {A: TeamRate(50.0, 20.0), B: TeamRate(200.0, 80.0)}
    shares = max_min_shares(rates, math.inf, 1.0)
    assert shares.shortfall(A) > 0.4
    assert shares.shortfall(B) < 0.0
    assert shares.shortfall(C) == 0.0


def test_no_shortfall_while_all_teams_are_served():
    rates = {A: TeamRate(50.0, 50.0), B: TeamRate(200.0, 200.0)}
    assert max_min_shares(rates, math.inf, 1.1).shortfall(A) == pytest.approx(0.0)


def test_withdrawn_admission_leaves_the_rate_of_the_others():
    meter, other = DemandMeter(window_s=4.0), DemandMeter(window_s=4.0)
    admitted = [meter.record_admission(now, A, 300) for now in (0.0, 0.5, 1.0)]
    for now in (0.0, 1.0):
        other.record_admission(now, A, 300)
    meter.withdraw_admission(2.0, admitted[1])
    assert meter.rate(3.0, A).admitted == pytest.approx(other.rate(3.0, A).admitted)
