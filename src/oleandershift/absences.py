"""Upstreams that are not at their address any more."""

from enum import Enum

from oleandershift.directory import Upstream, UpstreamRun


class AbsenceProof(Enum):
    """What showed that an upstream is not at its address.

    Attributes
    ----------
    CONNECTION_REFUSED
        Nothing listens there.
    ADDRESS_REUSED
        Another upstream answers there.
    """

    CONNECTION_REFUSED = "connection refused"
    ADDRESS_REUSED = "address reused"

    @property
    def valid_seconds(self) -> float:
        """Time for which the proof keeps requests away from the upstream."""
        return _VALID_SECONDS[self]


_VALID_SECONDS = {
    # An upstream that only restarts listens again by then.
    AbsenceProof.CONNECTION_REFUSED: 2.0,
    # Longer than a registration outlives its upstream.
    AbsenceProof.ADDRESS_REUSED: 10.0,
}


class AbsenceTracker:
    """Upstreams that this VM found absent.

    A registration outlives its upstream by seconds. Meanwhile an absent upstream looks
    idle, so it would attract most requests of all VMs.
    """

    def __init__(self) -> None:
        self._valid_until: dict[UpstreamRun, float] = {}

    def record(self, now: float, upstream: Upstream, proof: AbsenceProof) -> None:
        """Record a proof; only a later run of the upstream gets requests meanwhile."""
        self._valid_until[upstream.run] = now + proof.valid_seconds

    def absent(self, now: float) -> frozenset[UpstreamRun]:
        """Return the runs of upstreams that this VM found absent."""
        self._valid_until = {
            run: until for run, until in self._valid_until.items() if until > now
        }
        return frozenset(self._valid_until)
