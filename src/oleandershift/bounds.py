"""Bound on the weighted service gap of two backlogged teams."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from oleandershift.accounting import SHORT_IDLE_CREDIT_TOKENS
from oleandershift.backlog import LOCALITY_BIAS_TOKENS
from oleandershift.ids import TeamId
from oleandershift.snapshotstreams import PEER_INTERVALS


@dataclass(frozen=True)
class SharedCapacity:
    """What the backlogged teams share.

    Parameters
    ----------
    slots : int
        Slots of all upstreams of the service.
    tokens_per_second : float
        What all slots serve together.
    largest_cost : float
        Largest cost of one request, tokens.
    exchange_seconds : float
        Longest time after which an allocator knows what another has charged.
    """

    slots: int
    tokens_per_second: float
    largest_cost: float
    exchange_seconds: float = PEER_INTERVALS.change_seconds


def team_bound(
    team: TeamId, weights: Mapping[TeamId, float], of: SharedCapacity
) -> float:
    """Return one team's part of the bound, tokens over weight.

    Parameters
    ----------
    team : TeamId
        The team.
    weights : mapping
        Weight of every backlogged team.
    of : Capacity
        What they share.
    """
    share = weights[team] / sum(weights.values())
    running = math.ceil(of.slots * share)
    grains = (running + 2) * of.largest_cost
    shifts = 2 * (LOCALITY_BIAS_TOKENS + SHORT_IDLE_CREDIT_TOKENS)
    unknown = 2 * of.exchange_seconds * of.tokens_per_second * share
    return (grains + shifts + unknown) / weights[team]


def gap_bound(
    one: TeamId, other: TeamId, weights: Mapping[TeamId, float], of: SharedCapacity
) -> float:
    """Return the bound on the gap of two teams over any window, tokens over weight."""
    return team_bound(one, weights, of) + team_bound(other, weights, of)
