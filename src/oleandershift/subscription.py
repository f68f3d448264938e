"""A daemon's subscription to the members and the table of its VM's agent."""

from dataclasses import dataclass

from oleandershift.ids import Seq
from oleandershift.messages import (
    Body,
    Member,
    MembersView,
    Row,
    RowsUpdate,
    Subscribe,
)
from oleandershift.replica import Replica, Table

HEARTBEAT_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True)
class SubscriptionChanges:
    """Changes made by one message.

    Parameters
    ----------
    rows : tuple of Row
        Rows that are new or have a newer version.
    members_changed : bool
        Whether the member list or the set of leaving upstreams was replaced.
    """

    rows: tuple[Row, ...] = ()
    members_changed: bool = False


class Subscription:
    """Local copy of the table and the members that the VM's agent sends.

    New rows are acknowledged by an immediate heartbeat, so that the agent knows which
    versions are in force.

    Parameters
    ----------
    address : str
        Link address of the daemon.

    Attributes
    ----------
    table : Table
        Typed view of the rows.
    members : dict
        Members by VM.
    leaving_upstreams : frozenset
        Upstreams on VMs that the platform lists as leaving.
    """

    def __init__(self, address: str) -> None:
        self.table = Table()
        self.members: dict[str, Member] = {}
        self.leaving_upstreams: frozenset[str] = frozenset()
        self._address = address
        self._replica = Replica()
        self._members_seq = Seq(0)
        self._agent_incarnation = 0
        self._next_heartbeat_at = 0.0
        self._query_seq = Seq(0)
        self._answered_seq = Seq(0)

    def is_complete(self) -> bool:
        """Return whether the complete table has been received."""
        return self._replica.complete

    def digest(self) -> bytes:
        """Return the digest of the local table."""
        return self._replica.digest()

    def is_current(self) -> bool:
        """Return whether the agent has answered the last sync request."""
        return self._answered_seq >= self._query_seq

    def request_sync(self) -> None:
        """Request updates that the process may have missed while it was paused.

        The request goes out at the next tick and is repeated until it is answered.
        """
        self._query_seq = Seq(self._query_seq + 1)
        self._next_heartbeat_at = 0.0

    def on_tick(self, now: float, ready: bool) -> tuple[Body, ...]:
        """Return the messages that are due to be sent to the agent."""
        if now < self._next_heartbeat_at:
            return ()
        self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS
        query = Seq(0) if self.is_current() else self._query_seq
        digest = self._replica.digest()
        return (Subscribe(self._address, digest, self._members_seq, ready, query),)

    def on_message(self, agent_incarnation: int, body: Body) -> SubscriptionChanges:
        """Handle a message from the agent and return what changed.

        Parameters
        ----------
        agent_incarnation : int
            Incarnation of the sending agent; sequence numbers restart with each one.
        body : Body
            The message; only rows and members are handled, others are ignored.
        """
        if isinstance(body, RowsUpdate):
            applied = self._replica.apply(body.rows, body.complete)
            self.table.update(applied)
            self._answered_seq = max(self._answered_seq, body.query_id)
            if applied:
                self._next_heartbeat_at = 0.0
            return SubscriptionChanges(rows=applied)
        if isinstance(body, MembersView):
            return SubscriptionChanges(
                members_changed=self._apply_members(agent_incarnation, body)
            )
        return SubscriptionChanges()

    def _apply_members(self, agent_incarnation: int, view: MembersView) -> bool:
        if (agent_incarnation, view.seq) <= (
            self._agent_incarnation,
            self._members_seq,
        ):
            return False
        self._agent_incarnation, self._members_seq = agent_incarnation, view.seq
        self.members = {member.vm: member for member in view.members}
        self.leaving_upstreams = frozenset(view.leaving_upstreams)
        return True
