"""Charges of the teams: estimated at the grant, corrected until the request ends."""

from collections.abc import Iterable, Mapping

from oleandershift.backlog import NEVER, Backlog
from oleandershift.costs import CostModel
from oleandershift.ids import RegionId, TeamId
from oleandershift.messages import AllocatorTotals, ProcessId, TeamLoad
from oleandershift.rows import TeamRow
from oleandershift.totals import ServiceTotals

MAX_ESTIMATE_FACTOR = 4.0
"""Estimates stay within this factor of a team's mean cost once that is reliable."""

SHORT_IDLE_CREDIT_TOKENS = 2000.0
SHORT_IDLE_SECONDS = 2.0
"""A team idle for less than this keeps a credit of `SHORT_IDLE_CREDIT_TOKENS`."""


class Accounting:
    """Tracks the virtual service of the teams as grants are made and requests end.

    Parameters
    ----------
    process : ProcessId
        Incarnation of the allocator that charges.
    region : RegionId
        The allocator's region.
    backlog : Backlog
        Receives each team's virtual service.
    """

    def __init__(self, process: ProcessId, region: RegionId, backlog: Backlog) -> None:
        self.totals = ServiceTotals(process, region)
        self._backlog = backlog
        self._rows: dict[TeamId, TeamRow] = {}
        self._costs: CostModel[TeamId] = CostModel()
        self._floor = 0.0

    def configure(self, rows: Mapping[TeamId, TeamRow]) -> None:
        """Apply the teams' weights and limits."""
        for team, row in rows.items():
            if self._rows.get(team) != row:
                self._rows[team] = row
                self._backlog.set_team(team, row.weight, row.max_running)

    def weight(self, team: TeamId) -> float:
        """Return a team's weight, or 1 if the table has no row for it."""
        row = self._rows.get(team)
        return row.weight if row else 1.0

    def estimate(self, load: TeamLoad) -> float:
        """Return the expected cost of a team's next request at a client, tokens."""
        hint = None
        if load.waiting > 0 and load.waiting_cost > 0.0:
            hint = load.waiting_cost / load.waiting
        expected = hint or self._costs.estimate(load.team)
        return self._costs.clamp(load.team, expected, MAX_ESTIMATE_FACTOR)

    def charge(self, team: TeamId, tokens: float, unsettled: float = 0.0) -> None:
        """Charge a team, or refund it if the amount is negative.

        Parameters
        ----------
        team : TeamId
            The team.
        tokens : float
            Change of the charge, tokens.
        unsettled : float
            Change of the part charged for unfinished requests, tokens.
        """
        weight = self.weight(team)
        self.totals.charge(team, tokens / weight, unsettled / weight)
        self._update_backlog(team)

    def observe_cost(self, team: TeamId, cost: float) -> None:
        """Add the cost of a finished request, tokens."""
        self._costs.observe(team, cost)

    def update_floor(self) -> None:
        """Raise the floor that applies to a lift when no other team is backlogged."""
        min_service = self._backlog.min_settled_service()
        if min_service is not None:
            self._floor = max(self._floor, min_service)

    def lift(self, now: float, team: TeamId, idle_since: float) -> None:
        """Lift the virtual service of a team that has just become backlogged.

        It is lifted to the minimum of the other backlogged teams, less a credit after
        a short idle time. A team must not save up service that it did not request, nor
        lose its turn by having no request for an instant. Charges of the other teams
        for unfinished requests do not count, as they may be refunded.
        """
        floor = self._backlog.min_settled_service_of_others(team)
        if floor is None:
            floor = self._floor
        if idle_since != NEVER and now - idle_since < SHORT_IDLE_SECONDS:
            floor -= SHORT_IDLE_CREDIT_TOKENS / self.weight(team)
        self.totals.lift(team, floor)
        self._update_backlog(team)

    def merge(self, sender: ProcessId, registers: Iterable[AllocatorTotals]) -> None:
        """Merge the registers that an allocator sends: its own and relayed ones."""
        self.totals.stop_relaying(sender)
        for team in self.totals.merge(sender, registers):
            self._update_backlog(team)

    def relay(self, writer: ProcessId) -> None:
        """Relay the register of an allocator that is gone."""
        for team in self.totals.relay(writer):
            self._update_backlog(team)

    def _update_backlog(self, team: TeamId) -> None:
        totals = self.totals
        self._backlog.set_virtual_service(
            team, totals.virtual_service(team), totals.settled_service(team)
        )
