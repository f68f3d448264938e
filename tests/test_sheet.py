"""Tests of reading and writing the table as CSV."""

import pytest
from returns.result import Failure

from oleandershift.checks import check_row
from oleandershift.edits import RowState
from oleandershift.exceptions import Finding
from oleandershift.ids import RegionId, ServiceId, TeamId, UpstreamId
from oleandershift.rows import RowKind, ServiceRow, TeamRow, UpstreamRow
from oleandershift.sheet import read_sheet, write_sheet

STATES = (
    RowState(
        RowKind.SERVICES,
        "cases",
        3,
        ServiceRow(name=ServiceId("cases"), non_idempotent=("POST /a", "POST /b/*")),
    ),
    RowState(
        RowKind.UPSTREAMS,
        "u1",
        1,
        UpstreamRow(
            name=UpstreamId("u1"),
            service=ServiceId("cases"),
            region=RegionId("north"),
            url="http://10.0.0.1:80",
        ),
    ),
    RowState(
        RowKind.TEAMS,
        "alpha",
        2,
        TeamRow(name=TeamId("alpha"), weight=2.5, key_hashes=("ab" * 32,)),
    ),
)


def read_findings(data: bytes, kind: RowKind | None = None) -> tuple[Finding, ...]:
    result = read_sheet(data, kind)
    assert isinstance(result, Failure)
    return result.failure()


@pytest.mark.parametrize("delimiter", [",", ";"])
def test_exported_sheet_reads_back(delimiter: str) -> None:
    rows = read_sheet(write_sheet(STATES, None, delimiter)).unwrap()
    assert [(row.kind, row.name, row.version) for row in rows] == [
        (state.kind, state.name, state.version) for state in STATES
    ]
    assert rows[0].cells["non_idempotent"] == ("POST /a", "POST /b/*")
    assert rows[2].cells["weight"] == 2.5
    assert rows[2].cells["key_hashes"] == ("ab" * 32,)


@pytest.mark.parametrize(
    "data",
    [
        b"name,weight\nalpha,2.5\n",
        b"name,weight\r\nalpha,2.5\r\n",
        b"\xef\xbb\xbfname;weight\r\nalpha;2,5\r\n",
        b"\xef\xbb\xbfname;weight\r\nalpha;2.5\r\n;\r\n",
        b"name\tweight\r\nalpha\t2.5",
        b'"name","weight"\r\n"alpha","2.5"\r\n\r\n',
        b" Name , WEIGHT \nalpha, 2.5 \n",
    ],
)
def test_reads_formats_saved_by_spreadsheets(data: bytes) -> None:
    (row,) = read_sheet(data, RowKind.TEAMS).unwrap()
    assert (row.name, row.cells["weight"], row.place) == ("alpha", 2.5, "row 2")


@pytest.mark.parametrize(
    ("data", "places"),
    [
        (b"", ["row 1"]),
        (b"weight\n1\n", ["row 1"]),
        (b"name,colour\na,red\n", ["row 1, column 2"]),
        (b"name,weight,weight\na,1,1\n", ["row 1, column 3"]),
        (b"name,weight\na,heavy\n", ["row 2, column weight"]),
        (b"name,max_waiting\na,1.5\n", ["row 2, column max_waiting"]),
        (b"name,weight\na,1\nb,1\na,2\n", ["row 4, column name"]),
        (b"name,weight\n,1\n", ["row 2, column name"]),
        (b"name,weight\na,1,2\n", ["row 2"]),
        (b"name,version\na,new\n", ["row 2, column version"]),
        (b"name,kind\na,upstreams\n", ["row 2, column kind"]),
        (
            b"name,weight,max_waiting\na,x,y\nb,1,1\nc,,z\n",
            [
                "row 2, column weight",
                "row 2, column max_waiting",
                "row 4, column max_waiting",
            ],
        ),
    ],
)
def test_findings_name_row_and_column(data: bytes, places: list[str]) -> None:
    assert [finding.place for finding in read_findings(data, RowKind.TEAMS)] == places


def test_column_of_another_kind_is_rejected() -> None:
    data = b"kind,name,weight,slots\nteams,a,1,3\n"
    assert [finding.place for finding in read_findings(data)] == ["row 2, column slots"]


def test_invalid_utf_8_is_rejected() -> None:
    assert read_findings(b"name\n\xff\n")[0].expected == "text in UTF-8"


@pytest.mark.parametrize(
    ("cells", "column"),
    [
        ({"weight": 0.0}, "weight"),
        ({"weight": float("nan")}, "weight"),
        ({"weight": float("inf")}, "weight"),
        ({"weight": -1.0}, "weight"),
        ({"max_waiting": -1}, "max_waiting"),
        ({"max_running": 10**9}, "max_running"),
        ({"max_rate": -0.1}, "max_rate"),
        ({"key_hashes": ("xyz",)}, "key_hashes"),
        ({"key_hashes": ("ab" * 32, "cd" * 32, "ef" * 32)}, "key_hashes"),
        ({"name": "a b"}, "name"),
        ({"name": "../x"}, "name"),
    ],
)
def test_out_of_range_cell_is_rejected(cells: dict[str, object], column: str) -> None:
    row = TeamRow(**{"name": "alpha", **cells})  # type: ignore[arg-type]
    (finding,) = check_row(RowKind.TEAMS, row)
    assert finding.place.endswith(f" {column}")


@pytest.mark.parametrize(
    "url", ["", "10.0.0.1:80", "http://10.0.0.1", "ftp://a:1", "http://a:99999"]
)
def test_url_without_host_and_port_is_rejected(url: str) -> None:
    row = UpstreamRow(
        name=UpstreamId("u"), service=ServiceId("s"), region=RegionId("r"), url=url
    )
    assert len(check_row(RowKind.UPSTREAMS, row)) == 1
