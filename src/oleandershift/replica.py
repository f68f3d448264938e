"""Replica of the operators' table, whose row versions only move forward."""

from collections.abc import Iterable, Iterator

import xxhash

from oleandershift.ids import ServiceId, TeamId, UpstreamId
from oleandershift.messages import Row, RowVersion
from oleandershift.rows import (
    Kind,
    ServiceRow,
    TeamRow,
    UpstreamRow,
    decode_row,
)


def _row_hash(row: Row) -> int:
    return xxhash.xxh3_64_intdigest(f"{row.kind}/{row.name}/{row.version}".encode())


class Replica:
    """Holds the newest known version of each row, deletions included.

    The digest is the sum of the row hashes, so that it costs one step a change.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self._sum = 0
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
        if held is not None:
            self._sum -= _row_hash(held)
        self._rows[key] = row
        self._sum += _row_hash(row)
        return True

    def digest(self) -> bytes:
        """Return a digest that equals another replica's when both hold the same."""
        return (self._sum % (1 << 64)).to_bytes(8, "big")

    def rows(self) -> Iterator[Row]:
        """Return every row held, deleted ones included."""
        return iter(self._rows.values())

    def versions(self) -> tuple[RowVersion, ...]:
        """Return the version of every row held."""
        return tuple(RowVersion(r.kind, r.name, r.version) for r in self.rows())

    def get(self, kind: Kind, name: str) -> Row | None:
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
        kind = Kind(row.kind)
        holder: dict[str, object] = getattr(self, kind.value)
        if row.deleted:
            holder.pop(row.name, None)
            return
        holder[row.name] = decode_row(kind, row.value)

    def upstreams_of(self, service: ServiceId) -> tuple[UpstreamRow, ...]:
        """Return a service's upstreams, by name."""
        found = (row for row in self.upstreams.values() if row.service == service)
        return tuple(sorted(found, key=lambda row: row.name))
