"""Teams' demand and the max-min share of each."""

import math

import pytest

from oleandershift.demand import DemandMeter, ShareGate, fair_level
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
    meter = DemandMeter()
    for step in range(1000):
        meter.note(step * 0.01, A, 50)
    assert meter.rate(10.0, A) == pytest.approx(5000, rel=0.02)


def test_meter_forgets():
    meter = DemandMeter(memory_seconds=1.0)
    meter.note(0.0, A, 100)
    assert meter.rate(5.0, A) < 1.0


def test_flooding_team_gets_its_share():
    gate = ShareGate()
    passed = sum(gate.admit(A, 100, 1000.0, 250.0) for _ in range(1000))
    assert passed == pytest.approx(250, abs=2)


def test_share_counts_tokens_not_requests():
    gate = ShareGate()
    sizes = [100, 5000, 300] * 300
    passed = sum(size for size in sizes if gate.admit(A, size, 1000.0, 500.0))
    assert passed == pytest.approx(sum(sizes) / 2, rel=0.02)


def test_team_below_the_level_always_passes():
    gate = ShareGate()
    assert all(gate.admit(B, 100, 200.0, 250.0) for _ in range(50))
