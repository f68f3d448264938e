"""Promised and received shares of capacity of backlogged teams."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oleandershift.ids import ServiceId, TeamId


@dataclass(frozen=True)
class TeamUsage:
    """Demand and usage of a service by one team in a window.

    Parameters
    ----------
    team : TeamId
        The team.
    service : ServiceId
        The service.
    waiting, running : int
        Requests at the end of the window, over all routers.
    cost : float
        Cost of the requests served in the window, in tokens.
    served, refused : int
        Requests served and refused in the window.
    backlogged : bool
        Whether requests were waiting at both ends of the window.
    """

    team: TeamId
    service: ServiceId
    waiting: int
    running: int
    cost: float
    served: int
    refused: int
    backlogged: bool


@dataclass(frozen=True)
class TeamShare:
    """Usage of a team with its promised and received share.

    Parameters
    ----------
    work : TeamUsage
        Demand and usage.
    weight : float
        The team's weight in force.
    promised : float or None
        Weight of the team divided by the weight of all backlogged teams of the
        service; None for a team that is not backlogged.
    received : float or None
        Cost of the team divided by the cost of all backlogged teams of the service;
        None if the team is not backlogged or none of them was served.
    """

    work: TeamUsage
    weight: float
    promised: float | None
    received: float | None


@dataclass(frozen=True)
class ServiceGap:
    """Fairness gap of one service in a window.

    Parameters
    ----------
    service : ServiceId
        The service.
    gap : float
        Largest difference in cost per weight between two backlogged teams, in tokens.
    most, least : TeamId
        The teams with the highest and the lowest cost per weight.
    """

    service: ServiceId
    gap: float
    most: TeamId
    least: TeamId


def _service_shares(
    usages: Iterable[TeamUsage], weights: Mapping[TeamId, float]
) -> list[TeamShare]:
    ordered = sorted(usages, key=lambda usage: usage.team)
    backlogged = [usage for usage in ordered if usage.backlogged]
    weight_sum = sum(weights.get(usage.team, 1.0) for usage in backlogged)
    cost_sum = sum(usage.cost for usage in backlogged)
    shares = []
    for usage in ordered:
        weight = weights.get(usage.team, 1.0)
        promised = weight / weight_sum if usage.backlogged else None
        received = usage.cost / cost_sum if usage.backlogged and cost_sum else None
        shares.append(TeamShare(usage, weight, promised, received))
    return shares


def team_shares(
    usages: Iterable[TeamUsage], weights: Mapping[TeamId, float]
) -> tuple[TeamShare, ...]:
    """Return the shares of all teams, ordered by service and team.

    Parameters
    ----------
    usages : iterable of TeamUsage
        One entry per team and service.
    weights : mapping
        Weights by team; a team without an entry has weight 1.
    """
    by_service: dict[ServiceId, list[TeamUsage]] = {}
    for usage in usages:
        by_service.setdefault(usage.service, []).append(usage)
    shares: list[TeamShare] = []
    for service in sorted(by_service):
        shares.extend(_service_shares(by_service[service], weights))
    return tuple(shares)


def service_gaps(shares: Iterable[TeamShare]) -> tuple[ServiceGap, ...]:
    """Return the gap of each service with at least two backlogged teams."""
    by_service: dict[ServiceId, list[TeamShare]] = {}
    for share in shares:
        if share.promised is not None:
            by_service.setdefault(share.work.service, []).append(share)
    gaps = []
    for service, group in sorted(by_service.items()):
        if len(group) < 2:
            continue
        ordered = sorted(group, key=lambda share: share.work.cost / share.weight)
        lowest, highest = ordered[0], ordered[-1]
        gap = highest.work.cost / highest.weight - lowest.work.cost / lowest.weight
        gaps.append(ServiceGap(service, gap, highest.work.team, lowest.work.team))
    return tuple(gaps)
