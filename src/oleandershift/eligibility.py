"""Which upstreams may get which requests, by everything that a VM knows."""

import math
from dataclasses import dataclass
from enum import Enum

from oleandershift.allowances import Allowances
from oleandershift.directory import (
    UNKNOWN_VERSION,
    Directory,
    Upstream,
    UpstreamRun,
)
from oleandershift.ids import ServiceId, SoftwareVersion
from oleandershift.quarantine import Quarantine
from oleandershift.standings import UpstreamStandings
from oleandershift.suspects import RequestSuspects


class Refusal(Enum):
    """Why an upstream does not get a request.

    Attributes
    ----------
    NOT_REGISTERED
        It is not registered any more, or another run of it is.
    LEAVING
        It accepts no new requests for good.
    UNCONFIRMED
        Its registration had ended, and only a restored store lists it again.
    AWAY
        It wants no request of this VM for a while.
    LIMITED
        It takes more requests of this VM only later.
    QUARANTINED
        The request crashes upstreams.
    OTHER_VERSION
        The stream began at another software version.
    """

    NOT_REGISTERED = "not registered"
    LEAVING = "leaving"
    UNCONFIRMED = "unconfirmed"
    AWAY = "away"
    LIMITED = "limited"
    QUARANTINED = "quarantined"
    OTHER_VERSION = "other version"


@dataclass(frozen=True, slots=True)
class Requirements:
    """What a request asks of its upstream.

    Parameters
    ----------
    suspects : RequestSuspects
        What of it may crash the upstream.
    version : SoftwareVersion or None
        Version that began the stream which the upstream goes on with; None for any.
    """

    suspects: RequestSuspects
    version: SoftwareVersion | None = None

    def accept(self, upstream: Upstream) -> bool:
        """Return whether an upstream may go on with the stream."""
        if self.version is None:
            return True
        return upstream.version == self.version != UNKNOWN_VERSION


@dataclass(frozen=True, slots=True)
class Eligibility:
    """Decides which upstreams may get a request.

    Every request asks it twice: when an upstream is chosen, and right before the
    request is sent, as seconds can lie between the two on a busy VM.

    Parameters
    ----------
    directory : Directory
        Registered upstreams, and runs that leave.
    standings : UpstreamStandings
        Upstreams that have turned this VM away.
    allowances : Allowances
        Limits that upstreams have named.
    quarantine : Quarantine
        Requests that crash upstreams.
    """

    directory: Directory
    standings: UpstreamStandings
    allowances: Allowances
    quarantine: Quarantine

    def eligible(
        self, now: float, service: ServiceId, requirements: Requirements
    ) -> list[Upstream]:
        """Return the upstreams of a service that may get a request."""
        usable = filter(requirements.accept, self.directory.usable(now, service))
        return self.standings.accepting(now, usable)

    def refusal(
        self,
        now: float,
        run: UpstreamRun,
        requirements: Requirements,
        *,
        is_booked: bool = False,
    ) -> Refusal | None:
        """Return why a run of an upstream may not get a request; None if it may.

        Parameters
        ----------
        now : float
            Current time, seconds.
        run : UpstreamRun
            The upstream.
        requirements : Requirements
            What the request asks of it.
        is_booked : bool
            Whether the request is booked under the upstream's limit.
        """
        entry = self.directory.get(run.upstream)
        if entry is None or entry.run != run:
            return Refusal.NOT_REGISTERED
        if self.directory.is_leaving(now, entry):
            return Refusal.LEAVING
        if self.directory.is_unconfirmed(now, entry):
            return Refusal.UNCONFIRMED
        if not self.standings.accepts(now, run):
            return Refusal.AWAY
        if not is_booked and self.allowances.wait_s(now, entry) > 0.0:
            return Refusal.LIMITED
        if self.quarantine.rejected(now, requirements.suspects) is not None:
            return Refusal.QUARANTINED
        if not requirements.accept(entry):
            return Refusal.OTHER_VERSION
        return None

    def return_s(
        self, now: float, service: ServiceId, requirements: Requirements
    ) -> float | None:
        """Return the seconds until the first upstream of a service is eligible.

        Parameters
        ----------
        now : float
            Current time, seconds.
        service : ServiceId
            The service.
        requirements : Requirements
            What the request asks of it.

        Returns
        -------
        float or None
            None if all of them leave, or take requests of other VMs only.
        """
        waits = [
            max(self.standings.wait_s(now, item.run), self.allowances.wait_s(now, item))
            for item in self.directory.usable(now, service)
            if requirements.accept(item)
        ]
        return min(filter(math.isfinite, waits), default=None)
