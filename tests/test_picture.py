"""Tests of the bench's SVG image, the presets and the cases."""

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


def make_report(preset: str, policy: str) -> RunReport:
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


def test_svg_is_well_formed_and_names_every_preset() -> None:
    runs = [make_report(*pair) for pair in product(PRESETS, COLOURS)]
    root = ET.fromstring(render_svg(runs))
    texts = "".join(root.itertext())
    assert set(PRESETS) <= set(texts.split("\n"))
    assert msgspec.json.decode(msgspec.json.encode(runs), type=list[RunReport]) == runs


@pytest.mark.parametrize("preset", PRESETS.values(), ids=PRESETS)
def test_preset_has_the_expected_size_and_is_deterministic(preset) -> None:
    plan = build_plan(preset, "127.30", seed=1)
    assert (len(plan.regions), len(plan.vms), len(plan.teams)) == (
        3,
        9,
        16,
    )
    assert len(plan.upstreams) == 9
    assert len({upstream.row.url for upstream in plan.upstreams}) == 9
    assert {len(team.entries) for team in plan.teams} <= {1, 2}
    assert plan == build_plan(preset, "127.30", seed=1)
    assert with_weights(plan, {0: 100.0}).teams[0].row.weight == 100.0


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_case_gives_every_team_at_least_the_backlog_load(case, tmp_path) -> None:
    addresses = Fleet(FleetConfig(out=tmp_path)).addresses
    loads = case.loads(addresses)
    assert set(loads) == {team.name for team in addresses.teams}
    backlog_loads = backlog_every_team(addresses)
    assert all(
        load.callers >= backlog_loads[name].callers for name, load in loads.items()
    )
