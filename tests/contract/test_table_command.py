"""Contract tests of `oleander table`: output and exit codes."""

import hashlib
import json
from collections.abc import Callable
from pathlib import Path

import pytest

from oleandershift.cli.operator import main
from standins.platform import Outage, Platform, PlatformFaults, ResponseLoss

Run = Callable[..., int]

SHEET = b"""\xef\xbb\xbfkind;name;service;region;url;slots;weight\r
services;cases;;;;;\r
upstreams;u1;cases;north;http://10.0.0.1:80;4;\r
teams;alpha;;;;;2,5\r
"""


@pytest.fixture
def run(platform: Platform) -> Run:
    """Return a function that runs the command against the platform stand-in."""

    def call(*args: str) -> int:
        return main(["table", *args, "--platform-url", platform.url])

    return call


@pytest.fixture
def run_filled(run: Run, tmp_path: Path) -> Run:
    """Return the function of `run`, after the import of a sheet."""
    sheet = tmp_path / "table.csv"
    sheet.write_bytes(SHEET)
    assert run("import", str(sheet)) == 0
    return run


def read_cells(
    run: Run, row: str, capsys: pytest.CaptureFixture[str]
) -> dict[str, str]:
    capsys.readouterr()
    assert run("get", row, "--json") == 0
    (row_view,) = json.loads(capsys.readouterr().out)
    return dict(row_view["cells"], version=row_view["version"])


def test_import_reads_the_format_that_spreadsheets_save(
    run_filled: Run, capsys: pytest.CaptureFixture[str]
) -> None:
    assert read_cells(run_filled, "teams/alpha", capsys)["weight"] == "2.5"
    assert read_cells(run_filled, "upstreams/u1", capsys)["slots"] == "4"


def test_sheet_with_findings_changes_nothing(
    run_filled: Run, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    sheet = tmp_path / "teams.csv"
    sheet.write_bytes(b"name,weight,max_waiting\nalpha,9,9\nbeta,-1,9\ngamma,1,-3\n")
    assert run_filled("import", str(sheet)) == 3
    errors = capsys.readouterr().err
    assert "row 3, column weight" in errors
    assert "row 4, column max_waiting" in errors
    assert read_cells(run_filled, "teams/alpha", capsys)["version"] == 1


def test_import_of_an_export_changes_nothing(
    run_filled: Run, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    sheet = tmp_path / "all.csv"
    assert run_filled("export", str(sheet)) == 0
    assert run_filled("diff", str(sheet)) == 0
    assert capsys.readouterr().out.endswith("no difference\n")
    assert run_filled("import", str(sheet)) == 0
    assert capsys.readouterr().out == "nothing to change\n"


def test_import_of_outdated_sheet_is_refused_with_both_values(
    run_filled: Run, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    sheet = tmp_path / "teams.csv"
    assert run_filled("export", "--kind", "teams", str(sheet)) == 0
    assert run_filled("set", "teams/alpha", "weight=7") == 0
    sheet.write_text(sheet.read_text().replace("2.5", "3"))
    assert run_filled("import", str(sheet)) == 3
    errors = capsys.readouterr().err
    assert "'3'" in errors
    assert "'7'" in errors


def test_diff_lists_the_edits_of_an_import(
    run_filled: Run, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    sheet = tmp_path / "teams.csv"
    sheet.write_bytes(b"name,weight\nalpha,9\nbeta,1\n")
    capsys.readouterr()
    assert run_filled("diff", str(sheet), "--json") == 0
    entries = json.loads(capsys.readouterr().out)
    assert [(e["type"], e["name"]) for e in entries] == [
        ("set", "alpha"),
        ("add", "beta"),
    ]
    assert entries[0]["cells"] == [{"column": "weight", "old": "2.5", "new": "9"}]


def test_rows_are_added_set_and_removed(
    run_filled: Run, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_filled("add", "teams/beta", "weight=3") == 0
    assert run_filled("set", "teams/beta", "weight=4", "max_rate=2.5") == 0
    assert read_cells(run_filled, "teams/beta", capsys)["weight"] == "4"
    assert run_filled("remove", "teams/beta") == 0
    assert run_filled("get", "teams/beta", "--json") == 0
    assert json.loads(capsys.readouterr().out.splitlines()[-1]) == []
    assert run_filled("add", "teams/beta") == 0
    assert read_cells(run_filled, "teams/beta", capsys)["version"] == 4


def test_history_lists_accepted_edits(
    run_filled: Run, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_filled("set", "teams/alpha", "weight=4", "--operator", "ann") == 0
    capsys.readouterr()
    assert run_filled("history", "teams/alpha", "--json") == 0
    entries = json.loads(capsys.readouterr().out)
    assert [(e["type"], e["version"]) for e in entries] == [("add", 1), ("set", 2)]
    assert entries[1]["operator"] == "ann"


EXIT_CODES = [
    (("set", "teams/alpha", "weight=-1"), 3),
    (("set", "teams/alpha", "weight=heavy"), 3),
    (("set", "teams/alpha", "colour=red"), 3),
    (("set", "teams/nobody", "weight=1"), 3),
    (("set", "alpha", "weight=1"), 3),
    (("add", "teams/alpha"), 3),
    (("add", "upstreams/u9", "service=none", "region=n", "url=http://a:1"), 3),
    (("remove", "services/cases"), 3),
    (("remove", "teams/nobody"), 3),
    (("set", "teams/alpha", "weight=3", "--was", "weight=1"), 4),
    (("set", "teams/alpha", "weight=3", "--wait", "1"), 2),
    (("set", "teams/alpha", "weight=3", "--timeout-seconds", "0"), 2),
    (("import", "/does/not/exist.csv"), 1),
    (("key", "remove", "alpha"), 3),
    (("key", "add", "nobody"), 3),
    (("check",), 0),
    (("get",), 0),
]


@pytest.mark.parametrize(("args", "code"), EXIT_CODES)
def test_exit_code(
    run_filled: Run,
    args: tuple[str, ...],
    code: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run_filled(*args) == code
    assert read_cells(run_filled, "teams/alpha", capsys)["version"] == 1


@pytest.mark.parametrize("outage", [Outage.CLOSED, Outage.UNAVAILABLE])
def test_unavailable_platform_is_exit_code_5(
    platform: Platform, run_filled: Run, outage: Outage
) -> None:
    platform.set_faults(PlatformFaults(outage=outage))
    assert run_filled("get", "--timeout-seconds", "0.3") == 5
    args = ("set", "teams/alpha", "weight=9", "--timeout-seconds", "0.3")
    assert run_filled(*args) == 5


def test_keys_are_shown_once_and_stored_as_hashes(
    platform: Platform, run_filled: Run, capsys: pytest.CaptureFixture[str]
) -> None:
    keys = []
    for _ in range(2):
        capsys.readouterr()
        assert run_filled("key", "add", "alpha", "--json") == 0
        keys.append(json.loads(capsys.readouterr().out)["key"])
    assert run_filled("key", "add", "alpha") == 3
    hashes = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
    stored = platform.store.get("teams", "alpha")
    assert stored is not None
    assert json.loads(bytes(stored.value))["key_hashes"] == hashes
    assert run_filled("key", "remove", "alpha") == 0
    stored = platform.store.get("teams", "alpha")
    assert stored is not None
    assert json.loads(bytes(stored.value))["key_hashes"] == hashes[1:]
    capsys.readouterr()
    for args in (("get",), ("get", "--json"), ("history",), ("history", "--json")):
        assert run_filled(*args) == 0
    output = capsys.readouterr().out
    assert not any(text in output for text in (*keys, *hashes))


@pytest.mark.parametrize("lose", [ResponseLoss.EVERY_SECOND, ResponseLoss.EVERY])
def test_import_is_applied_once_when_responses_are_lost(
    platform: Platform, run_filled: Run, tmp_path: Path, lose: ResponseLoss
) -> None:
    platform.set_faults(PlatformFaults(lose=lose))
    sheet = tmp_path / "teams.csv"
    rows = "".join(f"team{i},{i + 1}\n" for i in range(20))
    sheet.write_text("name,weight\n" + rows)
    assert run_filled("import", str(sheet)) == 0
    platform.set_faults(PlatformFaults())
    teams = platform.store.list_page("teams", 100, "").items
    assert [team.version for team in teams] == [1] * 21
    assert len(platform.store.list_page("accepted", 100, "").items) == 23
