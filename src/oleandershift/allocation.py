"""Allocates the slots of one service in one region."""

from collections.abc import Iterable, Mapping
from itertools import islice
from typing import TypeAlias

from oleandershift.accounting import Accounting
from oleandershift.backlog import Backlog, ClientKey
from oleandershift.clients import (
    Client,
    Clients,
    ExpectedClients,
    SnapshotOrder,
    client_key,
    router_key,
)
from oleandershift.dispatch import Send, UpstreamLoad
from oleandershift.eventactions import RecordEvent
from oleandershift.holdings import GrantManager
from oleandershift.ids import RegionId, Seq, ServiceId, TeamId, UpstreamId
from oleandershift.messages import (
    Envelope,
    Grants,
    GrantUse,
    Member,
    MemberState,
    ProcessId,
    Role,
    Snapshot,
    TeamLoad,
    UpstreamStatus,
)
from oleandershift.remoteallocators import (
    FAILOVER_SECONDS,
    RemoteAllocator,
    RemoteAllocators,
    sum_team_loads,
)
from oleandershift.replica import Table
from oleandershift.rows import UpstreamState
from oleandershift.slots import SlotTable

ROUTER_TIMEOUT_SECONDS = 5.0
"""A router with work that sends nothing for this long is removed."""

REMOTE_ALLOCATOR_TIMEOUT_SECONDS = 10.0
"""Another region's allocator with work that sends nothing for this long is removed."""

RECOVERY_TIMEOUT_SECONDS = 3.0
"""Recovery after a start ends by then, even if some clients have not connected."""

UPSTREAM_AVOIDANCE_SECONDS = 1.0
"""How long a client gets no grants on an upstream that it could not use."""

MAX_CANDIDATES = 32
"""Candidates that are tried for a free slot before granting stops."""

NANOSECONDS_PER_SECOND = 1e9

AllocatorAction: TypeAlias = Send | RecordEvent


class Allocator:
    """Grants the slots of a service's upstreams in one region, in fair order.

    Its clients are the region's routers and the allocators of other regions. It lends
    slots to those allocators, and borrows slots from them for its own routers. It
    persists no state: a successor rebuilds it from the snapshots of its clients.

    Parameters
    ----------
    service : ServiceId
        The service.
    region : RegionId
        The region.
    process : ProcessId
        Incarnation of this allocator; grant ids are unique within it.
    address : str
        Link address of this process.
    now : float
        Current time, seconds since the Unix epoch.
    """

    def __init__(
        self,
        service: ServiceId,
        region: RegionId,
        process: ProcessId,
        address: str,
        now: float,
    ) -> None:
        self.process = process
        self._service = service
        self._region = region
        self._address = address
        self._backlog = Backlog()
        self._accounting = Accounting(process, region, self._backlog)
        self._slots = SlotTable()
        self._clients = Clients()
        self._remote_allocators = RemoteAllocators(service, region)
        self._grants = GrantManager(
            process,
            service,
            self._backlog,
            self._accounting,
            self._slots,
            self._remote_allocators,
        )
        self._expected_clients = ExpectedClients(service, region)
        self._recovery_deadline = now + RECOVERY_TIMEOUT_SECONDS
        self._clients_to_ack: set[ClientKey] = set()
        self._actions: list[AllocatorAction] = []

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[AllocatorAction]:
        """Apply the current table and membership."""
        rows = table.upstreams_of(self._service)
        usable = frozenset(
            row.name
            for row in rows
            if row.state is UpstreamState.ACTIVE and row.name not in leaving
        )
        self._grants.configure(usable)
        self._slots.configure(
            [row for row in rows if row.region == self._region], leaving
        )
        self._accounting.configure(table.teams)
        self._remote_allocators.update_members(
            members, frozenset(row.region for row in rows)
        )
        self._update_clients(now, members)
        return self._finish(now)

    def on_envelope(self, now: float, envelope: Envelope) -> list[AllocatorAction]:
        """Handle a snapshot from a client or grants from a lender."""
        body = envelope.body
        if isinstance(body, Snapshot) and body.service == self._service:
            self._on_snapshot(now, envelope.wall / NANOSECONDS_PER_SECOND, body)
        elif isinstance(body, Grants) and body.service == self._service:
            self._on_grants(now, body)
        return self._finish(now)

    def on_load(self, now: float, load: UpstreamLoad) -> list[AllocatorAction]:
        """Apply an upstream's load report."""
        self._slots.on_load(load)
        self._grants.on_load(load)
        return self._finish(now)

    def on_tick(self, now: float) -> list[AllocatorAction]:
        """Remove silent clients, expire grants and send what is due."""
        for client in self._clients:
            timeout_seconds = (
                REMOTE_ALLOCATOR_TIMEOUT_SECONDS
                if client.remote
                else ROUTER_TIMEOUT_SECONDS
            )
            if now >= client.last_received_at + timeout_seconds and self._has_work(
                client
            ):
                self._remove_client(now, client)
        self._grants.on_tick(now)
        self._remote_allocators.fail_back(now)
        for remote_allocator in self._remote_allocators:
            remote_allocator.expire(now)
        self._check_recovery(now)
        self._slots.count_time(now, self._backlog.waiting)
        self._clients_to_ack.update(client.key for client in self._clients)
        return self._finish(now)

    def upstream_statuses(self) -> tuple[UpstreamStatus, ...]:
        """Return the status of each upstream."""
        return tuple(
            UpstreamStatus(
                upstream.row.name,
                self._service,
                upstream.row.slots,
                upstream.slots_in_use,
                "leaving" if upstream.leaving else "active",
                upstream.busy_seconds,
                upstream.idle_while_waiting_seconds,
            )
            for upstream in self._slots
        )

    def virtual_service(self, team: TeamId) -> float:
        """Return a team's virtual service in tokens divided by its weight."""
        return self._accounting.totals.virtual_service(team)

    # Membership

    def _update_clients(self, now: float, members: Mapping[str, Member]) -> None:
        for member in members.values():
            client = self._clients.get(router_key(member.vm))
            if client is not None and member.state is MemberState.DEAD:
                self._remove_client(now, client)
        self._expected_clients.configure(members)
        # Acknowledges 0, which requests a full snapshot from clients not yet connected.
        announcement = Grants(self._service, self._region, self.process, Seq(0))
        for address, region in self._expected_clients.pop_missing(self._clients):
            self._actions.append(Send(address, region, announcement))
        self._check_recovery(now)

    def _check_recovery(self, now: float) -> None:
        if not self._slots.recovering:
            return
        if (
            self._expected_clients.all_connected(self._clients)
            or now >= self._recovery_deadline
        ):
            self._slots.set_recovering(False)

    def _has_work(self, client: Client) -> bool:
        return self._backlog.has_load(client.key) or self._grants.has_grants(client.key)

    def _remove_client(self, now: float, client: Client) -> None:
        """Remove a client that is dead, silent or replaced."""
        teams = self._backlog.teams_of(client.key)
        self._backlog.remove_client(now, client.key)
        self._grants.on_client_lost(now, client.key)
        self._clients.remove(client.key)
        if client.remote:
            self._accounting.relay(client.process)
            self._remote_allocators.mark_changed()
            return
        for team in sorted(teams):
            self._remote_allocators.update_load(self._local_load(team))

    # Snapshots

    def _on_snapshot(self, now: float, sent_at: float, snapshot: Snapshot) -> None:
        client = self._client_for(now, snapshot)
        if client is None:
            return
        client.last_received_at = now
        self._accounting.merge(snapshot.client, snapshot.service_totals)
        order = client.classify(snapshot)
        if order is SnapshotOrder.GAP:
            client.request_full_snapshot(now)
            self._clients_to_ack.add(client.key)
            return
        if order is SnapshotOrder.NEW:
            self._apply_snapshot(now, client, snapshot)
        if snapshot.seq == client.ack_seq:
            self._grants.free_unused(now, sent_at, client.key)
        if snapshot.base < snapshot.seq:
            client.schedule_ack(now)

    def _client_for(self, now: float, snapshot: Snapshot) -> Client | None:
        """Return the client that sent a snapshot, or None to ignore the snapshot.

        Clients are the routers of this region and the allocators of other regions. A
        new client is added; a new incarnation replaces the known one.
        """
        is_local = snapshot.region == self._region
        if is_local != (snapshot.client.role is Role.ROUTER):
            return None
        client = self._clients.get(client_key(snapshot.client, snapshot.region))
        if client is None:
            return self._add_client(snapshot)
        if client.process == snapshot.client:
            return client
        if not self._replaces(now, client, snapshot.client):
            self._accounting.merge(snapshot.client, snapshot.service_totals)
            return None
        self._remove_client(now, client)
        return self._add_client(snapshot)

    def _replaces(self, now: float, client: Client, process: ProcessId) -> bool:
        """Return whether a process replaces the known process of a client.

        The VM that the membership selects takes precedence: another VM may have had
        the role only briefly.
        """
        if now >= client.last_received_at + FAILOVER_SECONDS:
            return True
        is_expected = self._expected_clients.is_expected_on(client.key, process.vm)
        known_is_expected = self._expected_clients.is_expected_on(
            client.key, client.process.vm
        )
        if is_expected != known_is_expected:
            return is_expected
        return process.incarnation > client.process.incarnation

    def _add_client(self, snapshot: Snapshot) -> Client:
        address = self._expected_clients.address(
            client_key(snapshot.client, snapshot.region)
        )
        return self._clients.add(snapshot, snapshot.reply_to or address)

    def _apply_snapshot(self, now: float, client: Client, snapshot: Snapshot) -> None:
        loads = snapshot.teams
        if snapshot.base == 0:
            loads += self._loads_of_absent_teams(client, snapshot)
        idle_teams = [
            (load.team, self._backlog.idle_since(load.team))
            for load in loads
            if not self._backlog.is_backlogged(load.team)
        ]
        for load in loads:
            self._backlog.update_load(now, client.key, client.remote, load)
        applicable = [self._grants.can_apply(use) for use in snapshot.grants]
        for use in snapshot.grants:
            self._grants.apply_use(now, client.key, client.remote, use)
            self._update_avoided(now, client, use)
        for team, idle_since in idle_teams:
            if self._backlog.is_backlogged(team):
                self._accounting.lift(now, team, idle_since)
        if not client.remote:
            for load in loads:
                self._remote_allocators.update_load(self._local_load(load.team))
        client.mark_applied(snapshot)
        if not all(applicable):
            client.request_full_snapshot(now)
            self._clients_to_ack.add(client.key)

    def _loads_of_absent_teams(
        self, client: Client, snapshot: Snapshot
    ) -> tuple[TeamLoad, ...]:
        """Return empty loads for the teams that a full snapshot omits."""
        present = {load.team for load in snapshot.teams}
        absent = self._backlog.teams_of(client.key) - present
        return tuple(TeamLoad(team, 0) for team in sorted(absent))

    def _local_load(self, team: TeamId) -> TeamLoad:
        return sum_team_loads(team, self._backlog.local_loads(team))

    def _update_avoided(self, now: float, client: Client, use: GrantUse) -> None:
        """Avoid an upstream whose grant was returned while requests were waiting."""
        load = self._backlog.load(client.key, client.remote, use.team)
        if use.unused and load.waiting > 0:
            client.avoided_upstreams[use.upstream] = now + UPSTREAM_AVOIDANCE_SECONDS

    def _on_grants(self, now: float, message: Grants) -> None:
        self._remote_allocators.fail_over(now, message)
        remote_allocator = self._remote_allocators.get(message.region)
        if remote_allocator is None:
            return
        for grant in remote_allocator.on_grants(now, message):
            self._grants.borrow(now, remote_allocator.region, message.allocator, grant)

    # Granting slots

    def _grant_free_slots(self, now: float) -> None:
        """Grant free slots while requests are waiting."""
        while self._grant_next(now):
            pass

    def _grant_next(self, now: float) -> bool:
        if self._slots.best_upstream() is None:
            return False
        for team, key, remote in islice(self._backlog.candidates(now), MAX_CANDIDATES):
            upstream = self._slots.best_upstream(
                self._avoided_upstreams(now, self._clients[key])
            )
            if upstream is not None:
                self._grants.grant(now, key, remote, team, upstream)
                return True
        return False

    def _avoided_upstreams(self, now: float, client: Client) -> Iterable[UpstreamId]:
        if client.avoided_upstreams:
            client.avoided_upstreams = {
                upstream: until
                for upstream, until in client.avoided_upstreams.items()
                if until > now
            }
        return client.avoided_upstreams

    # Sending messages

    def _finish(self, now: float) -> list[AllocatorAction]:
        self._grant_free_slots(now)
        self._actions += self._grants.pop_events()
        for key in sorted(self._grants.pop_granted_clients() | self._clients_to_ack):
            client = self._clients.get(key)
            if client is not None:
                self._send_grants(now, client)
        self._clients_to_ack.clear()
        has_load = self._backlog.has_local_load()
        for remote_allocator in self._remote_allocators:
            self._send_snapshot(now, remote_allocator, has_load)
        actions, self._actions = self._actions, []
        return actions

    def _send_grants(self, now: float, client: Client) -> None:
        due_grants = []
        for open_grant in self._grants.unconfirmed(client.key):
            if now >= open_grant.sent_at + client.resend_seconds():
                open_grant.sent_at = now
                due_grants.append(open_grant.grant)
        if not due_grants and (client.ack_due_at is None or now < client.ack_due_at):
            return
        if not client.address:
            return
        client.ack_due_at = None
        message = Grants(
            self._service, self._region, self.process, client.ack_seq, tuple(due_grants)
        )
        self._actions.append(Send(client.address, client.region, message))

    def _send_snapshot(
        self, now: float, remote_allocator: RemoteAllocator, has_load: bool
    ) -> None:
        working = has_load or bool(remote_allocator.stream.uses)
        if not remote_allocator.stream.is_due(now, working):
            return
        snapshot = remote_allocator.build_snapshot(
            now,
            self._service,
            self.process,
            self._region,
            self._address,
            self._local_load,
            self._accounting.totals,
        )
        self._actions.append(
            Send(remote_allocator.address, remote_allocator.region, snapshot)
        )
