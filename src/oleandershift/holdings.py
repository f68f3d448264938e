"""Lifecycle of an allocator's grants, of its own slots and of borrowed ones."""

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
"""A request must start within this time after its grant was made."""

GRANT_MARGIN_SECONDS = 1.0
"""Added to a grant's deadline before an unconfirmed grant is freed."""

BORROWED_SLOT_LEASE_SECONDS = 10.0
"""How long after the deadline of the lender's grant its slot may be granted again."""

ORPHAN_TIMEOUT_SECONDS = 120.0
"""A grant whose client was lost is closed after this time at the latest."""


class GrantManager:
    """Makes and closes grants, and updates their slots and charges.

    The allocator of the region where a request waits charges for it. The lender of a
    slot charges only until a snapshot from the borrower confirms the grant; that
    snapshot also carries the borrower's own charge.

    Parameters
    ----------
    process : ProcessId
        Incarnation of the allocator.
    service : ServiceId
        The service.
    backlog : Backlog
        Receives the counts of unconfirmed grants.
    accounting : Accounting
        Receives charges and final costs.
    slots : SlotTable
        Receives slots acquired and released.
    remote_allocators : RemoteAllocators
        Receives the use of borrowed slots.
    """

    def __init__(
        self,
        process: ProcessId,
        service: ServiceId,
        backlog: Backlog,
        accounting: Accounting,
        slots: SlotTable,
        remote_allocators: RemoteAllocators,
    ) -> None:
        self._process = process
        self._service = service
        self._backlog = backlog
        self._accounting = accounting
        self._slots = slots
        self._remote_allocators = remote_allocators
        self._open_grants = GrantLedger()
        self._usable: frozenset[UpstreamId] = frozenset()
        self._last_grant_id = 0
        self._events: list[RecordEvent] = []
        self._granted_clients: set[ClientKey] = set()

    def configure(self, usable: frozenset[UpstreamId]) -> None:
        """Set the upstreams of any region that accept new requests."""
        self._usable = usable

    def has_grants(self, client: ClientKey) -> bool:
        """Return whether a client has open grants."""
        return self._open_grants.has_grants(client)

    def unconfirmed(self, client: ClientKey) -> Iterable[OpenGrant]:
        """Return the grants that a client has not yet confirmed in a snapshot."""
        return self._open_grants.unconfirmed(client)

    def pop_events(self) -> list[RecordEvent]:
        """Return the events recorded since the last call."""
        events, self._events = self._events, []
        return events

    def pop_granted_clients(self) -> set[ClientKey]:
        """Return the clients that received grants since the last call."""
        granted, self._granted_clients = self._granted_clients, set()
        return granted

    # Making grants

    def grant(
        self,
        now: float,
        client: ClientKey,
        remote: bool,
        team: TeamId,
        upstream: UpstreamId,
    ) -> None:
        """Grant a slot of this region."""
        self._accounting.update_floor()
        open_grant = self._open(
            now, client, remote, team, upstream, now + GRANT_TIMEOUT_SECONDS
        )
        self._slots.acquire(upstream)
        self._record_event(
            EventName.GRANT_MADE, open_grant, f"charged {open_grant.charged:.0f}"
        )

    def borrow(
        self, now: float, lender: RegionId, allocator: ProcessId, grant: Grant
    ) -> None:
        """Grant a slot lent by another region, or return it to the lender."""
        use = GrantUse(allocator.incarnation, grant.grant, grant.upstream, grant.team)
        borrowed_slot = BorrowedSlot(
            lender, use, grant.deadline + BORROWED_SLOT_LEASE_SECONDS
        )
        router = self._backlog.longest_waiting_router(now, grant.team)
        if router is None:
            self._reuse_or_return(now, borrowed_slot)
            return
        self._remote_allocators.report_grant_use(lender, use)
        self._open_borrowed(now, router, grant.team, borrowed_slot)

    def _reuse_or_return(self, now: float, borrowed_slot: BorrowedSlot) -> None:
        """Grant a borrowed slot to the next team, or return it to the lender.

        It is returned when its lease or its upstream has ended, when no request waits,
        or when the next team in fair order waits in another region.
        """
        upstream = borrowed_slot.use.upstream
        if now >= borrowed_slot.deadline or upstream not in self._usable:
            self._return_slot(borrowed_slot)
            return
        candidate = next(self._backlog.candidates(now), None)
        if candidate is None or candidate[2]:
            self._return_slot(borrowed_slot)
            return
        team, router, _ = candidate
        self._remote_allocators.report_grant_use(
            borrowed_slot.lender, borrowed_slot.use
        )
        self._open_borrowed(now, router, team, borrowed_slot)

    def _open_borrowed(
        self, now: float, router: ClientKey, team: TeamId, borrowed_slot: BorrowedSlot
    ) -> None:
        self._accounting.update_floor()
        deadline = now + GRANT_TIMEOUT_SECONDS
        upstream = borrowed_slot.use.upstream
        open_grant = self._open(
            now, router, False, team, upstream, deadline, borrowed_slot
        )
        self._record_event(
            EventName.GRANT_MADE, open_grant, f"slot lent by {borrowed_slot.lender}"
        )

    def _open(
        self,
        now: float,
        client: ClientKey,
        remote: bool,
        team: TeamId,
        upstream: UpstreamId,
        deadline: float,
        borrowed_slot: BorrowedSlot | None = None,
    ) -> OpenGrant:
        charged = self._accounting.estimate(self._backlog.load(client, remote, team))
        self._last_grant_id += 1
        grant_id = GrantId(self._last_grant_id)
        grant = Grant(grant_id, upstream, team, deadline, round(charged))
        key = (self._process.incarnation, grant_id)
        open_grant = OpenGrant(key, client, remote, grant, 0.0, borrowed_slot)
        self._open_grants.add(open_grant)
        self._granted_clients.add(client)
        self._backlog.count_unconfirmed(now, client, remote, team, 1)
        self._set_charge(open_grant, grant.charged, grant.charged)
        return open_grant

    # Reported use

    def can_apply(self, use: GrantUse) -> bool:
        """Return whether a use can be applied without a full snapshot.

        An abbreviated use omits what the allocator knows from its own open grant.
        """
        if use.upstream or use.done:
            return True
        incarnation = use.allocator or self._process.incarnation
        return self._open_grants.get((incarnation, use.grant)) is not None

    def apply_use(
        self, now: float, client: ClientKey, remote: bool, use: GrantUse
    ) -> None:
        """Apply the use of a grant that a client reports."""
        incarnation = use.allocator or self._process.incarnation
        open_grant = self._open_grants.get((incarnation, use.grant))
        if open_grant is None:
            if use.upstream:
                self._apply_unknown_use(now, client, remote, use)
            return
        if open_grant.orphaned_at is not None:
            self._open_grants.reassign(open_grant, client)
        self._confirm(now, open_grant)
        if open_grant.remote:
            self._set_charge(open_grant, 0.0, 0.0)
        else:
            self._adjust_charge(open_grant, use)
        if use.done:
            self._settle(now, open_grant, use)
        elif use.unused:
            self._open_grants.mark_orphaned(now, open_grant)

    def _apply_unknown_use(
        self, now: float, client: ClientKey, remote: bool, use: GrantUse
    ) -> None:
        """Adopt a grant made by a predecessor, or settle it if it has ended."""
        if use.done and use.allocator == self._process.incarnation:
            # A repeated report of a grant that this process has already closed.
            return
        if use.done:
            final_cost = 0.0 if use.unused else use.cost
            self._charge(use.team, 0.0 if remote else final_cost - use.charged)
            return
        grant = Grant(use.grant, use.upstream, use.team, now, use.charged)
        key = (use.allocator, use.grant)
        open_grant = OpenGrant(
            key, client, remote, grant, use.charged, confirmed_at=now
        )
        self._open_grants.add(open_grant)
        self._slots.acquire(use.upstream)
        if not remote:
            self._adjust_charge(open_grant, use)

    def _confirm(self, now: float, open_grant: OpenGrant) -> None:
        if open_grant.confirmed_at is not None:
            return
        self._open_grants.confirm(now, open_grant)
        self._backlog.count_unconfirmed(
            now, open_grant.client, open_grant.remote, open_grant.team, -1
        )

    def _adjust_charge(self, open_grant: OpenGrant, use: GrantUse) -> None:
        """Charge the cost above the estimate or, at the end, the final cost."""
        if use.done:
            self._set_charge(open_grant, 0.0 if use.unused else use.cost, 0.0)
        else:
            charged = max(open_grant.charged, use.cost)
            self._set_charge(open_grant, charged, charged - use.cost)

    def _settle(self, now: float, open_grant: OpenGrant, use: GrantUse) -> None:
        if not open_grant.remote and not use.unused:
            self._accounting.observe_cost(open_grant.team, use.cost)
            self._observe_speed(now, open_grant, use.cost)
        event = EventName.GRANT_RETURNED if use.unused else EventName.GRANT_CLOSED
        self._record_event(event, open_grant, f"cost {use.cost:.0f}")
        self._close_grant(now, open_grant)

    def _observe_speed(self, now: float, open_grant: OpenGrant, cost: float) -> None:
        if open_grant.confirmed_at is not None and now > open_grant.confirmed_at:
            speed = cost / (now - open_grant.confirmed_at)
            self._slots.observe_speed(open_grant.upstream, speed)

    # Closing without a report from the client

    def free_unused(self, now: float, sent_at: float, client: ClientKey) -> None:
        """Free the slots of grants that a client cannot have used.

        The deadline must have passed by the client's clock and by this process's: the
        client's clock may run ahead, and this process may have been paused and still
        have older snapshots to read.

        Parameters
        ----------
        now : float
            Current time, seconds since the Unix epoch.
        sent_at : float
            When the client sent a snapshot without these grants.
        client : ClientKey
            The client.
        """
        for open_grant in self._open_grants.unconfirmed(client):
            if min(now, sent_at) > open_grant.grant.deadline + GRANT_MARGIN_SECONDS:
                self._confirm(now, open_grant)
                self._set_charge(open_grant, 0.0, 0.0)
                self._record_event(
                    EventName.GRANT_RETURNED,
                    open_grant,
                    "never confirmed by the client",
                )
                self._close_grant(now, open_grant)

    def on_client_lost(self, now: float, client: ClientKey) -> None:
        """Mark the grants of a lost client as orphaned.

        Their slots stay in use, as the requests may still run, until a load report
        shows them free or `ORPHAN_TIMEOUT_SECONDS` have passed. A borrowed slot is
        reported to its lender, which marks its own grant as orphaned.
        """
        for open_grant in self._open_grants.orphan_client(now, client):
            if open_grant.borrowed_slot is not None:
                self._record_event(EventName.GRANT_CLOSED, open_grant, "router lost")
                self._set_charge(open_grant, open_grant.charged, 0.0)
                self._open_grants.remove(open_grant)
                self._return_slot(open_grant.borrowed_slot, client_lost=True)

    def on_load(self, load: UpstreamLoad) -> None:
        """Close orphaned grants if a load report shows fewer requests than grants."""
        min_open = self._slots.min_open_grants(load.upstream)
        surplus = max(0, min_open - load.running - load.waiting)
        eligible = [
            open_grant
            for open_grant in self._open_grants.orphans()
            if open_grant.upstream == load.upstream
            and load.reported_at >= (open_grant.orphaned_at or 0.0) + REPORT_LAG_SECONDS
        ]
        for open_grant in eligible[:surplus]:
            self._record_event(
                EventName.GRANT_CLOSED, open_grant, "load report shows the slot free"
            )
            self._close_grant(load.reported_at, open_grant)

    def on_tick(self, now: float) -> None:
        """Close orphaned grants past their timeout."""
        for open_grant in self._open_grants.orphans():
            if now >= (open_grant.orphaned_at or 0.0) + ORPHAN_TIMEOUT_SECONDS:
                self._record_event(
                    EventName.GRANT_CLOSED, open_grant, "orphaned grant timed out"
                )
                self._close_grant(now, open_grant)

    # Shared steps

    def _close_grant(self, now: float, open_grant: OpenGrant) -> None:
        self._set_charge(open_grant, open_grant.charged, 0.0)
        self._open_grants.remove(open_grant)
        if open_grant.borrowed_slot is None:
            self._slots.release(open_grant.upstream)
        else:
            self._reuse_or_return(now, open_grant.borrowed_slot)

    def _return_slot(
        self, borrowed_slot: BorrowedSlot, client_lost: bool = False
    ) -> None:
        use = borrowed_slot.use
        ended_use = GrantUse(
            use.allocator,
            use.grant,
            use.upstream,
            use.team,
            done=not client_lost,
            unused=client_lost,
        )
        self._remote_allocators.report_grant_use(borrowed_slot.lender, ended_use)

    def _set_charge(
        self, open_grant: OpenGrant, charged: float, unsettled: float
    ) -> None:
        """Set a grant's charge and its refundable part, tokens."""
        self._charge(
            open_grant.team,
            charged - open_grant.charged,
            unsettled - open_grant.unsettled,
        )
        open_grant.charged, open_grant.unsettled = charged, unsettled

    def _charge(self, team: TeamId, tokens: float, unsettled: float = 0.0) -> None:
        if tokens != 0.0 or unsettled != 0.0:
            self._accounting.charge(team, tokens, unsettled)
            self._remote_allocators.mark_changed()

    def _record_event(
        self, event: EventName, open_grant: OpenGrant, detail: str
    ) -> None:
        grant = f"{open_grant.key[0]}:{open_grant.key[1]}"
        self._events.append(
            RecordEvent(
                event,
                grant,
                open_grant.team,
                self._service,
                open_grant.upstream,
                detail,
            )
        )
