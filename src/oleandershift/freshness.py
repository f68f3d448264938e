"""Up to when the store's content is known, and outages of the store."""

import math

OUTAGE_SECONDS = 2.0
"""Time without an answer of the store to any VM from which on registrations may have
lapsed: they do after three missed reports, each of which is due after more than a
second."""

REREGISTRATION_SECONDS = 2.0
"""Registrations that lapsed during an outage of the store are renewed within this time
after it recovered (platform contract)."""


class StoreFreshness:
    """Up to when this VM and others have read the store.

    A copy of the store is complete up to an instant: that of the latest answer of the
    store which this VM got, or of which others have told it. A store that answers no VM
    is out; a single VM that it does not answer is no outage.

    Attributes
    ----------
    own_read_until : float
        Instant up to which this VM has read the store, seconds; `-inf` before that.
    read_until : float
        Instant up to which any VM is known to have read it.
    current_until : float
        Instant up to which what this VM knows is complete: none of the VMs that have
        read more recently has found anything newer.
    reregistered_at : float
        Time by which registrations that lapsed in the last outage are renewed, seconds.
    """

    def __init__(self) -> None:
        self.own_read_until = -math.inf
        self.read_until = -math.inf
        self.current_until = -math.inf
        self.reregistered_at = -math.inf

    def on_read(self, now: float, until: float) -> None:
        """Record at a time that this VM has read the store up to an instant."""
        self.own_read_until = max(self.own_read_until, until)
        self.on_told(now, until, is_newer=False)

    def on_told(self, now: float, until: float, is_newer: bool) -> None:
        """Record that a VM has read the store up to an instant.

        Parameters
        ----------
        now : float
            Current time, seconds.
        until : float
            The instant, seconds.
        is_newer : bool
            Whether it has found what this VM does not know.
        """
        if not is_newer:
            self.current_until = max(self.current_until, until)
        if math.isfinite(self.read_until) and until - self.read_until >= OUTAGE_SECONDS:
            self.on_recovered(now)
        self.read_until = max(self.read_until, until)

    def on_pause(self) -> None:
        """Record that the process has stood still, and may have read old messages."""
        self.current_until = -math.inf

    def on_recovered(self, now: float) -> None:
        """Record the end of an outage, after which registrations are renewed."""
        self.reregistered_at = max(self.reregistered_at, now + REREGISTRATION_SECONDS)

    def age_s(self, now: float) -> float:
        """Return the seconds since any VM has read the store; `inf` before that."""
        return max(0.0, now - self.read_until)

    def is_out(self, now: float) -> bool:
        """Return whether the store has answered no VM for long."""
        return math.isfinite(self.read_until) and self.age_s(now) >= OUTAGE_SECONDS

    def may_lack_registrations(self, now: float) -> bool:
        """Return whether registrations may be missing as reports did not arrive."""
        return self.is_out(now) or now < self.reregistered_at
