"""The emulator: same seed, same day; overload, shares and prefixes show."""

from dataclasses import replace

import pytest

from standins.deployments import COLDROUTE, DEPLOYMENTS, KYUSHU
from standins.emulator import Emulation, Surge
from standins.sweep import main
from standins.value import value_of

SECONDS = 4.0


@pytest.fixture(scope="module")
def calm():
    return Emulation(KYUSHU.scaled(0.3), 1, SECONDS, ()).run()


@pytest.fixture(scope="module")
def heavy():
    return Emulation(KYUSHU.scaled(2.0), 1, SECONDS, ()).run()


def test_same_seed_gives_the_same_day(calm):
    again = Emulation(KYUSHU.scaled(0.3), 1, SECONDS, ()).run()
    assert value_of(again) == value_of(calm)


def test_every_request_ends(heavy):
    assert all(
        req.finished
        or req.abandoned
        or req.attempts == 2
        or req.predicted_first_event_s is None
        for req in heavy.requests
    )
    assert not any(engine.running for engine in heavy.engines.values())


def test_calm_day_is_served(calm):
    assert value_of(calm).whole > 0.9


def test_overload_is_refused_early(heavy):
    refused = [req for req in heavy.requests if req.predicted_first_event_s is None]
    assert len(refused) > 0.2 * len(heavy.requests)
    assert sum(req.abandoned for req in heavy.requests) < 0.02 * len(heavy.requests)


def test_team_that_surges_costs_the_others_little():
    surge = Surge(0.0, SECONDS, 4, 12.0)
    outcome = Emulation(COLDROUTE.scaled(0.5), 1, SECONDS, [surge]).run()
    small = [req for req in outcome.requests if int(req.team[5:]) > 6]
    assert sum(req.finished for req in small) > 0.85 * len(small)


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_prefixes_are_found_in_memory(name):
    outcome = Emulation(DEPLOYMENTS[name].scaled(0.5), 2, SECONDS, ()).run()
    kept = sum(engine.prefill_counts.cached for engine in outcome.engines.values())
    assert kept > 0


def test_value_is_owed_up_to_the_share_only(heavy):
    poor = replace(
        heavy, deployment=replace(heavy.deployment, capacity_tokens_per_s=100_000)
    )
    asked = sum(req.full_value for req in heavy.requests)
    assert value_of(poor).owed < value_of(heavy).owed < asked
    assert value_of(poor).whole <= 1.0


def test_sweep_prints_a_line_for_each_load(capsys, tmp_path):
    picture = tmp_path / "sweep.svg"
    flags = ["--seeds", "1", "--seconds", "1", "--load", "0.3", "--jobs", "2"]
    argv = ["shedding.SHARE_PATIENCE", "0.5", "0.8", *flags, "--picture", str(picture)]
    assert main(argv) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 1 + 2 * len(DEPLOYMENTS)
    assert picture.read_text().startswith("<?xml")


@pytest.mark.parametrize("name", ["shedding.NOTHING", "nowhere.SHARE", "shedding"])
def test_sweep_of_an_unknown_constant_is_refused(name):
    with pytest.raises(SystemExit):
        main([name, "0.5"])
