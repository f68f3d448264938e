"""Replication of the table between agents, as a sans-IO object.

New rows are pushed to a few random peers, each of which pushes on what was new to it.
What a push misses is found by digests that ride on the membership's probes: replicas
that differ compare bucket digests, then versions within the differing buckets, and
send each other only the rows that the other lacks.
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
    """What a step changed, and what is to be sent.

    Parameters
    ----------
    rows : tuple of Row
        Rows taken into the replica.
    previous_digest : bytes
        Digest of the replica before.
    replaced_versions : tuple of RowVersion
        Versions that these rows replaced; 0 where a row was absent.
    sends : list of Send
        Messages to other agents.
    findings : tuple of Finding
        What was wrong with rows that were skipped.
    """

    rows: tuple[Row, ...] = ()
    previous_digest: bytes = b""
    replaced_versions: tuple[RowVersion, ...] = ()
    sends: list[Send] = field(default_factory=list)
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True)
class PeerAddress:
    """Another agent, as the receiver of an answer."""

    address: str
    region: RegionId


@dataclass
class _Difference:
    """Own digest from which peers have differed, since when, and when last."""

    digest: bytes
    since: float
    last: float


class Replication:
    """One agent's replica and its exchange with other agents.

    Parameters
    ----------
    address : str
        Link address of this agent.
    seed : int
        Seed of the random choices.

    Attributes
    ----------
    replica : Replica
        The rows held.
    skipped_rows : int
        Rows skipped because they can't be used.
    """

    def __init__(self, address: str, seed: int) -> None:
        self.replica = Replica()
        self.skipped_rows = 0
        self._address = address
        self._rng = random.Random(seed)
        self._next_compare = 0.0
        self._difference = _Difference(b"", 0.0, 0.0)

    def digest(self) -> bytes:
        """Return the digest to tell peers; empty while the table is not whole."""
        return self.replica.digest() if self.replica.complete else b""

    def apply_rows(self, rows: Iterable[Row], peers: Sequence[Member]) -> RowChanges:
        """Take rows of the platform or a peer, and push on what is new.

        Parameters
        ----------
        rows : iterable of Row
            Rows at any versions; older ones and bad ones are passed over.
        peers : sequence of Member
            Agents that may be pushed to.
        """
        good, bad = self._sift(rows)
        before = self.replica.digest()
        replaced = tuple(
            RowVersion(row.kind, row.name, self.replica.version(row.kind, row.name))
            for row in good
        )
        taken = self.replica.apply(good)
        chosen = self._rng.sample(peers, min(PUSH_FANOUT, len(peers))) if taken else []
        sends = [
            Send(agent_address(member), member.region, update)
            for member in chosen
            for update in batch_rows(taken)
        ]
        return RowChanges(taken, before, replaced, sends, bad)

    def on_digest(self, now: float, peer: PeerAddress, digest: bytes) -> list[Send]:
        """Take the digest of a peer whose table is whole.

        Parameters
        ----------
        now : float
            The current instant.
        peer : Peer
            Who sent it.
        digest : bytes
            Its digest; empty when its table is not whole.
        """
        if not digest:
            return []
        if digest == self.replica.digest():
            self.replica.complete = True
            return []
        if now < self._next_compare or not self._differs_lastingly(now):
            return []
        self._next_compare = now + COMPARE_INTERVAL_SECONDS
        return [Send(peer.address, peer.region, self._opening())]

    def on_summary(self, peer: PeerAddress, summary: TableSummary) -> list[Send]:
        """Answer a peer's summary with rows, or with versions to compare."""
        if summary.bucket_digests:
            return self._answer_digests(peer, summary)
        return self._answer_versions(peer, summary)

    def _differs_lastingly(self, now: float) -> bool:
        """Tell whether peers go on to differ while these rows stay the same.

        A difference that a push is about to end is not worth a comparison; an agent
        without a whole table does not wait.
        """
        if not self.replica.complete:
            return True
        own = self.replica.digest()
        held = self._difference
        recent = now <= held.last + DIFFERENCE_MAX_GAP_SECONDS
        if held.digest != own or not recent:
            self._difference = _Difference(own, now, now)
            return False
        held.last = now
        return now >= held.since + DIFFERENCE_SETTLE_SECONDS

    def _opening(self) -> TableSummary:
        own = self.replica.digest()
        if own == EMPTY_DIGEST:
            return TableSummary(self._address, own, buckets=_ALL_BUCKETS)
        return TableSummary(self._address, own, self.replica.bucket_digests())

    def _answer_digests(self, peer: PeerAddress, summary: TableSummary) -> list[Send]:
        pairs = zip(self.replica.bucket_digests(), summary.bucket_digests, strict=False)
        differing = [i for i, (own, other) in enumerate(pairs) if own != other]
        return [
            Send(peer.address, peer.region, answer)
            for answer in self._summaries(differing)
        ]

    def _summaries(self, buckets: Sequence[int]) -> Iterable[TableSummary]:
        """Return summaries of buckets, no message with too many versions."""
        by_bucket: dict[int, list[RowVersion]] = {bucket: [] for bucket in buckets}
        for row in self.replica.rows_in_buckets(frozenset(buckets)):
            version = RowVersion(row.kind, row.name, row.version)
            by_bucket[bucket_of(row.kind, row.name)].append(version)
        chosen: list[int] = []
        versions: list[RowVersion] = []
        for bucket, listed in by_bucket.items():
            if chosen and len(versions) + len(listed) > MAX_VERSIONS_PER_MESSAGE:
                yield self._summary(chosen, versions)
                chosen, versions = [], []
            chosen.append(bucket)
            versions += listed
        if chosen:
            yield self._summary(chosen, versions)

    def _summary(
        self, buckets: Sequence[int], versions: Iterable[RowVersion]
    ) -> TableSummary:
        own = self.replica.digest()
        return TableSummary(
            self._address, own, buckets=tuple(buckets), versions=tuple(versions)
        )

    def _answer_versions(self, peer: PeerAddress, summary: TableSummary) -> list[Send]:
        theirs = {(v.kind, v.name): v.version for v in summary.versions}
        newer = self._newer_rows(theirs, frozenset(summary.buckets))
        bodies: list[Body] = list(batch_rows(newer))
        wanted = tuple(
            RowVersion(kind, name, self.replica.version(kind, name))
            for (kind, name), version in theirs.items()
            if version > self.replica.version(kind, name)
        )
        if wanted and summary.buckets:
            own = self.replica.digest()
            bodies.append(TableSummary(self._address, own, versions=wanted))
        return [Send(peer.address, peer.region, body) for body in bodies]

    def _newer_rows(
        self, theirs: dict[tuple[str, str], int], buckets: frozenset[int]
    ) -> tuple[Row, ...]:
        """Return rows newer than a peer's; all of `buckets` count, others if named."""
        if buckets:
            held: Iterable[Row | None] = self.replica.rows_in_buckets(buckets)
        else:
            held = (self.replica.get_with_deleted(kind, name) for kind, name in theirs)
        return tuple(
            row
            for row in held
            if row is not None and row.version > theirs.get((row.kind, row.name), 0)
        )

    def _sift(self, rows: Iterable[Row]) -> tuple[list[Row], tuple[Finding, ...]]:
        good: list[Row] = []
        bad: list[Finding] = []
        for row in rows:
            if row.version <= self.replica.version(row.kind, row.name):
                continue
            findings = check_replicated_row(row)
            if findings:
                self.skipped_rows += 1
                bad += findings
            else:
                good.append(row)
        return good, tuple(bad)


def batch_rows(rows: Sequence[Row]) -> list[RowsUpdate]:
    """Return messages with all the rows, none of them too large."""
    return [
        RowsUpdate(tuple(rows[start : start + MAX_ROWS_PER_MESSAGE]))
        for start in range(0, len(rows), MAX_ROWS_PER_MESSAGE)
    ]


def check_replicated_row(row: Row) -> tuple[Finding, ...]:
    """Return what is wrong with a row; a deleted one only needs a known kind."""
    try:
        kind = RowKind(row.kind)
    except ValueError:
        return (Finding(row.name, row.kind, "a kind of row"),)
    return () if row.deleted else check_row_json(kind, row.name, row.value)
