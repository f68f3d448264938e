"""Replication of the table between agents, as a sans-IO object.

New rows are pushed to a few random peers, each of which forwards the rows that were new
to it. Anti-entropy repairs what a push misses: the membership's probes carry a digest,
and replicas that differ compare bucket digests, then row versions within the differing
buckets, and send each other only the missing rows.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from oleandershift.checks import check_row_json
from oleandershift.dispatch import Send
from oleandershift.exceptions import Finding
from oleandershift.ids import RegionId
from oleandershift.membership import agent_address
from oleandershift.messages import (
    Body,
    Member,
    Row,
    RowsUpdate,
    RowVersion,
    TableSummary,
)
from oleandershift.replica import BUCKET_COUNT, EMPTY_DIGEST, Replica, bucket_of
from oleandershift.rows import RowKind

PUSH_FANOUT = 4
COMPARE_INTERVAL_SECONDS = 0.3
DIFFERENCE_SETTLE_SECONDS = 0.5
DIFFERENCE_MAX_GAP_SECONDS = 2.0
MAX_ROWS_PER_MESSAGE = 500
MAX_VERSIONS_PER_MESSAGE = 5000

_ALL_BUCKETS = tuple(range(BUCKET_COUNT))


@dataclass
class RowChanges:
    """Result of applying rows to the replica.

    Parameters
    ----------
    rows : tuple of Row
        Rows that changed the replica.
    previous_digest : bytes
        Digest of the replica before the change.
    replaced_versions : tuple of RowVersion
        Versions before the change; 0 where the row was absent.
    sends : list of Send
        Messages to other agents.
    findings : tuple of Finding
        Errors in rows that were skipped.
    """

    rows: tuple[Row, ...] = ()
    previous_digest: bytes = b""
    replaced_versions: tuple[RowVersion, ...] = ()
    sends: list[Send] = field(default_factory=list)
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True)
class PeerAddress:
    """Address and region of another agent, to reply to."""

    address: str
    region: RegionId


@dataclass
class _Difference:
    """Local digest, with the first and last time at which a peer's digest differed."""

    digest: bytes
    first_seen: float
    last_seen: float


class Replication:
    """One agent's replica and its synchronisation with other agents.

    Parameters
    ----------
    address : str
        Link address of this agent.
    seed : int
        Seed of the random number generator.

    Attributes
    ----------
    replica : Replica
        The local replica.
    skipped_rows : int
        Number of rows skipped because they were invalid.
    """

    def __init__(self, address: str, seed: int) -> None:
        self.replica = Replica()
        self.skipped_rows = 0
        self._address = address
        self._rng = random.Random(seed)
        self._next_compare_at = 0.0
        self._difference = _Difference(b"", 0.0, 0.0)

    def digest(self) -> bytes:
        """Return the digest to send to peers; empty while the table is incomplete."""
        return self.replica.digest() if self.replica.complete else b""

    def apply_rows(self, rows: Iterable[Row], peers: Sequence[Member]) -> RowChanges:
        """Apply rows from the platform or a peer, and push the new ones to peers.

        Parameters
        ----------
        rows : iterable of Row
            Rows at any version; outdated and invalid ones are skipped.
        peers : sequence of Member
            Agents to choose the receivers of the push from.
        """
        valid, findings = self._validate_rows(rows)
        previous_digest = self.replica.digest()
        replaced = tuple(
            RowVersion(row.kind, row.name, self.replica.version(row.kind, row.name))
            for row in valid
        )
        applied = self.replica.apply(valid)
        receivers = (
            self._rng.sample(peers, min(PUSH_FANOUT, len(peers))) if applied else []
        )
        sends = [
            Send(agent_address(member), member.region, update)
            for member in receivers
            for update in batch_rows(applied)
        ]
        return RowChanges(applied, previous_digest, replaced, sends, findings)

    def on_digest(self, now: float, peer: PeerAddress, digest: bytes) -> list[Send]:
        """Handle a peer's digest, and start a comparison of the replicas if one is due.

        An equal digest proves that the local table is complete.

        Parameters
        ----------
        now : float
            Current time, seconds.
        peer : PeerAddress
            The sender.
        digest : bytes
            Digest of its table; empty when that table is incomplete.
        """
        if not digest:
            return []
        if digest == self.replica.digest():
            self.replica.complete = True
            return []
        if now < self._next_compare_at or not self._difference_persists(now):
            return []
        self._next_compare_at = now + COMPARE_INTERVAL_SECONDS
        return [Send(peer.address, peer.region, self._initial_summary())]

    def on_summary(self, peer: PeerAddress, summary: TableSummary) -> list[Send]:
        """Reply to a peer's summary with rows, or with versions to compare."""
        if summary.bucket_digests:
            return self._reply_to_digests(peer, summary)
        return self._reply_to_versions(peer, summary)

    def _difference_persists(self, now: float) -> bool:
        """Return whether peers keep differing while the local digest is unchanged.

        A push in progress removes most differences, so a comparison waits. An agent
        whose table is incomplete doesn't wait.
        """
        if not self.replica.complete:
            return True
        digest = self.replica.digest()
        difference = self._difference
        is_recent = now <= difference.last_seen + DIFFERENCE_MAX_GAP_SECONDS
        if difference.digest != digest or not is_recent:
            self._difference = _Difference(digest, now, now)
            return False
        difference.last_seen = now
        return now >= difference.first_seen + DIFFERENCE_SETTLE_SECONDS

    def _initial_summary(self) -> TableSummary:
        """Return the first message of a comparison; an empty replica requests all."""
        digest = self.replica.digest()
        if digest == EMPTY_DIGEST:
            return TableSummary(self._address, digest, buckets=_ALL_BUCKETS)
        return TableSummary(self._address, digest, self.replica.bucket_digests())

    def _reply_to_digests(self, peer: PeerAddress, summary: TableSummary) -> list[Send]:
        pairs = zip(self.replica.bucket_digests(), summary.bucket_digests, strict=False)
        differing = [i for i, (local, remote) in enumerate(pairs) if local != remote]
        return [
            Send(peer.address, peer.region, reply)
            for reply in self._summaries(differing)
        ]

    def _summaries(self, buckets: Sequence[int]) -> Iterable[TableSummary]:
        """Yield summaries of buckets, batched to limit the versions per message.

        A single bucket is never split.
        """
        by_bucket: dict[int, list[RowVersion]] = {bucket: [] for bucket in buckets}
        for row in self.replica.rows_in_buckets(frozenset(buckets)):
            version = RowVersion(row.kind, row.name, row.version)
            by_bucket[bucket_of(row.kind, row.name)].append(version)
        batch: list[int] = []
        versions: list[RowVersion] = []
        for bucket, bucket_versions in by_bucket.items():
            if (
                batch
                and len(versions) + len(bucket_versions) > MAX_VERSIONS_PER_MESSAGE
            ):
                yield self._make_summary(batch, versions)
                batch, versions = [], []
            batch.append(bucket)
            versions += bucket_versions
        if batch:
            yield self._make_summary(batch, versions)

    def _make_summary(
        self, buckets: Sequence[int], versions: Iterable[RowVersion]
    ) -> TableSummary:
        digest = self.replica.digest()
        return TableSummary(
            self._address, digest, buckets=tuple(buckets), versions=tuple(versions)
        )

    def _reply_to_versions(
        self, peer: PeerAddress, summary: TableSummary
    ) -> list[Send]:
        peer_versions = {(v.kind, v.name): v.version for v in summary.versions}
        newer = self._newer_rows(peer_versions, frozenset(summary.buckets))
        bodies: list[Body] = list(batch_rows(newer))
        requested = tuple(
            RowVersion(kind, name, self.replica.version(kind, name))
            for (kind, name), version in peer_versions.items()
            if version > self.replica.version(kind, name)
        )
        if requested and summary.buckets:
            digest = self.replica.digest()
            bodies.append(TableSummary(self._address, digest, versions=requested))
        return [Send(peer.address, peer.region, body) for body in bodies]

    def _newer_rows(
        self, peer_versions: dict[tuple[str, str], int], buckets: frozenset[int]
    ) -> tuple[Row, ...]:
        """Return rows newer than the peer's versions.

        Considers every row in `buckets`, or without buckets only the rows that
        `peer_versions` names.
        """
        if buckets:
            candidates: Iterable[Row | None] = self.replica.rows_in_buckets(buckets)
        else:
            candidates = (
                self.replica.get_with_deleted(kind, name)
                for kind, name in peer_versions
            )
        return tuple(
            row
            for row in candidates
            if row is not None
            and row.version > peer_versions.get((row.kind, row.name), 0)
        )

    def _validate_rows(
        self, rows: Iterable[Row]
    ) -> tuple[list[Row], tuple[Finding, ...]]:
        valid: list[Row] = []
        all_findings: list[Finding] = []
        for row in rows:
            if row.version <= self.replica.version(row.kind, row.name):
                continue
            findings = check_replicated_row(row)
            if findings:
                self.skipped_rows += 1
                all_findings += findings
            else:
                valid.append(row)
        return valid, tuple(all_findings)


def batch_rows(rows: Sequence[Row]) -> list[RowsUpdate]:
    """Return messages with at most `MAX_ROWS_PER_MESSAGE` rows each."""
    return [
        RowsUpdate(tuple(rows[start : start + MAX_ROWS_PER_MESSAGE]))
        for start in range(0, len(rows), MAX_ROWS_PER_MESSAGE)
    ]


def check_replicated_row(row: Row) -> tuple[Finding, ...]:
    """Return the errors in a row; a deleted row only needs a known kind."""
    try:
        kind = RowKind(row.kind)
    except ValueError:
        return (Finding(row.name, row.kind, "a known kind of row"),)
    return () if row.deleted else check_row_json(kind, row.name, row.value)
