"""Load shedding: rejects requests whose responses would be too late."""

import random
from dataclasses import dataclass
from enum import Enum

from oleandershift.demand import Shares, TeamRate
from oleandershift.ids import RouteId, TeamId
from oleandershift.placement import Choice
from oleandershift.prompts import Prompt
from oleandershift.sharegate import ShareLimiter

SHARE_PATIENCE = 0.65
"""Fraction of the target that the predicted first byte of a request within its team's
share may take; the remainder covers prediction errors."""

SPARE_PATIENCE = 0.15
"""The same fraction for a request beyond the share, which is therefore admitted only
while engines have little work."""

BEYOND_PATIENCE = 0.05
"""The same fraction if the team also has its part of the spare capacity. Only an idle
engine meets it, so that requests in large numbers do not take the other teams' part."""

SHORTFALL_GAIN = 2.0
"""Increase of the maximum delay per unit of shortfall: a team that receives half of its
entitlement while the others receive all of theirs may wait twice as long."""

MIN_SHORTFALL_FACTOR = 0.7
MAX_SHORTFALL_FACTOR = 2.0
"""Limits of the factor by which a team's shortfall scales its maximum delay."""

MIN_BACKLOG_FRACTION = 0.6
"""Fraction of the maximum delay that the backlog ahead of a request may always take,
however long its own prompt is, so that the largest requests aren't rejected first."""

OVERLOAD_RETRY_AFTER_SECONDS = 0.5
"""Shortest time after which a caller may return to a VM that is overloaded, as long as
an overload lasts."""

MIN_RETRY_AFTER_SECONDS = 0.3
"""Minimum Retry-After; meanwhile the engines prefill that many seconds of prompts."""

MAX_RETRY_AFTER_FRACTION = 1 / 3
"""Maximum Retry-After as a fraction of the time to the deadline: callers wait no longer
than that (platform contract)."""


class ShareClass(Enum):
    """What a request is counted towards when it is admitted.

    Attributes
    ----------
    WITHIN
        Its team's share of the declared capacity.
    SPARE
        Its team's part of what engines serve beyond the declared capacity.
    BEYOND
        Neither.
    """

    WITHIN = "within"
    SPARE = "spare"
    BEYOND = "beyond"


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that awaits the admission decision.

    Parameters
    ----------
    team : TeamId or None
        Team of the caller.
    route : RouteId
        Route of the request.
    prompt : Prompt
        Prompt of the generation.
    target_s : float
        Seconds from the caller's first attempt in which a response has its full value.
    remaining_s : float
        Seconds until the deadline.
    """

    team: TeamId | None
    route: RouteId
    prompt: Prompt
    target_s: float
    remaining_s: float


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is admitted, and the reasons.

    Parameters
    ----------
    admitted : bool
        Whether to send the request to its upstream.
    share : ShareClass
        Share towards which the request counts.
    max_delay_s : float
        Largest predicted time to the first byte at which the request is admitted.
    rate : TeamRate
        Rates of the team over the fleet on which the decision is based.
    level : float
        Largest rate that any team is entitled to, in tokens per second.
    retry_after_s : float
        Seconds after which a rejected caller may retry.
    """

    admitted: bool
    share: ShareClass
    max_delay_s: float
    rate: TeamRate
    level: float
    retry_after_s: float = 0.0


class LoadShedder:
    """Decides which requests are rejected immediately while engines are overloaded.

    A request is rejected when its first byte would be too late, which bounds the
    backlog when engines receive more requests than they can start in time. Requests
    beyond a team's share are admitted only while the engines have little work, in equal
    parts for all teams, which bounds the effect of one team that floods the fleet.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter that spreads the retries of rejected callers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._limiter = ShareLimiter(rng)
        self._rng = rng
        self.shares = Shares()

    def decide(
        self, req: PendingRequest, choice: Choice, share: ShareClass | None = None
    ) -> AdmissionDecision:
        """Decide on a request by the predicted first byte of its best upstream.

        Parameters
        ----------
        req : PendingRequest
            The request.
        choice : Choice
            Its best upstream.
        share : ShareClass or None
            Share towards which it counts, if `classify` has been called for it.
        """
        share = share or self.classify(req)
        max_delay_s = self._max_delay_s(req, share)
        return self._check_backlog(req, choice, share, max_delay_s)

    def reject_beyond_share(self, req: PendingRequest) -> AdmissionDecision:
        """Reject a request beyond its team's share without a choice of an upstream.

        On a VM whose processor is overloaded, the time for that choice is missing for
        the requests within the shares.
        """
        rate, level = self.shares.rate(req.team), self.shares.level
        retry_after_s = min(
            self.overload_retry_after_s(), req.remaining_s * MAX_RETRY_AFTER_FRACTION
        )
        return AdmissionDecision(
            False, ShareClass.BEYOND, 0.0, rate, level, retry_after_s
        )

    def overload_retry_after_s(self) -> float:
        """Return the seconds after which a caller may return to an overloaded VM."""
        return OVERLOAD_RETRY_AFTER_SECONDS * self._rng.uniform(1.0, 1.5)

    def recheck(
        self, previous: AdmissionDecision, req: PendingRequest, choice: Choice
    ) -> AdmissionDecision:
        """Decide on an admitted request again, for another upstream.

        Parameters
        ----------
        previous : AdmissionDecision
            Decision that admitted the request; it counts towards the same share.
        req : PendingRequest
            The request.
        choice : Choice
            Best of the upstreams to which it was not sent yet.
        """
        return self._check_backlog(req, choice, previous.share, previous.max_delay_s)

    def _check_backlog(
        self,
        req: PendingRequest,
        choice: Choice,
        share: ShareClass,
        max_delay_s: float,
    ) -> AdmissionDecision:
        rate, level = self.shares.rate(req.team), self.shares.level
        max_backlog_s = max(
            MIN_BACKLOG_FRACTION * max_delay_s, max_delay_s - choice.request_s
        )
        if choice.backlog_s <= max_backlog_s:
            return AdmissionDecision(True, share, max_delay_s, rate, level)
        retry_after_s = max(MIN_RETRY_AFTER_SECONDS, choice.backlog_s - max_backlog_s)
        retry_after_s *= self._rng.uniform(1.0, 1.5)
        retry_after_s = min(retry_after_s, req.remaining_s * MAX_RETRY_AFTER_FRACTION)
        return AdmissionDecision(False, share, max_delay_s, rate, level, retry_after_s)

    def classify(self, req: PendingRequest) -> ShareClass:
        """Return the share towards which a request counts; once for each request."""
        if req.team is None:
            return ShareClass.WITHIN
        tokens = req.prompt.weighted_tokens
        rate, level = self.shares.rate(req.team), self.shares.level
        if self._limiter.admit(req.team, req.route, tokens, rate.requested, level):
            return ShareClass.WITHIN
        if rate.admitted < self.shares.spare_level:
            return ShareClass.SPARE
        return ShareClass.BEYOND

    def _max_delay_s(self, req: PendingRequest, share: ShareClass) -> float:
        match share:
            case ShareClass.WITHIN:
                return SHARE_PATIENCE * req.target_s * self._shortfall_factor(req)
            case ShareClass.SPARE:
                return SPARE_PATIENCE * req.target_s
            case ShareClass.BEYOND:
                return BEYOND_PATIENCE * req.target_s

    def _shortfall_factor(self, req: PendingRequest) -> float:
        """Return the factor by which its team's shortfall scales the maximum delay."""
        if req.team is None:
            return 1.0
        shortfall = self.shares.shortfall(req.team)
        return min(
            max(1.0 + SHORTFALL_GAIN * shortfall, MIN_SHORTFALL_FACTOR),
            MAX_SHORTFALL_FACTOR,
        )
