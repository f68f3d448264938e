"""The router process: an actor that holds the policy, and the HTTP front."""

import argparse
import resource
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import pykka

from oleandershift.calls import KeyIndex
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
    """Holds the policy, and carries out what it decides.

    Parameters
    ----------
    runtime : Runtime
        The process.
    desk : RouterDesk
        Shared with the request threads.
    server : Server
        The HTTP server.
    front : Front
        Its application.
    """

    def __init__(
        self,
        runtime: Runtime,
        desk: RouterContext,
        server: HttpServer,
        front: RouterApplication,
    ) -> None:
        super().__init__(runtime.stopped)
        self._runtime = runtime
        self._desk = desk
        self._server = server
        self._front = front
        self._subscription = Subscription(runtime.links.address)
        self._policy: Policy = POLICIES[runtime.cfg.policy](
            runtime.process,
            runtime.region,
            runtime.links.address,
            int(runtime.process.incarnation),
        )
        self._jobs: dict[RequestId, Job] = {}
        self._started: dict[RequestId, UpstreamId] = {}
        self._outliers = OutlierDetector()
        self._pause = PauseDetector(time.time())
        self._held: deque[object] = deque()
        self._ejected: frozenset[UpstreamId] = frozenset()
        self._outcomes: deque[Outcome] = deque(maxlen=MAX_REPORTED_OUTCOMES)
        self._next_check = 0.0
        self._next_report = 0.0
        self._drain_deadline: float | None = None
        self._closing_at: float | None = None
        self._handlers: dict[type, Callable[[Any], None]] = {
            Submit: self._submit,
            Cancelled: self._cancelled,
            Progressed: self._progressed,
            AttemptEnded: self._attempt_ended,
            JobEnded: self._job_ended,
        }

    def on_start(self) -> None:
        """Let the request threads reach the actor, and serve."""
        self._desk.attach_actor(self.actor_ref)
        self._server.start()

    def on_stop(self) -> None:
        """Close the sockets."""
        self._server.close()
        self._desk.close()
        super().on_stop()

    # Messages

    def on_envelope(self, envelope: Envelope) -> None:
        """Take a message of another process."""
        now = time.time()
        self._note_active(now)
        if envelope.sender.role is Role.AGENT:
            self._on_agent(now, envelope)
        if self._pause.is_holding(now):
            return
        self._carry_out(self._policy.on_envelope(now, envelope))

    def on_internal_message(self, message: object) -> None:
        """Take a message of a request's thread."""
        now = time.time()
        self._note_active(now)
        if self._pause.is_holding(now):
            self._held.append(message)
            return
        self._handlers[type(message)](message)

    def on_tick(self, now: float) -> None:
        """Take the passage of time."""
        self._note_active(now)
        if self._pause.is_holding(now):
            self._refresh(now)
            return
        while self._held:
            held = self._held.popleft()
            self._handlers[type(held)](held)
        self._outliers.on_tick(now)
        self._eject(now)
        self._carry_out(self._policy.on_tick(now))
        self._refresh(now)
        if now >= self._next_check:
            self._next_check = now + JOB_CHECK_INTERVAL_SECONDS
            self._check_jobs(now)
        if now >= self._next_report:
            self._next_report = now + REPORT_INTERVAL_SECONDS
            self._server.disconnect_stalled(now, self._runtime.cfg.idle_seconds)
            self._report(now)
        self._check_drain(now)

    def on_drain(self, now: float, deadline: float) -> None:
        """Take no new requests after a grace, and finish the others."""
        if self._drain_deadline is not None:
            return
        self._drain_deadline = deadline
        self._closing_at = now + self._runtime.cfg.grace_seconds
        self._runtime.events.write(EventName.DRAINING)
        self._server.drain()
        self._publish()

    def _on_agent(self, now: float, envelope: Envelope) -> None:
        if isinstance(envelope.body, DrainCommand):
            self.actor_ref.tell(DrainRequested(envelope.body.deadline))
            return
        incarnation = envelope.sender.incarnation
        was_ready = self._subscription.is_complete()
        changes = self._subscription.on_message(incarnation, envelope.body)
        if self._subscription.is_current():
            self._pause.end_hold()
        ready = self._subscription.is_complete()
        if not (changes.rows or changes.members_changed or ready != was_ready):
            return
        if ready and not was_ready:
            self._runtime.events.write(EventName.READY)
        self._carry_out(
            self._policy.configure(
                now,
                self._subscription.table,
                self._subscription.members,
                self._subscription.leaving_upstreams,
            )
        )
        self._publish()

    def _note_active(self, now: float) -> None:
        if self._pause.was_paused(now):
            self._subscription.request_sync()
        self._pause.record_activity(now)

    def _refresh(self, now: float) -> None:
        """Send the agent the heartbeat that is due."""
        for body in self._subscription.on_tick(now, self._desk.snapshot().ready):
            self._runtime.links.send(self._runtime.agent_address, body)

    def _publish(self) -> None:
        table = self._subscription.table
        complete = self._subscription.is_complete()
        draining = self._drain_deadline is not None
        closed = self._closing_at is not None and time.time() >= self._closing_at
        self._desk.publish(
            Snapshot(
                table=table,
                key_index=KeyIndex(table),
                ready=complete and not draining,
                accepting=complete and not closed,
                draining=draining,
                sweeps_claims=self._is_first_for_claims() and not draining,
            )
        )

    def _is_first_for_claims(self) -> bool:
        members = self._subscription.members.values()
        alive = [one for one in members if one.state is MemberState.ALIVE]
        order = ranked(CLAIMS_ROLE, alive)
        return bool(order) and order[0].vm == self._runtime.process.vm

    # Requests

    def _submit(self, message: Submit) -> None:
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
        self._carry_out(self._policy.submit(time.time(), queued))

    def _cancelled(self, message: Cancelled) -> None:
        now = time.time()
        if self._started.pop(message.request, None) is not None:
            self._carry_out(self._policy.finish(now, message.request, 0.0, False))
            return
        self._carry_out(self._policy.cancel(now, message.request))

    def _progressed(self, message: Progressed) -> None:
        if message.request in self._started:
            now = time.time()
            self._carry_out(
                self._policy.report_progress(now, message.request, message.cost)
            )

    def _attempt_ended(self, message: AttemptEnded) -> None:
        if self._started.pop(message.request, None) is None:
            return
        now = time.time()
        if message.healthy is not None:
            self._judge(now, message.upstream, message.healthy)
        self._carry_out(
            self._policy.finish(now, message.request, message.cost, message.was_sent)
        )

    def _judge(self, now: float, upstream: UpstreamId, healthy: bool) -> None:
        table = self._subscription.table
        row = table.upstreams.get(upstream)
        if row is None:
            return
        peers = len(table.upstreams_of(row.service))
        self._outliers.record(now, row.service, upstream, peers, healthy)
        self._eject(now)

    def _eject(self, now: float) -> None:
        ejected = self._outliers.ejected()
        if ejected == self._ejected:
            return
        for upstream in ejected - self._ejected:
            self._runtime.events.write(EventName.UPSTREAM_EJECTED, upstream=upstream)
        for upstream in self._ejected - ejected:
            self._runtime.events.write(EventName.UPSTREAM_RESTORED, upstream=upstream)
        self._ejected = ejected
        self._carry_out(self._policy.set_ejected(now, ejected))

    def _job_ended(self, message: JobEnded) -> None:
        self._jobs.pop(message.outcome.request, None)
        self._outcomes.append(message.outcome)

    def _carry_out(self, actions: Iterable[Action]) -> None:
        due = deque(actions)
        while due:
            action = due.popleft()
            if isinstance(action, Send):
                self._runtime.links.send(action.address, action.body, action.region)
            else:
                due.extend(self._decide(action))

    def _decide(self, decision: Start | Refuse) -> list[Action]:
        """Give a request's thread its decision; hand back what nobody waits for."""
        job = self._jobs.get(decision.request)
        if job is None and isinstance(decision, Start):
            return self._policy.finish(time.time(), decision.request, 0.0, False)
        if job is None:
            return []
        if isinstance(decision, Start):
            self._started[decision.request] = decision.upstream
        job.decisions.put(decision)
        return []

    def _check_jobs(self, now: float) -> None:
        for job in self._jobs.values():
            if not job.call.idempotent and job.attempt is not None:
                continue
            if job.is_disconnected():
                job.abandon(Fault.CALLER_GONE)
            elif job.call.deadline is not None and now >= job.call.deadline:
                job.abandon(Fault.DEADLINE)

    # Status and drain

    def _report(self, now: float) -> None:
        snapshot = self._desk.snapshot()
        report = StatusReport(
            process=self._runtime.process,
            reported_at=now,
            ready=snapshot.ready,
            draining=snapshot.draining,
            table_digest=self._subscription.digest(),
            teams=self._policy.team_statuses(),
            traffic=self._runtime.links.traffic(),
            outcomes=self._new_outcomes(),
            cpu_seconds=_cpu_seconds(),
            resident_bytes=_resident_bytes(),
        )
        self._runtime.metrics.on_report(report)
        self._runtime.links.send(self._runtime.agent_address, report)

    def _new_outcomes(self) -> tuple[Outcome, ...]:
        found = tuple(self._outcomes)
        self._outcomes.clear()
        return found

    def _check_drain(self, now: float) -> None:
        if self._closing_at is None or now < self._closing_at:
            return
        if self._desk.snapshot().accepting:
            self._publish()
            self._carry_out(self._policy.drain(now))
        assert self._drain_deadline is not None
        idle = self._front.limiter.active_requests == 0 and self._server.is_flushed()
        idle = idle and self._desk.claim_client.is_idle()
        if idle or now >= self._drain_deadline:
            self._report(now)
            self.stop()


def start(runtime: Runtime) -> pykka.ActorRef[Any]:
    """Start the actor and the HTTP server."""
    cfg: argparse.Namespace = runtime.cfg
    desk = RouterContext(runtime)
    front = RouterApplication(desk, cfg.max_requests)
    server = HttpServer(front, cfg.ip, cfg.http_port, cfg.max_requests)
    return RouterActor.start(runtime, desk, server, front)
