"""Prober of the configuration versions and revisions that gateways hold."""

import contextlib
import http.client
import random
import time

from standins.coldroute_sheet import key_of, version_path
from standins.gateway_fleet import HOST, Gateway
from standins.soak_versions import VersionGauges, VersionHistory, VersionProbe
from standins.wirecaller import WireConnection

PROBE_PAUSE_SECONDS = 0.25
PROBED_VERSIONS = 3


class VersionProber:
    """Asks a gateway for the routes of recent versions, and for its metrics.

    Parameters
    ----------
    gateway : Gateway
        The gateway.
    history : VersionHistory
        Where answers are recorded.
    versions : list of int
        Versions that have been in force, in order; grows.
    rng : random.Random
        Source of the draws.
    """

    def __init__(
        self,
        gateway: Gateway,
        history: VersionHistory,
        versions: list[int],
        rng: random.Random,
    ) -> None:
        self._gateway = gateway
        self._history = history
        self._versions = versions
        self._rng = rng
        self._serial = 0

    def run(self, until: float) -> None:
        """Ask again and again until a monotonic time."""
        while time.monotonic() < until:
            for ask in (self._ask_route, self._ask_metrics):
                # A gateway that is down or frozen says nothing.
                with contextlib.suppress(OSError, http.client.HTTPException):
                    ask(self._gateway)
            time.sleep(PROBE_PAUSE_SECONDS)

    def _ask_route(self, gateway: Gateway) -> None:
        pid = gateway.process.pid
        version = self._rng.choice(self._versions[-PROBED_VERSIONS:])
        self._serial += 1
        attempt_id = f"probe-{gateway.name}-{self._serial}"
        fields = {
            "Host": HOST,
            "Oleandershift-Attempt-Id": attempt_id,
            "Oleandershift-Deadline-Ms": "1200",
            "Authorization": f"Bearer {key_of(0)}",
        }
        conn = WireConnection(gateway.ip, gateway.frontend_port)
        sent_at = time.monotonic()
        answer = conn.call("GET", version_path(version) + "x", fields, b"", 1.5)
        conn.close()
        if gateway.process.pid == pid:
            life = gateway.name, pid
            self._history.probes.append(
                VersionProbe(life, version, answer.status, sent_at, answer.ended_at)
            )

    def _ask_metrics(self, gateway: Gateway) -> None:
        pid, sent_at = gateway.process.pid, time.monotonic()
        page = gateway.metrics()
        if gateway.process.pid != pid:
            return
        values = dict(
            line.rsplit(" ", 1) for line in page.splitlines() if line[:1] != "#"
        )
        version, revision, era = (
            int(float(values.get(f"oleander_{name}", 0)))
            for name in ("configuration_version", "upstreams_revision", "store_era")
        )
        self._history.gauges.append(
            VersionGauges((gateway.name, pid), sent_at, version, revision, era)
        )
