"""Actor of the allocator daemon: runs the allocators assigned to this VM."""

import resource
import time
from collections.abc import Iterable
from typing import Any

import pykka

from oleandershift.allocation import AllocatorAction
from oleandershift.dispatch import Send, UpstreamLoad
from oleandershift.eventactions import RecordEvent
from oleandershift.events import EventName
from oleandershift.io.daemon import DaemonActor, Runtime
from oleandershift.io.loads import LoadPoller
from oleandershift.messages import (
    DrainCommand,
    Envelope,
    MembersView,
    RowsUpdate,
    StatusReport,
)
from oleandershift.roles import AllocatorRoles
from oleandershift.subscription import HEARTBEAT_INTERVAL_SECONDS, Subscription

DRAIN_HANDOVER_SECONDS = 5.0
"""A draining allocator keeps granting so that routers can find its successor."""

PAGE_BYTES = resource.getpagesize()


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


class AllocatorActor(DaemonActor):
    """Executes the actions of the allocators on this VM.

    Parameters
    ----------
    runtime : Runtime
        Settings, links and event log.
    """

    def __init__(self, runtime: Runtime) -> None:
        super().__init__(runtime.stopped)
        self._runtime = runtime
        self._links = runtime.links
        self._subscription = Subscription(runtime.links.address)
        self._roles = AllocatorRoles(
            runtime.process.vm, runtime.region, runtime.links.address
        )
        self._load_poller = LoadPoller(self._post_load)
        self._next_report_at = 0.0
        self._stop_at: float | None = None
        self._was_ready = False

    def on_start(self) -> None:
        """Start polling upstreams."""
        self._load_poller.start()

    def on_stop(self) -> None:
        """Stop polling and let the process exit."""
        self._load_poller.close()
        super().on_stop()

    def on_envelope(self, envelope: Envelope) -> None:
        """Handle a message from the agent or from a router."""
        now = time.time()
        body = envelope.body
        if isinstance(body, RowsUpdate | MembersView):
            self._on_agent_message(now, envelope)
        elif isinstance(body, DrainCommand):
            self.on_drain(now, body.deadline)
        else:
            self._execute(self._roles.on_envelope(now, envelope))

    def on_tick(self, now: float) -> None:
        """Run the periodic work that is due."""
        for body in self._subscription.on_tick(now, self._is_ready()):
            self._links.send(self._runtime.agent_address, body)
        self._execute(self._roles.on_tick(now))
        if now >= self._next_report_at:
            self._next_report_at = now + HEARTBEAT_INTERVAL_SECONDS
            self._load_poller.set_upstreams(self._roles.polled_upstreams())
            self._send_status_report(now)
        if self._stop_at is not None and now >= self._stop_at:
            self.stop()

    def on_drain(self, now: float, deadline: float) -> None:
        """Keep granting while the roles move to other VMs, then stop."""
        if self._stop_at is not None:
            return
        self._stop_at = min(deadline, now + DRAIN_HANDOVER_SECONDS)
        self._runtime.events.write(EventName.DRAINING)

    def on_internal_message(self, message: object) -> Any:
        """Handle a load report from the poller."""
        if isinstance(message, UpstreamLoad):
            self._execute(self._roles.on_load(time.time(), message))
            return None
        return super().on_internal_message(message)

    def _post_load(self, load: UpstreamLoad) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(load)

    def _is_ready(self) -> bool:
        return self._subscription.is_complete() and self._stop_at is None

    def _on_agent_message(self, now: float, envelope: Envelope) -> None:
        if envelope.sender.vm != self._runtime.process.vm:
            return
        changes = self._subscription.on_message(
            envelope.sender.incarnation, envelope.body
        )
        if not self._subscription.is_complete():
            return
        if changes.rows or changes.members_changed or not self._was_ready:
            self._configure(now)
        if not self._was_ready:
            self._was_ready = True
            self._runtime.events.write(EventName.READY)

    def _configure(self, now: float) -> None:
        subscription = self._subscription
        actions = self._roles.configure(
            now,
            subscription.table,
            subscription.members,
            subscription.leaving_upstreams,
        )
        self._load_poller.set_upstreams(self._roles.polled_upstreams())
        self._execute(actions)

    def _execute(self, actions: Iterable[AllocatorAction]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._links.send(action.address, action.body, action.region)
            else:
                self._write_event(action)

    def _write_event(self, record: RecordEvent) -> None:
        self._runtime.events.write(
            record.event,
            grant=record.grant,
            team=record.team,
            service=record.service,
            upstream=record.upstream,
            detail=record.detail,
        )

    def _send_status_report(self, now: float) -> None:
        report = StatusReport(
            self._runtime.process,
            now,
            self._is_ready(),
            self._stop_at is not None,
            self._subscription.digest(),
            upstreams=self._roles.upstream_statuses(),
            traffic=self._links.traffic(),
            cpu_seconds=time.process_time(),
            resident_bytes=_resident_bytes(),
        )
        self._runtime.metrics.on_report(report)
        self._links.send(self._runtime.agent_address, report)


def start(runtime: Runtime) -> pykka.ActorRef[Any]:
    """Start the allocator's actor."""
    return AllocatorActor.start(runtime)
