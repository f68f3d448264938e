"""Actor of the agent daemon: membership, table replica and status of one VM."""

import time
from collections.abc import Iterable
from typing import Any

from loguru import logger

from oleandershift.dispatch import Send
from oleandershift.events import EventName
from oleandershift.exceptions import Finding
from oleandershift.ids import VmId
from oleandershift.io.connections import BoundedLinks
from oleandershift.io.daemon import DaemonActor, Runtime
from oleandershift.io.platform import PlatformClient
from oleandershift.io.queries import AgentIdentity, QueryServer
from oleandershift.io.replies import ReplyBuilder
from oleandershift.io.watch import (
    TABLE_KINDS,
    PlatformRows,
    PlatformState,
    PlatformStatus,
    PlatformVms,
    PlatformWatch,
)
from oleandershift.leaving import LeavingUpstreams, ListedState, UpstreamHosts
from oleandershift.membership import Membership, agent_address
from oleandershift.messages import (
    Ack,
    DrainCommand,
    Envelope,
    Member,
    MemberState,
    MembersView,
    OperatorQuery,
    OperatorReply,
    Ping,
    QueryKind,
    Role,
    Row,
    RowsUpdate,
    StatusReport,
    Subscribe,
    TableSummary,
)
from oleandershift.objects import ObjectKind
from oleandershift.processes import LocalProcesses, LocalSend
from oleandershift.rendezvous import watchers_for
from oleandershift.replication import PUSH_FANOUT, PeerAddress, Replication, RowChanges

WATCHERS_PER_REGION = 2
ROLE_START_DELAY_SECONDS = 0.5
ROLE_CHECK_INTERVAL_SECONDS = 0.25
PUBLISH_INTERVAL_SECONDS = 0.2
REPORT_INTERVAL_SECONDS = 1.0
LEAVE_GOSSIP_SECONDS = 1.0
MAX_LOGGED_ROWS = 20
LOCAL_PROCESS_TIMEOUT_SECONDS = 3.0
QUERY_TIMEOUT_SECONDS = 2.0


class AgentActor(DaemonActor):
    """Maintains the membership, the table replica and the status of one VM.

    Parameters
    ----------
    runtime : Runtime
        Settings, links and event log.
    """

    asked_types = (OperatorQuery,)

    def __init__(self, runtime: Runtime) -> None:
        super().__init__(runtime.stopped)
        cfg = runtime.cfg
        member = _local_member(runtime)
        random_seed = member.incarnation
        self._runtime = runtime
        self._links = BoundedLinks(runtime.links)
        seed_addresses = [f"tcp://{address}" for address in cfg.seeds]
        self._membership = Membership(member, seed_addresses, random_seed)
        self._replication = Replication(agent_address(member), random_seed)
        self._processes = LocalProcesses(self._replication.replica)
        self._reply_builder = ReplyBuilder(
            runtime, self._membership, self._replication, self._processes
        )
        self._upstream_hosts = UpstreamHosts()
        self._leaving = LeavingUpstreams()
        self._logged_states: dict[VmId, MemberState] = {}
        self._listed_kinds: set[ObjectKind] = set()
        self._platform_state = PlatformState.UNWATCHED
        self._watching = False
        self._platform_watch = PlatformWatch(
            PlatformClient(cfg.platform_url), self._post_to_self
        )
        self._query_server = QueryServer(
            AgentIdentity(cfg.fleet, runtime.process, runtime.region),
            f"tcp://{cfg.ip}:{cfg.query_port}",
            self._query_self,
            runtime.events,
        )
        self._roles_start_at = time.time() + (
            ROLE_START_DELAY_SECONDS if seed_addresses else 0.0
        )
        self._next_role_check_at = 0.0
        self._next_publish_at = 0.0
        self._next_report_at = 0.0
        self._published_seq = 0
        self._earliest_stop_at: float | None = None
        self._drain_deadline = 0.0

    # Lifecycle

    def on_start(self) -> None:
        """Start the platform watch and the query server."""
        self._platform_watch.start()
        self._query_server.start()

    def on_stop(self) -> None:
        """Stop the platform watch and the query server."""
        self._platform_watch.close()
        self._query_server.close()
        super().on_stop()

    def on_drain(self, now: float, deadline: float) -> None:
        """Leave the fleet; stop once no local process is active or at `deadline`."""
        if self._earliest_stop_at is not None:
            return
        self._runtime.events.write(EventName.DRAINING)
        self._earliest_stop_at = now + LEAVE_GOSSIP_SECONDS
        self._drain_deadline = deadline
        self._send(self._membership.leave())

    def on_tick(self, now: float) -> None:
        """Run the periodic work that is due."""
        self._membership.table_digest = self._replication.digest()
        self._send(self._membership.on_tick(now))
        if now >= self._next_role_check_at:
            self._next_role_check_at = now + ROLE_CHECK_INTERVAL_SECONDS
            self._update_role(now)
        if now >= self._next_publish_at and self._published_seq != self._membership.seq:
            self._next_publish_at = now + PUBLISH_INTERVAL_SECONDS
            self._publish_members()
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_SECONDS
            draining = self._earliest_stop_at is not None
            self._runtime.metrics.on_report(self._reply_builder.status_report(draining))
        if self._earliest_stop_at is not None and now >= self._earliest_stop_at:
            self._finish_leaving(now)

    def _finish_leaving(self, now: float) -> None:
        has_active_processes = self._processes.active_since(
            now - LOCAL_PROCESS_TIMEOUT_SECONDS
        )
        if has_active_processes and now < self._drain_deadline:
            return
        self._send(self._membership.stop())
        self.stop()

    # Messages from other processes

    def on_envelope(self, envelope: Envelope) -> None:
        """Handle a message from a local process or from another agent."""
        now = time.time()
        body = envelope.body
        if isinstance(body, Subscribe | StatusReport):
            self._on_local_message(now, envelope)
        elif envelope.sender.role is Role.AGENT:
            self._on_agent_message(now, envelope)

    def _on_local_message(self, now: float, envelope: Envelope) -> None:
        if envelope.sender.vm != self._runtime.process.vm:
            return
        body = envelope.body
        if isinstance(body, Subscribe):
            view = self._membership.local_view(self._leaving.upstreams)
            sends = self._processes.on_subscribe(now, envelope.sender, body, view)
            self._send_local(sends)
        elif isinstance(body, StatusReport):
            self._processes.on_status_report(now, body)

    def _on_agent_message(self, now: float, envelope: Envelope) -> None:
        body = envelope.body
        sender = envelope.sender.vm
        # Agents gossip the set of leaving upstreams as a view without members.
        if isinstance(body, MembersView) and not body.members:
            self._on_leaving_view(body)
            return
        self._send(self._membership.on_message(now, sender, body))
        member = self._membership.members().get(sender)
        if member is None:
            return
        peer = PeerAddress(agent_address(member), member.region)
        if isinstance(body, Ping | Ack):
            self._on_digest(now, peer, body.table_digest)
        elif isinstance(body, RowsUpdate):
            self._apply_rows(body.rows)
        elif isinstance(body, TableSummary):
            self._send(self._replication.on_summary(peer, body))

    def _on_digest(self, now: float, peer: PeerAddress, digest: bytes) -> None:
        was_complete = self._replication.replica.complete
        self._send(self._replication.on_digest(now, peer, digest))
        if not was_complete and self._replication.replica.complete:
            self._become_ready()

    def _on_leaving_view(self, view: MembersView) -> None:
        if self._leaving.update_from_agent(view):
            self._gossip_leaving()
            self._membership.bump_seq()
            self._publish_members()

    # Messages from this process's own threads

    def on_internal_message(self, message: object) -> Any:
        """Handle a message from the platform watch or the query server."""
        if isinstance(message, PlatformRows):
            return self._on_platform_rows(message)
        if isinstance(message, PlatformStatus):
            return self._on_platform_status(message.state)
        if isinstance(message, PlatformVms):
            return self._on_platform_vms(message)
        if isinstance(message, OperatorQuery):
            return self._reply_to_query(message)
        return super().on_internal_message(message)

    def _on_platform_rows(self, message: PlatformRows) -> None:
        self._apply_rows(message.rows)
        if message.complete:
            self._listed_kinds.add(message.kind)
        replica = self._replication.replica
        if not replica.complete and self._listed_kinds.issuperset(TABLE_KINDS):
            replica.complete = True
            self._become_ready()

    def _on_platform_status(self, state: PlatformState) -> None:
        if not self._watching:
            return
        events = self._runtime.events
        if (
            state is PlatformState.UNAVAILABLE
            and self._platform_state is not PlatformState.UNAVAILABLE
        ):
            events.write(EventName.PLATFORM_UNAVAILABLE, "WARNING")
        if (
            self._platform_state is PlatformState.UNAVAILABLE
            and state is not PlatformState.UNAVAILABLE
        ):
            events.write(EventName.PLATFORM_RECOVERED)
        self._platform_state = state

    def _on_platform_vms(self, message: PlatformVms) -> None:
        if not self._watching:
            return
        leaving = [vm for vm in message.vms if vm.state is ListedState.LEAVING]
        live = [vm for vm in message.vms if vm.state is ListedState.LIVE]
        port = self._runtime.cfg.agent_port
        addresses = [
            f"tcp://{vm.ip}:{port}"
            for vm in self._upstream_hosts.vms_without_upstreams(live)
        ]
        self._membership.set_platform_addresses(addresses)
        if self._leaving.update_from_platform(
            time.time(), self._upstream_hosts.upstreams_on(leaving)
        ):
            self._membership.bump_seq()
            self._publish_members()
        self._gossip_leaving()

    def _reply_to_query(self, query: OperatorQuery) -> OperatorReply:
        if query.kind is QueryKind.DRAIN:
            self._drain_vm(query.deadline)
        draining = self._earliest_stop_at is not None
        return self._reply_builder.reply(query, self._platform_state.value, draining)

    def _drain_vm(self, deadline: float) -> None:
        self._send_local(self._processes.broadcast([DrainCommand(deadline)]))
        self.on_drain(time.time(), deadline)

    # Table

    def _apply_rows(self, rows: Iterable[Row]) -> None:
        peers = self._membership.peers(self._runtime.region)
        changes = self._replication.apply_rows(rows, peers)
        self._log_findings(changes.findings)
        if not changes.rows:
            return
        self._processes.record_change(
            changes.previous_digest, changes.replaced_versions
        )
        self._upstream_hosts.update(changes.rows)
        self._send(changes.sends)
        self._send_local(self._processes.push_rows(changes.rows))
        self._log_rows(changes)

    def _log_rows(self, changes: RowChanges) -> None:
        events = self._runtime.events
        for row in changes.rows[:MAX_LOGGED_ROWS]:
            detail = f"{row.kind}/{row.name} version {row.version}"
            events.write(EventName.ROW_CHANGED, detail=detail)
        remaining = len(changes.rows) - MAX_LOGGED_ROWS
        if remaining > 0:
            events.write(EventName.ROW_CHANGED, detail=f"{remaining} more rows")

    def _log_findings(self, findings: Iterable[Finding]) -> None:
        for finding in findings:
            logger.warning("row skipped, the previous version is kept: {}", finding)

    def _become_ready(self) -> None:
        self._runtime.events.write(EventName.READY)
        self._send_local(self._processes.sync_all())

    # Members and roles

    def _update_role(self, now: float) -> None:
        """Log member changes, disconnect expired processes and update the role."""
        self._log_members()
        for address in self._processes.expire(now):
            self._links.disconnect(address)
        is_watcher = now >= self._roles_start_at and self._is_watcher()
        if is_watcher == self._watching:
            return
        self._watching = is_watcher
        if not is_watcher:
            self._platform_state = PlatformState.UNWATCHED
        self._platform_watch.set_active(is_watcher)
        name = EventName.ROLE_ACQUIRED if is_watcher else EventName.ROLE_RELEASED
        self._runtime.events.write(name, detail="platform watch")

    def _is_watcher(self) -> bool:
        region = self._runtime.region
        candidates = [self._membership.local_member, *self._membership.peers(region)]
        watchers = watchers_for(region, candidates, WATCHERS_PER_REGION)
        return any(member.vm == self._runtime.process.vm for member in watchers)

    def _publish_members(self) -> None:
        self._published_seq = self._membership.seq
        view = self._membership.local_view(self._leaving.upstreams)
        self._send_local(self._processes.broadcast([view]))

    def _gossip_leaving(self) -> None:
        peers = self._membership.peers(self._runtime.region)
        for member in self._membership.sample(peers, PUSH_FANOUT):
            view = self._leaving.to_message()
            self._links.send(agent_address(member), view, member.region)

    def _log_members(self) -> None:
        members = self._membership.members()
        for member in members.values():
            if self._logged_states.get(member.vm) is member.state:
                continue
            self._logged_states[member.vm] = member.state
            detail = f"{member.vm} is {member.state.value}"
            self._runtime.events.write(EventName.MEMBER_CHANGED, detail=detail)
            if member.state is MemberState.DEAD:
                self._links.disconnect(agent_address(member))
        for vm in self._logged_states.keys() - members.keys():
            del self._logged_states[vm]

    # Sending

    def _send(self, sends: Iterable[Send]) -> None:
        for send in sends:
            self._links.send(send.address, send.body, send.region)

    def _send_local(self, sends: Iterable[LocalSend]) -> None:
        for send in sends:
            self._links.send(send.address, send.body)

    def _post_to_self(self, message: object) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(message)

    def _query_self(self, query: OperatorQuery) -> OperatorReply:
        reply = self.actor_ref.ask(query, timeout=QUERY_TIMEOUT_SECONDS)
        assert isinstance(reply, OperatorReply)
        return reply


def _local_member(runtime: Runtime) -> Member:
    cfg = runtime.cfg
    return Member(
        vm=runtime.process.vm,
        region=runtime.region,
        data_centre=cfg.data_centre,
        ip=cfg.ip,
        agent_port=cfg.agent_port,
        query_port=cfg.query_port,
        allocator_port=cfg.allocator_port,
        router_port=cfg.router_port,
        http_port=cfg.http_port,
        incarnation=runtime.process.incarnation,
    )
