"""Virtual service of each team over the whole fleet.

Each allocator incarnation writes its own register. Merging registers is commutative and
idempotent, so all allocators of a service converge to the same totals.
"""

from collections import defaultdict
from collections.abc import Iterable

from oleandershift.changelog import ChangeLog
from oleandershift.ids import RegionId, Seq, TeamId
from oleandershift.messages import AllocatorTotals, ProcessId, TeamTotal

_EntryKey = tuple[ProcessId, TeamId]


def _rounded(total: TeamTotal) -> TeamTotal:
    """Return a total rounded to whole tokens, to save bytes on the wire."""
    return TeamTotal(
        total.team,
        total.seq,
        round(total.virtual_service),
        round(total.lift),
        round(total.unsettled),
    )


class ServiceTotals:
    """Sums over all registers of a service, including this incarnation's own register.

    Parameters
    ----------
    writer : ProcessId
        Incarnation whose register this object writes.
    region : RegionId
        The writer's region.

    Attributes
    ----------
    position : Seq
        Sequence number of the last change.
    """

    def __init__(self, writer: ProcessId, region: RegionId) -> None:
        self._writer = writer
        self._regions: dict[ProcessId, RegionId] = {writer: region}
        self._entries: dict[_EntryKey, TeamTotal] = {}
        self._sums: defaultdict[TeamId, float] = defaultdict(float)
        self._lifts: defaultdict[TeamId, float] = defaultdict(float)
        self._unsettled: defaultdict[TeamId, float] = defaultdict(float)
        self._relayed: set[ProcessId] = set()
        self._changes: ChangeLog[_EntryKey] = ChangeLog()
        self.position = Seq(0)

    def virtual_service(self, team: TeamId) -> float:
        """Return a team's virtual service in tokens divided by its weight."""
        return self._sums.get(team, 0.0) + self._lifts.get(team, 0.0)

    def settled_service(self, team: TeamId) -> float:
        """Return a team's virtual service without charges for unfinished requests."""
        return self.virtual_service(team) - self._unsettled.get(team, 0.0)

    def charge(self, team: TeamId, virtual: float, unsettled: float = 0.0) -> None:
        """Add virtual service to this incarnation's register.

        Parameters
        ----------
        team : TeamId
            The team.
        virtual : float
            Tokens divided by weight; negative if an estimate was too high.
        unsettled : float
            Change of the part charged for unfinished requests, tokens divided by
            weight.
        """
        total = self._own_total(team)
        self._sums[team] += virtual
        self._unsettled[team] += unsettled
        self._write(
            TeamTotal(
                team,
                Seq(total.seq + 1),
                total.virtual_service + virtual,
                total.lift,
                total.unsettled + unsettled,
            )
        )

    def lift(self, team: TeamId, floor: float) -> None:
        """Raise a team's virtual service to a floor; never lower it."""
        new_lift = floor - self._sums.get(team, 0.0)
        if new_lift <= self._lifts.get(team, 0.0):
            return
        total = self._own_total(team)
        self._lifts[team] = new_lift
        self._write(
            TeamTotal(
                team,
                Seq(total.seq + 1),
                total.virtual_service,
                new_lift,
                total.unsettled,
            )
        )

    def merge(
        self, sender: ProcessId, registers: Iterable[AllocatorTotals]
    ) -> frozenset[TeamId]:
        """Merge registers received from `sender`; return the teams that changed."""
        changed: set[TeamId] = set()
        for register in registers:
            if register.allocator == self._writer:
                continue
            if register.allocator not in self._regions and register.allocator != sender:
                self._relayed.add(register.allocator)
            self._regions[register.allocator] = register.region
            for total in register.teams:
                if self._merge_entry(register.allocator, total):
                    changed.add(total.team)
        return frozenset(changed)

    def relay(self, writer: ProcessId) -> frozenset[TeamId]:
        """Relay the register of an incarnation that no longer sends it.

        Other allocators settle its unfinished requests. Returns the register's teams.
        """
        keys = [key for key in self._entries if key[0] == writer]
        for key in keys:
            self._mark_changed(key)
            if writer not in self._relayed:
                self._unsettled[key[1]] -= self._entries[key].unsettled
        self._relayed.add(writer)
        return frozenset(team for _, team in keys)

    def stop_relaying(self, writer: ProcessId) -> None:
        """Stop relaying the register of an incarnation that sends it again."""
        if writer not in self._relayed:
            return
        self._relayed.discard(writer)
        for (process, team), total in self._entries.items():
            if process == writer:
                self._unsettled[team] += total.unsettled

    def changes_since(self, base: Seq) -> tuple[AllocatorTotals, ...]:
        """Return the entries for an allocator that has all up to `base`.

        Base 0 returns every register. Otherwise only changes of this incarnation's own
        and of relayed registers are returned, as other allocators send their own.
        """
        keys = self._entries if base == 0 else self._changes.changed_since(base)
        grouped: defaultdict[ProcessId, list[TeamTotal]] = defaultdict(list)
        for key in keys:
            grouped[key[0]].append(_rounded(self._entries[key]))
        return tuple(
            AllocatorTotals(writer, self._regions[writer], tuple(totals))
            for writer, totals in grouped.items()
        )

    def _own_total(self, team: TeamId) -> TeamTotal:
        return self._entries.get((self._writer, team)) or TeamTotal(team, Seq(0), 0.0)

    def _write(self, total: TeamTotal) -> None:
        key = (self._writer, total.team)
        self._entries[key] = total
        self._mark_changed(key)

    def _mark_changed(self, key: _EntryKey) -> None:
        self.position = Seq(self.position + 1)
        self._changes.record(key, self.position)

    def _merge_entry(self, writer: ProcessId, total: TeamTotal) -> bool:
        key = (writer, total.team)
        previous = self._entries.get(key)
        if previous is not None and previous.seq >= total.seq:
            return False
        self._entries[key] = total
        self._sums[total.team] += total.virtual_service - (
            previous.virtual_service if previous else 0.0
        )
        self._lifts[total.team] = max(self._lifts[total.team], total.lift)
        if writer not in self._relayed:
            old_unsettled = previous.unsettled if previous else 0.0
            self._unsettled[total.team] += total.unsettled - old_unsettled
        return True
