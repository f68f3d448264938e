"""Sums of the load and demand of VMs, divided into parts that fit into a packet."""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

from oleandershift.demand import TeamRate
from oleandershift.digests import RemovedUpstream, TeamDemand, UpstreamWork
from oleandershift.directory import UpstreamRun
from oleandershift.ids import TeamId, UpstreamId
from oleandershift.placement import Load

MAX_UPSTREAM_ENTRIES = 33
MAX_DEMAND_ENTRIES = 30
"""Limits of the entries in a part of a digest, so that it fits into one packet of 1500
bytes. Work and absences share the first; an absent upstream has no work."""

MAX_ABSENT_ENTRIES = 16
"""Limit of the absences in a part of a digest, which leaves room for the work."""

MAX_LEAVING_ENTRIES = 8
"""Limit of the leaving upstreams in a part of a digest, for the same reason."""

MAX_REMOVED_ENTRIES = 8
"""Limit of the removed upstreams in a part of a digest, for the same reason."""

MAX_DIGEST_PARTS = 8
"""Limit of the parts of a digest. Entries beyond it, the smallest, are omitted."""

MAX_LEAVING_IN_DIGEST = MAX_LEAVING_ENTRIES * MAX_DIGEST_PARTS
"""Limit of the leaving upstreams in all parts of a digest."""

MAX_REMOVED_IN_DIGEST = MAX_REMOVED_ENTRIES * MAX_DIGEST_PARTS
"""Limit of the removed upstreams in all parts of a digest."""

_Entry = TypeVar("_Entry")


@dataclass(frozen=True, slots=True)
class SummaryPart:
    """Part of the sum of work and demand over some VMs.

    Parameters
    ----------
    vms : int
        Number of VMs in the first part, 0 in the others.
    work, demand : tuple
        Load on upstreams and rates of teams.
    absent : tuple of UpstreamRun
        Upstreams that are not at their address any more.
    leaving : tuple of UpstreamRun
        Upstreams that said that they leave.
    removed : tuple of RemovedUpstream
        Upstreams whose registration was removed.
    """

    vms: int
    work: tuple[UpstreamWork, ...]
    demand: tuple[TeamDemand, ...]
    absent: tuple[UpstreamRun, ...]
    leaving: tuple[UpstreamRun, ...]
    removed: tuple[RemovedUpstream, ...]


@dataclass(frozen=True, slots=True)
class Summary:
    """Sum of work and demand over some VMs, in parts that fit into a packet each.

    Parameters
    ----------
    parts : tuple of SummaryPart
        One or more.
    omitted : int
        Entries left out, the smallest ones, as there are too many.
    """

    parts: tuple[SummaryPart, ...]
    omitted: int


def summarise(
    vms: int,
    loads: Mapping[UpstreamId, Load],
    rates: Mapping[TeamId, TeamRate],
    absent: frozenset[UpstreamRun],
    leaving: frozenset[UpstreamRun],
    removed: Collection[RemovedUpstream] = (),
) -> Summary:
    """Return what a digest contains, in parts within its limits.

    An entry mostly stays in the same part, so that the loss of one part does not make
    it count twice or not at all.

    Parameters
    ----------
    vms : int
        Number of VMs that the digest covers.
    loads, rates : mapping
        Load on each upstream and rates of each team.
    absent : frozenset of UpstreamRun
        Upstreams that are not at their address any more.
    leaving : frozenset of UpstreamRun
        Upstreams that said that they leave.
    removed : collection of RemovedUpstream
        Upstreams whose registration was removed.
    """
    work, demand, runs = work_entries(loads), demand_entries(rates), sorted(absent)
    leaving_runs, removals = sorted(leaving), sorted(removed)
    absent_limit = min(len(runs), MAX_ABSENT_ENTRIES)
    leaving_limit = min(len(leaving_runs), MAX_LEAVING_ENTRIES)
    removed_limit = min(len(removals), MAX_REMOVED_ENTRIES)
    work_limit = MAX_UPSTREAM_ENTRIES - absent_limit - leaving_limit - removed_limit
    parts_needed = max(
        1,
        math.ceil(len(work) / work_limit),
        math.ceil(len(demand) / MAX_DEMAND_ENTRIES),
        math.ceil(len(runs) / MAX_ABSENT_ENTRIES),
        math.ceil(len(leaving_runs) / MAX_LEAVING_ENTRIES),
        math.ceil(len(removals) / MAX_REMOVED_ENTRIES),
    )
    count = min(parts_needed, MAX_DIGEST_PARTS)
    sent_work = sorted(work[: count * work_limit], key=lambda entry: entry.upstream)
    sent_demand = sorted(
        demand[: count * MAX_DEMAND_ENTRIES], key=lambda entry: entry.team
    )
    sent_runs = runs[: count * MAX_ABSENT_ENTRIES]
    sent_leaving = leaving_runs[: count * MAX_LEAVING_ENTRIES]
    sent_removals = removals[: count * MAX_REMOVED_ENTRIES]
    parts = tuple(
        SummaryPart(
            0 if part else vms,
            _slice(sent_work, part, count),
            _slice(sent_demand, part, count),
            _slice(sent_runs, part, count),
            _slice(sent_leaving, part, count),
            _slice(sent_removals, part, count),
        )
        for part in range(count)
    )
    sent = sum(
        len(part.work)
        + len(part.demand)
        + len(part.absent)
        + len(part.leaving)
        + len(part.removed)
        for part in parts
    )
    entries = len(work) + len(demand) + len(runs) + len(leaving_runs) + len(removals)
    return Summary(parts, entries - sent)


def _slice(entries: Sequence[_Entry], part: int, count: int) -> tuple[_Entry, ...]:
    """Return one of `count` parts of about the same length."""
    start = len(entries) * part // count
    return tuple(entries[start : len(entries) * (part + 1) // count])


def work_entries(loads: Mapping[UpstreamId, Load]) -> tuple[UpstreamWork, ...]:
    """Return the largest loads as digest entries, largest first."""
    busy = [item for item in loads.items() if item[1].running]
    busy.sort(key=lambda item: (item[1].prefill_tokens, item[1].running), reverse=True)
    return tuple(
        UpstreamWork(name, load.running, load.prefill_tokens, load.kv_tokens)
        for name, load in busy
    )


def demand_entries(rates: Mapping[TeamId, TeamRate]) -> tuple[TeamDemand, ...]:
    """Return the largest demands as digest entries, largest first."""
    active = [item for item in rates.items() if item[1].requested >= 1.0]
    active.sort(key=lambda item: item[1].requested, reverse=True)
    return tuple(
        TeamDemand(team, round(rate.requested), round(rate.admitted))
        for team, rate in active
    )
