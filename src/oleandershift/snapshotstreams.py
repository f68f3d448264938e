"""Sender's side of snapshots to one allocator: what to send, and when."""

from dataclasses import dataclass
from typing import TypeAlias

from oleandershift.changelog import ChangeLog
from oleandershift.ids import GrantId, Incarnation, Seq, TeamId, UpstreamId
from oleandershift.messages import GrantUse, ProcessId

UseKey: TypeAlias = tuple[Incarnation, GrantId]


@dataclass(frozen=True)
class SendIntervals:
    """Least seconds between two snapshots of a stream.

    Parameters
    ----------
    urgent_seconds : float
        When a slot came free or a team began to wait.
    change_seconds : float
        For other changes.
    heartbeat_seconds : float
        Without a change, while there is work or something is not acknowledged.
    """

    urgent_seconds: float
    change_seconds: float
    heartbeat_seconds: float


FULL_SNAPSHOT_INTERVAL_SECONDS = 0.5
NEVER = float("-inf")
ROUTER_INTERVALS = SendIntervals(0.03, 0.5, 1.0)
PEER_INTERVALS = SendIntervals(0.25, 2.0, 3.0)


@dataclass(frozen=True)
class SnapshotDelta:
    """What the next snapshot holds.

    Parameters
    ----------
    base, seq : Seq
        As in `Snapshot`.
    teams : tuple of TeamId
        Teams whose load is to be sent.
    grants : tuple of GrantUse
        Uses to be sent.
    """

    base: Seq
    seq: Seq
    teams: tuple[TeamId, ...]
    grants: tuple[GrantUse, ...]


class SnapshotStream:
    """Tracks what an allocator has been sent and has acknowledged.

    A snapshot normally builds on the one before it, which is presumed to have
    arrived. An allocator that lacks it acknowledges 0 and gets everything.

    Parameters
    ----------
    pace : Pace
        How often to send.

    Attributes
    ----------
    uses : dict
        Grants in hand or not yet acknowledged as done.
    acked : Seq
        Position that the allocator has.
    """

    def __init__(self, pace: SendIntervals) -> None:
        self.uses: dict[UseKey, GrantUse] = {}
        self.acked = Seq(0)
        self._pace = pace
        self._sent = Seq(0)
        self._receiver: ProcessId | None = None
        self._teams: ChangeLog[TeamId] = ChangeLog()
        self._grants: ChangeLog[UseKey] = ChangeLog()
        self._urgent_at = self._change_at = self._heartbeat_at = 0.0
        self._full_at = NEVER
        self._changed = self._urgent = self._full = False

    def mark_team(self, team: TeamId, urgent: bool = False) -> None:
        """Note that a team's load changed."""
        self._teams.record(team, Seq(self._sent + 1))
        self.mark_changed(urgent)

    def update_use(self, use: GrantUse, urgent: bool = False) -> None:
        """Note the state of a grant."""
        key = (use.allocator, use.grant)
        self.uses[key] = use
        self._grants.record(key, Seq(self._sent + 1))
        self.mark_changed(urgent)

    def mark_changed(self, urgent: bool = False) -> None:
        """Note that there is something new to send."""
        self._changed = True
        self._urgent = self._urgent or urgent

    def is_due(self, now: float, working: bool) -> bool:
        """Tell whether a snapshot is to be sent.

        Parameters
        ----------
        now : float
            The current instant.
        working : bool
            There is waiting or running work to keep alive by heartbeats.
        """
        if self._full:
            return True
        if self._changed:
            return now >= (self._urgent_at if self._urgent else self._change_at)
        unacknowledged = self.acked < self._sent
        return (working or unacknowledged) and now >= self._heartbeat_at

    def advance(self, now: float) -> SnapshotDelta:
        """Return the next snapshot's content and note that it is being sent."""
        base = self._sent if self._changed else self.acked
        if self._full:
            base = Seq(0)
            self._full_at = now
        if self._changed or self._sent == 0:
            self._sent = Seq(self._sent + 1)
        self._changed = self._urgent = self._full = False
        self._urgent_at = now + self._pace.urgent_seconds
        self._change_at = now + self._pace.change_seconds
        self._heartbeat_at = now + self._pace.heartbeat_seconds
        return SnapshotDelta(
            base,
            self._sent,
            tuple(self._teams.changed_since(base)),
            tuple(
                self._shortened(base, key) for key in self._grants.changed_since(base)
            ),
        )

    def accepts_ack_from(self, receiver: ProcessId) -> bool:
        """Tell whether acknowledgements of a receiver are to be taken."""
        held = self._receiver
        return (
            held is None
            or receiver.vm != held.vm
            or receiver.incarnation >= held.incarnation
        )

    def is_newer_incarnation(self, receiver: ProcessId) -> bool:
        """Tell whether an allocator has taken its role later than the one known."""
        held = self._receiver
        return held is not None and receiver.incarnation > held.incarnation

    def on_ack(self, now: float, receiver: ProcessId, ack: Seq) -> None:
        """Take an allocator's position; 0 asks for a full snapshot."""
        if receiver != self._receiver:
            self._receiver = receiver
            self.acked = Seq(0)
            self._full = True
        elif ack == 0:
            self._full = now >= self._full_at + FULL_SNAPSHOT_INTERVAL_SECONDS
        elif self.acked < ack <= self._sent:
            self.acked = ack
            self._drop_acknowledged()

    def restart(self) -> None:
        """Begin again with a full snapshot: the role has moved to another VM."""
        self._receiver = None
        self.acked = Seq(0)
        self._full = True

    def _shortened(self, base: Seq, key: UseKey) -> GrantUse:
        """Return a use without what the receiver knows of its own grant."""
        use = self.uses[key]
        held = self._receiver
        if base == 0 or use.unused or held is None:
            return use
        if use.allocator != held.incarnation:
            return use
        return GrantUse(
            Incarnation(0),
            use.grant,
            UpstreamId(""),
            TeamId(""),
            use.cost,
            use.done,
            charged=use.charged,
        )

    def _drop_acknowledged(self) -> None:
        for key in tuple(self._grants.changed_until(self.acked)):
            if self.uses[key].done or self.uses[key].unused:
                del self.uses[key]
                self._grants.discard(key)
