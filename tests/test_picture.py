"""Tests of the bench's picture and of the presets."""

import xml.etree.ElementTree as ET
from itertools import product

import msgspec
import pytest

from standins.cases import CASES, backlog_every_team
from standins.experiment import RunReport
from standins.fleet import Fleet, FleetConfig
from standins.measures import Gap, WaitPercentiles
from standins.picture import COLOURS, render_svg
from standins.presets import PRESETS, build_plan, with_weights
from standins.sampling import ControlFigures


def run(preset: str, policy: str) -> RunReport:
    waits = (WaitPercentiles("quick", "small", 1, 1.0, 2.0, 3.0),)
    traffic = ControlFigures({"a": 1.0}, {"x>y": 1.0}, 1.0)
    gap = Gap(5.0, "a", "b")
    return RunReport(
        preset,
        policy,
        "backlog",
        1.0,
        {},
        gap,
        9.0,
        0.5,
        0.9,
        1.0,
        (),
        waits,
        traffic,
        (),
    )


def test_picture_is_well_formed() -> None:
    runs = [run(*pair) for pair in product(PRESETS, COLOURS)]
    root = ET.fromstring(render_svg(runs))
    texts = "".join(root.itertext())
    assert set(PRESETS) <= set(texts.split("\n"))
    assert msgspec.json.decode(msgspec.json.encode(runs), type=list[RunReport]) == runs


@pytest.mark.parametrize("preset", PRESETS.values(), ids=PRESETS)
def test_preset_has_the_size_of_today(preset) -> None:
    made = build_plan(preset, "127.30", seed=1)
    assert (len(made.regions), len(made.vms), len(made.teams)) == (3, 9, 16)
    assert len(made.upstreams) == 9
    assert len({one.row.url for one in made.upstreams}) == 9
    assert {len(team.entries) for team in made.teams} <= {1, 2}
    assert made == build_plan(preset, "127.30", seed=1)
    assert with_weights(made, {0: 100.0}).teams[0].row.weight == 100.0


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_case_loads_every_team(case, tmp_path) -> None:
    addresses = Fleet(FleetConfig(out=tmp_path)).addresses
    loads = case.loads(addresses)
    assert set(loads) == {team.name for team in addresses.teams}
    least = backlog_every_team(addresses)
    assert all(load.callers >= least[name].callers for name, load in loads.items())
