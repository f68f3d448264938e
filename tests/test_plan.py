"""Tests of planned edits."""

import itertools

import pytest
from returns.result import Failure

from oleandershift.edits import EditType, RowState
from oleandershift.exceptions import Finding
from oleandershift.ids import EditId, RegionId, ServiceId, TeamId, UpstreamId
from oleandershift.plan import EditPlanner
from oleandershift.rows import RowKind, ServiceRow, TeamRow, UpstreamRow
from oleandershift.sheet import read_sheet
from oleandershift.table import TableState


@pytest.fixture
def planner() -> EditPlanner:
    upstream = UpstreamRow(
        name=UpstreamId("u1"),
        service=ServiceId("s"),
        region=RegionId("north"),
        url="http://10.0.0.1:80",
    )
    team = TeamRow(name=TeamId("alpha"), weight=2.0, key_hashes=("ab" * 32,))
    rows = (
        RowState(RowKind.SERVICES, "s", 1, ServiceRow(name=ServiceId("s"))),
        RowState(RowKind.UPSTREAMS, "u1", 1, upstream),
        RowState(RowKind.TEAMS, "alpha", 5, team),
    )
    state = TableState({(row.kind, row.name): row for row in rows})
    numbers = itertools.count()
    return EditPlanner(state, lambda: EditId(f"edit{next(numbers)}"))


def put(planner: EditPlanner, sheet: str) -> None:
    planner.import_sheet(read_sheet(sheet.encode()).unwrap())


def findings(planner: EditPlanner) -> list[Finding]:
    result = planner.result()
    assert isinstance(result, Failure)
    return list(result.failure())


def test_unchanged_sheet_plans_nothing(planner: EditPlanner) -> None:
    put(planner, "kind,name,weight\nteams,alpha,2\n")
    assert planner.result().unwrap() == ()


def test_missing_column_keeps_the_cell_and_empty_cell_asks_the_default(
    planner: EditPlanner,
) -> None:
    put(planner, "kind,name,weight\nteams,alpha,\n")
    (edit,) = planner.result().unwrap()
    assert edit.type is EditType.SET
    assert {c: change.new for c, change in edit.cells.items()} == {"weight": 1.0}


def test_services_come_first_and_go_last(planner: EditPlanner) -> None:
    put(
        planner,
        "kind,name,service,region,url\n"
        "upstreams,u2,s2,north,http://10.0.0.2:80\nservices,s2,,,\n",
    )
    planner.remove(RowKind.SERVICES, "s")
    planner.remove(RowKind.UPSTREAMS, "u1")
    edits = planner.result().unwrap()
    assert [(edit.type.value, edit.name) for edit in edits] == [
        ("add", "s2"),
        ("add", "u2"),
        ("remove", "u1"),
        ("remove", "s"),
    ]


def test_all_findings_are_reported_together_by_row(planner: EditPlanner) -> None:
    put(
        planner,
        "kind,name,weight,service,region,url,slots\n"
        "teams,beta,-1,,,,\n"
        "upstreams,u2,,missing,north,http://10.0.0.2:80,-8\n"
        "upstreams,u3,,,north,http://10.0.0.3:80,8\n",
    )
    assert sorted(found.place for found in findings(planner)) == [
        "row 2, column weight",
        "row 3, column service",
        "row 3, column slots",
        "row 4, column service",
    ]


def test_service_in_use_is_not_removed(planner: EditPlanner) -> None:
    planner.remove(RowKind.SERVICES, "s")
    assert [found.place for found in findings(planner)] == [
        "upstreams/u1, column service"
    ]


def test_key_of_another_team_is_found_but_not_shown(planner: EditPlanner) -> None:
    put(planner, f"kind,name,key_hashes\nteams,beta,{'ab' * 32}\n")
    (found,) = findings(planner)
    assert found.place == "row 2, column key_hashes"
    assert "abab" not in str(found)


def test_sheet_older_than_the_row_is_found_with_both_values(
    planner: EditPlanner,
) -> None:
    put(planner, "kind,name,weight,version\nteams,alpha,3,4\n")
    (found,) = findings(planner)
    assert found.value == "3"
    assert "'2'" in found.expected


def test_old_sheet_that_agrees_with_the_row_is_taken(planner: EditPlanner) -> None:
    put(planner, "kind,name,weight,version\nteams,alpha,2,4\n")
    assert planner.result().unwrap() == ()


def test_prune_removes_what_the_sheet_lacks(planner: EditPlanner) -> None:
    rows = read_sheet(b"kind,name,weight\nteams,beta,1\n").unwrap()
    planner.import_sheet(rows, [RowKind.TEAMS])
    edits = planner.result().unwrap()
    assert [(edit.type.value, edit.name) for edit in edits] == [
        ("add", "beta"),
        ("remove", "alpha"),
    ]


@pytest.mark.parametrize("verb", ["set", "remove"])
def test_absent_row_is_found(planner: EditPlanner, verb: str) -> None:
    if verb == "set":
        planner.set(RowKind.TEAMS, "nobody", {"weight": 2.0})
    else:
        planner.remove(RowKind.TEAMS, "nobody")
    assert len(findings(planner)) == 1
