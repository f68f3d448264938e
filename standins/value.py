"""Value of the responses of an emulation, as the users define it."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import mean, median

from oleandershift.demand import fair_level
from oleandershift.ids import TeamId
from standins.emulator import SHARE_WINDOW_SECONDS, EmulationResult, Request

WINDOW_SECONDS = 2.0
"""Length of the windows of which the worst count (the bench's report)."""

WORST_TEAM_FRACTION = 0.1
WORST_WINDOW_COUNT = 2
"""Fraction of the teams and number of windows with the lowest value, which count
separately (users' goals)."""

REREAD_PRICE_PER_1000_TOKENS = 0.29
"""Cost of prefilling shared tokens again (site files)."""


@dataclass(frozen=True)
class _Account:
    owed: float
    earned: float


@dataclass(frozen=True)
class KindValue:
    """Value of the responses of one kind of generation.

    Parameters
    ----------
    name : str
        Name of the kind.
    requests : int
        Number of requests.
    in_time, late, refused : float
        Fractions of the requests; the others were abandoned or did not finish.
    value : float
        Earned value divided by owed value.
    median_ms, p99_ms : float
        Time from the first attempt to the first event in milliseconds.
    prediction_error_ms : float
        Median absolute error of the predicted time to the first event, over requests
        that were admitted at the first attempt.
    """

    name: str
    requests: int
    in_time: float
    late: float
    refused: float
    value: float
    median_ms: float
    p99_ms: float
    prediction_error_ms: float


@dataclass(frozen=True)
class Value:
    """Value of the responses of an emulation.

    Parameters
    ----------
    whole, teams, windows, kind : float
        Earned value divided by owed value: overall, of the worst tenth of the teams, of
        the two worst windows, and of the worst kind.
    owed : float
        Total owed value.
    rereads : float
        Cost of shared tokens that were prefilled again, divided by the owed value.
    kinds : tuple of KindValue
        Value of each kind.
    """

    whole: float
    teams: float
    windows: float
    kind: float
    owed: float
    rereads: float
    kinds: tuple[KindValue, ...]

    @property
    def index(self) -> float:
        """Weighted value minus the cost of rereads (users' goals)."""
        weighted_sum = 0.45 * self.whole + 0.3 * self.teams
        return weighted_sum + 0.15 * self.windows + 0.1 * self.kind - self.rereads


def value_of(result: EmulationResult) -> Value:
    """Return the value of the responses of an emulation."""
    accounts = _accounts(result)
    requests = result.requests
    by_kind = {
        kind.name: _earned_ratio(
            [accounts[req] for req in requests if req.kind.name == kind.name]
        )
        for kind in result.deployment.kinds
    }
    teams: defaultdict[TeamId, list[_Account]] = defaultdict(list)
    windows: defaultdict[int, list[_Account]] = defaultdict(list)
    for req in requests:
        teams[req.team].append(accounts[req])
        windows[int(req.first_attempt_at / WINDOW_SECONDS)].append(accounts[req])
    by_team = sorted(map(_earned_ratio, teams.values()))
    by_window = sorted(map(_earned_ratio, windows.values()))
    worst_team_count = max(1, round(WORST_TEAM_FRACTION * len(by_team)))
    recomputed_tokens = sum(
        engine.prefill_counts.recomputed for engine in result.engines.values()
    )
    owed = sum(account.owed for account in accounts.values())
    return Value(
        whole=_earned_ratio(accounts.values()),
        teams=mean(by_team[:worst_team_count]),
        windows=mean(by_window[:WORST_WINDOW_COUNT]),
        kind=min(by_kind.values()),
        owed=owed,
        rereads=REREAD_PRICE_PER_1000_TOKENS * recomputed_tokens / 1000 / owed,
        kinds=tuple(_kind_value(name, requests, by_kind[name]) for name in by_kind),
    )


def _accounts(result: EmulationResult) -> dict[Request, _Account]:
    """Return the owed and the earned value of each request.

    A team is owed its max-min fair share in each window and cannot earn more than that.
    """
    profile = result.deployment.engine_profile
    capacity = result.deployment.capacity_tokens_per_s * SHARE_WINDOW_SECONDS
    windows: defaultdict[int, defaultdict[TeamId, list[Request]]]
    windows = defaultdict(lambda: defaultdict(list))
    for req in result.requests:
        windows[int(req.first_attempt_at / SHARE_WINDOW_SECONDS)][req.team].append(req)
    accounts = {}
    for teams in windows.values():
        requested = {
            team: sum(
                req.prompt.tokens + 2 * req.output_events * profile.tokens_per_event
                for req in requests
            )
            for team, requests in teams.items()
        }
        level = fair_level(requested, capacity)
        for team, requests in teams.items():
            entitled_fraction = min(1.0, level / requested[team])
            owed = entitled_fraction * sum(req.full_value for req in requests)
            earned = sum(req.earned_value for req in requests)
            counted_fraction = min(1.0, owed / earned) if earned else 1.0
            for req in requests:
                accounts[req] = _Account(
                    req.full_value * entitled_fraction,
                    req.earned_value * counted_fraction,
                )
    return accounts


def _earned_ratio(accounts: Iterable[_Account]) -> float:
    accounts = list(accounts)
    owed = sum(account.owed for account in accounts)
    return sum(account.earned for account in accounts) / owed if owed else 1.0


def _kind_value(name: str, requests: Sequence[Request], value: float) -> KindValue:
    kind_requests = [req for req in requests if req.kind.name == name]
    finished = [
        req for req in kind_requests if req.finished and req.first_event_s is not None
    ]
    in_time = sum(req.earned_value == req.full_value for req in finished)
    first_event_times = sorted(
        req.first_event_s for req in finished if req.first_event_s is not None
    )
    errors = [
        abs(req.predicted_first_event_s - req.first_event_s)
        for req in finished
        if req.attempts == 1
        and req.predicted_first_event_s is not None
        and req.first_event_s is not None
    ]
    return KindValue(
        name=name,
        requests=len(kind_requests),
        in_time=in_time / len(kind_requests),
        late=(len(finished) - in_time) / len(kind_requests),
        refused=sum(req.predicted_first_event_s is None for req in kind_requests)
        / len(kind_requests),
        value=value,
        median_ms=1000 * median(first_event_times),
        p99_ms=1000 * first_event_times[int(0.99 * len(first_event_times))],
        prediction_error_ms=1000 * median(errors),
    )
