"""Replies of an agent to operators' queries."""

import time
from collections.abc import Iterable
from dataclasses import dataclass

from oleandershift.ids import RequestId
from oleandershift.io.daemon import Runtime
from oleandershift.io.usage import read_usage
from oleandershift.membership import Membership
from oleandershift.messages import (
    Member,
    OperatorQuery,
    OperatorReply,
    QueryKind,
    Row,
    RowVersion,
    StatusReport,
    TeamWeight,
)
from oleandershift.processes import LocalProcesses
from oleandershift.replication import Replication
from oleandershift.rows import RowKind, TeamRow, decode_row


@dataclass(frozen=True)
class ReplyBuilder:
    """Answers queries from the agent's state.

    Parameters
    ----------
    runtime : Runtime
        The agent's process and traffic.
    membership : Membership
        Members.
    replication : Replication
        Table.
    processes : LocalProcesses
        Status of the VM's processes.
    """

    runtime: Runtime
    membership: Membership
    replication: Replication
    processes: LocalProcesses

    def reply(
        self, query: OperatorQuery, platform: str, draining: bool
    ) -> OperatorReply:
        """Return the answer to a query.

        Parameters
        ----------
        query : OperatorQuery
            The query.
        platform : str
            How the platform answers this agent.
        draining : bool
            The VM is leaving.
        """
        reports: tuple[StatusReport, ...] = ()
        versions: tuple[RowVersion, ...] = ()
        members: tuple[Member, ...] = ()
        if query.kind is QueryKind.MEMBERS:
            members = tuple(self.membership.members().values())
        elif query.kind is QueryKind.STATUS:
            reports = (*self.processes.status_reports(), self.status_report(draining))
        elif query.kind is QueryKind.TABLE:
            keys = _keys(query.subject, self.replication.replica.rows())
            versions = tuple(self.processes.versions_in_force(keys))
        return OperatorReply(
            vm=self.runtime.process.vm,
            members=members,
            reports=reports,
            outcomes=self.processes.outcomes_of(RequestId(query.subject)),
            table_digest=self.replication.digest(),
            versions=versions,
            platform=platform,
            weights=self._weights(reports),
        )

    def _weights(self, reports: Iterable[StatusReport]) -> tuple[TeamWeight, ...]:
        named = {status.team for report in reports for status in report.teams}
        found = (
            self.replication.replica.get_live(RowKind.TEAMS, team) for team in named
        )
        rows = (
            decode_row(RowKind.TEAMS, row.value) for row in found if row is not None
        )
        return tuple(
            TeamWeight(row.name, row.weight) for row in rows if isinstance(row, TeamRow)
        )

    def status_report(self, draining: bool) -> StatusReport:
        """Return the status of the agent's own process."""
        used = read_usage()
        return StatusReport(
            process=self.runtime.process,
            reported_at=time.time(),
            ready=self.replication.replica.complete,
            draining=draining,
            table_digest=self.replication.digest(),
            traffic=self.runtime.links.traffic(),
            cpu_seconds=used.cpu_seconds,
            resident_bytes=used.resident_bytes,
        )


def _keys(subject: str, rows: Iterable[Row]) -> list[tuple[str, str]]:
    """Return the rows that a query names as `kind/name`, by commas; all if none."""
    if not subject:
        return [(row.kind, row.name) for row in rows]
    parts = (part.partition("/") for part in subject.split(","))
    return [(kind, name) for kind, _, name in parts]
