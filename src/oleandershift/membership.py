"""Membership of the fleet by probes and gossip, as a sans-IO object.

After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", 2002, with these changes: a death is never taken
from hearsay, only from one's own suspicion running out; a member that was frozen
starts its suspicions afresh; and members believed dead are contacted now and then, so
that two halves which declared each other dead merge again.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from oleandershift.dispatch import Send
from oleandershift.ids import RegionId, Seq, UpstreamId, VmId
from oleandershift.memberlist import MemberList, public_view
from oleandershift.messages import Ack, Body, Member, MemberState, MembersView, Ping

PROBE_INTERVAL_SECONDS = 0.5
INDIRECT_PROBE_INTERVAL_SECONDS = 0.3
PROBE_TIMEOUT_SECONDS = 1.0
INDIRECT_PROBE_COUNT = 3
ANNOUNCEMENT_COUNT = 3
RECONNECT_INTERVAL_SECONDS = 1.0
INITIAL_SYNC_INTERVAL_SECONDS = 1.0
MAX_SYNC_INTERVAL_SECONDS = 256.0
CHURN_THRESHOLD_UPDATES = 50
CHURN_RESET_INTERVAL_SECONDS = 60.0
CHURN_SYNC_SECONDS_PER_MEMBER = 0.01
FREEZE_THRESHOLD_SECONDS = 1.0
MAX_RELAYED_PROBES = 1024

UNKNOWN_VM = VmId("")
"""Target of a probe to an address whose VM is not known; asks for all members."""


def agent_address(member: Member) -> str:
    """Return the link address of a member's agent."""
    return f"tcp://{member.ip}:{member.agent_port}"


@dataclass
class _Probe:
    vm: VmId
    retry_at: float
    fails_at: float


@dataclass(frozen=True)
class _Relay:
    address: str
    region: RegionId
    seq: Seq


class Membership:
    """One VM's view of the fleet.

    Parameters
    ----------
    local_member : Member
        This VM.
    contacts : sequence of str
        Link addresses to contact first, and again while none of them is alive.
    seed : int
        Seed of the random choices.
    sync_seconds : float
        First pause between two requests for all members; it doubles each time.

    Attributes
    ----------
    table_digest : bytes
        Digest that rides on probes.
    """

    def __init__(
        self,
        local_member: Member,
        seed_addresses: Sequence[str],
        seed: int,
        sync_interval_seconds: float = INITIAL_SYNC_INTERVAL_SECONDS,
    ) -> None:
        self.table_digest = b""
        self._beliefs = MemberList(local_member)
        self._contacts = tuple(seed_addresses)
        self._listed: tuple[str, ...] = ()
        self._rng = random.Random(seed)
        self._live: set[str] = set()
        self._live_at = Seq(0)
        self._order: list[VmId] = []
        self._probes: dict[Seq, _Probe] = {}
        self._relays: dict[Seq, _Relay] = {}
        self._probe_seq = Seq(0)
        self._last_tick: float | None = None
        self._next_probe = 0.0
        self._next_contact = 0.0
        self._sync_period = sync_interval_seconds
        self._next_sync = 0.0
        self._next_upheaval = 0.0

    # Queries

    @property
    def local_member(self) -> Member:
        """Return this VM as it tells of itself."""
        return self._beliefs.local_member

    @property
    def seq(self) -> Seq:
        """Return the number of the view; it grows with every change."""
        return self._beliefs.seq

    def members(self) -> Mapping[VmId, Member]:
        """Return every known VM, with suspicions."""
        return self._beliefs.members()

    def dead_members(self) -> list[Member]:
        """Return the VMs believed dead that are still remembered."""
        return self._beliefs.dead_members()

    def peers(self, region: RegionId | None = None) -> list[Member]:
        """Return the other VMs not believed dead, of one region or of all."""
        return [
            member
            for member in self.members().values()
            if member.vm != self.local_member.vm
            and member.state is not MemberState.DEAD
            and region in (None, member.region)
        ]

    def local_view(self, leaving_upstreams: Iterable[UpstreamId] = ()) -> MembersView:
        """Return the members for a local process; a suspect still counts as alive."""
        members = tuple(public_view(member) for member in self.members().values())
        return MembersView(self.seq, members, tuple(leaving_upstreams))

    def sample(self, peers: Sequence[Member], count: int) -> list[Member]:
        """Return a random choice of peers, at most `count`."""
        return self._rng.sample(peers, min(count, len(peers)))

    # Commands

    def set_platform_addresses(self, addresses: Iterable[str]) -> None:
        """Take the addresses that the platform's list gives, to contact as well."""
        self._listed = tuple(addresses)

    def bump_seq(self) -> None:
        """Give the view a new number, as something beside the members changed."""
        self._beliefs.bump_seq()

    def leave(self) -> list[Send]:
        """Announce that this VM takes no more roles."""
        self._beliefs.set_state(MemberState.LEAVING)
        return self._announce()

    def stop(self) -> list[Send]:
        """Announce that this VM is gone."""
        self._beliefs.set_state(MemberState.DEAD)
        return self._announce()

    def on_tick(self, now: float) -> list[Send]:
        """Take the passage of time."""
        self._check_own_freeze(now)
        sends = self._advance_probes(now)
        self._beliefs.expire(now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL_SECONDS
            sends += self._probe_next(now)
        if now >= self._next_contact:
            jitter = self._rng.uniform(0.75, 1.25)
            self._next_contact = now + RECONNECT_INTERVAL_SECONDS * jitter
            sends += self._contact()
        if now >= self._next_sync:
            sends += self._sync(now)
        return sends

    def on_message(self, now: float, sender: VmId, body: Body) -> list[Send]:
        """Take a message of another agent; other kinds than this module's do nothing.

        Parameters
        ----------
        now : float
            The current instant.
        sender : VmId
            The sending agent's VM.
        body : Body
            The message.
        """
        if isinstance(body, Ping):
            return self._on_ping(now, sender, body)
        if isinstance(body, Ack):
            return self._on_ack(now, body)
        if isinstance(body, MembersView):
            self._apply(now, body.members, spread=False)
        return []

    # Time

    def _check_own_freeze(self, now: float) -> None:
        """Forget what silence seemed to prove while this process did not run."""
        last, self._last_tick = self._last_tick, now
        if last is None:
            self._next_probe = now + self._rng.random() * PROBE_INTERVAL_SECONDS
            self._next_sync = now + self._rng.random() * self._sync_period
            return
        if 0.0 <= now - last <= FREEZE_THRESHOLD_SECONDS:
            return
        self._probes.clear()
        self._next_probe = now
        self._next_contact = now
        self._beliefs.restart_suspicions(now)

    def _advance_probes(self, now: float) -> list[Send]:
        sends = []
        for seq, probe in list(self._probes.items()):
            if now >= probe.fails_at:
                del self._probes[seq]
                self._beliefs.suspect(now, probe.vm)
                self._order.append(probe.vm)
            elif now >= probe.retry_at:
                probe.retry_at = now + INDIRECT_PROBE_INTERVAL_SECONDS
                sends += self._probe_indirectly(seq, probe.vm)
        return sends

    # Probes

    def _announce(self) -> list[Send]:
        sends = []
        for member in self.sample(self.peers(), ANNOUNCEMENT_COUNT):
            own = agent_address(self.local_member)
            ping = Ping(Seq(0), member.vm, own, (self.local_member,), self.table_digest)
            sends.append(Send(agent_address(member), member.region, ping))
        return sends

    def _probe_next(self, now: float) -> list[Send]:
        target = self._next_target()
        if target is None:
            return []
        self._probe_seq = Seq(self._probe_seq + 1)
        self._probes[self._probe_seq] = _Probe(
            target.vm,
            now + INDIRECT_PROBE_INTERVAL_SECONDS,
            now + PROBE_TIMEOUT_SECONDS,
        )
        return [self._ping(target, self._probe_seq, target.vm)]

    def _next_target(self) -> Member | None:
        if not self._order:
            self._order = [member.vm for member in self.peers()]
            self._rng.shuffle(self._order)
        while self._order:
            member = self._beliefs.get(self._order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member
        return None

    def _probe_indirectly(self, seq: Seq, vm: VmId) -> list[Send]:
        target = self._beliefs.get(vm)
        if target is None:
            return []
        others = [member for member in self.peers() if member.vm != vm]
        helpers = self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
        return [self._ping(member, seq, vm) for member in (target, *helpers)]

    def _ping(self, receiver: Member, seq: Seq, target: VmId) -> Send:
        doubts = self._doubts(self._beliefs.get(target))
        updates = (*doubts, *self._beliefs.update_queue.next_batch(self._size()))
        ping = Ping(
            seq, target, agent_address(self.local_member), updates, self.table_digest
        )
        return Send(agent_address(receiver), receiver.region, ping)

    @staticmethod
    def _doubts(member: Member | None) -> tuple[Member, ...]:
        """Return a belief that its subject has to hear of, to refute it."""
        if member is None or member.state is MemberState.ALIVE:
            return ()
        return (member,)

    def _size(self) -> int:
        return len(self._beliefs)

    def _contact(self) -> list[Send]:
        """Probe an address from which nothing is heard, if there is one."""
        strangers = self._strangers()
        dead = self._beliefs.dead_members()
        if not strangers and not dead:
            return []
        if dead and (not strangers or self._rng.random() < len(dead) / self._size()):
            return [self._ping_dead(self._rng.choice(dead))]
        address = self._rng.choice(strangers)
        return [Send(address, self.local_member.region, self._introduction())]

    def _strangers(self) -> list[str]:
        """Return the contacts that belong to no VM known to live."""
        if self._live_at != self.seq:
            self._live_at = self.seq
            known = (self.local_member, *self.peers())
            self._live = {agent_address(member) for member in known}
        contacts = dict.fromkeys((*self._contacts, *self._listed))
        return [address for address in contacts if address not in self._live]

    def _sync(self, now: float) -> list[Send]:
        """Ask a random peer for all members, seldom unless there is much news."""
        jitter = self._rng.uniform(0.75, 1.25)
        self._next_sync = now + self._sync_period * jitter
        self._sync_period = min(MAX_SYNC_INTERVAL_SECONDS, self._sync_period * 2)
        return [
            Send(agent_address(member), member.region, self._introduction())
            for member in self.sample(self.peers(), 1)
        ]

    def _introduction(self) -> Ping:
        own = agent_address(self.local_member)
        return Ping(Seq(0), UNKNOWN_VM, own, (self.local_member,), self.table_digest)

    def _expect_upheaval(self, now: float) -> None:
        if (
            len(self._beliefs.update_queue) < CHURN_THRESHOLD_UPDATES
            or now < self._next_upheaval
        ):
            return
        self._next_upheaval = now + CHURN_RESET_INTERVAL_SECONDS
        paced = self._size() * CHURN_SYNC_SECONDS_PER_MEMBER
        self._sync_period = max(INITIAL_SYNC_INTERVAL_SECONDS, paced)
        self._next_sync = now + self._rng.random() * self._sync_period

    def _ping_dead(self, member: Member) -> Send:
        own = agent_address(self.local_member)
        ping = Ping(
            Seq(0), member.vm, own, (self.local_member, member), self.table_digest
        )
        return Send(agent_address(member), member.region, ping)

    # Messages

    def _on_ping(self, now: float, sender: VmId, ping: Ping) -> list[Send]:
        self._apply(now, ping.updates)
        member = self._beliefs.get(sender)
        region = self.local_member.region if member is None else member.region
        if ping.target not in (self.local_member.vm, UNKNOWN_VM):
            return self._relay_ping(ping, region)
        updates = (
            self.local_member,
            *self._doubts(member),
            *self._beliefs.update_queue.next_batch(self._size()),
        )
        ack = Ack(ping.seq, self.local_member.vm, updates, self.table_digest)
        sends = [Send(ping.reply_to, region, ack)]
        if ping.target == UNKNOWN_VM:
            everyone = MembersView(self.seq, tuple(self.members().values()))
            sends.append(Send(ping.reply_to, region, everyone))
        return sends

    def _relay_ping(self, ping: Ping, region: RegionId) -> list[Send]:
        target = self._beliefs.get(ping.target)
        if target is None:
            return []
        self._probe_seq = Seq(self._probe_seq + 1)
        self._relays[self._probe_seq] = _Relay(ping.reply_to, region, ping.seq)
        if len(self._relays) > MAX_RELAYED_PROBES:
            del self._relays[next(iter(self._relays))]
        return [self._ping(target, self._probe_seq, target.vm)]

    def _on_ack(self, now: float, ack: Ack) -> list[Send]:
        self._apply(now, ack.updates)
        probe = self._probes.pop(ack.seq, None)
        if probe is not None:
            self._beliefs.on_answer(probe.vm)
        relay = self._relays.pop(ack.seq, None)
        if relay is None:
            return []
        passed = msgspec.structs.replace(ack, seq=relay.seq)
        return [Send(relay.address, relay.region, passed)]

    def _apply(
        self, now: float, updates: Iterable[Member], spread: bool = True
    ) -> None:
        self._beliefs.apply(now, updates, spread)
        self._expect_upheaval(now)
