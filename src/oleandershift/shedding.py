"""Refusal of requests that would come too late."""

import random
from dataclasses import dataclass

from oleandershift.demand import Shares, TeamRate
from oleandershift.ids import RouteId, TeamId
from oleandershift.placement import Choice
from oleandershift.prompts import Prompt
from oleandershift.sharelimiter import ShareLimiter

SHARE_PATIENCE = 0.65
"""Part of the target that the predicted first byte of a request within its team's
share may take; the rest covers errors of the prediction."""

BEYOND_PATIENCE = 0.15
"""The same for a request beyond the share: let in while engines are nearly free."""

SHORTFALL_GAIN = 2.0
"""Patience gained for a shortfall: a team that gets half of its due while the others
get all of theirs waits twice as long."""

MIN_SHORTFALL_FACTOR = 0.7
MAX_SHORTFALL_FACTOR = 2.0
"""Bounds of the patience by what a team got."""

MIN_BACKLOG_FRACTION = 0.6
"""Part of its patience that the backlog ahead of a request may always take, however
long its own prompt is, so that the largest requests are not the ones refused."""

MIN_RETRY_AFTER_SECONDS = 0.3
"""Least time after which a caller is asked back: prompts of that many seconds are
read meanwhile."""

MAX_RETRY_AFTER_FRACTION = 1 / 3
"""Callers wait no longer than this part of their time left (platform contract)."""


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request about to be placed.

    Parameters
    ----------
    team : TeamId or None
        Whose it is.
    route : RouteId
        Its route.
    prompt : Prompt
        Its size.
    target_s : float
        Seconds from the caller's first attempt in which an answer has its full value.
    remaining_s : float
        Seconds until its deadline.
    """

    team: TeamId | None
    route: RouteId
    prompt: Prompt
    target_s: float
    remaining_s: float


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is let in, and why.

    Parameters
    ----------
    admitted : bool
        Whether to send it.
    within_share : bool
        Whether it is part of what its team is due.
    max_delay_s : float
        The longest predicted first byte that it would have been let in with.
    retry_after_s : float
        When a refused caller is asked back.
    """

    admitted: bool
    within_share: bool
    max_delay_s: float
    retry_after_s: float = 0.0


class LoadShedder:
    """Decides which requests are refused at once while engines are overloaded.

    Answers two loads: more requests than the engines can start in time, of which those
    are refused whose first byte would come too late; and one team's flood, whose part
    beyond its share is let in only while the engines are nearly free.

    Parameters
    ----------
    rng : random.Random
        Spreads the return of refused callers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._gate = ShareLimiter(rng)
        self._rng = rng
        self.shares = Shares()

    def decide(self, applicant: PendingRequest, choice: Choice) -> AdmissionDecision:
        """Decide on a request by the time predicted for its best upstream."""
        within = self._within_share(applicant)
        patience = self._patience(applicant, within)
        allowed = max(MIN_BACKLOG_FRACTION * patience, patience - choice.request_s)
        if choice.backlog_s <= allowed:
            return AdmissionDecision(True, within, patience)
        wait = max(MIN_RETRY_AFTER_SECONDS, choice.backlog_s - allowed)
        wait *= self._rng.uniform(1.0, 1.5)
        wait = min(wait, applicant.remaining_s * MAX_RETRY_AFTER_FRACTION)
        return AdmissionDecision(False, within, patience, wait)

    def _within_share(self, applicant: PendingRequest) -> bool:
        if applicant.team is None:
            return True
        asked = self.shares.rates.get(applicant.team, TeamRate()).requested
        size = applicant.prompt.weighted_tokens
        level = self.shares.level
        return self._gate.admit(applicant.team, applicant.route, size, asked, level)

    def _patience(self, applicant: PendingRequest, within: bool) -> float:
        target = applicant.target_s
        if not within:
            return BEYOND_PATIENCE * target
        return SHARE_PATIENCE * target * self._favour(applicant)

    def _favour(self, applicant: PendingRequest) -> float:
        """Return how much longer than others a team may wait that got less."""
        if applicant.team is None:
            return 1.0
        shortfall = self.shares.shortfall(applicant.team)
        return min(
            max(1.0 + SHORTFALL_GAIN * shortfall, MIN_SHORTFALL_FACTOR),
            MAX_SHORTFALL_FACTOR,
        )
