"""Replica of the operators' table, whose row versions only increase."""

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


def _encode_digest(total: int) -> bytes:
    return (total % _DIGEST_RANGE).to_bytes(8, "big")


def _row_hash(row: Row) -> int:
    return xxhash.xxh3_64_intdigest(f"{row.kind}/{row.name}/{row.version}".encode())


class Replica:
    """The newest known version of each row, including tombstones of deleted rows.

    The digest is the sum of the row hashes, so that a change updates it in constant
    time. Rows are hashed into buckets, each with its own digest, so that two replicas
    can locate the rows that differ without listing all of them.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._bucket_sums = [0] * BUCKET_COUNT
        self.complete = False

    def apply(self, rows: Iterable[Row], complete: bool = False) -> tuple[Row, ...]:
        """Apply rows and return those newer than the replica's.

        Parameters
        ----------
        rows : iterable of Row
            Rows at any version.
        complete : bool
            Whether the replica has every row of the table afterwards.
        """
        applied = tuple(row for row in rows if self._apply_row(row))
        self.complete = self.complete or complete
        return applied

    def _apply_row(self, row: Row) -> bool:
        key = (row.kind, row.name)
        current = self._rows.get(key)
        if current is not None and current.version >= row.version:
            return False
        bucket = bucket_of(row.kind, row.name)
        if current is not None:
            self._bucket_sums[bucket] -= _row_hash(current)
        self._rows[key] = row
        self._bucket_sums[bucket] += _row_hash(row)
        return True

    def digest(self) -> bytes:
        """Return a digest that is equal for replicas with the same row versions."""
        return _encode_digest(sum(self._bucket_sums))

    def bucket_digests(self) -> tuple[bytes, ...]:
        """Return the digest of each bucket."""
        return tuple(_encode_digest(total) for total in self._bucket_sums)

    def rows_in_buckets(self, buckets: frozenset[int]) -> tuple[Row, ...]:
        """Return the rows in the given buckets, including deleted ones."""
        return tuple(
            row for row in self.rows() if bucket_of(row.kind, row.name) in buckets
        )

    def version(self, kind: str, name: str) -> int:
        """Return the version of a row, or 0 when it is unknown."""
        row = self._rows.get((kind, name))
        return 0 if row is None else row.version

    def get_with_deleted(self, kind: str, name: str) -> Row | None:
        """Return a row, even a deleted one, or None when it is unknown."""
        return self._rows.get((kind, name))

    def rows(self) -> Iterator[Row]:
        """Iterate over all rows, including deleted ones."""
        return iter(self._rows.values())

    def versions(self) -> tuple[RowVersion, ...]:
        """Return the version of every row, including deleted ones."""
        return tuple(RowVersion(r.kind, r.name, r.version) for r in self.rows())

    def get_live(self, kind: RowKind, name: str) -> Row | None:
        """Return a row, or None when it is unknown or deleted."""
        row = self._rows.get((kind.value, name))
        return None if row is None or row.deleted else row


class Table:
    """Typed view of a replica's rows that aren't deleted.

    Parameters
    ----------
    rows : iterable of Row
        Initial rows.

    Attributes
    ----------
    services, upstreams, teams : dict
        Decoded rows by name.
    """

    def __init__(self, rows: Iterable[Row] = ()) -> None:
        self.services: dict[ServiceId, ServiceRow] = {}
        self.upstreams: dict[UpstreamId, UpstreamRow] = {}
        self.teams: dict[TeamId, TeamRow] = {}
        self.update(rows)

    def update(self, rows: Iterable[Row]) -> None:
        """Apply changed rows."""
        for row in rows:
            self._update_row(row)

    def _update_row(self, row: Row) -> None:
        kind = RowKind(row.kind)
        rows_by_name: dict[str, object] = getattr(self, kind.value)
        if row.deleted:
            rows_by_name.pop(row.name, None)
            return
        rows_by_name[row.name] = decode_row(kind, row.value)

    def upstreams_of(self, service: ServiceId) -> tuple[UpstreamRow, ...]:
        """Return a service's upstreams, sorted by name."""
        rows = (row for row in self.upstreams.values() if row.service == service)
        return tuple(sorted(rows, key=lambda row: row.name))
