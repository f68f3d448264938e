"""Virtual service of each team over the whole fleet.

Each allocator incarnation writes one register; registers merge in any order, however
often, so that all allocators of a service come to the same totals.
"""

from collections import defaultdict
from collections.abc import Iterable

from oleandershift.changelog import ChangeLog
from oleandershift.ids import RegionId, Seq, TeamId
from oleandershift.messages import AllocatorTotals, ProcessId, TeamTotal

_Entry = tuple[ProcessId, TeamId]


def _rounded(total: TeamTotal) -> TeamTotal:
    """Return a total in whole tokens, which take fewer bytes than fractions."""
    return TeamTotal(
        total.team,
        total.seq,
        round(total.virtual_service),
        round(total.lift),
        round(total.unsettled),
    )


class ServiceTotals:
    """Sum over all registers of a service, and this incarnation's own register.

    Parameters
    ----------
    writer : ProcessId
        The incarnation whose register this object writes.
    region : RegionId
        Its region.

    Attributes
    ----------
    position : Seq
        Number of the last change.
    """

    def __init__(self, writer: ProcessId, region: RegionId) -> None:
        self._writer = writer
        self._regions: dict[ProcessId, RegionId] = {writer: region}
        self._entries: dict[_Entry, TeamTotal] = {}
        self._sums: defaultdict[TeamId, float] = defaultdict(float)
        self._lifts: defaultdict[TeamId, float] = defaultdict(float)
        self._unsettled: defaultdict[TeamId, float] = defaultdict(float)
        self._gone: set[ProcessId] = set()
        self._log: ChangeLog[_Entry] = ChangeLog()
        self.position = Seq(0)

    def virtual_service(self, team: TeamId) -> float:
        """Return a team's virtual service, tokens over weight."""
        return self._sums.get(team, 0.0) + self._lifts.get(team, 0.0)

    def settled_service(self, team: TeamId) -> float:
        """Return a team's virtual service without that of requests not yet ended."""
        return self.virtual_service(team) - self._unsettled.get(team, 0.0)

    def charge(self, team: TeamId, virtual: float, unsettled: float = 0.0) -> None:
        """Add virtual service to this incarnation's register.

        Parameters
        ----------
        team : TeamId
            The team.
        virtual : float
            Tokens over weight; negative when an estimate was too high.
        unsettled : float
            Change of the part that stands for requests not yet ended.
        """
        held = self._own(team)
        self._sums[team] += virtual
        self._unsettled[team] += unsettled
        self._write(
            TeamTotal(
                team,
                Seq(held.seq + 1),
                held.virtual_service + virtual,
                held.lift,
                held.unsettled + unsettled,
            )
        )

    def lift(self, team: TeamId, floor: float) -> None:
        """Raise a team's virtual service to a floor; never lower it."""
        wanted = floor - self._sums.get(team, 0.0)
        if wanted <= self._lifts.get(team, 0.0):
            return
        held = self._own(team)
        self._lifts[team] = wanted
        self._write(
            TeamTotal(
                team, Seq(held.seq + 1), held.virtual_service, wanted, held.unsettled
            )
        )

    def merge(
        self, speaker: ProcessId, registers: Iterable[AllocatorTotals]
    ) -> frozenset[TeamId]:
        """Take entries that `speaker` sent; return the teams that changed."""
        changed: set[TeamId] = set()
        for register in registers:
            if register.allocator == self._writer:
                continue
            if (
                register.allocator not in self._regions
                and register.allocator != speaker
            ):
                self._gone.add(register.allocator)
            self._regions[register.allocator] = register.region
            for total in register.teams:
                if self._take(register.allocator, total):
                    changed.add(total.team)
        return frozenset(changed)

    def relay(self, writer: ProcessId) -> frozenset[TeamId]:
        """Pass on the register of an incarnation that no longer speaks for itself.

        Its requests that have not ended are settled by others. Returns its teams.
        """
        entries = [entry for entry in self._entries if entry[0] == writer]
        for entry in entries:
            self._mark(entry)
            if writer not in self._gone:
                self._unsettled[entry[1]] -= self._entries[entry].unsettled
        self._gone.add(writer)
        return frozenset(team for _, team in entries)

    def stop_relaying(self, writer: ProcessId) -> None:
        """Take note that an incarnation speaks for itself again."""
        if writer not in self._gone:
            return
        self._gone.discard(writer)
        for (process, team), total in self._entries.items():
            if process == writer:
                self._unsettled[team] += total.unsettled

    def changes_since(self, base: Seq) -> tuple[AllocatorTotals, ...]:
        """Return entries to send to a peer that has everything up to `base`.

        Base 0 returns every register. Otherwise these are this incarnation's changes
        and the relayed ones: others speak for themselves.
        """
        entries = self._entries if base == 0 else self._log.changed_since(base)
        grouped: defaultdict[ProcessId, list[TeamTotal]] = defaultdict(list)
        for entry in entries:
            grouped[entry[0]].append(_rounded(self._entries[entry]))
        return tuple(
            AllocatorTotals(writer, self._regions[writer], tuple(totals))
            for writer, totals in grouped.items()
        )

    def _own(self, team: TeamId) -> TeamTotal:
        return self._entries.get((self._writer, team)) or TeamTotal(team, Seq(0), 0.0)

    def _write(self, total: TeamTotal) -> None:
        entry = (self._writer, total.team)
        self._entries[entry] = total
        self._mark(entry)

    def _mark(self, entry: _Entry) -> None:
        self.position = Seq(self.position + 1)
        self._log.record(entry, self.position)

    def _take(self, writer: ProcessId, total: TeamTotal) -> bool:
        entry = (writer, total.team)
        held = self._entries.get(entry)
        if held is not None and held.seq >= total.seq:
            return False
        self._entries[entry] = total
        self._sums[total.team] += total.virtual_service - (
            held.virtual_service if held else 0.0
        )
        self._lifts[total.team] = max(self._lifts[total.team], total.lift)
        if writer not in self._gone:
            before = held.unsettled if held else 0.0
            self._unsettled[total.team] += total.unsettled - before
        return True
