"""Shares of the capacity that backlogged teams were promised and have received."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from oleandershift.ids import ServiceId, TeamId


@dataclass(frozen=True)
class TeamUsage:
    """What one team asked for and received of one service in a window.

    Parameters
    ----------
    team : TeamId
        The team.
    service : ServiceId
        The service.
    waiting, running : int
        Requests at the end of the window, over all routers.
    cost : float
        Cost served in the window, tokens.
    served, refused : int
        Requests served and refused in the window.
    backlogged : bool
        Requests waited at both ends of the window.
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
    """A team's work with its shares.

    Parameters
    ----------
    work : TeamWork
        What was asked for and received.
    weight : float
        The team's weight in force.
    promised : float or None
        Weight over that of all backlogged teams of the service; None for a team that
        is not backlogged.
    received : float or None
        Cost over that of all backlogged teams of the service; None when the team is
        not backlogged or none of them was served.
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
        Largest difference of cost over weight between two backlogged teams, tokens.
    most, least : TeamId
        The two teams.
    """

    service: ServiceId
    gap: float
    most: TeamId
    least: TeamId


def _of_service(
    works: Iterable[TeamUsage], weights: Mapping[TeamId, float]
) -> list[TeamShare]:
    listed = sorted(works, key=lambda work: work.team)
    backlogged = [work for work in listed if work.backlogged]
    weight_sum = sum(weights.get(work.team, 1.0) for work in backlogged)
    cost_sum = sum(work.cost for work in backlogged)
    found = []
    for work in listed:
        weight = weights.get(work.team, 1.0)
        promised = weight / weight_sum if work.backlogged else None
        received = work.cost / cost_sum if work.backlogged and cost_sum else None
        found.append(TeamShare(work, weight, promised, received))
    return found


def team_shares(
    works: Iterable[TeamUsage], weights: Mapping[TeamId, float]
) -> tuple[TeamShare, ...]:
    """Return each team's shares, by service and team.

    Parameters
    ----------
    works : iterable of TeamWork
        One entry a team and service.
    weights : mapping
        Weights; a team without one counts as 1.
    """
    by_service: dict[ServiceId, list[TeamUsage]] = {}
    for work in works:
        by_service.setdefault(work.service, []).append(work)
    found: list[TeamShare] = []
    for service in sorted(by_service):
        found.extend(_of_service(by_service[service], weights))
    return tuple(found)


def service_gaps(listed: Iterable[TeamShare]) -> tuple[ServiceGap, ...]:
    """Return the gap of each service that has two backlogged teams or more."""
    by_service: dict[ServiceId, list[TeamShare]] = {}
    for share in listed:
        if share.promised is not None:
            by_service.setdefault(share.work.service, []).append(share)
    found = []
    for service, group in sorted(by_service.items()):
        if len(group) < 2:
            continue
        order = sorted(group, key=lambda share: share.work.cost / share.weight)
        least, most = order[0], order[-1]
        gap = most.work.cost / most.weight - least.work.cost / least.weight
        found.append(ServiceGap(service, gap, most.work.team, least.work.team))
    return tuple(found)
