"""A daemon's subscription to members and table at its VM's agent."""

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
    """What a message changed.

    Parameters
    ----------
    rows : tuple of Row
        Rows that are new or newer.
    members_changed : bool
        The membership changed.
    """

    rows: tuple[Row, ...] = ()
    members_changed: bool = False


class Subscription:
    """Keeps a daemon's table and members as its VM's agent gives them.

    New rows are acknowledged at once, by a heartbeat out of turn, so that the agent
    knows what is in force.

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
        Upstreams that the platform's list calls leaving.
    """

    def __init__(self, address: str) -> None:
        self.table = Table()
        self.members: dict[str, Member] = {}
        self.leaving_upstreams: frozenset[str] = frozenset()
        self._address = address
        self._replica = Replica()
        self._seq = Seq(0)
        self._agent = 0
        self._next_heartbeat = 0.0
        self._query = Seq(0)
        self._answered = Seq(0)

    def is_complete(self) -> bool:
        """Tell whether a whole table has been received."""
        return self._replica.complete

    def digest(self) -> bytes:
        """Return the digest of the table in force."""
        return self._replica.digest()

    def is_current(self) -> bool:
        """Tell whether the agent has answered the last query."""
        return self._answered >= self._query

    def request_sync(self) -> None:
        """Ask the agent at once for what a paused process may have missed."""
        self._query = Seq(self._query + 1)
        self._next_heartbeat = 0.0

    def on_tick(self, now: float, ready: bool) -> tuple[Body, ...]:
        """Return the messages due to the agent."""
        if now < self._next_heartbeat:
            return ()
        self._next_heartbeat = now + HEARTBEAT_INTERVAL_SECONDS
        query = Seq(0) if self.is_current() else self._query
        digest = self._replica.digest()
        return (Subscribe(self._address, digest, self._seq, ready, query),)

    def on_message(self, agent_incarnation: int, body: Body) -> SubscriptionChanges:
        """Take a message of the agent.

        Parameters
        ----------
        agent_incarnation : int
            Incarnation of the sending agent; a newer one's sequence starts again.
        body : Body
            The message; others than rows and members are ignored.
        """
        if isinstance(body, RowsUpdate):
            taken = self._replica.apply(body.rows, body.complete)
            self.table.update(taken)
            self._answered = max(self._answered, body.query_id)
            if taken:
                self._next_heartbeat = 0.0
            return SubscriptionChanges(rows=taken)
        if isinstance(body, MembersView):
            return SubscriptionChanges(
                members_changed=self._take_members(agent_incarnation, body)
            )
        return SubscriptionChanges()

    def _take_members(self, agent: int, view: MembersView) -> bool:
        if (agent, view.seq) <= (self._agent, self._seq):
            return False
        self._agent, self._seq = agent, view.seq
        self.members = {member.vm: member for member in view.members}
        self.leaving_upstreams = frozenset(view.leaving_upstreams)
        return True
