"""What an agent knows of its own VM's processes, as a sans-IO object."""

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
    """Message to a process of this VM."""

    address: str
    body: Body


@dataclass
class _Process:
    incarnation: Incarnation
    address: str
    heard: float
    digest: bytes = b""
    mismatches: int = 0
    confirmations: int = 0
    report: StatusReport | None = None


@dataclass(frozen=True)
class _Change:
    """Versions that a step replaced, and the digest before it."""

    digest: bytes
    replaced: tuple[RowVersion, ...]


@dataclass
class LocalProcesses:
    """Subscriptions and status of this VM's processes.

    Parameters
    ----------
    replica : Replica
        The agent's rows.
    """

    replica: Replica
    _processes: dict[Role, _Process] = field(default_factory=dict)
    _outcomes: deque[Outcome] = field(
        default_factory=lambda: deque(maxlen=MAX_OUTCOMES)
    )
    _changes: deque[_Change] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDED_CHANGES)
    )

    # Commands

    def on_subscribe(
        self, now: float, sender: ProcessId, subscribe: Subscribe, view: MembersView
    ) -> list[LocalSend]:
        """Take a heartbeat of a process; return what it lacks."""
        process = self._heard(now, sender, subscribe.address)
        if process is None:
            return []
        process.digest = subscribe.digest
        bodies: list[Body] = []
        if subscribe.members_seq != view.seq:
            bodies.append(view)
        bodies += self._rows_for(process)
        if subscribe.query_id:
            bodies.append(RowsUpdate((), query_id=subscribe.query_id))
        return [LocalSend(process.address, body) for body in bodies]

    def on_status_report(self, now: float, report: StatusReport) -> None:
        """Take a status report of a process."""
        process = self._processes.get(report.process.role)
        if process is None or process.incarnation != report.process.incarnation:
            return
        process.heard = now
        process.report = report
        self._outcomes.extend(report.outcomes)

    def record_change(self, digest: bytes, replaced: Iterable[RowVersion]) -> None:
        """Remember what a change of the replica replaced.

        Parameters
        ----------
        digest : bytes
            Digest before the change.
        replaced : iterable of RowVersion
            Versions before the change; 0 where the row was absent.
        """
        self._changes.append(_Change(digest, tuple(replaced)))

    def push_rows(self, rows: tuple[Row, ...]) -> list[LocalSend]:
        """Return changed rows for every subscribed process."""
        return self.broadcast(batch_rows(rows))

    def sync_all(self) -> list[LocalSend]:
        """Return what every process lacks of a table that has just become whole."""
        return [
            LocalSend(process.address, body)
            for process in self._processes.values()
            for body in self._rows_for(process)
        ]

    def broadcast(self, bodies: Iterable[Body]) -> list[LocalSend]:
        """Return messages for every subscribed process."""
        listed = tuple(bodies)
        return [
            LocalSend(process.address, body)
            for process in self._processes.values()
            for body in listed
        ]

    def expire(self, now: float) -> list[str]:
        """Forget silent processes and return their addresses."""
        silent = {
            role: process.address
            for role, process in self._processes.items()
            if now >= process.heard + PROCESS_TIMEOUT_SECONDS
        }
        for role in silent:
            del self._processes[role]
        return list(silent.values())

    # Queries

    def active_since(self, instant: float) -> bool:
        """Tell whether any process was heard after an instant."""
        return any(process.heard > instant for process in self._processes.values())

    def status_reports(self) -> tuple[StatusReport, ...]:
        """Return the newest report of each process."""
        held = (process.report for process in self._processes.values())
        return tuple(report for report in held if report is not None)

    def outcomes_of(self, request: RequestId) -> tuple[Outcome, ...]:
        """Return the outcomes known of a request."""
        return tuple(found for found in self._outcomes if found.request == request)

    def versions_in_force(self, keys: Iterable[tuple[str, str]]) -> list[RowVersion]:
        """Return the versions of rows at the least advanced process.

        A row that some process is not known to have is left out.
        """
        held = [self._replaced_since(p.digest) for p in self._processes.values()]
        found = []
        for kind, name in keys:
            current = self.replica.version(kind, name)
            versions = [
                0 if older is None else older.get((kind, name), current)
                for older in held
            ]
            least = min(versions, default=current)
            if least:
                found.append(RowVersion(kind, name, least))
        return found

    # Parts

    def _heard(self, now: float, sender: ProcessId, address: str) -> _Process | None:
        process = self._processes.get(sender.role)
        if process is None or process.incarnation < sender.incarnation:
            process = _Process(sender.incarnation, address, now)
            process.mismatches = MISMATCHES_BEFORE_RESEND - 1
            self._processes[sender.role] = process
        if process.incarnation > sender.incarnation:
            return None
        process.heard = now
        return process

    def _rows_for(self, process: _Process) -> list[RowsUpdate]:
        """Return rows for a process whose digest differs.

        All rows go out at once only to a process that is new or differs at two
        heartbeats running, as a push may be under way. The word that the table is whole
        goes out alone once the digests are equal, unless one message holds it all.
        """
        if not self.replica.complete:
            return []
        own = self.replica.digest()
        if process.digest == own:
            return self._confirm(process)
        process.confirmations = 0
        process.mismatches += 1
        if process.mismatches < MISMATCHES_BEFORE_RESEND:
            return []
        process.mismatches = 0
        updates = batch_rows(tuple(self.replica.rows()))
        if len(updates) == 1:
            return [RowsUpdate(updates[0].rows, complete=True)]
        return updates

    def _confirm(self, process: _Process) -> list[RowsUpdate]:
        process.mismatches = 0
        if process.confirmations >= MAX_CONFIRMATIONS:
            return []
        process.confirmations += 1
        return [RowsUpdate((), complete=True)]

    def _replaced_since(self, digest: bytes) -> dict[tuple[str, str], int] | None:
        """Return the older versions of a process with this digest; None if unknown."""
        older: dict[tuple[str, str], int] = {}
        if digest == self.replica.digest():
            return older
        for change in reversed(self._changes):
            older.update({(v.kind, v.name): v.version for v in change.replaced})
            if change.digest == digest:
                return older
        return None
