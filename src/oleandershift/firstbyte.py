"""Prediction of the time to an engine's first event, learnt from those seen."""

import math
from dataclasses import dataclass

from oleandershift.ids import ServiceId, UpstreamId

MEMORY_SECONDS = 10.0
"""Time constant of what is learnt: a hundred requests at ten a second."""

PRIOR_REQUESTS = 5.0
"""Weight of the assumptions below, in requests."""

PRIOR_FIRST_SECONDS = 0.06
"""Assumed time to the first event of an empty prompt."""

PRIOR_TOKENS = 10_000.0
PRIOR_TOKENS_PER_SECOND = 80_000.0
"""Assumed speed at which prompts are read, and the prompt for which it is assumed."""

LEAST_SECONDS_PER_TOKEN = 1 / 400_000
MOST_SECONDS_PER_TOKEN = 1 / 10_000
"""Bounds of what is learnt: ten times slower and five times faster than assumed."""

MOST_FIRST_SECONDS = 0.4
"""Bound of the learnt time to the first event of an empty prompt."""

MOST_SECONDS = 3.0
"""Longest time that is learnt from; what takes longer waits for another reason."""

EXCESS_SECONDS = 3.0
"""Time constant of one engine's own delay."""

EXCESS_GAIN = 0.3
"""Weight of the newest observation of an engine's own delay."""

TOLERATED_SECONDS = 0.1
"""Delay of an engine that is not told from chance."""


@dataclass(slots=True)
class _Line:
    """Least squares over observations that fade."""

    at: float = 0.0
    n: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def fade(self, now: float) -> None:
        factor = math.exp((self.at - now) / MEMORY_SECONDS)
        self.at = now
        self.n *= factor
        self.x *= factor
        self.y *= factor
        self.xx *= factor
        self.xy *= factor

    def add(self, x: float, y: float) -> None:
        self.n += 1
        self.x += x
        self.y += y
        self.xx += x * x
        self.xy += x * y

    def fit(self) -> tuple[float, float]:
        """Return intercept and slope, with the assumptions as observations."""
        far = PRIOR_FIRST_SECONDS + PRIOR_TOKENS / PRIOR_TOKENS_PER_SECOND
        n = self.n + 2 * PRIOR_REQUESTS
        x = self.x + PRIOR_REQUESTS * PRIOR_TOKENS
        y = self.y + PRIOR_REQUESTS * (PRIOR_FIRST_SECONDS + far)
        xx = self.xx + PRIOR_REQUESTS * PRIOR_TOKENS**2
        xy = self.xy + PRIOR_REQUESTS * PRIOR_TOKENS * far
        slope = (n * xy - x * y) / (n * xx - x * x)
        slope = min(max(slope, LEAST_SECONDS_PER_TOKEN), MOST_SECONDS_PER_TOKEN)
        intercept = (y - slope * x) / n
        return min(max(intercept, 0.0), MOST_FIRST_SECONDS), slope


@dataclass(frozen=True, slots=True)
class Forecast:
    """How long first events take now.

    Parameters
    ----------
    first_s : float
        Seconds for an empty prompt.
    token_s : float
        Seconds for each prompt token that is read before.
    """

    first_s: float
    token_s: float


class FirstByteModel:
    """Learns how long first events take, by service and by upstream.

    Answers engines of unknown or changing speed: the line from prompt tokens ahead to
    the first event is fitted to what this VM has seen of the service, and an upstream
    that is slower than the line by more than chance carries its own delay.
    """

    def __init__(self) -> None:
        self._lines: dict[ServiceId, _Line] = {}
        self._fits: dict[ServiceId, Forecast] = {}
        self._excess: dict[UpstreamId, tuple[float, float]] = {}

    def note(
        self,
        now: float,
        service: ServiceId,
        upstream: UpstreamId,
        tokens: float,
        seconds: float,
    ) -> None:
        """Take a first event.

        Parameters
        ----------
        now : float
            The current instant.
        service, upstream
            Where the request ran.
        tokens : float
            Prompt tokens that were to be read before its first event.
        seconds : float
            Time from sending to the first event, without the way.
        """
        seconds = min(seconds, MOST_SECONDS)
        forecast = self.forecast(service)
        over = seconds - forecast.first_s - forecast.token_s * tokens
        held = self.excess(now, upstream)
        self._excess[upstream] = (held + EXCESS_GAIN * (over - held), now)
        line = self._lines.setdefault(service, _Line(now))
        line.fade(now)
        line.add(tokens, seconds)
        self._fits[service] = Forecast(*line.fit())

    def forecast(self, service: ServiceId) -> Forecast:
        """Return how long a service's first events take."""
        found = self._fits.get(service)
        return found or Forecast(PRIOR_FIRST_SECONDS, 1 / PRIOR_TOKENS_PER_SECOND)

    def delay(self, now: float, upstream: UpstreamId) -> float:
        """Return the seconds by which an upstream is slower than its service."""
        excess = self.excess(now, upstream)
        return excess if excess > TOLERATED_SECONDS else 0.0

    def excess(self, now: float, upstream: UpstreamId) -> float:
        """Return an upstream's mean distance from the line, fading."""
        value, at = self._excess.get(upstream, (0.0, now))
        return value * math.exp((at - now) / EXCESS_SECONDS)
