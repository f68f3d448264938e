"""Tests of the cost model."""

import pytest

from oleandershift.costs import DEFAULT_COST_TOKENS, CostModel


@pytest.mark.parametrize("factor", [0.1, 1.0, 10.0])
def test_hint_is_corrected_by_the_mean_error_of_earlier_hints(factor: float) -> None:
    model: CostModel[str] = CostModel()
    for cost in (100.0, 400.0, 700.0):
        model.observe("t", cost, cost * factor)
    assert model.estimate("t", 1000.0 * factor) == pytest.approx(1000.0)


def test_estimate_without_a_hint_is_the_mean() -> None:
    model: CostModel[str] = CostModel()
    assert model.estimate("t") == DEFAULT_COST_TOKENS
    model.observe("t", 100.0)
    model.observe("t", 300.0)
    assert model.estimate("t") == 200.0


def test_bounded_estimate_stays_within_a_factor_of_the_mean() -> None:
    model: CostModel[str] = CostModel()
    for _ in range(5):
        model.observe("t", 100.0)
    assert model.clamp("t", 5000.0, 4.0) == 400.0
    assert model.clamp("t", 1.0, 4.0) == 25.0
