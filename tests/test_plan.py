"""Tests of planning edits."""

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


def import_sheet(planner: EditPlanner, sheet: str) -> None:
    planner.import_sheet(read_sheet(sheet.encode()).unwrap())


def findings(planner: EditPlanner) -> list[Finding]:
    result = planner.result()
    assert isinstance(result, Failure)
    return list(result.failure())


def test_unchanged_sheet_plans_nothing(planner: EditPlanner) -> None:
    import_sheet(planner, "kind,name,weight\nteams,alpha,2\n")
    assert planner.result().unwrap() == ()


def test_missing_column_keeps_cell_and_empty_cell_sets_default(
    planner: EditPlanner,
) -> None:
    import_sheet(planner, "kind,name,weight\nteams,alpha,\n")
    (edit,) = planner.result().unwrap()
    assert edit.type is EditType.SET
    assert {c: change.new for c, change in edit.cells.items()} == {"weight": 1.0}


def test_services_are_added_first_and_removed_last(planner: EditPlanner) -> None:
    import_sheet(
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


def test_all_findings_are_reported_with_their_rows(planner: EditPlanner) -> None:
    import_sheet(
        planner,
        "kind,name,weight,service,region,url,slots\n"
        "teams,beta,-1,,,,\n"
        "upstreams,u2,,missing,north,http://10.0.0.2:80,-8\n"
        "upstreams,u3,,,north,http://10.0.0.3:80,8\n",
    )
    assert sorted(finding.place for finding in findings(planner)) == [
        "row 2, column weight",
        "row 3, column service",
        "row 3, column slots",
        "row 4, column service",
    ]


def test_service_in_use_is_not_removed(planner: EditPlanner) -> None:
    planner.remove(RowKind.SERVICES, "s")
    assert [finding.place for finding in findings(planner)] == [
        "upstreams/u1, column service"
    ]


def test_duplicate_key_is_rejected_without_showing_it(planner: EditPlanner) -> None:
    import_sheet(planner, f"kind,name,key_hashes\nteams,beta,{'ab' * 32}\n")
    (finding,) = findings(planner)
    assert finding.place == "row 2, column key_hashes"
    assert "abab" not in str(finding)


def test_stale_sheet_is_rejected_with_both_values(
    planner: EditPlanner,
) -> None:
    import_sheet(planner, "kind,name,weight,version\nteams,alpha,3,4\n")
    (finding,) = findings(planner)
    assert finding.value == "3"
    assert "'2'" in finding.expected


def test_stale_sheet_with_equal_cells_is_accepted(planner: EditPlanner) -> None:
    import_sheet(planner, "kind,name,weight,version\nteams,alpha,2,4\n")
    assert planner.result().unwrap() == ()


def test_prune_removes_rows_missing_from_sheet(planner: EditPlanner) -> None:
    rows = read_sheet(b"kind,name,weight\nteams,beta,1\n").unwrap()
    planner.import_sheet(rows, [RowKind.TEAMS])
    edits = planner.result().unwrap()
    assert [(edit.type.value, edit.name) for edit in edits] == [
        ("add", "beta"),
        ("remove", "alpha"),
    ]


@pytest.mark.parametrize("verb", ["set", "remove"])
def test_editing_absent_row_is_rejected(planner: EditPlanner, verb: str) -> None:
    if verb == "set":
        planner.set(RowKind.TEAMS, "nobody", {"weight": 2.0})
    else:
        planner.remove(RowKind.TEAMS, "nobody")
    assert len(findings(planner)) == 1
