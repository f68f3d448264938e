"""Short soak tests of gateways."""

import pytest

from standins.coldroute import run_coldroute
from standins.gateway_soak import run

SECONDS = 6.0
COLDROUTE_SECONDS = 12.0


@pytest.mark.parametrize("seed", [1, 2])
def test_short_soak_has_no_violations(tmp_path, seed):
    assert run(seed, SECONDS, tmp_path) == []


def test_short_soak_of_coldroute_has_no_violations(tmp_path):
    assert run_coldroute(1, COLDROUTE_SECONDS, tmp_path) == []
