"""Sender side of the snapshot stream to one allocator: what to send, and when."""

from dataclasses import dataclass
from typing import TypeAlias

from oleandershift.changelog import ChangeLog
from oleandershift.ids import GrantId, Incarnation, Seq, TeamId, UpstreamId
from oleandershift.messages import GrantUse, ProcessId

UseKey: TypeAlias = tuple[Incarnation, GrantId]


@dataclass(frozen=True)
class SendIntervals:
    """Minimum intervals between two snapshots of a stream, in seconds.

    Parameters
    ----------
    urgent_seconds : float
        After a slot became free or a team began to wait.
    change_seconds : float
        After other changes.
    heartbeat_seconds : float
        Without changes, while there is work or an unacknowledged snapshot.
    """

    urgent_seconds: float
    change_seconds: float
    heartbeat_seconds: float


FULL_SNAPSHOT_INTERVAL_SECONDS = 0.5
NEVER = float("-inf")
ROUTER_INTERVALS = SendIntervals(0.03, 0.5, 1.0)
REMOTE_ALLOCATOR_INTERVALS = SendIntervals(0.25, 2.0, 3.0)


@dataclass(frozen=True)
class SnapshotDelta:
    """Content of the next snapshot.

    Parameters
    ----------
    base, seq : Seq
        As in `Snapshot`.
    teams : tuple of TeamId
        Teams whose load is sent.
    grants : tuple of GrantUse
        Grant uses that are sent.
    """

    base: Seq
    seq: Seq
    teams: tuple[TeamId, ...]
    grants: tuple[GrantUse, ...]


class SnapshotStream:
    """Tracks which snapshots were sent to an allocator and acknowledged by it.

    A snapshot is normally a delta to the previous one, which is assumed to have
    arrived. An allocator that lacks it acknowledges 0 and receives a full snapshot.

    Parameters
    ----------
    intervals : SendIntervals
        Minimum intervals between snapshots.

    Attributes
    ----------
    uses : dict
        Uses of grants that are in progress or not yet acknowledged as done.
    acked : Seq
        Sequence number of the last acknowledged snapshot.
    """

    def __init__(self, intervals: SendIntervals) -> None:
        self.uses: dict[UseKey, GrantUse] = {}
        self.acked = Seq(0)
        self._intervals = intervals
        self._sent = Seq(0)
        self._receiver: ProcessId | None = None
        self._teams: ChangeLog[TeamId] = ChangeLog()
        self._grants: ChangeLog[UseKey] = ChangeLog()
        self._urgent_at = self._change_at = self._heartbeat_at = 0.0
        self._full_at = NEVER
        self._changed = self._urgent = self._full = False

    def mark_team(self, team: TeamId, urgent: bool = False) -> None:
        """Mark the load of a team as changed."""
        self._teams.record(team, Seq(self._sent + 1))
        self.mark_changed(urgent)

    def update_use(self, use: GrantUse, urgent: bool = False) -> None:
        """Store the use of a grant and mark it as changed."""
        key = (use.allocator, use.grant)
        self.uses[key] = use
        self._grants.record(key, Seq(self._sent + 1))
        self.mark_changed(urgent)

    def mark_changed(self, urgent: bool = False) -> None:
        """Record that there is a change to send."""
        self._changed = True
        self._urgent = self._urgent or urgent

    def is_due(self, now: float, working: bool) -> bool:
        """Return whether to send a snapshot now.

        Parameters
        ----------
        now : float
            Current time, seconds.
        working : bool
            Whether there are waiting or running requests, which heartbeats keep alive.
        """
        if self._full:
            return True
        if self._changed:
            return now >= (self._urgent_at if self._urgent else self._change_at)
        unacknowledged = self.acked < self._sent
        return (working or unacknowledged) and now >= self._heartbeat_at

    def advance(self, now: float) -> SnapshotDelta:
        """Return the content of the next snapshot and record that it is sent."""
        base = self._sent if self._changed else self.acked
        if self._full:
            base = Seq(0)
            self._full_at = now
        if self._changed or self._sent == 0:
            self._sent = Seq(self._sent + 1)
        self._changed = self._urgent = self._full = False
        self._urgent_at = now + self._intervals.urgent_seconds
        self._change_at = now + self._intervals.change_seconds
        self._heartbeat_at = now + self._intervals.heartbeat_seconds
        return SnapshotDelta(
            base,
            self._sent,
            tuple(self._teams.changed_since(base)),
            tuple(
                self._abbreviated(base, key) for key in self._grants.changed_since(base)
            ),
        )

    def accepts_ack_from(self, receiver: ProcessId) -> bool:
        """Return whether to accept acknowledgements from a receiver."""
        known = self._receiver
        return (
            known is None
            or receiver.vm != known.vm
            or receiver.incarnation >= known.incarnation
        )

    def is_newer_incarnation(self, receiver: ProcessId) -> bool:
        """Return whether an allocator took over its role after the known one."""
        known = self._receiver
        return known is not None and receiver.incarnation > known.incarnation

    def on_ack(self, now: float, receiver: ProcessId, ack: Seq) -> None:
        """Handle an acknowledgement; sequence number 0 requests a full snapshot."""
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
        """Restart with a full snapshot, after the role moved to another VM."""
        self._receiver = None
        self.acked = Seq(0)
        self._full = True

    def _abbreviated(self, base: Seq, key: UseKey) -> GrantUse:
        """Return a use without the fields that the receiver knows from its grant."""
        use = self.uses[key]
        known = self._receiver
        if base == 0 or use.unused or known is None:
            return use
        if use.allocator != known.incarnation:
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
