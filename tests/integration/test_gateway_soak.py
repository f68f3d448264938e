"""A short soak test of gateways."""

import pytest

from standins.gateway_soak import run

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, 2])
def test_short_soak_has_no_violations(tmp_path, seed):
    assert run(seed, SECONDS, tmp_path) == []
