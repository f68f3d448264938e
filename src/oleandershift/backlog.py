"""Backlog of all teams in the fleet, in fair order."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NewType

from sortedcontainers import SortedList

from oleandershift.ids import TeamId
from oleandershift.messages import TeamLoad

ClientKey = NewType("ClientKey", str)
"""Key of a client: a router of the region, or another region's allocator."""

LOCALITY_BIAS_TOKENS = 4000.0
"""Virtual service added to teams that wait only in other regions."""

MAX_UNCONFIRMED_REMOTE_GRANTS = 8
"""Limit of a team's unconfirmed grants at one remote client."""

ROUTER_KEY_PREFIX = "router/"
NEVER = float("-inf")
_NO_LOAD = TeamLoad(TeamId(""), 0)


@dataclass
class _ClientLoad:
    """Load of one team at one client, and its unconfirmed grants there."""

    load: TeamLoad
    unconfirmed: int = 0

    @property
    def waiting(self) -> int:
        return max(0, self.load.waiting - self.unconfirmed)

    def next_arrival(self, now: float) -> float:
        """Return the estimated arrival time of the next request to be granted."""
        if self.load.waiting == 0:
            return now
        served = self.unconfirmed / self.load.waiting
        return self.load.oldest_arrival + served * (now - self.load.oldest_arrival)


@dataclass
class _Team:
    """State of one team over all clients."""

    weight: float = 1.0
    max_running: int = 1 << 30
    virtual_service: float = 0.0
    settled_service: float = 0.0
    local_loads: dict[ClientKey, _ClientLoad] = field(default_factory=dict)
    remote_loads: dict[ClientKey, _ClientLoad] = field(default_factory=dict)
    running: int = 0
    waiting: int = 0
    waiting_local: int = 0
    waiting_remote_eligible: int = 0
    last_backlogged_at: float = NEVER


def _waiting_counts(client_load: _ClientLoad, remote: bool) -> tuple[int, int, int]:
    """Return the waiting requests: all, in the local order, in the remote order."""
    waiting = client_load.waiting
    if not remote:
        return waiting, waiting, 0
    return (
        waiting,
        0,
        waiting if client_load.unconfirmed < MAX_UNCONFIRMED_REMOTE_GRANTS else 0,
    )


class Backlog:
    """Finds the team with the least virtual service among teams with waiting requests.

    A team that waits only in other regions is ranked as if it had received
    `LOCALITY_BIAS_TOKENS` more, so requests stay in their region unless fairness
    requires otherwise.

    Attributes
    ----------
    waiting : int
        Requests waiting over all teams and clients, net of unconfirmed grants.
    """

    def __init__(self) -> None:
        self._teams: dict[TeamId, _Team] = {}
        self._teams_by_client: dict[ClientKey, set[TeamId]] = {}
        self._local_order: SortedList[tuple[float, TeamId]] = SortedList()
        self._remote_order: SortedList[tuple[float, TeamId]] = SortedList()
        self._settled_order: SortedList[tuple[float, TeamId]] = SortedList()
        self._order_keys: dict[TeamId, tuple[float, float | None, float | None]] = {}
        self.waiting = 0

    def set_team(self, team: TeamId, weight: float, max_running: int) -> None:
        """Set a team's weight and its limit of running requests."""
        state = self._team(team)
        state.weight, state.max_running = weight, max_running
        self._update_order(team, state)

    def set_virtual_service(self, team: TeamId, virtual: float, settled: float) -> None:
        """Set a team's virtual service and the settled part of it."""
        state = self._team(team)
        state.virtual_service, state.settled_service = virtual, settled
        if team in self._order_keys:
            self._update_order(team, state)

    def update_load(
        self, now: float, client: ClientKey, remote: bool, load: TeamLoad
    ) -> None:
        """Set a team's load at a client."""
        state = self._team(load.team)
        self._record_backlogged(now, load.team, state)
        client_loads = state.remote_loads if remote else state.local_loads
        client_load = client_loads.setdefault(client, _ClientLoad(_NO_LOAD))
        before = _waiting_counts(client_load, remote)
        state.running += load.running - client_load.load.running
        client_load.load = load
        self._update_waiting(state, before, _waiting_counts(client_load, remote))
        self._teams_by_client.setdefault(client, set()).add(load.team)
        if load.waiting == 0 and load.running == 0 and client_load.unconfirmed == 0:
            del client_loads[client]
            self._teams_by_client[client].discard(load.team)
        self._update_order(load.team, state)

    def count_unconfirmed(
        self, now: float, client: ClientKey, remote: bool, team: TeamId, step: int
    ) -> None:
        """Add an unconfirmed grant (step 1), or remove it once confirmed (step -1)."""
        state = self._team(team)
        self._record_backlogged(now, team, state)
        client_loads = state.remote_loads if remote else state.local_loads
        client_load = client_loads.setdefault(client, _ClientLoad(_NO_LOAD))
        self._teams_by_client.setdefault(client, set()).add(team)
        before = _waiting_counts(client_load, remote)
        client_load.unconfirmed += step
        state.running += step
        self._update_waiting(state, before, _waiting_counts(client_load, remote))
        self._update_order(team, state)

    def remove_client(self, now: float, client: ClientKey) -> None:
        """Remove all loads and unconfirmed grants of a client."""
        for team in self._teams_by_client.pop(client, set()):
            state = self._teams[team]
            self._record_backlogged(now, team, state)
            for client_loads, remote in (
                (state.local_loads, False),
                (state.remote_loads, True),
            ):
                client_load = client_loads.pop(client, None)
                if client_load is None:
                    continue
                state.running -= client_load.load.running + client_load.unconfirmed
                self._update_waiting(
                    state, _waiting_counts(client_load, remote), (0, 0, 0)
                )
            self._update_order(team, state)

    def is_backlogged(self, team: TeamId) -> bool:
        """Return whether a team has waiting requests and is below its running limit."""
        return team in self._order_keys

    def idle_since(self, team: TeamId) -> float:
        """Return the time at which a team was last backlogged."""
        return self._team(team).last_backlogged_at

    def min_settled_service(self) -> float | None:
        """Return the minimum settled virtual service of the backlogged teams."""
        return self._settled_order[0][0] if self._settled_order else None

    def min_settled_service_of_others(self, team: TeamId) -> float | None:
        """Return the minimum settled virtual service of the other backlogged teams."""
        for settled, name in self._settled_order:
            if name != team:
                return float(settled)
        return None

    def candidates(self, now: float) -> Iterator[tuple[TeamId, ClientKey, bool]]:
        """Yield teams and clients in the order in which they should be served.

        The flag is true if the client is remote.
        """
        local, remote = iter(self._local_order), iter(self._remote_order)
        local_head, remote_head = next(local, None), next(remote, None)
        while local_head is not None or remote_head is not None:
            if remote_head is None or (
                local_head is not None and local_head <= remote_head
            ):
                assert local_head is not None
                yield self._longest_waiting_client(now, local_head[1], False)
                local_head = next(local, None)
            else:
                yield self._longest_waiting_client(now, remote_head[1], True)
                remote_head = next(remote, None)

    def local_loads(self, team: TeamId) -> tuple[TeamLoad, ...]:
        """Return a team's loads at the region's routers, net of unconfirmed grants."""
        state = self._teams.get(team)
        if state is None:
            return ()
        return tuple(
            TeamLoad(
                team,
                client_load.waiting,
                client_load.load.running + client_load.unconfirmed,
                client_load.load.waiting_cost,
                client_load.load.oldest_arrival,
                client_load.load.earliest_deadline,
            )
            for client_load in state.local_loads.values()
        )

    def has_load(self, client: ClientKey) -> bool:
        """Return whether a client has waiting or running requests."""
        return bool(self._teams_by_client.get(client))

    def has_local_load(self) -> bool:
        """Return whether any router of the region has waiting or running requests."""
        return any(
            teams and key.startswith(ROUTER_KEY_PREFIX)
            for key, teams in self._teams_by_client.items()
        )

    def teams_of(self, client: ClientKey) -> frozenset[TeamId]:
        """Return the teams that have a load at a client."""
        return frozenset(self._teams_by_client.get(client, ()))

    def load(self, client: ClientKey, remote: bool, team: TeamId) -> TeamLoad:
        """Return a team's load at a client as last reported."""
        state = self._team(team)
        client_load = (state.remote_loads if remote else state.local_loads).get(client)
        return client_load.load if client_load else _NO_LOAD

    def longest_waiting_router(self, now: float, team: TeamId) -> ClientKey | None:
        """Return the router where a team's oldest request waits, or None."""
        state = self._teams.get(team)
        if state is None or state.waiting_local == 0:
            return None
        return self._longest_waiting_client(now, team, False)[1]

    def _team(self, team: TeamId) -> _Team:
        state = self._teams.get(team)
        if state is None:
            state = self._teams[team] = _Team()
        return state

    def _record_backlogged(self, now: float, team: TeamId, state: _Team) -> None:
        if team in self._order_keys:
            state.last_backlogged_at = now

    def _update_waiting(
        self, state: _Team, before: tuple[int, int, int], after: tuple[int, int, int]
    ) -> None:
        state.waiting += after[0] - before[0]
        self.waiting += after[0] - before[0]
        state.waiting_local += after[1] - before[1]
        state.waiting_remote_eligible += after[2] - before[2]

    def _longest_waiting_client(
        self, now: float, team: TeamId, remote: bool
    ) -> tuple[TeamId, ClientKey, bool]:
        state = self._teams[team]
        client_loads = state.remote_loads if remote else state.local_loads
        eligible = (
            (client_load.next_arrival(now), client)
            for client, client_load in client_loads.items()
            if client_load.waiting > 0
            and (not remote or client_load.unconfirmed < MAX_UNCONFIRMED_REMOTE_GRANTS)
        )
        return team, min(eligible)[1], remote

    def _update_order(self, team: TeamId, state: _Team) -> None:
        self._remove_from_order(team)
        if state.waiting == 0 or state.running >= state.max_running:
            return
        local = remote = None
        if state.waiting_local > 0:
            local = state.virtual_service
            self._local_order.add((local, team))
        elif state.waiting_remote_eligible > 0:
            remote = state.virtual_service + LOCALITY_BIAS_TOKENS / state.weight
            self._remote_order.add((remote, team))
        self._settled_order.add((state.settled_service, team))
        self._order_keys[team] = (state.settled_service, local, remote)

    def _remove_from_order(self, team: TeamId) -> None:
        order_keys = self._order_keys.pop(team, None)
        if order_keys is None:
            return
        settled, local, remote = order_keys
        self._settled_order.remove((settled, team))
        if local is not None:
            self._local_order.remove((local, team))
        if remote is not None:
            self._remote_order.remove((remote, team))
