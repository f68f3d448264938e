"""Validation of single rows: types, ranges and formats of cells."""

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

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
_InvalidCell: TypeAlias = tuple[str, object, str]
"""Column, value and expected values of an invalid cell."""

_REQUEST_PATTERN = re.compile(r"[A-Z]+ /\S*")


def cell_location(kind: RowKind, name: str, column: str) -> str:
    """Return the location of a cell, for findings."""
    return f"{kind.value}/{name} {column}"


def check_row_json(kind: RowKind, name: str, value: bytes) -> tuple[Finding, ...]:
    """Return the errors in a row's JSON; empty when it is valid.

    Parameters
    ----------
    kind : RowKind
        Kind of the row.
    name : str
        Key of the row, which its `name` cell must equal.
    value : bytes
        JSON object with the cells.
    """
    try:
        row = decode_row(kind, value)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return (Finding(f"{kind.value}/{name}", str(exc), "a row of this kind"),)
    findings = check_row(kind, row)
    if row.name != name:
        location = cell_location(kind, name, "name")
        findings += (Finding(location, row.name, "the name of the row"),)
    return findings


def check_row(kind: RowKind, row: TableRow) -> tuple[Finding, ...]:
    """Return a finding for each cell that is out of range or malformed."""
    invalid_cells: list[_InvalidCell] = []
    if not _NAME_PATTERN.fullmatch(row.name):
        expected = (
            "1 to 100 letters, digits, '.', '_' or '-', starting with a letter or digit"
        )
        invalid_cells.append(("name", row.name, expected))
    if isinstance(row, ServiceRow):
        invalid_cells += _check_service(row)
    elif isinstance(row, UpstreamRow):
        invalid_cells += _check_upstream(row)
    else:
        invalid_cells += _check_team(row)
    return tuple(
        Finding(cell_location(kind, row.name, column), str(value), expected)
        for column, value, expected in invalid_cells
    )


def _check_service(row: ServiceRow) -> Iterator[_InvalidCell]:
    for request in row.non_idempotent:
        if not _REQUEST_PATTERN.fullmatch(request):
            yield "non_idempotent", request, "METHOD /path or METHOD /path/*"
    if not 1 <= row.max_body_bytes <= MAX_BODY_BYTES:
        yield "max_body_bytes", row.max_body_bytes, f"1 to {MAX_BODY_BYTES}"


def _check_upstream(row: UpstreamRow) -> Iterator[_InvalidCell]:
    if not row.service:
        yield "service", row.service, "the name of a service"
    if not row.region:
        yield "region", row.region, "the name of a region"
    if not _is_base_url(row.url):
        yield "url", row.url, "http://host:port"
    if not 0 <= row.slots <= MAX_SLOTS:
        yield "slots", row.slots, f"0 to {MAX_SLOTS}"


def _check_team(row: TeamRow) -> Iterator[_InvalidCell]:
    if not (math.isfinite(row.weight) and MIN_WEIGHT <= row.weight <= MAX_WEIGHT):
        yield "weight", row.weight, f"{MIN_WEIGHT:g} to {MAX_WEIGHT:g}"
    if len(row.key_hashes) > MAX_KEYS_PER_TEAM:
        yield "key_hashes", len(row.key_hashes), f"at most {MAX_KEYS_PER_TEAM} keys"
    for key_hash in row.key_hashes:
        if not _KEY_HASH_PATTERN.fullmatch(key_hash):
            yield "key_hashes", "(not shown)", "64 lower-case hexadecimal digits"
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
