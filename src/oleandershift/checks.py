"""Checks of single rows: types, ranges and forms of cells."""

import math
import re
from collections.abc import Iterator
from typing import TypeAlias
from urllib.parse import urlsplit

import msgspec

from oleandershift.exceptions import Finding
from oleandershift.rows import (
    RowKind,
    ServiceRow,
    TableRow,
    TeamRow,
    UpstreamRow,
    decode_row,
)

MAX_KEYS_PER_TEAM = 2
MAX_SLOTS = 100_000
MAX_LIMIT = 1_000_000
MAX_RATE_PER_SECOND = 1e6
MAX_WEIGHT = 1e6
MIN_WEIGHT = 1e-6
MAX_BODY_BYTES = 1 << 30

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")
_Cell: TypeAlias = tuple[str, object, str]

_CALL = re.compile(r"[A-Z]+ /\S*")


def cell_location(kind: RowKind, name: str, column: str) -> str:
    """Return where a cell stands, for findings."""
    return f"{kind.value}/{name} {column}"


def check_row_json(kind: RowKind, name: str, value: bytes) -> tuple[Finding, ...]:
    """Return what is wrong with a row's JSON; empty when it may be used.

    Parameters
    ----------
    kind : Kind
        Kind of the row.
    name : str
        Key of the row, which its `name` cell must equal.
    value : bytes
        JSON of the cells.
    """
    try:
        row = decode_row(kind, value)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return (Finding(f"{kind.value}/{name}", str(exc), "a row of this kind"),)
    findings = check_row(kind, row)
    if row.name != name:
        where = cell_location(kind, name, "name")
        findings += (Finding(where, row.name, "the name of the row"),)
    return findings


def check_row(kind: RowKind, row: TableRow) -> tuple[Finding, ...]:
    """Return every cell of a row that is out of range or malformed."""
    found: list[_Cell] = []
    if not _NAME.fullmatch(row.name):
        expected = "1 to 100 letters, digits, '.', '_' or '-', not a sign first"
        found.append(("name", row.name, expected))
    if isinstance(row, ServiceRow):
        found += _check_service(row)
    elif isinstance(row, UpstreamRow):
        found += _check_upstream(row)
    else:
        found += _check_team(row)
    return tuple(
        Finding(cell_location(kind, row.name, column), str(value), expected)
        for column, value, expected in found
    )


def _check_service(row: ServiceRow) -> Iterator[_Cell]:
    for call in row.non_idempotent:
        if not _CALL.fullmatch(call):
            yield "non_idempotent", call, "METHOD /path or METHOD /path/*"
    if not 1 <= row.max_body_bytes <= MAX_BODY_BYTES:
        yield "max_body_bytes", row.max_body_bytes, f"1 to {MAX_BODY_BYTES}"


def _check_upstream(row: UpstreamRow) -> Iterator[_Cell]:
    if not row.service:
        yield "service", row.service, "the name of a service"
    if not row.region:
        yield "region", row.region, "the name of a region"
    if not _is_base_url(row.url):
        yield "url", row.url, "http://host:port"
    if not 0 <= row.slots <= MAX_SLOTS:
        yield "slots", row.slots, f"0 to {MAX_SLOTS}"


def _check_team(row: TeamRow) -> Iterator[_Cell]:
    if not (math.isfinite(row.weight) and MIN_WEIGHT <= row.weight <= MAX_WEIGHT):
        yield "weight", row.weight, f"{MIN_WEIGHT:g} to {MAX_WEIGHT:g}"
    if len(row.key_hashes) > MAX_KEYS_PER_TEAM:
        yield "key_hashes", len(row.key_hashes), f"at most {MAX_KEYS_PER_TEAM} keys"
    for key_hash in row.key_hashes:
        if not _KEY_HASH.fullmatch(key_hash):
            yield "key_hashes", "(not shown)", "64 hexadecimal digits in lower case"
    for column in ("max_waiting", "max_running"):
        limit = getattr(row, column)
        if not 0 <= limit <= MAX_LIMIT:
            yield column, limit, f"0 to {MAX_LIMIT}"
    if not (math.isfinite(row.max_rate) and 0 <= row.max_rate <= MAX_RATE_PER_SECOND):
        yield "max_rate", row.max_rate, f"0 to {MAX_RATE_PER_SECOND:g}"


def _is_base_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return (
            parts.scheme in ("http", "https")
            and bool(parts.hostname)
            and parts.port is not None
            and parts.path in ("", "/")
            and not parts.query
        )
    except ValueError:
        return False
