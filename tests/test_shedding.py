"""Refusal under overload: who is let in, and when others are asked back."""

import random

import pytest

from oleandershift.demand import Shares, TeamRate, max_min_shares
from oleandershift.directory import Upstream, UpstreamState
from oleandershift.ids import DataCentreId, RouteId, ServiceId, TeamId, UpstreamId
from oleandershift.placement import Choice, Load
from oleandershift.prompts import Prompt
from oleandershift.shedding import MAX_RETRY_AFTER_FRACTION, LoadShedder, PendingRequest

TEAM = TeamId("team")
ROUTE = RouteId("route")
TARGET = 0.5
ENGINE = Upstream(
    UpstreamId("e"),
    1,
    ServiceId("s"),
    "127.0.0.1",
    1,
    DataCentreId("z"),
    8,
    UpstreamState.READY,
)


def choice(backlog, own=0.02):
    return Choice(ENGINE, backlog, own, Load())


def applicant(tokens=1000, left=15.0, team=TEAM):
    return PendingRequest(team, ROUTE, Prompt(tokens, 100, 100, ()), TARGET, left)


@pytest.fixture
def shedding():
    return LoadShedder(random.Random(1))


def test_in_time_is_let_in(shedding):
    assert shedding.decide(applicant(), choice(0.1)).admitted


def test_too_late_is_refused_with_a_time(shedding):
    verdict = shedding.decide(applicant(), choice(2.0))
    assert not verdict.admitted
    assert 1.0 < verdict.retry_after_s <= 5.0


def test_caller_is_not_asked_back_past_its_patience(shedding):
    verdict = shedding.decide(applicant(left=1.2), choice(9.0))
    assert verdict.retry_after_s <= 1.2 * MAX_RETRY_AFTER_FRACTION


def test_large_prompt_is_not_refused_for_its_own_length(shedding):
    assert shedding.decide(applicant(50_000), choice(0.1, own=0.7)).admitted


def test_flood_is_held_to_its_share_and_others_are_not(shedding):
    other = TeamId("other")
    rates = {TEAM: TeamRate(4000.0, 1000.0), other: TeamRate(800.0, 800.0)}
    shedding.shares = Shares(rates, 1000.0)
    busy = choice(0.25)
    flood = [shedding.decide(applicant(), busy).admitted for _ in range(400)]
    small = [shedding.decide(applicant(team=other), busy).admitted for _ in range(50)]
    assert sum(flood) == pytest.approx(100, abs=2)
    assert all(small)


def test_flood_may_use_what_is_free(shedding):
    shedding.shares = Shares({TEAM: TeamRate(4000.0, 1000.0)}, 1000.0)
    assert all(shedding.decide(applicant(), choice(0.01)).admitted for _ in range(50))


def test_no_level_no_share(shedding):
    shedding.shares = Shares({TEAM: TeamRate(4000.0, 4000.0)})
    assert shedding.decide(applicant(), choice(0.3)).within_share


@pytest.mark.parametrize("left", [15.0, 12.5, 9.0])
def test_callers_of_any_patience_are_let_in_alike(shedding, left):
    verdict = shedding.decide(applicant(left=left), choice(0.3))
    assert verdict.admitted
    assert verdict.max_delay_s == shedding.decide(applicant(), choice(0.3)).max_delay_s


def test_team_that_got_less_than_its_due_waits_longer(shedding):
    """A team within its share, refused more often than a flood, catches up."""
    flood = TeamId("flood")
    rates = {TEAM: TeamRate(160.0, 60.0), flood: TeamRate(600.0, 220.0)}
    shedding.shares = max_min_shares(rates, 1000.0, 1.0)
    busy = choice(0.45)
    assert shedding.decide(applicant(), busy).admitted
    assert not any(
        shedding.decide(applicant(team=flood), busy).admitted for _ in range(20)
    )


def test_largest_prompts_are_served_half_as_often_at_least(shedding):
    """Backlogs from none to the target come equally often."""
    backlogs = [TARGET * step / 100 for step in range(100)]
    large = [shedding.decide(applicant(50_000), choice(b, own=0.7)) for b in backlogs]
    small = [shedding.decide(applicant(500), choice(b, own=0.02)) for b in backlogs]
    served_large = sum(verdict.admitted for verdict in large)
    served_small = sum(verdict.admitted for verdict in small)
    assert served_large >= 0.55 * served_small
