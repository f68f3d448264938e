"""What teams are charged: estimates at the grant, corrections until the end."""

from collections.abc import Iterable, Mapping

from oleandershift.backlog import NEVER, Backlog
from oleandershift.costs import CostModel
from oleandershift.ids import RegionId, TeamId
from oleandershift.messages import AllocatorTotals, ProcessId, TeamLoad
from oleandershift.rows import TeamRow
from oleandershift.totals import ServiceTotals

MAX_ESTIMATE_FACTOR = 4.0
SHORT_IDLE_CREDIT_TOKENS = 2000.0
SHORT_IDLE_SECONDS = 2.0


class Accounting:
    """Keeps the virtual service of the teams in step with what they are granted.

    Parameters
    ----------
    process : ProcessId
        The allocator incarnation that charges.
    region : RegionId
        Its region.
    backlog : Backlog
        Told of each team's virtual service.
    """

    def __init__(self, process: ProcessId, region: RegionId, backlog: Backlog) -> None:
        self.totals = ServiceTotals(process, region)
        self._backlog = backlog
        self._rows: dict[TeamId, TeamRow] = {}
        self._costs: CostModel[TeamId] = CostModel()
        self._floor = 0.0

    def configure(self, rows: Mapping[TeamId, TeamRow]) -> None:
        """Take the teams' weights and limits."""
        for team, row in rows.items():
            if self._rows.get(team) != row:
                self._rows[team] = row
                self._backlog.set_team(team, row.weight, row.max_running)

    def weight(self, team: TeamId) -> float:
        """Return a team's weight; 1 when the table lacks it."""
        row = self._rows.get(team)
        return row.weight if row else 1.0

    def estimate(self, load: TeamLoad) -> float:
        """Return the expected cost of a team's next request at a client, tokens."""
        hint = None
        if load.waiting > 0 and load.waiting_cost > 0.0:
            hint = load.waiting_cost / load.waiting
        guess = hint or self._costs.estimate(load.team)
        return self._costs.bounded(load.team, guess, MAX_ESTIMATE_FACTOR)

    def charge(self, team: TeamId, tokens: float, unsettled: float = 0.0) -> None:
        """Charge a team; negative to give back.

        Parameters
        ----------
        team : TeamId
            The team.
        tokens : float
            Change of its charge.
        unsettled : float
            Change of what is charged for requests that have not ended, tokens.
        """
        weight = self.weight(team)
        self.totals.charge(team, tokens / weight, unsettled / weight)
        self._publish(team)

    def observe_cost(self, team: TeamId, cost: float) -> None:
        """Take the cost of an ended request, tokens."""
        self._costs.observe(team, cost)

    def update_floor(self) -> None:
        """Remember the least virtual service for when nothing is backlogged."""
        least = self._backlog.min_settled_service()
        if least is not None:
            self._floor = max(self._floor, least)

    def lift(self, now: float, team: TeamId, idle_since: float) -> None:
        """Lift a team that has just become backlogged.

        It is lifted to the least virtual service of the other backlogged teams, less a
        credit when it was idle for a moment only: it must neither save up service that
        it did not ask for, nor lose its turn by an instant without a request. What
        the others are charged for requests that have not ended does not count, as it
        may be given back.
        """
        floor = self._backlog.min_settled_service_of_others(team)
        if floor is None:
            floor = self._floor
        if idle_since != NEVER and now - idle_since < SHORT_IDLE_SECONDS:
            floor -= SHORT_IDLE_CREDIT_TOKENS / self.weight(team)
        self.totals.lift(team, floor)
        self._publish(team)

    def merge(self, speaker: ProcessId, registers: Iterable[AllocatorTotals]) -> None:
        """Take registers that an allocator sends: its own, and others passed on."""
        self.totals.stop_relaying(speaker)
        for team in self.totals.merge(speaker, registers):
            self._publish(team)

    def relay(self, writer: ProcessId) -> None:
        """Pass on the register of an allocator that has gone."""
        for team in self.totals.relay(writer):
            self._publish(team)

    def _publish(self, team: TeamId) -> None:
        totals = self.totals
        self._backlog.set_virtual_service(
            team, totals.virtual_service(team), totals.settled_service(team)
        )
