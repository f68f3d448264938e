"""Fairness between teams in emulated deployments."""

from dataclasses import replace

import pytest

from oleandershift.ids import TeamId
from standins.deployments import KYUSHU
from standins.emulator import Emulation, Surge
from standins.fairness import MIN_FRACTION, received_tokens, unfair_windows

SECONDS = 30.0
STEADY = range(8, 30)
"""Seconds in which the same teams request more than their shares."""

SURGES = (
    Surge(0.0, 4.0, 1, 0.02),
    Surge(0.5, SECONDS, 3, 3.55),
    Surge(2.0, SECONDS, 8, 10.4),
)
SURGING_TEAMS = [TeamId(f"team-{rank}") for rank in (1, 2, 3, 8)]


@pytest.fixture(params=range(1, 4), ids=lambda seed: f"seed{seed}")
def overload(request):
    """Return a run in which engines serve more than the declared capacity."""
    deployment = replace(KYUSHU, capacity_tokens_per_s=80_000).scaled(2.2)
    return Emulation(deployment, request.param, SECONDS, SURGES).run()


def test_spare_capacity_is_shared_by_the_teams_that_request_it(overload):
    received = {team: received_tokens(overload, team, STEADY) for team in SURGING_TEAMS}
    assert min(received.values()) >= MIN_FRACTION * max(received.values()), received


def test_no_window_is_unfair(overload):
    assert unfair_windows(overload) == []
