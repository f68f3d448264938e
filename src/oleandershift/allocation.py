"""Allocator of one service's slots in one region."""

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
PEER_TIMEOUT_SECONDS = 10.0
RECOVERY_TIMEOUT_SECONDS = 3.0
UPSTREAM_AVOIDANCE_SECONDS = 1.0
MAX_CANDIDATES = 32
NANOSECONDS_PER_SECOND = 1e9

AllocatorAction: TypeAlias = Send | RecordEvent


class Allocator:
    """Grants the slots of a service's upstreams in one region, in fair order.

    It serves the region's routers and lends to the allocators of the other regions,
    and borrows from the latter for its own routers. It keeps nothing: a successor
    learns everything from its clients and peers.

    Parameters
    ----------
    service : ServiceId
        The service.
    region : RegionId
        The region.
    process : ProcessId
        This run of the role; grants are numbered within it.
    address : str
        Link address of this process.
    now : float
        The current instant.
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
        self._charging = Accounting(process, region, self._backlog)
        self._slots = SlotTable()
        self._clients = Clients()
        self._peers = RemoteAllocators(service, region)
        self._holdings = GrantManager(
            process, service, self._backlog, self._charging, self._slots, self._peers
        )
        self._awaited = ExpectedClients(service, region)
        self._recovered_by = now + RECOVERY_TIMEOUT_SECONDS
        self._to_answer: set[ClientKey] = set()
        self._actions: list[AllocatorAction] = []

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[AllocatorAction]:
        """Take the table and members now in force."""
        rows = table.upstreams_of(self._service)
        usable = frozenset(
            row.name
            for row in rows
            if row.state is UpstreamState.ACTIVE and row.name not in leaving
        )
        self._holdings.configure(usable)
        self._slots.configure(
            [row for row in rows if row.region == self._region], leaving
        )
        self._charging.configure(table.teams)
        self._peers.update_members(members, frozenset(row.region for row in rows))
        self._follow_clients(now, members)
        return self._finish(now)

    def on_envelope(self, now: float, envelope: Envelope) -> list[AllocatorAction]:
        """Take a message."""
        body = envelope.body
        if isinstance(body, Snapshot) and body.service == self._service:
            self._on_snapshot(now, envelope.wall / NANOSECONDS_PER_SECOND, body)
        elif isinstance(body, Grants) and body.service == self._service:
            self._on_grants(now, body)
        return self._finish(now)

    def on_load(self, now: float, load: UpstreamLoad) -> list[AllocatorAction]:
        """Take an upstream's load report."""
        self._slots.on_load(load)
        self._holdings.on_load(load)
        return self._finish(now)

    def on_tick(self, now: float) -> list[AllocatorAction]:
        """Take the passage of time."""
        for client in self._clients:
            seconds = PEER_TIMEOUT_SECONDS if client.remote else ROUTER_TIMEOUT_SECONDS
            if now >= client.last_received_at + seconds and self._is_working(client):
                self._lose(now, client)
        self._holdings.on_tick(now)
        self._peers.fail_back(now)
        for peer in self._peers:
            peer.expire(now)
        self._check_recovery(now)
        self._slots.count_time(now, self._backlog.waiting)
        self._to_answer.update(client.key for client in self._clients)
        return self._finish(now)

    def upstream_statuses(self) -> tuple[UpstreamStatus, ...]:
        """Return each upstream's figures."""
        return tuple(
            UpstreamStatus(
                held.row.name,
                self._service,
                held.row.slots,
                held.slots_in_use,
                "leaving" if held.leaving else "active",
                held.busy_seconds,
                held.idle_while_waiting_seconds,
            )
            for held in self._slots
        )

    def virtual_service(self, team: TeamId) -> float:
        """Return a team's virtual service, tokens over weight."""
        return self._charging.totals.virtual_service(team)

    # Membership

    def _follow_clients(self, now: float, members: Mapping[str, Member]) -> None:
        for member in members.values():
            client = self._clients.get(router_key(member.vm))
            if client is not None and member.state is MemberState.DEAD:
                self._lose(now, client)
        self._awaited.configure(members)
        hello = Grants(self._service, self._region, self.process, Seq(0))
        for address, region in self._awaited.pop_missing(self._clients):
            self._actions.append(Send(address, region, hello))
        self._check_recovery(now)

    def _check_recovery(self, now: float) -> None:
        if not self._slots.recovering:
            return
        if self._awaited.all_seen(self._clients) or now >= self._recovered_by:
            self._slots.set_recovering(False)

    def _is_working(self, client: Client) -> bool:
        return self._backlog.has_load(client.key) or self._holdings.has_grants(
            client.key
        )

    def _lose(self, now: float, client: Client) -> None:
        """Forget a client that has vanished."""
        teams = self._backlog.teams_of(client.key)
        self._backlog.remove_client(now, client.key)
        self._holdings.on_client_lost(now, client.key)
        self._clients.remove(client.key)
        if client.remote:
            self._charging.relay(client.process)
            self._peers.mark_changed()
            return
        for team in sorted(teams):
            self._peers.update_load(self._local_load(team))

    # Snapshots

    def _on_snapshot(self, now: float, sent: float, snapshot: Snapshot) -> None:
        client = self._client(now, snapshot)
        if client is None:
            return
        client.last_received_at = now
        self._charging.merge(snapshot.client, snapshot.service_totals)
        receipt = client.classify(snapshot)
        if receipt is SnapshotOrder.GAP:
            client.request_full_snapshot(now)
            self._to_answer.add(client.key)
            return
        if receipt is SnapshotOrder.NEW:
            self._take(now, client, snapshot)
        if snapshot.seq == client.ack_seq:
            self._holdings.free_unused(now, sent, client.key)
        if snapshot.base < snapshot.seq:
            client.schedule_ack(now)

    def _client(self, now: float, snapshot: Snapshot) -> Client | None:
        local = snapshot.region == self._region
        if local != (snapshot.client.role is Role.ROUTER):
            return None
        client = self._clients.get(client_key(snapshot.client, snapshot.region))
        if client is None:
            return self._add_client(snapshot)
        if client.process == snapshot.client:
            return client
        if not self._replaces(now, client, snapshot.client):
            self._charging.merge(snapshot.client, snapshot.service_totals)
            return None
        self._lose(now, client)
        return self._add_client(snapshot)

    def _replaces(self, now: float, client: Client, process: ProcessId) -> bool:
        """Tell whether a process speaks for a client rather than the one known.

        The VM that the membership names goes before others, whose role may have lasted
        for a moment only.
        """
        if now >= client.last_received_at + FAILOVER_SECONDS:
            return True
        chosen = self._awaited.is_expected_on(client.key, process.vm)
        held_chosen = self._awaited.is_expected_on(client.key, client.process.vm)
        if chosen != held_chosen:
            return chosen
        return process.incarnation > client.process.incarnation

    def _add_client(self, snapshot: Snapshot) -> Client:
        known = self._awaited.address(client_key(snapshot.client, snapshot.region))
        return self._clients.add(snapshot, snapshot.reply_to or known)

    def _take(self, now: float, client: Client, snapshot: Snapshot) -> None:
        loads = snapshot.teams
        if snapshot.base == 0:
            loads += self._absent(client, snapshot)
        idle = [
            (load.team, self._backlog.idle_since(load.team))
            for load in loads
            if not self._backlog.is_backlogged(load.team)
        ]
        for load in loads:
            self._backlog.update_load(now, client.key, client.remote, load)
        known = [self._holdings.can_apply(use) for use in snapshot.grants]
        for use in snapshot.grants:
            self._holdings.apply_use(now, client.key, client.remote, use)
            self._note_avoided(now, client, use)
        for team, idle_since in idle:
            if self._backlog.is_backlogged(team):
                self._charging.lift(now, team, idle_since)
        if not client.remote:
            for load in loads:
                self._peers.update_load(self._local_load(load.team))
        client.mark_applied(snapshot)
        if not all(known):
            client.request_full_snapshot(now)
            self._to_answer.add(client.key)

    def _absent(self, client: Client, snapshot: Snapshot) -> tuple[TeamLoad, ...]:
        """Return empty loads for the teams that a full snapshot does not mention."""
        present = {load.team for load in snapshot.teams}
        gone = self._backlog.teams_of(client.key) - present
        return tuple(TeamLoad(team, 0) for team in sorted(gone))

    def _local_load(self, team: TeamId) -> TeamLoad:
        return sum_team_loads(team, self._backlog.local_loads(team))

    def _note_avoided(self, now: float, client: Client, use: GrantUse) -> None:
        """Spare a client grants on an upstream that it handed back with work left."""
        load = self._backlog.load(client.key, client.remote, use.team)
        if use.unused and load.waiting > 0:
            client.avoided_upstreams[use.upstream] = now + UPSTREAM_AVOIDANCE_SECONDS

    def _on_grants(self, now: float, message: Grants) -> None:
        self._peers.fail_over(now, message)
        peer = self._peers.get(message.region)
        if peer is None:
            return
        for grant in peer.on_grants(now, message):
            self._holdings.borrow(now, peer.region, message.allocator, grant)

    # Granting

    def _fill(self, now: float) -> None:
        """Grant every free slot that somebody waits for."""
        while self._grant_next(now):
            pass

    def _grant_next(self, now: float) -> bool:
        if self._slots.best_upstream() is None:
            return False
        for team, key, remote in islice(self._backlog.candidates(now), MAX_CANDIDATES):
            upstream = self._slots.best_upstream(self._avoided(now, self._clients[key]))
            if upstream is not None:
                self._holdings.grant(now, key, remote, team, upstream)
                return True
        return False

    def _avoided(self, now: float, client: Client) -> Iterable[UpstreamId]:
        if client.avoided_upstreams:
            client.avoided_upstreams = {
                u: at for u, at in client.avoided_upstreams.items() if at > now
            }
        return client.avoided_upstreams

    # Messages

    def _finish(self, now: float) -> list[AllocatorAction]:
        self._fill(now)
        self._actions += self._holdings.pop_events()
        for key in sorted(self._holdings.pop_granted_clients() | self._to_answer):
            client = self._clients.get(key)
            if client is not None:
                self._answer(now, client)
        self._to_answer.clear()
        has_load = self._backlog.has_local_load()
        for peer in self._peers:
            self._speak(now, peer, has_load)
        actions, self._actions = self._actions, []
        return actions

    def _answer(self, now: float, client: Client) -> None:
        due = []
        for held in self._holdings.unconfirmed(client.key):
            if now >= held.sent_at + client.resend_seconds():
                held.sent_at = now
                due.append(held.grant)
        if not due and (client.ack_due_at is None or now < client.ack_due_at):
            return
        if not client.address:
            return
        client.ack_due_at = None
        answer = Grants(
            self._service, self._region, self.process, client.ack_seq, tuple(due)
        )
        self._actions.append(Send(client.address, client.region, answer))

    def _speak(self, now: float, peer: RemoteAllocator, has_load: bool) -> None:
        working = has_load or bool(peer.stream.uses)
        if not peer.stream.is_due(now, working):
            return
        snapshot = peer.build_snapshot(
            now,
            self._service,
            self.process,
            self._region,
            self._address,
            self._local_load,
            self._charging.totals,
        )
        self._actions.append(Send(peer.address, peer.region, snapshot))
