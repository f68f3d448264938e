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
    """Builds replies to queries from the agent's state.

    Parameters
    ----------
    runtime : Runtime
        Identity and links of the agent's process.
    membership : Membership
        Members of the fleet.
    replication : Replication
        Replica of the table.
    processes : LocalProcesses
        Processes of the VM and their status reports.
    """

    runtime: Runtime
    membership: Membership
    replication: Replication
    processes: LocalProcesses

    def reply(
        self, query: OperatorQuery, platform: str, draining: bool
    ) -> OperatorReply:
        """Return the reply to a query.

        Parameters
        ----------
        query : OperatorQuery
            The query.
        platform : str
            Value of the `PlatformState` of this agent.
        draining : bool
            Whether the VM is leaving the fleet.
        """
        reports: tuple[StatusReport, ...] = ()
        versions: tuple[RowVersion, ...] = ()
        members: tuple[Member, ...] = ()
        if query.kind is QueryKind.MEMBERS:
            members = tuple(self.membership.members().values())
        elif query.kind is QueryKind.STATUS:
            reports = (*self.processes.status_reports(), self.status_report(draining))
        elif query.kind is QueryKind.TABLE:
            keys = _parse_row_keys(query.subject, self.replication.replica.rows())
            versions = tuple(self.processes.versions_in_force(keys))
        return OperatorReply(
            vm=self.runtime.process.vm,
            members=members,
            reports=reports,
            outcomes=self.processes.outcomes_of(RequestId(query.subject)),
            table_digest=self.replication.digest(),
            versions=versions,
            platform=platform,
            weights=self._team_weights(reports),
        )

    def _team_weights(self, reports: Iterable[StatusReport]) -> tuple[TeamWeight, ...]:
        teams = {status.team for report in reports for status in report.teams}
        stored_rows = (
            self.replication.replica.get_live(RowKind.TEAMS, team) for team in teams
        )
        rows = (
            decode_row(RowKind.TEAMS, row.value)
            for row in stored_rows
            if row is not None
        )
        return tuple(
            TeamWeight(row.name, row.weight) for row in rows if isinstance(row, TeamRow)
        )

    def status_report(self, draining: bool) -> StatusReport:
        """Return the status report of the agent's own process."""
        usage = read_usage()
        return StatusReport(
            process=self.runtime.process,
            reported_at=time.time(),
            ready=self.replication.replica.complete,
            draining=draining,
            table_digest=self.replication.digest(),
            traffic=self.runtime.links.traffic(),
            cpu_seconds=usage.cpu_seconds,
            resident_bytes=usage.resident_bytes,
        )


def _parse_row_keys(subject: str, rows: Iterable[Row]) -> list[tuple[str, str]]:
    """Parse comma-separated `kind/name` row keys; an empty subject means all rows."""
    if not subject:
        return [(row.kind, row.name) for row in rows]
    parts = (part.partition("/") for part in subject.split(","))
    return [(kind, name) for kind, _, name in parts]
