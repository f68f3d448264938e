"""Subscriptions and status of the processes on an agent's VM, as a sans-IO object."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from oleandershift.ids import Incarnation, RequestId
from oleandershift.messages import (
    Body,
    MembersView,
    Outcome,
    ProcessId,
    Role,
    Row,
    RowsUpdate,
    RowVersion,
    StatusReport,
    Subscribe,
)
from oleandershift.replica import Replica
from oleandershift.replication import batch_rows

PROCESS_TIMEOUT_SECONDS = 10.0
MAX_CONFIRMATIONS = 3
MISMATCHES_BEFORE_RESEND = 2
MAX_OUTCOMES = 10_000
MAX_RECORDED_CHANGES = 1024


@dataclass(frozen=True)
class LocalSend:
    """Message to a process on this VM."""

    address: str
    body: Body


@dataclass
class _Process:
    incarnation: Incarnation
    address: str
    last_message_at: float
    digest: bytes = b""
    mismatches: int = 0
    confirmations: int = 0
    report: StatusReport | None = None


@dataclass(frozen=True)
class _ReplicaChange:
    """Row versions that a change replaced, and the digest before it."""

    previous_digest: bytes
    replaced_versions: tuple[RowVersion, ...]


@dataclass
class LocalProcesses:
    """Subscriptions and status of this VM's processes.

    Parameters
    ----------
    replica : Replica
        The agent's table replica.
    """

    replica: Replica
    _processes: dict[Role, _Process] = field(default_factory=dict)
    _outcomes: deque[Outcome] = field(
        default_factory=lambda: deque(maxlen=MAX_OUTCOMES)
    )
    _changes: deque[_ReplicaChange] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDED_CHANGES)
    )

    # Commands

    def on_subscribe(
        self, now: float, sender: ProcessId, subscribe: Subscribe, view: MembersView
    ) -> list[LocalSend]:
        """Handle a process's heartbeat and return the updates that it lacks."""
        process = self._record_heartbeat(now, sender, subscribe.address)
        if process is None:
            return []
        process.digest = subscribe.digest
        bodies: list[Body] = []
        if subscribe.members_seq != view.seq:
            bodies.append(view)
        bodies += self._updates_for(process)
        if subscribe.query_id:
            bodies.append(RowsUpdate((), query_id=subscribe.query_id))
        return [LocalSend(process.address, body) for body in bodies]

    def on_status_report(self, now: float, report: StatusReport) -> None:
        """Store a process's status report; ignore one from another incarnation."""
        process = self._processes.get(report.process.role)
        if process is None or process.incarnation != report.process.incarnation:
            return
        process.last_message_at = now
        process.report = report
        self._outcomes.extend(report.outcomes)

    def record_change(self, digest: bytes, replaced: Iterable[RowVersion]) -> None:
        """Record the row versions that a change of the replica replaced.

        Parameters
        ----------
        digest : bytes
            Digest before the change.
        replaced : iterable of RowVersion
            Versions before the change; 0 where the row was absent.
        """
        self._changes.append(_ReplicaChange(digest, tuple(replaced)))

    def push_rows(self, rows: tuple[Row, ...]) -> list[LocalSend]:
        """Return messages with changed rows for every subscribed process."""
        return self.broadcast(batch_rows(rows))

    def sync_all(self) -> list[LocalSend]:
        """Return what each process lacks, once the table has become complete."""
        return [
            LocalSend(process.address, body)
            for process in self._processes.values()
            for body in self._updates_for(process)
        ]

    def broadcast(self, bodies: Iterable[Body]) -> list[LocalSend]:
        """Return the given messages for every subscribed process."""
        messages = tuple(bodies)
        return [
            LocalSend(process.address, body)
            for process in self._processes.values()
            for body in messages
        ]

    def expire(self, now: float) -> list[str]:
        """Remove processes that have timed out and return their addresses."""
        silent = {
            role: process.address
            for role, process in self._processes.items()
            if now >= process.last_message_at + PROCESS_TIMEOUT_SECONDS
        }
        for role in silent:
            del self._processes[role]
        return list(silent.values())

    # Queries

    def active_since(self, instant: float) -> bool:
        """Return whether any process has sent a message after an instant."""
        return any(
            process.last_message_at > instant for process in self._processes.values()
        )

    def status_reports(self) -> tuple[StatusReport, ...]:
        """Return the newest status report of each process."""
        reports = (process.report for process in self._processes.values())
        return tuple(report for report in reports if report is not None)

    def outcomes_of(self, request: RequestId) -> tuple[Outcome, ...]:
        """Return the known outcomes of a request."""
        return tuple(
            outcome for outcome in self._outcomes if outcome.request == request
        )

    def versions_in_force(self, keys: Iterable[tuple[str, str]]) -> list[RowVersion]:
        """Return the oldest version of each row that any local process still uses.

        A row that some process may not have is left out.
        """
        older_by_process = [
            self._older_versions(p.digest) for p in self._processes.values()
        ]
        in_force = []
        for kind, name in keys:
            current = self.replica.version(kind, name)
            versions = [
                0 if older is None else older.get((kind, name), current)
                for older in older_by_process
            ]
            oldest = min(versions, default=current)
            if oldest:
                in_force.append(RowVersion(kind, name, oldest))
        return in_force

    # Internals

    def _record_heartbeat(
        self, now: float, sender: ProcessId, address: str
    ) -> _Process | None:
        process = self._processes.get(sender.role)
        if process is None or process.incarnation < sender.incarnation:
            process = _Process(sender.incarnation, address, now)
            process.mismatches = MISMATCHES_BEFORE_RESEND - 1
            self._processes[sender.role] = process
        if process.incarnation > sender.incarnation:
            return None
        process.last_message_at = now
        return process

    def _updates_for(self, process: _Process) -> list[RowsUpdate]:
        """Return the updates for a process, depending on its digest.

        All rows are sent only to a process that is new or whose digest differs at two
        heartbeats in a row, as a push may be in progress. The `complete` flag is sent
        without rows once the digests match, unless all rows fit in one message.
        """
        if not self.replica.complete:
            return []
        digest = self.replica.digest()
        if process.digest == digest:
            return self._confirm_complete(process)
        process.confirmations = 0
        process.mismatches += 1
        if process.mismatches < MISMATCHES_BEFORE_RESEND:
            return []
        process.mismatches = 0
        updates = batch_rows(tuple(self.replica.rows()))
        if len(updates) == 1:
            return [RowsUpdate(updates[0].rows, complete=True)]
        return updates

    def _confirm_complete(self, process: _Process) -> list[RowsUpdate]:
        process.mismatches = 0
        if process.confirmations >= MAX_CONFIRMATIONS:
            return []
        process.confirmations += 1
        return [RowsUpdate((), complete=True)]

    def _older_versions(self, digest: bytes) -> dict[tuple[str, str], int] | None:
        """Return the versions of outdated rows at a process with this digest.

        None means that the digest is unknown.
        """
        older: dict[tuple[str, str], int] = {}
        if digest == self.replica.digest():
            return older
        for change in reversed(self._changes):
            older.update(
                {(v.kind, v.name): v.version for v in change.replaced_versions}
            )
            if change.previous_digest == digest:
                return older
        return None
