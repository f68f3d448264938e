"""Up to when the store's content is known."""

import math


class StoreFreshness:
    """Up to when this VM and others have read the store.

    A copy of the store is complete up to an instant: that of the latest answer of the
    store which this VM got, or of which others have told it.

    Attributes
    ----------
    own_read_until : float
        Instant up to which this VM has read the store, seconds; `-inf` before that.
    """

    def __init__(self) -> None:
        self.own_read_until = -math.inf
        self._told_until = -math.inf

    @property
    def read_until(self) -> float:
        """Instant up to which any VM is known to have read the store, seconds."""
        return max(self.own_read_until, self._told_until)

    def on_read(self, until: float) -> None:
        """Record that this VM has read the store up to an instant."""
        self.own_read_until = max(self.own_read_until, until)

    def on_told(self, until: float) -> None:
        """Record that another VM has read the store up to an instant."""
        self._told_until = max(self._told_until, until)

    def age_s(self, now: float) -> float:
        """Return the seconds since any VM has read the store; `inf` before that."""
        return max(0.0, now - self.read_until)
