"""What one VM believes of the others, and which of two beliefs holds."""

import math
from collections.abc import Iterable, Mapping

import msgspec

from oleandershift.gossip import UpdateQueue
from oleandershift.ids import Incarnation, Seq, VmId
from oleandershift.messages import Member, MemberState

SUSPICION_SECONDS = 3.0
DEAD_RETENTION_SECONDS = 3600.0

_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}
_HEARSAY_PROOF = frozenset({MemberState.ALIVE, MemberState.SUSPECT})


def supersedes(update: Member, held: Member) -> bool:
    """Tell whether an update replaces a held belief about the same VM."""
    if update.incarnation != held.incarnation:
        return update.incarnation > held.incarnation
    return _RANK[update.state] > _RANK[held.state]


def public_view(member: Member) -> Member:
    """Return a member as local processes see it: a suspect still counts as alive."""
    if member.state is MemberState.SUSPECT:
        return msgspec.structs.replace(member, state=MemberState.ALIVE)
    return member


def _looks_alike(one: Member, other: Member) -> bool:
    """Tell whether two beliefs are the same to local processes.

    They have no use for the incarnation, which every refutation raises.
    """
    alike = msgspec.structs.replace(public_view(other), incarnation=one.incarnation)
    return alike == public_view(one)


class MemberList:
    """Beliefs about every known VM, this one included.

    A death is never taken from hearsay: a report of it only raises a suspicion, so
    that its subject has time to refute it.

    Parameters
    ----------
    local_member : Member
        This VM.

    Attributes
    ----------
    local_member : Member
        This VM as it tells of itself.
    seq : Seq
        Grows with every change that local processes have to know.
    update_queue : UpdateQueue
        Changes to spread.
    """

    def __init__(self, me: Member) -> None:
        self.local_member = me
        self.seq = Seq(1)
        self.update_queue = UpdateQueue()
        self.update_queue.add(me)
        self._members = {me.vm: me}
        self._suspicions: dict[VmId, float] = {}
        self._died: dict[VmId, float] = {}

    # Queries

    def __len__(self) -> int:
        return len(self._members)

    def members(self) -> Mapping[VmId, Member]:
        """Return every known VM, with suspicions."""
        return self._members

    def get(self, vm: VmId) -> Member | None:
        """Return a VM, or None when it is not known."""
        return self._members.get(vm)

    def dead_members(self) -> list[Member]:
        """Return the VMs believed dead that are still remembered."""
        return [self._members[vm] for vm in self._died]

    # Commands

    def bump_seq(self) -> None:
        """Let local processes know of a change."""
        self.seq = Seq(self.seq + 1)

    def set_state(self, state: MemberState) -> None:
        """Change the state of this VM."""
        changed = state is not self.local_member.state
        self.local_member = msgspec.structs.replace(self.local_member, state=state)
        self._members[self.local_member.vm] = self.local_member
        self.update_queue.add(self.local_member)
        if changed:
            self.bump_seq()

    def apply(self, now: float, updates: Iterable[Member], spread: bool = True) -> None:
        """Take what another VM believes.

        Parameters
        ----------
        now : float
            The current instant.
        updates : iterable of Member
            Its beliefs.
        spread : bool
            Pass on what is new.
        """
        for update in updates:
            if update.vm == self.local_member.vm:
                self._refute(update)
            else:
                self._consider(now, update, spread)

    def suspect(self, now: float, vm: VmId) -> None:
        """Suspect a VM that did not answer."""
        member = self._members.get(vm)
        if member is None or member.state is MemberState.DEAD:
            return
        self._suspicions.setdefault(vm, now + self._suspicion_seconds())
        if member.state is MemberState.ALIVE:
            self._set(now, self._with(vm, MemberState.SUSPECT))

    def on_answer(self, vm: VmId) -> None:
        """End the suspicion of a leaving VM, which has no need to refute it."""
        member = self._members.get(vm)
        if member is not None and member.state is MemberState.LEAVING:
            self._suspicions.pop(vm, None)

    def restart_suspicions(self, now: float) -> None:
        """Give every suspect its full time again."""
        for vm in self._suspicions:
            self._suspicions[vm] = now + self._suspicion_seconds()

    def expire(self, now: float) -> None:
        """Declare suspects dead whose time is over, and forget the long dead."""
        for vm, deadline in list(self._suspicions.items()):
            if now >= deadline:
                del self._suspicions[vm]
                self._set(now, self._with(vm, MemberState.DEAD))
        for vm, at in list(self._died.items()):
            if now >= at + DEAD_RETENTION_SECONDS:
                del self._died[vm]
                del self._members[vm]
                self.bump_seq()

    # Parts

    def _suspicion_seconds(self) -> float:
        return SUSPICION_SECONDS * max(1.0, math.log10(len(self._members)))

    def _refute(self, update: Member) -> None:
        if self.local_member.state is MemberState.DEAD or not supersedes(
            update, self.local_member
        ):
            return
        newer = Incarnation(update.incarnation + 1)
        self.local_member = msgspec.structs.replace(
            self.local_member, incarnation=newer
        )
        self.set_state(self.local_member.state)

    def _consider(self, now: float, update: Member, spread: bool) -> None:
        held = self._members.get(update.vm)
        if held is None:
            if update.state is not MemberState.DEAD:
                self._set(now, update, spread)
            return
        if not supersedes(update, held):
            return
        if update.state is MemberState.DEAD and held.state in _HEARSAY_PROOF:
            update = msgspec.structs.replace(update, state=MemberState.SUSPECT)
            if not supersedes(update, held):
                return
        self._set(now, update, spread)

    def _set(self, now: float, member: Member, spread: bool = True) -> None:
        held = self._members.get(member.vm)
        self._members[member.vm] = member
        if spread:
            self.update_queue.add(member)
        else:
            self.update_queue.discard(member.vm)
        if held is None or not _looks_alike(held, member):
            self.bump_seq()
        self._died.pop(member.vm, None)
        if member.state is MemberState.SUSPECT:
            deadline = now + self._suspicion_seconds()
            self._suspicions.setdefault(member.vm, deadline)
            return
        self._suspicions.pop(member.vm, None)
        if member.state is MemberState.DEAD:
            self._died[member.vm] = now

    def _with(self, vm: VmId, state: MemberState) -> Member:
        return msgspec.structs.replace(self._members[vm], state=state)
