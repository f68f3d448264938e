"""The router process: the actor that runs the scheduling policy."""

import argparse
import resource
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import pykka

from oleandershift.calls import ApiKeyIndex
from oleandershift.dispatch import Action, Policy, QueuedRequest, Refuse, Send, Start
from oleandershift.events import EventName
from oleandershift.ids import RequestId, UpstreamId
from oleandershift.io.daemon import DaemonActor, DrainRequested, Runtime
from oleandershift.io.desk import RouterContext
from oleandershift.io.front import RouterApplication
from oleandershift.io.jobs import (
    AttemptEnded,
    Cancelled,
    Job,
    JobEnded,
    Progressed,
    Snapshot,
    Submit,
)
from oleandershift.io.server import HttpServer
from oleandershift.lifecycle import Fault
from oleandershift.messages import (
    DrainCommand,
    Envelope,
    MemberState,
    Outcome,
    Role,
    StatusReport,
)
from oleandershift.outliers import OutlierDetector
from oleandershift.pauses import PauseDetector
from oleandershift.policies import POLICIES
from oleandershift.rendezvous import ranked
from oleandershift.subscription import Subscription

JOB_CHECK_INTERVAL_SECONDS = 0.25
REPORT_INTERVAL_SECONDS = 1.0
MAX_REPORTED_OUTCOMES = 256
CLAIMS_ROLE = "claims"
MEMORY_PAGE_KIBIBYTES = 4


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * MEMORY_PAGE_KIBIBYTES * 1024


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class RouterActor(DaemonActor):
    """Runs the scheduling policy and executes its actions.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process.
    context : RouterContext
        State and services shared with the request threads.
    server : HttpServer
        The HTTP server.
    application : RouterApplication
        The WSGI application that it serves.
    """

    def __init__(
        self,
        runtime: Runtime,
        context: RouterContext,
        server: HttpServer,
        application: RouterApplication,
    ) -> None:
        super().__init__(runtime.stopped)
        self._runtime = runtime
        self._context = context
        self._server = server
        self._application = application
        self._subscription = Subscription(runtime.links.address)
        self._policy: Policy = POLICIES[runtime.cfg.policy](
            runtime.process,
            runtime.region,
            runtime.links.address,
            int(runtime.process.incarnation),
        )
        self._jobs: dict[RequestId, Job] = {}
        self._running: dict[RequestId, UpstreamId] = {}
        self._outlier_detector = OutlierDetector()
        self._pause_detector = PauseDetector(time.time())
        self._deferred_messages: deque[object] = deque()
        self._has_unapplied_changes = False
        self._ejected: frozenset[UpstreamId] = frozenset()
        self._outcomes: deque[Outcome] = deque(maxlen=MAX_REPORTED_OUTCOMES)
        self._next_check_at = 0.0
        self._next_report_at = 0.0
        self._drain_deadline: float | None = None
        self._grace_ends_at: float | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {
            Submit: self._on_submit,
            Cancelled: self._on_cancelled,
            Progressed: self._on_progressed,
            AttemptEnded: self._on_attempt_ended,
            JobEnded: self._on_job_ended,
        }

    def on_start(self) -> None:
        """Connect the request threads to the actor and start the HTTP server."""
        self._context.attach_actor(self.actor_ref)
        self._server.start()

    def on_stop(self) -> None:
        """Close the HTTP server and stop the background work."""
        self._server.close()
        self._context.close()
        super().on_stop()

    # Messages

    def on_envelope(self, envelope: Envelope) -> None:
        """Handle a message from another process.

        During a hold, which follows a pause of this process, only messages from the
        agent are handled, and decided by only after the hold.
        """
        now = time.time()
        self._record_activity(now)
        if envelope.sender.role is Role.AGENT:
            self._on_agent_message(now, envelope)
        if self._pause_detector.is_holding(now):
            return
        self._execute(self._policy.on_envelope(now, envelope))

    def on_internal_message(self, message: object) -> None:
        """Handle a message from a request's thread; defer it during a hold."""
        now = time.time()
        self._record_activity(now)
        if self._pause_detector.is_holding(now):
            self._deferred_messages.append(message)
            return
        self._handlers[type(message)](message)

    def on_tick(self, now: float) -> None:
        """Run periodic work."""
        self._record_activity(now)
        if self._pause_detector.is_holding(now):
            self._send_heartbeat(now)
            return
        self._apply_changes(now)
        while self._deferred_messages:
            message = self._deferred_messages.popleft()
            self._handlers[type(message)](message)
        self._outlier_detector.on_tick(now)
        self._apply_ejections(now)
        self._execute(self._policy.on_tick(now))
        self._send_heartbeat(now)
        if now >= self._next_check_at:
            self._next_check_at = now + JOB_CHECK_INTERVAL_SECONDS
            self._check_jobs(now)
        if now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_SECONDS
            self._server.disconnect_stalled(now, self._runtime.cfg.idle_seconds)
            self._send_report(now)
        self._check_drain(now)

    def on_drain(self, now: float, deadline: float) -> None:
        """Stop accepting requests after the grace period; finish accepted ones."""
        if self._drain_deadline is not None:
            return
        self._drain_deadline = deadline
        self._grace_ends_at = now + self._runtime.cfg.grace_seconds
        self._runtime.events.write(EventName.DRAINING)
        self._server.drain()
        self._publish_snapshot()

    def _on_agent_message(self, now: float, envelope: Envelope) -> None:
        if isinstance(envelope.body, DrainCommand):
            self.actor_ref.tell(DrainRequested(envelope.body.deadline))
            return
        incarnation = envelope.sender.incarnation
        was_ready = self._subscription.is_complete()
        changes = self._subscription.on_message(incarnation, envelope.body)
        if self._subscription.is_current():
            self._pause_detector.end_hold()
        ready = self._subscription.is_complete()
        if ready and not was_ready:
            self._runtime.events.write(EventName.READY)
        if changes.rows or changes.members_changed or ready != was_ready:
            self._has_unapplied_changes = True
        self._apply_changes(now)

    def _apply_changes(self, now: float) -> None:
        """Decide by what the agent has sent, unless decisions are held back."""
        if not self._has_unapplied_changes or self._pause_detector.is_holding(now):
            return
        self._has_unapplied_changes = False
        self._execute(
            self._policy.configure(
                now,
                self._subscription.table,
                self._subscription.members,
                self._subscription.leaving_upstreams,
            )
        )
        self._publish_snapshot()

    def _record_activity(self, now: float) -> None:
        if self._pause_detector.was_paused(now):
            self._subscription.request_sync()
        self._pause_detector.record_activity(now)

    def _send_heartbeat(self, now: float) -> None:
        """Send the agent a heartbeat if one is due."""
        for body in self._subscription.on_tick(now, self._context.snapshot().ready):
            self._runtime.links.send(self._runtime.agent_address, body)

    def _publish_snapshot(self) -> None:
        table = self._subscription.table
        complete = self._subscription.is_complete()
        draining = self._drain_deadline is not None
        is_closed = (
            self._grace_ends_at is not None and time.time() >= self._grace_ends_at
        )
        self._context.publish(
            Snapshot(
                table=table,
                key_index=ApiKeyIndex(table),
                ready=complete and not draining,
                accepting=complete and not is_closed,
                draining=draining,
                sweeps_claims=self._is_claim_sweeper() and not draining,
            )
        )

    def _is_claim_sweeper(self) -> bool:
        members = self._subscription.members.values()
        alive = [member for member in members if member.state is MemberState.ALIVE]
        ranking = ranked(CLAIMS_ROLE, alive)
        return bool(ranking) and ranking[0].vm == self._runtime.process.vm

    # Requests

    def _on_submit(self, message: Submit) -> None:
        job = message.job
        call = job.call
        self._jobs[call.request] = job
        queued = QueuedRequest(
            request=call.request,
            team=call.team,
            service=call.service,
            kind=call.kind,
            arrived_at=job.arrived_at,
            deadline=call.deadline,
            cost_hint=call.cost_hint,
            failed_upstreams=message.failed_upstreams,
            attempt=message.attempt,
        )
        self._execute(self._policy.submit(time.time(), queued))

    def _on_cancelled(self, message: Cancelled) -> None:
        now = time.time()
        if self._running.pop(message.request, None) is not None:
            self._execute(self._policy.finish(now, message.request, 0.0, False))
            return
        self._execute(self._policy.cancel(now, message.request))

    def _on_progressed(self, message: Progressed) -> None:
        if message.request in self._running:
            now = time.time()
            self._execute(
                self._policy.report_progress(now, message.request, message.cost)
            )

    def _on_attempt_ended(self, message: AttemptEnded) -> None:
        if self._running.pop(message.request, None) is None:
            return
        now = time.time()
        if message.healthy is not None:
            self._record_health(now, message.upstream, message.healthy)
        self._execute(
            self._policy.finish(now, message.request, message.cost, message.was_sent)
        )

    def _record_health(self, now: float, upstream: UpstreamId, healthy: bool) -> None:
        table = self._subscription.table
        row = table.upstreams.get(upstream)
        if row is None:
            return
        upstream_count = len(table.upstreams_of(row.service))
        self._outlier_detector.record(
            now, row.service, upstream, upstream_count, healthy
        )
        self._apply_ejections(now)

    def _apply_ejections(self, now: float) -> None:
        ejected = self._outlier_detector.ejected()
        if ejected == self._ejected:
            return
        for upstream in ejected - self._ejected:
            self._runtime.events.write(EventName.UPSTREAM_EJECTED, upstream=upstream)
        for upstream in self._ejected - ejected:
            self._runtime.events.write(EventName.UPSTREAM_RESTORED, upstream=upstream)
        self._ejected = ejected
        self._execute(self._policy.set_ejected(now, ejected))

    def _on_job_ended(self, message: JobEnded) -> None:
        self._jobs.pop(message.outcome.request, None)
        self._outcomes.append(message.outcome)

    def _execute(self, actions: Iterable[Action]) -> None:
        pending = deque(actions)
        while pending:
            action = pending.popleft()
            if isinstance(action, Send):
                self._runtime.links.send(action.address, action.body, action.region)
            else:
                pending.extend(self._deliver_decision(action))

    def _deliver_decision(self, decision: Start | Refuse) -> list[Action]:
        """Pass a decision to the request's thread; undo it if the request has ended."""
        job = self._jobs.get(decision.request)
        if job is None and isinstance(decision, Start):
            return self._policy.finish(time.time(), decision.request, 0.0, False)
        if job is None:
            return []
        if isinstance(decision, Start):
            self._running[decision.request] = decision.upstream
        job.decisions.put(decision)
        return []

    def _check_jobs(self, now: float) -> None:
        for job in self._jobs.values():
            if not job.call.idempotent and job.attempt is not None:
                continue
            if job.is_disconnected():
                job.abandon(Fault.CALLER_DISCONNECTED)
            elif job.call.deadline is not None and now >= job.call.deadline:
                job.abandon(Fault.DEADLINE)

    # Status reports and draining

    def _send_report(self, now: float) -> None:
        snapshot = self._context.snapshot()
        report = StatusReport(
            process=self._runtime.process,
            reported_at=now,
            ready=snapshot.ready,
            draining=snapshot.draining,
            table_digest=self._subscription.digest(),
            teams=self._policy.team_statuses(),
            traffic=self._runtime.links.traffic(),
            outcomes=self._pop_outcomes(),
            cpu_seconds=_cpu_seconds(),
            resident_bytes=_resident_bytes(),
        )
        self._runtime.metrics.on_report(report)
        self._runtime.links.send(self._runtime.agent_address, report)

    def _pop_outcomes(self) -> tuple[Outcome, ...]:
        outcomes = tuple(self._outcomes)
        self._outcomes.clear()
        return outcomes

    def _check_drain(self, now: float) -> None:
        if self._grace_ends_at is None or now < self._grace_ends_at:
            return
        if self._context.snapshot().accepting:
            self._publish_snapshot()
            self._execute(self._policy.drain(now))
        assert self._drain_deadline is not None
        is_idle = (
            self._application.limiter.active_requests == 0 and self._server.is_flushed()
        )
        is_idle = is_idle and self._context.claim_client.is_idle()
        if is_idle or now >= self._drain_deadline:
            self._send_report(now)
            self.stop()


def start(runtime: Runtime) -> pykka.ActorRef[Any]:
    """Start the router's actor, which starts the HTTP server."""
    cfg: argparse.Namespace = runtime.cfg
    context = RouterContext(runtime)
    application = RouterApplication(context, cfg.max_requests)
    server = HttpServer(application, cfg.ip, cfg.http_port, cfg.max_requests)
    return RouterActor.start(runtime, context, server, application)
