"""Member list of one VM: the state of every known VM, and the precedence of updates."""

import math
from collections.abc import Iterable, Mapping

import msgspec

from oleandershift.gossip import UpdateQueue
from oleandershift.ids import Incarnation, Seq, VmId
from oleandershift.messages import Member, MemberState

SUSPICION_SECONDS = 3.0
DEAD_RETENTION_SECONDS = 3600.0

_STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}
_REFUTABLE_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


def supersedes(update: Member, current: Member) -> bool:
    """Return whether an update replaces the current state of the same VM."""
    if update.incarnation != current.incarnation:
        return update.incarnation > current.incarnation
    return _STATE_PRECEDENCE[update.state] > _STATE_PRECEDENCE[current.state]


def public_view(member: Member) -> Member:
    """Return a member as local processes see it: a suspect one is still alive."""
    if member.state is MemberState.SUSPECT:
        return msgspec.structs.replace(member, state=MemberState.ALIVE)
    return member


def _is_same_view(old: Member, new: Member) -> bool:
    """Return whether two states of a VM are the same to local processes.

    They ignore the incarnation, which every refutation increments.
    """
    view = msgspec.structs.replace(public_view(new), incarnation=old.incarnation)
    return view == public_view(old)


class MemberList:
    """State of every known VM, this one included.

    A report that an alive VM is dead only raises a suspicion, so that the VM has time
    to refute it.

    Parameters
    ----------
    local_member : Member
        This VM.

    Attributes
    ----------
    local_member : Member
        This VM as it announces itself.
    seq : Seq
        Incremented with every change that is relevant to local processes.
    update_queue : UpdateQueue
        Changes to gossip.
    """

    def __init__(self, local_member: Member) -> None:
        self.local_member = local_member
        self.seq = Seq(1)
        self.update_queue = UpdateQueue()
        self.update_queue.add(local_member)
        self._members = {local_member.vm: local_member}
        self._suspicion_deadlines: dict[VmId, float] = {}
        self._died_at: dict[VmId, float] = {}

    # Queries

    def __len__(self) -> int:
        return len(self._members)

    def members(self) -> Mapping[VmId, Member]:
        """Return every known VM, including suspect ones as such."""
        return self._members

    def get(self, vm: VmId) -> Member | None:
        """Return a VM, or None if it is not known."""
        return self._members.get(vm)

    def dead_members(self) -> list[Member]:
        """Return the dead VMs that are still in the list."""
        return [self._members[vm] for vm in self._died_at]

    # Commands

    def bump_seq(self) -> None:
        """Increment the sequence number, to announce a change to local processes."""
        self.seq = Seq(self.seq + 1)

    def set_state(self, state: MemberState) -> None:
        """Set the state of this VM."""
        changed = state is not self.local_member.state
        self.local_member = msgspec.structs.replace(self.local_member, state=state)
        self._members[self.local_member.vm] = self.local_member
        self.update_queue.add(self.local_member)
        if changed:
            self.bump_seq()

    def apply(self, now: float, updates: Iterable[Member], spread: bool = True) -> None:
        """Merge the member states of another VM.

        Parameters
        ----------
        now : float
            Current time, seconds.
        updates : iterable of Member
            Member states of the other VM.
        spread : bool
            Whether to gossip new states.
        """
        for update in updates:
            if update.vm == self.local_member.vm:
                self._refute(update)
            else:
                self._merge(now, update, spread)

    def suspect(self, now: float, vm: VmId) -> None:
        """Suspect a VM that did not respond to a probe."""
        member = self._members.get(vm)
        if member is None or member.state is MemberState.DEAD:
            return
        self._suspicion_deadlines.setdefault(vm, now + self._suspicion_seconds())
        if member.state is MemberState.ALIVE:
            self._update(now, self._with_state(vm, MemberState.SUSPECT))

    def on_answer(self, vm: VmId) -> None:
        """End the suspicion of a leaving VM that responded and need not refute it."""
        member = self._members.get(vm)
        if member is not None and member.state is MemberState.LEAVING:
            self._suspicion_deadlines.pop(vm, None)

    def restart_suspicions(self, now: float) -> None:
        """Restart the suspicion timeout of every suspect."""
        for vm in self._suspicion_deadlines:
            self._suspicion_deadlines[vm] = now + self._suspicion_seconds()

    def expire(self, now: float) -> None:
        """Declare suspects dead after their timeout, and remove VMs long dead."""
        for vm, deadline in list(self._suspicion_deadlines.items()):
            if now >= deadline:
                del self._suspicion_deadlines[vm]
                self._update(now, self._with_state(vm, MemberState.DEAD))
        for vm, died_at in list(self._died_at.items()):
            if now >= died_at + DEAD_RETENTION_SECONDS:
                del self._died_at[vm]
                del self._members[vm]
                self.bump_seq()

    # Helpers

    def _suspicion_seconds(self) -> float:
        return SUSPICION_SECONDS * max(1.0, math.log10(len(self._members)))

    def _refute(self, update: Member) -> None:
        if self.local_member.state is MemberState.DEAD or not supersedes(
            update, self.local_member
        ):
            return
        incarnation = Incarnation(update.incarnation + 1)
        self.local_member = msgspec.structs.replace(
            self.local_member, incarnation=incarnation
        )
        self.set_state(self.local_member.state)

    def _merge(self, now: float, update: Member, spread: bool) -> None:
        current = self._members.get(update.vm)
        if current is None:
            if update.state is not MemberState.DEAD:
                self._update(now, update, spread)
            return
        if not supersedes(update, current):
            return
        if update.state is MemberState.DEAD and current.state in _REFUTABLE_STATES:
            update = msgspec.structs.replace(update, state=MemberState.SUSPECT)
            if not supersedes(update, current):
                return
        self._update(now, update, spread)

    def _update(self, now: float, member: Member, spread: bool = True) -> None:
        current = self._members.get(member.vm)
        self._members[member.vm] = member
        if spread:
            self.update_queue.add(member)
        else:
            self.update_queue.discard(member.vm)
        if current is None or not _is_same_view(current, member):
            self.bump_seq()
        self._died_at.pop(member.vm, None)
        if member.state is MemberState.SUSPECT:
            deadline = now + self._suspicion_seconds()
            self._suspicion_deadlines.setdefault(member.vm, deadline)
            return
        self._suspicion_deadlines.pop(member.vm, None)
        if member.state is MemberState.DEAD:
            self._died_at[member.vm] = now

    def _with_state(self, vm: VmId, state: MemberState) -> Member:
        return msgspec.structs.replace(self._members[vm], state=state)
