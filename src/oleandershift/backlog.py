"""Backlog of every team over the whole fleet, in fair order."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NewType

from sortedcontainers import SortedList

from oleandershift.ids import TeamId
from oleandershift.messages import TeamLoad

ClientKey = NewType("ClientKey", str)
"""A router of the region, or the allocator of another region."""

LOCALITY_BIAS_TOKENS = 4000.0
MAX_UNCONFIRMED_REMOTE_GRANTS = 8
ROUTER_KEY_PREFIX = "router/"
NEVER = float("-inf")
_NO_LOAD = TeamLoad(TeamId(""), 0)


@dataclass
class _Claim:
    """One team's work at one client."""

    load: TeamLoad
    unmentioned: int = 0

    @property
    def waiting(self) -> int:
        return max(0, self.load.waiting - self.unmentioned)

    def age_rank(self, now: float) -> float:
        """Return the arrival instant of the next request, as far as it is known."""
        if self.load.waiting == 0:
            return now
        served = self.unmentioned / self.load.waiting
        return self.load.oldest_arrival + served * (now - self.load.oldest_arrival)


@dataclass
class _Team:
    """One team's work over all clients."""

    weight: float = 1.0
    max_running: int = 1 << 30
    virtual: float = 0.0
    settled: float = 0.0
    local: dict[ClientKey, _Claim] = field(default_factory=dict)
    remote: dict[ClientKey, _Claim] = field(default_factory=dict)
    running: int = 0
    waiting: int = 0
    waiting_local: int = 0
    waiting_remote_open: int = 0
    last_backlogged: float = NEVER


def _contribution(claim: _Claim, remote: bool) -> tuple[int, int, int]:
    """Return waiting, and what of it counts for the local and the remote order."""
    waiting = claim.waiting
    if not remote:
        return waiting, waiting, 0
    return (
        waiting,
        0,
        waiting if claim.unmentioned < MAX_UNCONFIRMED_REMOTE_GRANTS else 0,
    )


class Backlog:
    """Finds the team with the least virtual service among those with work waiting.

    A team that waits only in other regions is ranked as if it had received
    `LOCALITY_BIAS_TOKENS` more, so that work stays in its region unless that costs
    fairness.
    """

    def __init__(self) -> None:
        self._teams: dict[TeamId, _Team] = {}
        self._clients: dict[ClientKey, set[TeamId]] = {}
        self._local: SortedList[tuple[float, TeamId]] = SortedList()
        self._remote: SortedList[tuple[float, TeamId]] = SortedList()
        self._all: SortedList[tuple[float, TeamId]] = SortedList()
        self._placed: dict[TeamId, tuple[float, float | None, float | None]] = {}
        self.waiting = 0

    def set_team(self, team: TeamId, weight: float, max_running: int) -> None:
        """Take a team's weight and its limit of running requests."""
        held = self._team(team)
        held.weight, held.max_running = weight, max_running
        self._place(team, held)

    def set_virtual_service(self, team: TeamId, virtual: float, settled: float) -> None:
        """Take a team's virtual service, and what of it is settled."""
        held = self._team(team)
        held.virtual, held.settled = virtual, settled
        if team in self._placed:
            self._place(team, held)

    def update_load(
        self, now: float, client: ClientKey, remote: bool, load: TeamLoad
    ) -> None:
        """Take a team's load at a client."""
        held = self._team(load.team)
        self._note_backlogged(now, load.team, held)
        claims = held.remote if remote else held.local
        claim = claims.setdefault(client, _Claim(_NO_LOAD))
        before = _contribution(claim, remote)
        held.running += load.running - claim.load.running
        claim.load = load
        self._count(held, before, _contribution(claim, remote))
        self._clients.setdefault(client, set()).add(load.team)
        if load.waiting == 0 and load.running == 0 and claim.unmentioned == 0:
            del claims[client]
            self._clients[client].discard(load.team)
        self._place(load.team, held)

    def count_unconfirmed(
        self, now: float, client: ClientKey, remote: bool, team: TeamId, step: int
    ) -> None:
        """Count a grant that the client has not mentioned yet (1), or no more (-1)."""
        held = self._team(team)
        self._note_backlogged(now, team, held)
        claims = held.remote if remote else held.local
        claim = claims.setdefault(client, _Claim(_NO_LOAD))
        self._clients.setdefault(client, set()).add(team)
        before = _contribution(claim, remote)
        claim.unmentioned += step
        held.running += step
        self._count(held, before, _contribution(claim, remote))
        self._place(team, held)

    def remove_client(self, now: float, client: ClientKey) -> None:
        """Drop everything of a client."""
        for team in self._clients.pop(client, set()):
            held = self._teams[team]
            self._note_backlogged(now, team, held)
            for claims, remote in ((held.local, False), (held.remote, True)):
                claim = claims.pop(client, None)
                if claim is None:
                    continue
                held.running -= claim.load.running + claim.unmentioned
                self._count(held, _contribution(claim, remote), (0, 0, 0))
            self._place(team, held)

    def is_backlogged(self, team: TeamId) -> bool:
        """Tell whether a team has work waiting that it may run."""
        return team in self._placed

    def idle_since(self, team: TeamId) -> float:
        """Return when a team was last backlogged."""
        return self._team(team).last_backlogged

    def min_settled_service(self) -> float | None:
        """Return the least settled virtual service among backlogged teams."""
        return self._all[0][0] if self._all else None

    def min_settled_service_of_others(self, team: TeamId) -> float | None:
        """Return the least settled virtual service of backlogged teams but one."""
        for settled, name in self._all:
            if name != team:
                return float(settled)
        return None

    def candidates(self, now: float) -> Iterator[tuple[TeamId, ClientKey, bool]]:
        """Return teams and clients in the order in which they are to be served.

        The flag tells that the client is remote.
        """
        local, remote = iter(self._local), iter(self._remote)
        here, there = next(local, None), next(remote, None)
        while here is not None or there is not None:
            if there is None or (here is not None and here <= there):
                assert here is not None
                yield self._oldest(now, here[1], False)
                here = next(local, None)
            else:
                yield self._oldest(now, there[1], True)
                there = next(remote, None)

    def local_loads(self, team: TeamId) -> tuple[TeamLoad, ...]:
        """Return a team's loads at the region's routers, net of grants on their way."""
        held = self._teams.get(team)
        if held is None:
            return ()
        return tuple(
            TeamLoad(
                team,
                claim.waiting,
                claim.load.running + claim.unmentioned,
                claim.load.waiting_cost,
                claim.load.oldest_arrival,
                claim.load.earliest_deadline,
            )
            for claim in held.local.values()
        )

    def has_load(self, client: ClientKey) -> bool:
        """Tell whether a client has work."""
        return bool(self._clients.get(client))

    def has_local_load(self) -> bool:
        """Tell whether any of the region's routers has work."""
        return any(
            teams and key.startswith(ROUTER_KEY_PREFIX)
            for key, teams in self._clients.items()
        )

    def teams_of(self, client: ClientKey) -> frozenset[TeamId]:
        """Return the teams that have work at a client."""
        return frozenset(self._clients.get(client, ()))

    def load(self, client: ClientKey, remote: bool, team: TeamId) -> TeamLoad:
        """Return a team's load at a client as last reported."""
        held = self._team(team)
        claim = (held.remote if remote else held.local).get(client)
        return claim.load if claim else _NO_LOAD

    def longest_waiting_router(self, now: float, team: TeamId) -> ClientKey | None:
        """Return the router whose request of a team has waited longest."""
        held = self._teams.get(team)
        if held is None or held.waiting_local == 0:
            return None
        return self._oldest(now, team, False)[1]

    def _team(self, team: TeamId) -> _Team:
        held = self._teams.get(team)
        if held is None:
            held = self._teams[team] = _Team()
        return held

    def _note_backlogged(self, now: float, team: TeamId, held: _Team) -> None:
        if team in self._placed:
            held.last_backlogged = now

    def _count(
        self, held: _Team, before: tuple[int, int, int], after: tuple[int, int, int]
    ) -> None:
        held.waiting += after[0] - before[0]
        self.waiting += after[0] - before[0]
        held.waiting_local += after[1] - before[1]
        held.waiting_remote_open += after[2] - before[2]

    def _oldest(
        self, now: float, team: TeamId, remote: bool
    ) -> tuple[TeamId, ClientKey, bool]:
        held = self._teams[team]
        claims = held.remote if remote else held.local
        open_claims = (
            (claim.age_rank(now), client)
            for client, claim in claims.items()
            if claim.waiting > 0
            and (not remote or claim.unmentioned < MAX_UNCONFIRMED_REMOTE_GRANTS)
        )
        return team, min(open_claims)[1], remote

    def _place(self, team: TeamId, held: _Team) -> None:
        self._unplace(team)
        if held.waiting == 0 or held.running >= held.max_running:
            return
        local = remote = None
        if held.waiting_local > 0:
            local = held.virtual
            self._local.add((local, team))
        elif held.waiting_remote_open > 0:
            remote = held.virtual + LOCALITY_BIAS_TOKENS / held.weight
            self._remote.add((remote, team))
        self._all.add((held.settled, team))
        self._placed[team] = (held.settled, local, remote)

    def _unplace(self, team: TeamId) -> None:
        placed = self._placed.pop(team, None)
        if placed is None:
            return
        settled, local, remote = placed
        self._all.remove((settled, team))
        if local is not None:
            self._local.remove((local, team))
        if remote is not None:
            self._remote.remove((remote, team))
