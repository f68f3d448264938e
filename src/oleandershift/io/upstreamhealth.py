"""Records what exchanges show of the upstreams' health."""

from oleandershift.absences import AbsenceProof
from oleandershift.directory import Upstream
from oleandershift.io.call import Call
from oleandershift.io.clock import now
from oleandershift.io.crashchecks import CrashChecks
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.pool import ConnectionPool
from oleandershift.outliers import OutlierDetector
from oleandershift.quarantine import BrokenExchange
from oleandershift.state import FleetState


class UpstreamHealth:
    """Records failures, absences and crashes of upstreams.

    Parameters
    ----------
    state : FleetState
        Absences and quarantine of this VM.
    outliers : OutlierDetector
        Upstreams that are ejected because of failures.
    pool : ConnectionPool
        Opens the connections that show whether an upstream has crashed.
    log : DecisionLog
        Receives one line per finding.
    """

    def __init__(
        self,
        state: FleetState,
        outliers: OutlierDetector,
        pool: ConnectionPool,
        log: DecisionLog,
    ) -> None:
        self._state = state
        self._outliers = outliers
        self._log = log
        self._crash_checks = CrashChecks(
            pool, lambda run: run in state.absent(now()), self.record_unreachable
        )

    def record_outcome(self, upstream: Upstream, healthy: bool) -> None:
        """Record whether an upstream answered as it should."""
        upstream_count = len(self._state.view.directory.usable(now(), upstream.service))
        self._outliers.record(
            now(), upstream.service, upstream.name, upstream_count, healthy
        )

    def record_unreachable(
        self, upstream: Upstream, exc: Exception, request: str = ""
    ) -> None:
        """Record a failed connect, of a request or of a check."""
        upstream_count = len(self._state.view.directory.usable(now(), upstream.service))
        self._outliers.record_unreachable(
            now(), upstream.service, upstream.name, upstream_count
        )
        self._log.warning(
            "upstream.unreachable",
            request=request,
            upstream=upstream.name,
            reason=repr(exc),
        )
        if isinstance(exc, ConnectionRefusedError):
            self.record_absence(upstream, AbsenceProof.CONNECTION_REFUSED)

    def record_absence(self, upstream: Upstream, proof: AbsenceProof) -> None:
        """Record that an upstream is not at its address."""
        self._log.info("upstream.absent", upstream=upstream.name, proof=proof.value)
        self._state.absences.record(now(), upstream, proof)
        self._state.on_load_change()

    def suspect_crash(self, call: Call, upstream: Upstream) -> None:
        """Record an exchange that may have ended with its upstream, and find out."""
        self._state.quarantine.on_broken(
            BrokenExchange(
                upstream.run, call.suspects.all(), call.id, call.sent_at, now()
            )
        )
        self._crash_checks.start(upstream)

    async def confirm_crash(self, upstream: Upstream) -> None:
        """Wait until it shows whether an upstream has crashed, but not for long."""
        await self._crash_checks.wait(upstream)
        self._state.confirm_crashes(now())

    async def outlives_answer(self, upstream: Upstream) -> bool:
        """Return whether an upstream lives after an answer that its connection ended.

        The connections of a process that was killed end in good order.
        """
        return await self._crash_checks.outlives(upstream)
