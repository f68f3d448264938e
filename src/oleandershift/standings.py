"""Upstreams that have turned this VM away and want no work of it for a while."""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from oleandershift.directory import Upstream, UpstreamRun

MAX_AWAY_SECONDS = 120.0
"""Longest time for which an upstream can turn a VM away with one response."""

RETURN_JITTER = 0.1
MAX_RETURN_JITTER_SECONDS = 1.0
"""Extension of an upstream's time, as a fraction and at most, so that not all VMs send
their first request at its end."""


def parse_away_seconds(raw: bytes | None) -> float | None:
    """Return the seconds in a `Retry-After` header; None without a usable value.

    Dates, and values that are malformed or negative, are ignored. A larger value than
    `MAX_AWAY_SECONDS` counts as that limit.
    """
    try:
        seconds = float(raw.decode("ascii")) if raw is not None else math.nan
    except ValueError:
        return None
    if math.isnan(seconds) or seconds <= 0:
        return None
    return min(seconds, MAX_AWAY_SECONDS)


@dataclass
class UpstreamStandings:
    """Until when upstreams want no work of this VM, each for one run.

    A later run of an upstream starts anew.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of upstreams' returns.
    """

    rng: random.Random = field(default_factory=random.Random)

    def __post_init__(self) -> None:
        self._away_until: dict[UpstreamRun, float] = {}

    def on_turned_away(self, now: float, run: UpstreamRun, seconds: float) -> bool:
        """Record that an upstream wants no work of this VM; return whether it is new.

        Parameters
        ----------
        now : float
            Current time, seconds.
        run : UpstreamRun
            The upstream.
        seconds : float
            Time for which it wants none.
        """
        was_away = self._away_until.get(run, -math.inf) > now
        jitter = self.rng.uniform(0.0, RETURN_JITTER)
        extension = min(seconds * jitter, MAX_RETURN_JITTER_SECONDS)
        away_until = now + seconds + extension
        self._away_until[run] = max(away_until, self._away_until.get(run, -math.inf))
        return not was_away

    def carry_over(self, previous: UpstreamRun, run: UpstreamRun) -> None:
        """Let what a run wants hold for a later one of the same upstream."""
        if previous in self._away_until:
            self._away_until[run] = self._away_until[previous]

    def accepts(self, now: float, run: UpstreamRun) -> bool:
        """Return whether an upstream may get a request."""
        return self._away_until.get(run, now) <= now

    def accepting(self, now: float, upstreams: Iterable[Upstream]) -> list[Upstream]:
        """Return the upstreams that may get a request."""
        if not self._away_until:
            return list(upstreams)
        return [item for item in upstreams if self.accepts(now, item.run)]

    def wait_s(self, now: float, run: UpstreamRun) -> float:
        """Return the seconds until an upstream accepts requests."""
        return max(0.0, self._away_until.get(run, now) - now)

    def away_count(self, now: float) -> int:
        """Return the number of upstreams that want no work; forget those back."""
        self._away_until = {
            run: until for run, until in self._away_until.items() if until > now
        }
        return len(self._away_until)
