"""Bound on the weighted service gap between two backlogged teams."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from oleandershift.accounting import SHORT_IDLE_CREDIT_TOKENS
from oleandershift.backlog import LOCALITY_BIAS_TOKENS
from oleandershift.ids import TeamId
from oleandershift.snapshotstreams import REMOTE_ALLOCATOR_INTERVALS


@dataclass(frozen=True)
class SharedCapacity:
    """Capacity shared by the backlogged teams.

    Parameters
    ----------
    slots : int
        Total slots of the service's upstreams.
    tokens_per_second : float
        Total throughput of all slots.
    largest_cost : float
        Largest cost of one request, tokens.
    exchange_seconds : float
        Maximum delay until an allocator knows the charges of another.
    """

    slots: int
    tokens_per_second: float
    largest_cost: float
    exchange_seconds: float = REMOTE_ALLOCATOR_INTERVALS.change_seconds


def team_bound(
    team: TeamId, weights: Mapping[TeamId, float], capacity: SharedCapacity
) -> float:
    """Return one team's part of the bound, tokens divided by weight.

    Parameters
    ----------
    team : TeamId
        The team.
    weights : mapping
        Weight of every backlogged team.
    capacity : SharedCapacity
        Capacity that the teams share.
    """
    share = weights[team] / sum(weights.values())
    running = math.ceil(capacity.slots * share)
    granularity = (running + 2) * capacity.largest_cost
    order_shifts = 2 * (LOCALITY_BIAS_TOKENS + SHORT_IDLE_CREDIT_TOKENS)
    unseen_service = 2 * capacity.exchange_seconds * capacity.tokens_per_second * share
    return (granularity + order_shifts + unseen_service) / weights[team]


def gap_bound(
    first: TeamId,
    second: TeamId,
    weights: Mapping[TeamId, float],
    capacity: SharedCapacity,
) -> float:
    """Return the bound on two teams' gap over any window, tokens divided by weight."""
    return team_bound(first, weights, capacity) + team_bound(second, weights, capacity)
