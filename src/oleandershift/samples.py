"""Samples of what a fleet's agents answer."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from oleandershift.ids import RegionId, VmId
from oleandershift.messages import Member, OperatorReply, ProcessId, StatusReport


@dataclass(frozen=True)
class Sample:
    """Answers of the agents at one instant.

    Parameters
    ----------
    sampled_at : float
        When they were asked.
    members : tuple of Member
        The fleet as one agent knows it.
    replies : dict
        Answers by VM; a VM that did not answer is absent.
    """

    sampled_at: float
    members: tuple[Member, ...]
    replies: Mapping[VmId, OperatorReply] = field(default_factory=dict)

    def reports(self) -> Iterator[tuple[RegionId, StatusReport]]:
        """Return every process's report with its region."""
        regions = {member.vm: member.region for member in self.members}
        for vm, reply in self.replies.items():
            for report in reply.reports:
                yield regions[vm], report


class Window:
    """Two samples, matched by process.

    Parameters
    ----------
    earlier, later : Sample
        The samples.

    Attributes
    ----------
    later : Sample
        The later sample.
    seconds : float
        Time between the samples.
    earlier_reports : dict
        Reports of the earlier sample, by process.
    """

    def __init__(self, earlier: Sample, later: Sample) -> None:
        self.later = later
        self.seconds = max(later.sampled_at - earlier.sampled_at, 0.0)
        self.earlier_reports: dict[ProcessId, StatusReport] = {
            report.process: report for _, report in earlier.reports()
        }

    def elapsed(self, report: StatusReport) -> float:
        """Return seconds between a process's two reports; 0 when it has but one."""
        before = self.earlier_reports.get(report.process)
        return (
            0.0 if before is None else max(report.reported_at - before.reported_at, 0.0)
        )
