"""Records what upstreams say of themselves in their responses."""

from http import HTTPStatus

from oleandershift.allowances import AnnouncedLimit, parse_limit
from oleandershift.directory import Upstream
from oleandershift.io.clock import now, unix_ms
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.gatewaymetrics import GatewayMetrics
from oleandershift.io.pool import ConnectionPool
from oleandershift.io.upstreamconn import ResponseHead
from oleandershift.platform import headers
from oleandershift.standings import parse_away_seconds
from oleandershift.state import (
    AnnouncementKind,
    FleetState,
    LeavingReport,
    LeavingSource,
    LimitReport,
)


class Announcements:
    """Records that upstreams leave, want no work, or limit their requests.

    Parameters
    ----------
    state : FleetState
        Takes what they say, and reports what other VMs say of them.
    pool : ConnectionPool
        Passes the responses on; connections to upstreams that leave are closed.
    log : DecisionLog
        Receives one line per change.
    metrics : GatewayMetrics
        Counts reports of upstreams that leave.
    """

    def __init__(
        self,
        state: FleetState,
        pool: ConnectionPool,
        log: DecisionLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._state = state
        self._pool = pool
        self._log = log
        self._metrics = metrics
        pool.on_response = self._on_response
        state.on_leaving = self._on_leaving
        state.on_limit = self._on_limit

    def _on_response(
        self, upstream: Upstream, head: ResponseHead, sent_at: float | None
    ) -> None:
        """Record what an upstream says of itself in a response."""
        if sent_at is not None and head.status != HTTPStatus.MISDIRECTED_REQUEST:
            self._record_limit(upstream, head, sent_at)
        standings = self._state.standings
        request = (head.get(headers.ATTEMPT_ID) or b"").decode("latin-1")
        if head.get(headers.UPSTREAM_LEAVING) == b"1":
            self._record_announcement(upstream, AnnouncementKind.LEAVING)
            report = LeavingReport(upstream.run, LeavingSource.RESPONSE, request)
            self._state.record_leaving(report)
        if head.status == HTTPStatus.SERVICE_UNAVAILABLE:
            away_s = parse_away_seconds(head.get(headers.RETRY_AFTER))
            if away_s is not None:
                self._record_announcement(upstream, AnnouncementKind.AWAY)
            if away_s is not None and standings.on_turned_away(
                now(), upstream.run, away_s
            ):
                self._log.info(
                    "upstream.away",
                    upstream=upstream.name,
                    request=request,
                    away_s=away_s,
                )

    def _record_announcement(self, upstream: Upstream, kind: AnnouncementKind) -> None:
        self._state.on_announcement(now(), upstream.run, kind, unix_ms())

    def _record_limit(
        self, upstream: Upstream, head: ResponseHead, sent_at: float
    ) -> None:
        instant = now()
        values = head.get_all(headers.UPSTREAM_LIMIT)
        limit = parse_limit(values)
        if limit is None and values:
            return
        if limit is not None:
            self._record_announcement(upstream, AnnouncementKind.LIMIT)
        if self._state.allowances.on_answer(instant, upstream.run, limit, sent_at):
            request = (head.get(headers.ATTEMPT_ID) or b"").decode("latin-1")
            announced = AnnouncedLimit(upstream.run, limit, instant)
            self._on_limit(LimitReport(announced, request))

    def _on_limit(self, report: LimitReport) -> None:
        announced = report.announced
        has_begun = announced.limit is not None
        self._log.info(
            "upstream.limited" if has_begun else "upstream.unlimited",
            upstream=announced.run.upstream,
            limit_per_s=announced.limit,
            informant=report.informant,
        )

    def _on_leaving(self, report: LeavingReport) -> None:
        entry = self._state.view.directory.get(report.run.upstream)
        if entry is not None and entry.run == report.run:
            self._pool.close_idle(entry)
        source = report.source
        informant = "request" if source is LeavingSource.RESPONSE else "peer"
        self._metrics.leaving_reports.labels(source.value).inc()
        self._log.info(
            "upstream.leaving",
            upstream=report.run.upstream,
            source=source.value,
            **{informant: report.informant},
        )
