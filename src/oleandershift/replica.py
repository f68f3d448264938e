"""Replica of the operators' table, whose row versions only move forward."""

from collections.abc import Iterable, Iterator

import xxhash

from oleandershift.ids import ServiceId, TeamId, UpstreamId
from oleandershift.messages import Row, RowVersion
from oleandershift.rows import (
    RowKind,
    ServiceRow,
    TeamRow,
    UpstreamRow,
    decode_row,
)

BUCKET_COUNT = 64
_DIGEST_RANGE = 1 << 64

EMPTY_DIGEST = bytes(8)
"""Digest of a replica without rows."""


def bucket_of(kind: str, name: str) -> int:
    """Return the hash bucket of a row."""
    return xxhash.xxh3_64_intdigest(f"{kind}/{name}".encode()) % BUCKET_COUNT


def _digest(total: int) -> bytes:
    return (total % _DIGEST_RANGE).to_bytes(8, "big")


def _row_hash(row: Row) -> int:
    return xxhash.xxh3_64_intdigest(f"{row.kind}/{row.name}/{row.version}".encode())


class Replica:
    """Holds the newest known version of each row, deletions included.

    The digest is the sum of the row hashes, so that it costs one step a change. Rows
    fall into hash buckets with a digest each, so that two replicas that differ find
    the rows in which they do without naming them all.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._sums = [0] * BUCKET_COUNT
        self.complete = False

    def apply(self, rows: Iterable[Row], complete: bool = False) -> tuple[Row, ...]:
        """Take newer rows and return those that changed the replica."""
        taken = tuple(row for row in rows if self._take(row))
        self.complete = self.complete or complete
        return taken

    def _take(self, row: Row) -> bool:
        key = (row.kind, row.name)
        held = self._rows.get(key)
        if held is not None and held.version >= row.version:
            return False
        bucket = bucket_of(row.kind, row.name)
        if held is not None:
            self._sums[bucket] -= _row_hash(held)
        self._rows[key] = row
        self._sums[bucket] += _row_hash(row)
        return True

    def digest(self) -> bytes:
        """Return a digest that equals another replica's when both hold the same."""
        return _digest(sum(self._sums))

    def bucket_digests(self) -> tuple[bytes, ...]:
        """Return the digest of each bucket."""
        return tuple(_digest(total) for total in self._sums)

    def rows_in_buckets(self, buckets: frozenset[int]) -> tuple[Row, ...]:
        """Return the rows of some buckets, deleted ones included."""
        return tuple(
            row for row in self.rows() if bucket_of(row.kind, row.name) in buckets
        )

    def version(self, kind: str, name: str) -> int:
        """Return the version held of a row; 0 when none is."""
        row = self._rows.get((kind, name))
        return 0 if row is None else row.version

    def get_with_deleted(self, kind: str, name: str) -> Row | None:
        """Return a row as held, deleted or not."""
        return self._rows.get((kind, name))

    def rows(self) -> Iterator[Row]:
        """Return every row held, deleted ones included."""
        return iter(self._rows.values())

    def versions(self) -> tuple[RowVersion, ...]:
        """Return the version of every row held."""
        return tuple(RowVersion(r.kind, r.name, r.version) for r in self.rows())

    def get_live(self, kind: RowKind, name: str) -> Row | None:
        """Return one row, or None when it is absent or deleted."""
        row = self._rows.get((kind.value, name))
        return None if row is None or row.deleted else row


class Table:
    """Typed view of a replica's live rows.

    Parameters
    ----------
    rows : iterable of Row
        Rows to start from.

    Attributes
    ----------
    services, upstreams, teams : dict
        Live rows by name.
    """

    def __init__(self, rows: Iterable[Row] = ()) -> None:
        self.services: dict[ServiceId, ServiceRow] = {}
        self.upstreams: dict[UpstreamId, UpstreamRow] = {}
        self.teams: dict[TeamId, TeamRow] = {}
        self.update(rows)

    def update(self, rows: Iterable[Row]) -> None:
        """Take changed rows."""
        for row in rows:
            self._put(row)

    def _put(self, row: Row) -> None:
        kind = RowKind(row.kind)
        holder: dict[str, object] = getattr(self, kind.value)
        if row.deleted:
            holder.pop(row.name, None)
            return
        holder[row.name] = decode_row(kind, row.value)

    def upstreams_of(self, service: ServiceId) -> tuple[UpstreamRow, ...]:
        """Return a service's upstreams, by name."""
        found = (row for row in self.upstreams.values() if row.service == service)
        return tuple(sorted(found, key=lambda row: row.name))
