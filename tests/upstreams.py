"""Registrations of upstreams for tests."""

from oleandershift.allowances import Allowances, Fleet
from oleandershift.directory import Directory, Upstream, UpstreamState
from oleandershift.eligibility import Eligibility, Requirements
from oleandershift.ids import (
    DataCentreId,
    Fingerprint,
    ServiceId,
    SoftwareVersion,
    UpstreamId,
    VmId,
)
from oleandershift.quarantine import Quarantine, QuarantineLimits
from oleandershift.standings import UpstreamStandings
from oleandershift.suspects import RequestSuspects

REQUEST = Requirements(RequestSuspects(None, lambda: Fingerprint("request")))
"""What a request asks that any upstream may get."""


def make_upstream(
    name: str = "e1", data_centre: str = "here", port: int = 1, slots: int = 8
) -> Upstream:
    """Return an upstream that accepts new requests."""
    return Upstream(
        name=UpstreamId(name),
        incarnation=1,
        service=ServiceId("model"),
        host="127.0.0.1",
        port=port,
        data_centre=DataCentreId(data_centre),
        slots=slots,
        state=UpstreamState.READY,
        version=SoftwareVersion("v1"),
    )


def make_allowances(vm: str = "vm", fleet: Fleet | None = None) -> Allowances:
    """Return the allowances of a VM that knows of no limit."""
    return Allowances(VmId(vm), DataCentreId("here"), lambda now: fleet or Fleet())


def make_eligibility(
    directory: Directory | None = None,
    standings: UpstreamStandings | None = None,
    allowances: Allowances | None = None,
) -> Eligibility:
    """Return the eligibility of a VM that knows of nothing wrong."""
    return Eligibility(
        directory or Directory(),
        standings or UpstreamStandings(),
        allowances or make_allowances(),
        Quarantine(QuarantineLimits(), lambda now, name: 0),
    )
