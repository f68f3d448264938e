"""Samples of the replies of a fleet's agents."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from oleandershift.ids import RegionId, VmId
from oleandershift.messages import Member, OperatorReply, ProcessId, StatusReport


@dataclass(frozen=True)
class Sample:
    """Replies of all agents to one round of queries.

    Parameters
    ----------
    sampled_at : float
        Time of the queries, seconds since the Unix epoch.
    members : tuple of Member
        Members of the fleet known to one agent.
    replies : dict
        Replies by VM; VMs that did not reply are missing.
    """

    sampled_at: float
    members: tuple[Member, ...]
    replies: Mapping[VmId, OperatorReply] = field(default_factory=dict)

    def reports(self) -> Iterator[tuple[RegionId, StatusReport]]:
        """Yield the report of every process with its region."""
        regions = {member.vm: member.region for member in self.members}
        for vm, reply in self.replies.items():
            for report in reply.reports:
                yield regions[vm], report


class Window:
    """Time between two samples, with reports matched by process.

    Parameters
    ----------
    earlier, later : Sample
        Samples at the start and the end of the window.

    Attributes
    ----------
    later : Sample
        The later sample.
    seconds : float
        Time between the samples.
    earlier_reports : dict
        Reports in the earlier sample, by process.
    """

    def __init__(self, earlier: Sample, later: Sample) -> None:
        self.later = later
        self.seconds = max(later.sampled_at - earlier.sampled_at, 0.0)
        self.earlier_reports: dict[ProcessId, StatusReport] = {
            report.process: report for _, report in earlier.reports()
        }

    def seconds_between_reports(self, report: StatusReport) -> float:
        """Return the seconds between a process's reports; 0 if it has only one."""
        earlier_report = self.earlier_reports.get(report.process)
        return (
            0.0
            if earlier_report is None
            else max(report.reported_at - earlier_report.reported_at, 0.0)
        )
