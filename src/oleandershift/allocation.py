"""Allocator of one service's slots in one region."""

from collections.abc import Iterable, Mapping
from itertools import islice
from typing import TypeAlias

from oleandershift.backlog import Backlog, ClientKey
from oleandershift.charging import Charging
from oleandershift.clients import Client, Clients, Receipt, client_key
from oleandershift.dispatch import Send, UpstreamLoad
from oleandershift.events import EventName
from oleandershift.ids import GrantId, RegionId, Seq, ServiceId, TeamId, UpstreamId
from oleandershift.ledger import Ledger, OpenGrant, Origin
from oleandershift.messages import (
    Envelope,
    Grant,
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
from oleandershift.notes import Note
from oleandershift.peers import Peer, aggregated
from oleandershift.rendezvous import allocator_for
from oleandershift.replica import Table
from oleandershift.slots import REPORT_LAG_SECONDS, SlotTable

GRANT_SECONDS = 3.0
GRANT_MARGIN_SECONDS = 1.0
ROUTER_SECONDS = 5.0
PEER_SECONDS = 8.0
ORPHAN_SECONDS = 120.0
RECOVERY_SECONDS = 3.0
AVOID_SECONDS = 1.0
CANDIDATES = 32
NANOSECONDS = 1e9

AllocatorAction: TypeAlias = Send | Note


class Allocator:
    """Grants the slots of a service's upstreams in one region, in fair order.

    It serves the region's routers and the allocators of the other regions, and is
    itself a client of the latter, whose grants it passes on to its own routers. It
    keeps nothing: a successor learns everything from its clients and peers.

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
        self._charging = Charging(process, region, self._backlog)
        self._slots = SlotTable()
        self._ledger = Ledger()
        self._clients = Clients()
        self._peers: dict[RegionId, Peer] = {}
        self._awaited: dict[ClientKey, tuple[str, RegionId]] = {}
        self._recovered_by = now + RECOVERY_SECONDS
        self._introduced: set[tuple[ClientKey, str]] = set()
        self._last_grant = 0
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
        own = [row for row in rows if row.region == self._region]
        self._slots.configure(own, leaving)
        self._charging.configure(table.teams)
        served = {row.region for row in rows}
        self._follow_peers(members, served)
        self._follow_clients(now, members)
        return self._finish(now)

    def on_envelope(self, now: float, envelope: Envelope) -> list[AllocatorAction]:
        """Take a message."""
        body = envelope.body
        if isinstance(body, Snapshot) and body.service == self._service:
            self._on_snapshot(now, envelope.wall / NANOSECONDS, body)
        elif isinstance(body, Grants) and body.service == self._service:
            self._on_grants(now, body)
        return self._finish(now)

    def on_load(self, now: float, load: UpstreamLoad) -> list[AllocatorAction]:
        """Take an upstream's load report."""
        self._slots.on_load(load)
        self._release_orphans_shown_free(load)
        return self._finish(now)

    def on_tick(self, now: float) -> list[AllocatorAction]:
        """Take the passage of time."""
        for client in self._clients:
            seconds = PEER_SECONDS if client.remote else ROUTER_SECONDS
            if now >= client.heard_at + seconds and self._is_working(client):
                self._lose(now, client)
        for held in self._ledger.orphans():
            orphaned_at = held.orphaned_at or 0.0
            if now >= orphaned_at + ORPHAN_SECONDS:
                self._close(now, held, "orphan past its deadline")
        for peer in self._peers.values():
            peer.expire(now)
        self._check_recovery(now)
        self._slots.count_time(now, self._backlog.waiting)
        self._to_answer.update(client.key for client in self._clients)
        return self._finish(now)

    def upstreams(self) -> tuple[UpstreamStatus, ...]:
        """Return each upstream's figures."""
        return tuple(
            UpstreamStatus(
                held.row.name,
                self._service,
                held.row.slots,
                held.taken,
                "leaving" if held.leaving else "active",
                held.busy_seconds,
                held.idle_while_waiting_seconds,
            )
            for held in self._slots
        )

    def virtual(self, team: TeamId) -> float:
        """Return a team's virtual service, tokens over weight."""
        return self._charging.totals.virtual(team)

    # Membership

    def _follow_peers(
        self, members: Mapping[str, Member], served: set[RegionId]
    ) -> None:
        regions = {member.region for member in members.values()} - {self._region}
        for region in self._peers.keys() - (regions & served):
            del self._peers[region]
        for region in regions & served:
            member = allocator_for(self._service, region, members.values())
            if member is None:
                continue
            address = f"tcp://{member.ip}:{member.allocator_port}"
            peer = self._peers.get(region)
            if peer is None:
                peer = self._peers[region] = Peer(region, member.vm, address)
                peer.stream.touch(urgent=True)
            peer.move(member.vm, address)

    def _follow_clients(self, now: float, members: Mapping[str, Member]) -> None:
        self._awaited = {}
        for member in members.values():
            key = ClientKey(f"router/{member.vm}")
            if member.state is MemberState.DEAD:
                client = self._clients.get(key)
                if client is not None:
                    self._lose(now, client)
            elif member.region == self._region:
                address = f"tcp://{member.ip}:{member.router_port}"
                self._awaited[key] = (address, member.region)
        for region in {member.region for member in members.values()} - {self._region}:
            found = allocator_for(self._service, region, members.values())
            if found is not None:
                address = f"tcp://{found.ip}:{found.allocator_port}"
                self._awaited[ClientKey(f"region/{region}")] = (address, region)
        self._introduce()
        self._check_recovery(now)

    def _introduce(self) -> None:
        """Ask clients not yet heard of for their state."""
        for key, (address, region) in self._awaited.items():
            if key in self._clients or (key, address) in self._introduced:
                continue
            self._introduced.add((key, address))
            hello = Grants(self._service, self._region, self.process, Seq(0))
            self._actions.append(Send(address, region, hello))

    def _check_recovery(self, now: float) -> None:
        if not self._slots.recovering:
            return
        heard = all(key in self._clients for key in self._awaited)
        if (heard and self._awaited) or now >= self._recovered_by:
            self._slots.set_recovering(False)

    def _is_working(self, client: Client) -> bool:
        return self._backlog.has_load(client.key) or self._ledger.holds(client.key)

    def _lose(self, now: float, client: Client) -> None:
        """Forget a client that has vanished; its slots stay taken for a while."""
        self._backlog.forget(now, client.key)
        self._ledger.orphan(now, client.key)
        self._clients.remove(client.key)
        for held in self._ledger.orphans():
            if held.origin is not None and held.client == client.key:
                self._close(now, held, "router vanished")

    # Snapshots

    def _on_snapshot(self, now: float, sent: float, snapshot: Snapshot) -> None:
        client = self._client(now, snapshot)
        if client is None:
            return
        client.heard_at = now
        receipt = client.receipt(snapshot)
        if receipt is Receipt.GAP:
            client.ask_for_full(now)
            self._to_answer.add(client.key)
            return
        if receipt is Receipt.NEW:
            self._take(now, client, snapshot)
        if snapshot.seq == client.have:
            self._free_unused(now, sent, client)
        if snapshot.base < snapshot.seq:
            client.acknowledge_later(now)

    def _client(self, now: float, snapshot: Snapshot) -> Client | None:
        local = snapshot.region == self._region
        if local != (snapshot.client.role is Role.ROUTER):
            return None
        client = self._clients.get(client_key(snapshot.client, snapshot.region))
        if client is None:
            return self._clients.add(snapshot)
        if client.process == snapshot.client:
            client.address = snapshot.reply_to
            return client
        if snapshot.client.incarnation < client.process.incarnation:
            return None
        self._lose(now, client)
        return self._clients.add(snapshot)

    def _take(self, now: float, client: Client, snapshot: Snapshot) -> None:
        if snapshot.base == 0:
            self._clear_absent(now, client, snapshot)
        for use in snapshot.grants:
            self._take_use(now, client, use)
        for load in snapshot.teams:
            self._put_load(now, client, load)
        client.have = snapshot.seq
        self._charging.merge(snapshot.service_totals)
        for use in snapshot.grants:
            self._note_avoided(now, client, use)

    def _clear_absent(self, now: float, client: Client, snapshot: Snapshot) -> None:
        present = {load.team for load in snapshot.teams}
        for team in self._backlog.teams_of(client.key) - present:
            self._put_load(now, client, TeamLoad(team, 0))

    def _put_load(self, now: float, client: Client, load: TeamLoad) -> None:
        team = load.team
        was_backlogged = self._backlog.is_backlogged(team)
        idle_since = self._backlog.idle_since(team)
        self._backlog.put(now, client.key, client.remote, load)
        if not was_backlogged and self._backlog.is_backlogged(team):
            self._charging.lift(now, team, idle_since)
        if not client.remote:
            self._tell_peers(team)

    def _local_load(self, team: TeamId) -> TeamLoad:
        return aggregated(team, self._backlog.loads_of(team))

    def _tell_peers(self, team: TeamId) -> None:
        if not self._peers:
            return
        load = self._local_load(team)
        for peer in self._peers.values():
            peer.note_load(load)

    def _note_avoided(self, now: float, client: Client, use: GrantUse) -> None:
        """Spare a client grants on an upstream that it handed back with work left."""
        load = self._backlog.load(client.key, client.remote, use.team)
        if use.unused and load.waiting > 0:
            client.avoid[use.upstream] = now + AVOID_SECONDS

    # Grants in clients' hands

    def _take_use(self, now: float, client: Client, use: GrantUse) -> None:
        held = self._ledger.get((use.allocator, use.grant))
        if held is None:
            self._take_unknown_use(now, client, use)
            return
        if held.orphaned_at is not None:
            self._ledger.reclaim(held, client.key)
        self._mention(now, held)
        self._correct(held, use)
        if use.done:
            self._settle(now, held, use)
        elif held.origin is not None:
            self._report_to_origin(held.origin, use)

    def _take_unknown_use(self, now: float, client: Client, use: GrantUse) -> None:
        """Adopt a predecessor's grant, or settle it when it has ended."""
        if use.allocator == self.process.incarnation:
            return
        if use.done:
            self._charge(use.team, (0.0 if use.unused else use.cost) - use.charged)
            return
        grant = Grant(use.grant, use.upstream, use.team, now, use.charged)
        key = (use.allocator, use.grant)
        held = OpenGrant(
            key, client.key, client.remote, grant, use.charged, mentioned_at=now
        )
        self._ledger.add(held)
        self._slots.take(use.upstream)
        self._correct(held, use)

    def _mention(self, now: float, held: OpenGrant) -> None:
        if held.mentioned_at is not None:
            return
        self._ledger.mention(now, held)
        self._backlog.count_unmentioned(now, held.client, held.remote, held.team, -1)

    def _correct(self, held: OpenGrant, use: GrantUse) -> None:
        """Charge what a grant has cost beyond the estimate, or its final cost."""
        target = max(held.charged, use.cost)
        if use.done:
            target = 0.0 if use.unused else use.cost
        if held.origin is None:
            self._charge(held.team, target - held.charged)
        held.charged = target

    def _charge(self, team: TeamId, tokens: float) -> None:
        self._charging.charge(team, tokens)
        for peer in self._peers.values():
            peer.stream.touch()

    def _settle(self, now: float, held: OpenGrant, use: GrantUse) -> None:
        if held.origin is not None:
            self._report_to_origin(held.origin, use)
        elif not use.unused:
            self._charging.observe(held.team, use.cost)
            self._observe_speed(now, held, use.cost)
        self._drop(held)
        event = EventName.GRANT_RETURNED if use.unused else EventName.GRANT_CLOSED
        self._note(event, held, f"cost {use.cost:.0f}")

    def _observe_speed(self, now: float, held: OpenGrant, cost: float) -> None:
        if held.mentioned_at is not None and now > held.mentioned_at:
            speed = cost / (now - held.mentioned_at)
            self._slots.observe_speed(held.upstream, speed)

    def _report_to_origin(self, origin: Origin, use: GrantUse) -> None:
        peer = self._peers.get(origin.region)
        if peer is None:
            return
        peer.put_use(
            GrantUse(
                origin.use.allocator,
                origin.use.grant,
                use.upstream,
                use.team,
                use.cost,
                use.done,
                use.unused,
                origin.use.charged,
            )
        )

    def _free_unused(self, now: float, sent: float, client: Client) -> None:
        """Free grants that a client can't have used, by a snapshot sent later."""
        for held in self._ledger.unmentioned(client.key):
            if sent > held.grant.deadline + GRANT_MARGIN_SECONDS:
                self._close(now, held, "never mentioned")

    def _release_orphans_shown_free(self, load: UpstreamLoad) -> None:
        found = [
            held for held in self._ledger.orphans() if held.upstream == load.upstream
        ]
        settled = [
            held
            for held in found
            if load.at >= (held.orphaned_at or 0.0) + REPORT_LAG_SECONDS
        ]
        opened = self._slots.opened(load.upstream)
        surplus = max(0, opened - load.running - load.waiting)
        for held in settled[:surplus]:
            self._close(load.at, held, "load report shows it free")

    def _close(self, now: float, held: OpenGrant, why: str) -> None:
        """End a grant without word of its client."""
        unused = held.mentioned_at is None
        if unused:
            self._mention(now, held)
            if held.origin is None:
                self._charge(held.team, -held.charged)
        if held.origin is not None:
            use = held.origin.use
            self._report_to_origin(
                held.origin,
                GrantUse(
                    use.allocator,
                    use.grant,
                    use.upstream,
                    use.team,
                    held.charged,
                    True,
                    unused,
                ),
            )
        self._drop(held)
        self._note(EventName.GRANT_CLOSED, held, why)

    def _drop(self, held: OpenGrant) -> None:
        self._ledger.close(held)
        if held.origin is None:
            self._slots.release(held.upstream)

    # Grants of other regions

    def _on_grants(self, now: float, message: Grants) -> None:
        peer = self._peers.get(message.region)
        if peer is None:
            return
        for grant in peer.on_grants(now, message):
            self._place(now, peer, message.allocator, grant)

    def _place(
        self, now: float, peer: Peer, allocator: ProcessId, grant: Grant
    ) -> None:
        """Pass another region's grant on to the router that has waited longest."""
        use = GrantUse(
            allocator.incarnation,
            grant.grant,
            grant.upstream,
            grant.team,
            charged=grant.charged,
        )
        router = self._backlog.router_for(now, grant.team)
        if router is None or not peer.is_placeable(now, grant):
            unused = GrantUse(
                use.allocator, use.grant, use.upstream, use.team, done=True, unused=True
            )
            peer.put_use(unused)
            return
        peer.put_use(use)
        made = self._open(now, router, False, grant, Origin(peer.region, use))
        self._note(EventName.GRANT_MADE, made, f"from {peer.region}")

    # Granting

    def _fill(self, now: float) -> None:
        while self._grant_next(now):
            pass

    def _grant_next(self, now: float) -> bool:
        if self._slots.best() is None:
            return False
        for team, key, remote in islice(self._backlog.candidates(now), CANDIDATES):
            upstream = self._slots.best(self._avoided(now, self._clients[key]))
            if upstream is not None:
                self._grant(now, team, key, remote, upstream)
                return True
        return False

    def _avoided(self, now: float, client: Client) -> Iterable[UpstreamId]:
        if client.avoid:
            client.avoid = {u: at for u, at in client.avoid.items() if at > now}
        return client.avoid

    def _grant(
        self,
        now: float,
        team: TeamId,
        key: ClientKey,
        remote: bool,
        upstream: UpstreamId,
    ) -> None:
        charged = self._charging.estimate(self._backlog.load(key, remote, team))
        self._charging.note_grant()
        grant = Grant(GrantId(0), upstream, team, now + GRANT_SECONDS, charged)
        held = self._open(now, key, remote, grant, None)
        self._slots.take(upstream)
        self._charge(team, charged)
        self._note(EventName.GRANT_MADE, held, f"charged {charged:.0f}")

    def _open(
        self,
        now: float,
        client: ClientKey,
        remote: bool,
        template: Grant,
        origin: Origin | None,
    ) -> OpenGrant:
        self._last_grant += 1
        grant = Grant(
            GrantId(self._last_grant),
            template.upstream,
            template.team,
            template.deadline,
            round(template.charged),
        )
        key = (self.process.incarnation, grant.grant)
        held = OpenGrant(key, client, remote, grant, template.charged, origin)
        self._ledger.add(held)
        self._to_answer.add(client)
        self._backlog.count_unmentioned(now, client, remote, grant.team, 1)
        return held

    # Messages

    def _finish(self, now: float) -> list[AllocatorAction]:
        self._fill(now)
        for key in tuple(self._to_answer):
            client = self._clients.get(key)
            if client is not None:
                self._answer(now, client)
        self._to_answer.clear()
        for peer in self._peers.values():
            self._speak(now, peer)
        actions, self._actions = self._actions, []
        return actions

    def _answer(self, now: float, client: Client) -> None:
        due = []
        for held in self._ledger.unmentioned(client.key):
            if now >= held.sent_at + client.repeat_seconds():
                held.sent_at = now
                due.append(held.grant)
        if not due and (client.ack_due_at is None or now < client.ack_due_at):
            return
        client.ack_due_at = None
        answer = Grants(
            self._service, self._region, self.process, client.have, tuple(due)
        )
        self._actions.append(Send(client.address, client.region, answer))

    def _speak(self, now: float, peer: Peer) -> None:
        working = self._backlog.has_local_load() or bool(peer.stream.uses)
        if not peer.stream.is_due(now, working):
            return
        snapshot = peer.snapshot(
            now,
            self._service,
            self.process,
            self._region,
            self._address,
            self._local_load,
            self._charging.totals,
        )
        self._actions.append(Send(peer.address, peer.region, snapshot))

    def _note(self, event: EventName, held: OpenGrant, detail: str) -> None:
        self._actions.append(
            Note(
                event,
                f"{held.key[0]}:{held.key[1]}",
                held.team,
                self._service,
                held.upstream,
                detail,
            )
        )
