"""Logs the teams' shares once a second."""

import math

from oleandershift.demand import DemandMeter, Shares, TeamRate
from oleandershift.ids import TeamId
from oleandershift.io.decisionlog import DecisionLog

SHARE_LOG_INTERVAL_SECONDS = 1.0
"""Interval of the lines; shorter than the windows in which fairness is judged."""

MAX_LOGGED_TEAMS = 5
"""Teams in a line, those that request the most."""


class ShareLog:
    """Logs the level of the shares and the teams that request the most.

    Parameters
    ----------
    log : DecisionLog
        Log of the process.
    demand : DemandMeter
        Rates at this VM, logged beside those of the fleet.
    """

    def __init__(self, log: DecisionLog, demand: DemandMeter) -> None:
        self._log = log
        self._demand = demand
        self._next_at = 0.0

    def on_update(self, now: float, shares: Shares) -> None:
        """Log new shares, unless the last line is too recent.

        Parameters
        ----------
        now : float
            Current time, seconds.
        shares : Shares
            Shares that are in force from now on.
        """
        if now < self._next_at or not shares.rates:
            return
        self._next_at = now + SHARE_LOG_INTERVAL_SECONDS
        largest = sorted(
            shares.rates.items(), key=lambda item: item[1].requested, reverse=True
        )
        self._log.info(
            "shares.updated",
            share_level=level_field(shares.level),
            capacity=round(shares.capacity) if math.isfinite(shares.capacity) else None,
            **rate_fields(shares.total),
            teams={
                team: {**rate_fields(rate), "here": self._fields_here(now, team)}
                for team, rate in largest[:MAX_LOGGED_TEAMS]
            },
        )

    def _fields_here(self, now: float, team: TeamId) -> dict[str, object]:
        """Return the log fields of a team's rates at this VM."""
        started = self._demand.started_rate(now, team)
        return {**rate_fields(self._demand.rate(now, team)), "started": round(started)}


def rate_fields(rate: TeamRate) -> dict[str, object]:
    """Return the log fields of a team's rates, in tokens per second."""
    return {
        "requested": round(rate.requested),
        "admitted": round(rate.admitted),
    }


def level_field(level: float) -> int | None:
    """Return a level for a log line; None while no team is limited."""
    return round(level) if math.isfinite(level) else None
