"""Failure detection and membership by probes and gossip, as a sans-IO object.

After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol", 2002, with these changes: a member that has not
announced its leaving is declared dead only when the local suspicion timeout expires,
never on another member's report; a process that was frozen restarts its suspicion
timeouts; and dead members are probed from time to time, so that two partitions which
declared each other dead merge again.
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
"""Target of a ping to an address whose VM is unknown; requests the full member list."""


def agent_address(member: Member) -> str:
    """Return the link address of a member's agent."""
    return f"tcp://{member.ip}:{member.agent_port}"


@dataclass
class _Probe:
    vm: VmId
    retry_at: float
    times_out_at: float


@dataclass(frozen=True)
class _RelayedProbe:
    reply_to: str
    region: RegionId
    seq: Seq


class Membership:
    """One VM's view of the fleet's members.

    Parameters
    ----------
    local_member : Member
        This VM.
    seed_addresses : sequence of str
        Agent addresses to join through. An address is contacted whenever it belongs to
        no live member.
    seed : int
        Seed of the random number generator.
    sync_interval_seconds : float
        Initial interval between requests for the full member list; doubles with each
        request.

    Attributes
    ----------
    table_digest : bytes
        Digest of the table replica, piggybacked on probes.
    """

    def __init__(
        self,
        local_member: Member,
        seed_addresses: Sequence[str],
        seed: int,
        sync_interval_seconds: float = INITIAL_SYNC_INTERVAL_SECONDS,
    ) -> None:
        self.table_digest = b""
        self._member_list = MemberList(local_member)
        self._seed_addresses = tuple(seed_addresses)
        self._platform_addresses: tuple[str, ...] = ()
        self._rng = random.Random(seed)
        self._live_addresses: set[str] = set()
        self._live_addresses_seq = Seq(0)
        self._probe_order: list[VmId] = []
        self._probes: dict[Seq, _Probe] = {}
        self._relayed_probes: dict[Seq, _RelayedProbe] = {}
        self._probe_seq = Seq(0)
        self._last_tick: float | None = None
        self._next_probe = 0.0
        self._next_reconnect_at = 0.0
        self._sync_interval = sync_interval_seconds
        self._next_sync = 0.0
        self._next_churn_reset_at = 0.0

    # Queries

    @property
    def local_member(self) -> Member:
        """Return this VM's own member record."""
        return self._member_list.local_member

    @property
    def seq(self) -> Seq:
        """Return the version of the local processes' view; grows with every change."""
        return self._member_list.seq

    def members(self) -> Mapping[VmId, Member]:
        """Return every known VM, this one included, with its state."""
        return self._member_list.members()

    def dead_members(self) -> list[Member]:
        """Return the dead VMs that haven't been purged yet."""
        return self._member_list.dead_members()

    def peers(self, region: RegionId | None = None) -> list[Member]:
        """Return the other VMs that aren't dead, in one region or in all of them."""
        return [
            member
            for member in self.members().values()
            if member.vm != self.local_member.vm
            and member.state is not MemberState.DEAD
            and region in (None, member.region)
        ]

    def local_view(self, leaving_upstreams: Iterable[UpstreamId] = ()) -> MembersView:
        """Return the members for local processes, with suspects shown as alive."""
        members = tuple(public_view(member) for member in self.members().values())
        return MembersView(self.seq, members, tuple(leaving_upstreams))

    def sample(self, peers: Sequence[Member], count: int) -> list[Member]:
        """Return at most `count` peers, chosen at random."""
        return self._rng.sample(peers, min(count, len(peers)))

    # Commands

    def set_platform_addresses(self, addresses: Iterable[str]) -> None:
        """Set the addresses from the platform's VM list, contacted like seeds."""
        self._platform_addresses = tuple(addresses)

    def bump_seq(self) -> None:
        """Bump the view's version for a change other than one of the members."""
        self._member_list.bump_seq()

    def leave(self) -> list[Send]:
        """Announce that this VM is leaving and takes on no more roles."""
        self._member_list.set_state(MemberState.LEAVING)
        return self._announce_state()

    def stop(self) -> list[Send]:
        """Announce that this VM has stopped."""
        self._member_list.set_state(MemberState.DEAD)
        return self._announce_state()

    def on_tick(self, now: float) -> list[Send]:
        """Send the probes that are due and expire timeouts."""
        self._check_for_freeze(now)
        sends = self._check_probes(now)
        self._member_list.expire(now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL_SECONDS
            sends += self._probe_next(now)
        if now >= self._next_reconnect_at:
            jitter = self._rng.uniform(0.75, 1.25)
            self._next_reconnect_at = now + RECONNECT_INTERVAL_SECONDS * jitter
            sends += self._reconnect()
        if now >= self._next_sync:
            sends += self._request_members(now)
        return sends

    def on_message(self, now: float, sender: VmId, body: Body) -> list[Send]:
        """Handle a message from another agent; ignore messages not about membership.

        Parameters
        ----------
        now : float
            Current time, seconds.
        sender : VmId
            VM of the sending agent.
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

    def _check_for_freeze(self, now: float) -> None:
        """Drop pending probes and restart suspicions if this process was frozen.

        A frozen process reads no acks, so their absence says nothing about the peers.
        """
        previous_tick, self._last_tick = self._last_tick, now
        if previous_tick is None:
            self._next_probe = now + self._rng.random() * PROBE_INTERVAL_SECONDS
            self._next_sync = now + self._rng.random() * self._sync_interval
            return
        if 0.0 <= now - previous_tick <= FREEZE_THRESHOLD_SECONDS:
            return
        self._probes.clear()
        self._next_probe = now
        self._next_reconnect_at = now
        self._member_list.restart_suspicions(now)

    def _check_probes(self, now: float) -> list[Send]:
        sends = []
        for seq, probe in list(self._probes.items()):
            if now >= probe.times_out_at:
                del self._probes[seq]
                self._member_list.suspect(now, probe.vm)
                self._probe_order.append(probe.vm)
            elif now >= probe.retry_at:
                probe.retry_at = now + INDIRECT_PROBE_INTERVAL_SECONDS
                sends += self._probe_indirectly(seq, probe.vm)
        return sends

    # Probes

    def _announce_state(self) -> list[Send]:
        sends = []
        for member in self.sample(self.peers(), ANNOUNCEMENT_COUNT):
            reply_to = agent_address(self.local_member)
            ping = Ping(
                Seq(0), member.vm, reply_to, (self.local_member,), self.table_digest
            )
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
        if not self._probe_order:
            self._probe_order = [member.vm for member in self.peers()]
            self._rng.shuffle(self._probe_order)
        while self._probe_order:
            member = self._member_list.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member
        return None

    def _probe_indirectly(self, seq: Seq, vm: VmId) -> list[Send]:
        target = self._member_list.get(vm)
        if target is None:
            return []
        others = [member for member in self.peers() if member.vm != vm]
        relays = self._rng.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
        return [self._ping(member, seq, vm) for member in (target, *relays)]

    def _ping(self, receiver: Member, seq: Seq, target: VmId) -> Send:
        suspicions = self._suspicion_updates(self._member_list.get(target))
        updates = (
            *suspicions,
            *self._member_list.update_queue.next_batch(self._member_count()),
        )
        ping = Ping(
            seq, target, agent_address(self.local_member), updates, self.table_digest
        )
        return Send(agent_address(receiver), receiver.region, ping)

    @staticmethod
    def _suspicion_updates(member: Member | None) -> tuple[Member, ...]:
        """Return the record of a member that isn't alive, so that it can refute it."""
        if member is None or member.state is MemberState.ALIVE:
            return ()
        return (member,)

    def _member_count(self) -> int:
        return len(self._member_list)

    def _reconnect(self) -> list[Send]:
        """Ping a dead member or an address without a live member, if there is one."""
        unreached = self._unreached_addresses()
        dead = self._member_list.dead_members()
        if not unreached and not dead:
            return []
        if dead and (
            not unreached or self._rng.random() < len(dead) / self._member_count()
        ):
            return [self._ping_dead(self._rng.choice(dead))]
        address = self._rng.choice(unreached)
        return [Send(address, self.local_member.region, self._members_request())]

    def _unreached_addresses(self) -> list[str]:
        """Return the seed and platform addresses that belong to no live member."""
        if self._live_addresses_seq != self.seq:
            self._live_addresses_seq = self.seq
            live_members = (self.local_member, *self.peers())
            self._live_addresses = {agent_address(member) for member in live_members}
        addresses = dict.fromkeys((*self._seed_addresses, *self._platform_addresses))
        return [address for address in addresses if address not in self._live_addresses]

    def _request_members(self, now: float) -> list[Send]:
        """Request all members from a random peer, less and less often without churn."""
        jitter = self._rng.uniform(0.75, 1.25)
        self._next_sync = now + self._sync_interval * jitter
        self._sync_interval = min(MAX_SYNC_INTERVAL_SECONDS, self._sync_interval * 2)
        return [
            Send(agent_address(member), member.region, self._members_request())
            for member in self.sample(self.peers(), 1)
        ]

    def _members_request(self) -> Ping:
        reply_to = agent_address(self.local_member)
        return Ping(
            Seq(0), UNKNOWN_VM, reply_to, (self.local_member,), self.table_digest
        )

    def _sync_sooner_on_churn(self, now: float) -> None:
        if (
            len(self._member_list.update_queue) < CHURN_THRESHOLD_UPDATES
            or now < self._next_churn_reset_at
        ):
            return
        self._next_churn_reset_at = now + CHURN_RESET_INTERVAL_SECONDS
        scaled_interval = self._member_count() * CHURN_SYNC_SECONDS_PER_MEMBER
        self._sync_interval = max(INITIAL_SYNC_INTERVAL_SECONDS, scaled_interval)
        self._next_sync = now + self._rng.random() * self._sync_interval

    def _ping_dead(self, member: Member) -> Send:
        reply_to = agent_address(self.local_member)
        ping = Ping(
            Seq(0), member.vm, reply_to, (self.local_member, member), self.table_digest
        )
        return Send(agent_address(member), member.region, ping)

    # Messages

    def _on_ping(self, now: float, sender: VmId, ping: Ping) -> list[Send]:
        self._apply(now, ping.updates)
        member = self._member_list.get(sender)
        region = self.local_member.region if member is None else member.region
        if ping.target not in (self.local_member.vm, UNKNOWN_VM):
            return self._relay_ping(ping, region)
        updates = (
            self.local_member,
            *self._suspicion_updates(member),
            *self._member_list.update_queue.next_batch(self._member_count()),
        )
        ack = Ack(ping.seq, self.local_member.vm, updates, self.table_digest)
        sends = [Send(ping.reply_to, region, ack)]
        if ping.target == UNKNOWN_VM:
            full_view = MembersView(self.seq, tuple(self.members().values()))
            sends.append(Send(ping.reply_to, region, full_view))
        return sends

    def _relay_ping(self, ping: Ping, region: RegionId) -> list[Send]:
        target = self._member_list.get(ping.target)
        if target is None:
            return []
        self._probe_seq = Seq(self._probe_seq + 1)
        self._relayed_probes[self._probe_seq] = _RelayedProbe(
            ping.reply_to, region, ping.seq
        )
        if len(self._relayed_probes) > MAX_RELAYED_PROBES:
            del self._relayed_probes[next(iter(self._relayed_probes))]
        return [self._ping(target, self._probe_seq, target.vm)]

    def _on_ack(self, now: float, ack: Ack) -> list[Send]:
        self._apply(now, ack.updates)
        probe = self._probes.pop(ack.seq, None)
        if probe is not None:
            self._member_list.on_answer(probe.vm)
        relayed = self._relayed_probes.pop(ack.seq, None)
        if relayed is None:
            return []
        forwarded = msgspec.structs.replace(ack, seq=relayed.seq)
        return [Send(relayed.reply_to, relayed.region, forwarded)]

    def _apply(
        self, now: float, updates: Iterable[Member], spread: bool = True
    ) -> None:
        self._member_list.apply(now, updates, spread)
        self._sync_sooner_on_churn(now)
