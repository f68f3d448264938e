"""Ends of calls: what their callers get, what is logged and counted."""

from oleandershift.ids import TeamId
from oleandershift.io.call import Call
from oleandershift.io.callers import CallerRequest, Headers, Responder
from oleandershift.io.clock import now, remaining
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.requestresolver import RefusalError, attempt_id
from oleandershift.io.sharelog import level_field, rate_fields
from oleandershift.io.upstreamconn import AnswerEnd
from oleandershift.placement import Choice
from oleandershift.shedding import MIN_RETRY_AFTER_SECONDS, AdmissionDecision


class CallEndings:
    """Ends calls, and records how they ended.

    Parameters
    ----------
    log : DecisionLog
        Receives one line per call that did not simply succeed.
    metrics : GatewayMetrics
        Request counters and latency histograms.
    """

    def __init__(self, log: DecisionLog, metrics: GatewayMetrics) -> None:
        self._log = log
        self._metrics = metrics

    def reject(
        self,
        req: CallerRequest,
        res: Responder,
        rejection: RefusalError,
        configuration_version: int | None,
    ) -> None:
        """Reject a request that was not resolved."""
        self._log.info(
            "request.refused",
            request=attempt_id(req),
            status=rejection.status,
            reason=rejection.detail,
            configuration=configuration_version,
        )
        fields: Headers = []
        if rejection.status == 503:
            fields.append((b"retry-after", b"0.5"))
        res.send(rejection.status, fields, rejection.detail.encode())

    def turn_away(
        self,
        req: CallerRequest,
        res: Responder,
        team: TeamId | None,
        reason: str,
        retry_after_s: float,
    ) -> None:
        """Reject a request that was not resolved, as there is no room for it."""
        self._log.info(
            "request.refused",
            request=attempt_id(req),
            status=503,
            reason=reason,
            team=team,
            retry_after_s=round(retry_after_s, 2),
        )
        self._metrics.turned_away.inc()
        fields: Headers = [(b"retry-after", b"%.2f" % retry_after_s)]
        res.send(503, fields, b"VM overloaded")

    def complete(self, call: Call, status: int, end: AnswerEnd) -> None:
        """Record a call whose answer was passed on."""
        self._metrics.answers.labels(end.value).inc()
        first_byte_s = max(0.0, call.first_byte_at - call.req.arrived_at)
        late = first_byte_s > call.route.target_ms / 1000
        self._observe_latency(call, first_byte_s)
        fields = {
            "request": call.id,
            "team": call.team.name if call.team else None,
            "status": status,
            "first_ms": round(first_byte_s * 1000),
            "total_ms": round((now() - call.req.arrived_at) * 1000),
            "events": call.event_stream.event_count,
            "sends": call.send_count,
            "end": end.value,
            **_phase_fields(call),
            **_placement_fields(call.choice),
            **_admission_fields(call.admission),
        }
        if status >= 400:
            self._log.info("request.failed", **fields, reason="its own answer")
            self._count_request(call, "failed")
        elif late:
            self._log.info("request.late", **fields)
            self._count_request(call, "late")
        else:
            log = self._log.info if call.was_retried else self._log.debug
            log("request.done", **fields)
            self._count_request(call, "in-time")

    def abort_stream(self, call: Call, res: Responder, reason: str) -> None:
        """Close the caller's connection so that a broken stream looks incomplete."""
        self._log.warning(
            "stream.cut",
            request=call.id,
            reason=reason,
            events=call.event_stream.event_count,
        )
        self._count_request(call, "cut")
        res.abort()

    def give_up(
        self,
        call: Call,
        res: Responder,
        reason: str,
        retry_after_s: float = MIN_RETRY_AFTER_SECONDS,
    ) -> None:
        """End a request whose last attempt failed, or that no upstream can serve."""
        if res.started:
            self.abort_stream(call, res, reason)
            return
        if call.failed_response is not None:
            status, fields, body = call.failed_response
            res.send(status, fields, body)
            self._log.info(
                "request.failed", request=call.id, status=status, reason=reason
            )
            self._count_request(call, "failed")
            return
        self.send_error(call, res, reason, 502, retry_after_s)

    def on_deadline(self, call: Call, res: Responder) -> None:
        """End a request whose deadline has passed, or that a planned stop ends."""
        reason = "deadline" if remaining(call.deadline) <= 0 else "shutting down"
        if res.started:
            self.abort_stream(call, res, reason)
            return
        self.send_error(call, res, reason, 504)

    def send_error(
        self,
        call: Call,
        res: Responder,
        reason: str,
        unknown_status: int,
        retry_after_s: float = MIN_RETRY_AFTER_SECONDS,
        choice: Choice | None = None,
    ) -> None:
        """Send 503 if no upstream can have run the request, else `unknown_status`."""
        status = unknown_status if call.may_have_run else 503
        fields: Headers = []
        if status == 503:
            fields.append((b"retry-after", b"%.2f" % retry_after_s))
        self._log.info(
            "request.refused",
            request=call.id,
            status=status,
            reason=reason,
            route=call.route.name,
            team=call.team.name if call.team else None,
            configuration=call.configuration_version,
            sends=call.send_count,
            left_ms=round(remaining(call.deadline) * 1000),
            retry_after_s=round(retry_after_s, 2) if status == 503 else None,
            **_placement_fields(choice or call.choice),
            **_admission_fields(call.admission),
        )
        self._count_request(call, "refused" if status == 503 else "unknown")
        res.send(status, fields, reason.encode())

    def _observe_latency(self, call: Call, first_byte_s: float) -> None:
        kind = call.route.semantics.value
        self._metrics.first_byte.labels(kind).observe(first_byte_s)
        if call.choice is not None and call.prompt is not None:
            error = abs(call.choice.first_byte_s - first_byte_s)
            self._metrics.prediction_error.observe(error)

    def _count_request(self, call: Call, outcome: str) -> None:
        self._metrics.requests.labels(call.route.semantics.value, outcome).inc()


def _phase_fields(call: Call) -> dict[str, object]:
    """Return the log fields for the phases of a call up to its latest send."""
    arrived_at = call.req.arrived_at
    return {
        "read_ms": round((arrived_at - call.req.began_at) * 1000),
        "chosen_ms": round((call.chosen_at - arrived_at) * 1000),
        "connected_ms": round((call.connected_at - arrived_at) * 1000),
        "sent_ms": round((call.sent_at - arrived_at) * 1000),
    }


def _placement_fields(choice: Choice | None) -> dict[str, object]:
    """Return the log fields for the inputs of a placement decision."""
    if choice is None:
        return {}
    return {
        "upstream": choice.upstream.name,
        "version": choice.upstream.version,
        "predicted_ms": round(choice.first_byte_s * 1000),
        "running": choice.load.running,
        "unread": choice.load.prefill_tokens,
        "held": choice.load.kv_tokens,
        "uncached": choice.uncached_tokens,
        "home": choice.is_home,
    }


def _admission_fields(decision: AdmissionDecision | None) -> dict[str, object]:
    """Return the log fields for the inputs of an admission decision."""
    if decision is None:
        return {}
    return {
        "share": decision.share.value,
        "max_delay_ms": round(decision.max_delay_s * 1000),
        **rate_fields(decision.rate),
        "share_level": level_field(decision.level),
    }
