"""Life of the grants of one allocator: made, used, settled, lent, borrowed, lost."""

from collections.abc import Iterable

from oleandershift.accounting import Accounting
from oleandershift.backlog import Backlog, ClientKey
from oleandershift.dispatch import UpstreamLoad
from oleandershift.eventactions import RecordEvent
from oleandershift.events import EventName
from oleandershift.ids import GrantId, RegionId, ServiceId, TeamId, UpstreamId
from oleandershift.ledger import BorrowedSlot, GrantLedger, OpenGrant
from oleandershift.messages import Grant, GrantUse, ProcessId
from oleandershift.remoteallocators import RemoteAllocators
from oleandershift.slots import REPORT_LAG_SECONDS, SlotTable

GRANT_TIMEOUT_SECONDS = 3.0
GRANT_MARGIN_SECONDS = 1.0
BORROWED_SLOT_LEASE_SECONDS = 10.0
ORPHAN_TIMEOUT_SECONDS = 120.0


class GrantManager:
    """Open grants with their slots and charges.

    A request is charged by the allocator of the region where it waits. A slot lent to
    another region is charged by the lender only until the borrower speaks of it; the
    same snapshot brings the borrower's own charge.

    Parameters
    ----------
    process : ProcessId
        This run of the role.
    service : ServiceId
        The service.
    backlog : Backlog
        Told of grants on their way.
    charging : Charging
        Told of costs.
    slots : SlotTable
        Told of slots taken and freed.
    peers : Peers
        Told of the use of borrowed slots.
    """

    def __init__(
        self,
        process: ProcessId,
        service: ServiceId,
        backlog: Backlog,
        charging: Accounting,
        slots: SlotTable,
        peers: RemoteAllocators,
    ) -> None:
        self._process = process
        self._service = service
        self._backlog = backlog
        self._charging = charging
        self._slots = slots
        self._peers = peers
        self._ledger = GrantLedger()
        self._usable: frozenset[UpstreamId] = frozenset()
        self._last_grant = 0
        self._notes: list[RecordEvent] = []
        self._granted: set[ClientKey] = set()

    def configure(self, usable: frozenset[UpstreamId]) -> None:
        """Take the upstreams, of any region, that may take new work."""
        self._usable = usable

    def has_grants(self, client: ClientKey) -> bool:
        """Tell whether a client has open grants."""
        return self._ledger.has_grants(client)

    def unconfirmed(self, client: ClientKey) -> Iterable[OpenGrant]:
        """Return a client's grants that it has not spoken of."""
        return self._ledger.unconfirmed(client)

    def pop_events(self) -> list[RecordEvent]:
        """Return the events since the last call."""
        notes, self._notes = self._notes, []
        return notes

    def pop_granted_clients(self) -> set[ClientKey]:
        """Return the clients that got grants since the last call."""
        granted, self._granted = self._granted, set()
        return granted

    # Granting

    def grant(
        self,
        now: float,
        client: ClientKey,
        remote: bool,
        team: TeamId,
        upstream: UpstreamId,
    ) -> None:
        """Grant an own slot."""
        self._charging.update_floor()
        held = self._open(
            now, client, remote, team, upstream, now + GRANT_TIMEOUT_SECONDS
        )
        self._slots.acquire(upstream)
        self._note(EventName.GRANT_MADE, held, f"charged {held.charged:.0f}")

    def borrow(
        self, now: float, lender: RegionId, allocator: ProcessId, grant: Grant
    ) -> None:
        """Use a slot that another region has just lent, or hand it back."""
        use = GrantUse(allocator.incarnation, grant.grant, grant.upstream, grant.team)
        origin = BorrowedSlot(lender, use, grant.deadline + BORROWED_SLOT_LEASE_SECONDS)
        router = self._backlog.longest_waiting_router(now, grant.team)
        if router is None:
            self._reuse(now, origin)
            return
        self._peers.report_grant_use(lender, use)
        self._open_borrowed(now, router, grant.team, origin)

    def _reuse(self, now: float, origin: BorrowedSlot) -> None:
        """Give a borrowed slot to the next team, unless its turn is elsewhere."""
        upstream = origin.use.upstream
        if now >= origin.deadline or upstream not in self._usable:
            self._hand_back(origin)
            return
        following = next(self._backlog.candidates(now), None)
        if following is None or following[2]:
            self._hand_back(origin)
            return
        team, router, _ = following
        self._peers.report_grant_use(origin.lender, origin.use)
        self._open_borrowed(now, router, team, origin)

    def _open_borrowed(
        self, now: float, router: ClientKey, team: TeamId, origin: BorrowedSlot
    ) -> None:
        self._charging.update_floor()
        deadline = now + GRANT_TIMEOUT_SECONDS
        upstream = origin.use.upstream
        held = self._open(now, router, False, team, upstream, deadline, origin)
        self._note(EventName.GRANT_MADE, held, f"slot lent by {origin.lender}")

    def _open(
        self,
        now: float,
        client: ClientKey,
        remote: bool,
        team: TeamId,
        upstream: UpstreamId,
        deadline: float,
        origin: BorrowedSlot | None = None,
    ) -> OpenGrant:
        charged = self._charging.estimate(self._backlog.load(client, remote, team))
        self._last_grant += 1
        number = GrantId(self._last_grant)
        grant = Grant(number, upstream, team, deadline, round(charged))
        key = (self._process.incarnation, number)
        held = OpenGrant(key, client, remote, grant, 0.0, origin)
        self._ledger.add(held)
        self._granted.add(client)
        self._backlog.count_unconfirmed(now, client, remote, team, 1)
        self._charge_to(held, grant.charged, grant.charged)
        return held

    # Uses

    def can_apply(self, use: GrantUse) -> bool:
        """Tell whether a use can be taken; else its whole form is needed."""
        if use.upstream or use.done:
            return True
        made_by = use.allocator or self._process.incarnation
        return self._ledger.get((made_by, use.grant)) is not None

    def apply_use(
        self, now: float, client: ClientKey, remote: bool, use: GrantUse
    ) -> None:
        """Take what a client says of a grant."""
        made_by = use.allocator or self._process.incarnation
        held = self._ledger.get((made_by, use.grant))
        if held is None:
            if use.upstream:
                self._take_unknown(now, client, remote, use)
            return
        if held.orphaned_at is not None:
            self._ledger.reassign(held, client)
        self._mention(now, held)
        if held.remote:
            self._charge_to(held, 0.0, 0.0)
        else:
            self._correct(held, use)
        if use.done:
            self._settle(now, held, use)
        elif use.unused:
            self._ledger.mark_orphaned(now, held)

    def _take_unknown(
        self, now: float, client: ClientKey, remote: bool, use: GrantUse
    ) -> None:
        """Adopt a predecessor's grant, or settle it when it has ended."""
        if use.done and use.allocator == self._process.incarnation:
            return
        if use.done:
            final = 0.0 if use.unused else use.cost
            self._charge(use.team, 0.0 if remote else final - use.charged)
            return
        grant = Grant(use.grant, use.upstream, use.team, now, use.charged)
        key = (use.allocator, use.grant)
        held = OpenGrant(key, client, remote, grant, use.charged, confirmed_at=now)
        self._ledger.add(held)
        self._slots.acquire(use.upstream)
        if not remote:
            self._correct(held, use)

    def _mention(self, now: float, held: OpenGrant) -> None:
        if held.confirmed_at is not None:
            return
        self._ledger.confirm(now, held)
        self._backlog.count_unconfirmed(now, held.client, held.remote, held.team, -1)

    def _correct(self, held: OpenGrant, use: GrantUse) -> None:
        """Charge the cost beyond the estimate or, at the end, the final cost."""
        if use.done:
            self._charge_to(held, 0.0 if use.unused else use.cost, 0.0)
        else:
            charged = max(held.charged, use.cost)
            self._charge_to(held, charged, charged - use.cost)

    def _settle(self, now: float, held: OpenGrant, use: GrantUse) -> None:
        if not held.remote and not use.unused:
            self._charging.observe_cost(held.team, use.cost)
            self._observe_speed(now, held, use.cost)
        event = EventName.GRANT_RETURNED if use.unused else EventName.GRANT_CLOSED
        self._note(event, held, f"cost {use.cost:.0f}")
        self._drop(now, held)

    def _observe_speed(self, now: float, held: OpenGrant, cost: float) -> None:
        if held.confirmed_at is not None and now > held.confirmed_at:
            speed = cost / (now - held.confirmed_at)
            self._slots.observe_speed(held.upstream, speed)

    # Ends without word of the client

    def free_unused(self, now: float, sent: float, client: ClientKey) -> None:
        """Free grants that a client can't have used.

        Both clocks must have passed the deadline: the sender's alone may run ahead, and
        this process alone may have been paused with older snapshots to read.

        Parameters
        ----------
        now : float
            The current instant.
        sent : float
            When the client sent a snapshot that does not mention them.
        client : ClientKey
            The client.
        """
        for held in self._ledger.unconfirmed(client):
            if min(now, sent) > held.grant.deadline + GRANT_MARGIN_SECONDS:
                self._mention(now, held)
                self._charge_to(held, 0.0, 0.0)
                self._note(EventName.GRANT_RETURNED, held, "never mentioned")
                self._drop(now, held)

    def on_client_lost(self, now: float, client: ClientKey) -> None:
        """Take note that a client has vanished; its slots stay taken for a while."""
        for held in self._ledger.orphan_client(now, client):
            if held.borrowed_slot is not None:
                self._note(EventName.GRANT_CLOSED, held, "router vanished")
                self._charge_to(held, held.charged, 0.0)
                self._ledger.remove(held)
                self._hand_back(held.borrowed_slot, vanished=True)

    def on_load(self, load: UpstreamLoad) -> None:
        """Free orphans whose upstream reports fewer requests than there are grants."""
        opened = self._slots.min_open_grants(load.upstream)
        surplus = max(0, opened - load.running - load.waiting)
        settled = [
            held
            for held in self._ledger.orphans()
            if held.upstream == load.upstream
            and load.reported_at >= (held.orphaned_at or 0.0) + REPORT_LAG_SECONDS
        ]
        for held in settled[:surplus]:
            self._note(EventName.GRANT_CLOSED, held, "load report shows it free")
            self._drop(load.reported_at, held)

    def on_tick(self, now: float) -> None:
        """Free orphans past their deadline."""
        for held in self._ledger.orphans():
            if now >= (held.orphaned_at or 0.0) + ORPHAN_TIMEOUT_SECONDS:
                self._note(EventName.GRANT_CLOSED, held, "orphan past its deadline")
                self._drop(now, held)

    # Common

    def _drop(self, now: float, held: OpenGrant) -> None:
        self._charge_to(held, held.charged, 0.0)
        self._ledger.remove(held)
        if held.borrowed_slot is None:
            self._slots.release(held.upstream)
        else:
            self._reuse(now, held.borrowed_slot)

    def _hand_back(self, origin: BorrowedSlot, vanished: bool = False) -> None:
        use = origin.use
        ended = GrantUse(
            use.allocator,
            use.grant,
            use.upstream,
            use.team,
            done=not vanished,
            unused=vanished,
        )
        self._peers.report_grant_use(origin.lender, ended)

    def _charge_to(self, held: OpenGrant, target: float, unsettled: float) -> None:
        """Set what a grant is charged, and what of it may still be given back."""
        self._charge(held.team, target - held.charged, unsettled - held.unsettled)
        held.charged, held.unsettled = target, unsettled

    def _charge(self, team: TeamId, tokens: float, unsettled: float = 0.0) -> None:
        if tokens != 0.0 or unsettled != 0.0:
            self._charging.charge(team, tokens, unsettled)
            self._peers.mark_changed()

    def _note(self, event: EventName, held: OpenGrant, detail: str) -> None:
        grant = f"{held.key[0]}:{held.key[1]}"
        self._notes.append(
            RecordEvent(event, grant, held.team, self._service, held.upstream, detail)
        )
