"""What callers got of an emulated day, as the users count it."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import mean, median

from oleandershift.demand import fair_level
from oleandershift.ids import TeamId
from standins.emulator import SHARE_WINDOW_SECONDS, EmulationResult, Request

WINDOW_SECONDS = 2.0
"""Window of the worst seconds (the bench's report)."""

WORST_TEAM_FRACTION = 0.1
WORST_WINDOW_COUNT = 2
"""Parts that count by themselves (users' goals)."""

REREAD_PRICE_PER_1000_TOKENS = 0.29
"""Price of a thousand shared tokens that are read again (site files)."""


@dataclass(frozen=True)
class _Account:
    owed: float
    earned: float


@dataclass(frozen=True)
class KindValue:
    """What callers of one kind got.

    Parameters
    ----------
    name : str
        The kind.
    requests : int
        Requests.
    in_time, late, refused : float
        Parts of them; the rest was left or did not end.
    value : float
        Earned over owed.
    median_ms, p99_ms : float
        Times to the first event, from the first attempt.
    prediction_error_ms : float
        Median difference of the predicted time and that of first attempts.
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
    """What callers got.

    Parameters
    ----------
    whole, teams, windows, kind : float
        Earned over owed of all, of the worst tenth of the teams, of the two worst
        windows, and of the worst kind.
    owed : float
        Value owed in all.
    rereads : float
        Price of shared tokens read again, over what is owed.
    kinds : tuple of KindValue
        One by one.
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
        """Return the weighted value less the price of rereads (users' goals)."""
        parts = 0.45 * self.whole + 0.3 * self.teams
        return parts + 0.15 * self.windows + 0.1 * self.kind - self.rereads


def value_of(outcome: EmulationResult) -> Value:
    """Return what callers got of a run."""
    accounts = _accounts(outcome)
    requests = outcome.requests
    by_kind = {
        kind.name: _ratio(
            [accounts[req] for req in requests if req.kind.name == kind.name]
        )
        for kind in outcome.deployment.kinds
    }
    teams: defaultdict[TeamId, list[_Account]] = defaultdict(list)
    windows: defaultdict[int, list[_Account]] = defaultdict(list)
    for req in requests:
        teams[req.team].append(accounts[req])
        windows[int(req.first_attempt_at / WINDOW_SECONDS)].append(accounts[req])
    by_team = sorted(map(_ratio, teams.values()))
    by_window = sorted(map(_ratio, windows.values()))
    worst = max(1, round(WORST_TEAM_FRACTION * len(by_team)))
    again = sum(engine.prefill_counts.recomputed for engine in outcome.engines.values())
    total = sum(account.owed for account in accounts.values())
    return Value(
        whole=_ratio(accounts.values()),
        teams=mean(by_team[:worst]),
        windows=mean(by_window[:WORST_WINDOW_COUNT]),
        kind=min(by_kind.values()),
        owed=total,
        rereads=REREAD_PRICE_PER_1000_TOKENS * again / 1000 / total,
        kinds=tuple(_kind_value(name, requests, by_kind[name]) for name in by_kind),
    )


def _accounts(outcome: EmulationResult) -> dict[Request, _Account]:
    """Return what is owed to and earned by each request.

    A team is owed its max-min share in each window, and earns no more than that.
    """
    speed = outcome.deployment.engine_profile
    capacity = outcome.deployment.capacity_tokens_per_s * SHARE_WINDOW_SECONDS
    windows: defaultdict[int, defaultdict[TeamId, list[Request]]]
    windows = defaultdict(lambda: defaultdict(list))
    for req in outcome.requests:
        windows[int(req.first_attempt_at / SHARE_WINDOW_SECONDS)][req.team].append(req)
    accounts = {}
    for teams in windows.values():
        asked = {
            team: sum(
                req.prompt.tokens + 2 * req.output_events * speed.tokens_per_event
                for req in requests
            )
            for team, requests in teams.items()
        }
        level = fair_level(asked, capacity)
        for team, requests in teams.items():
            due = min(1.0, level / asked[team])
            owed = due * sum(req.full_value for req in requests)
            earned = sum(req.earned_value for req in requests)
            counted = min(1.0, owed / earned) if earned else 1.0
            for req in requests:
                accounts[req] = _Account(
                    req.full_value * due, req.earned_value * counted
                )
    return accounts


def _ratio(accounts: Iterable[_Account]) -> float:
    accounts = list(accounts)
    owed = sum(account.owed for account in accounts)
    return sum(account.earned for account in accounts) / owed if owed else 1.0


def _kind_value(name: str, requests: Sequence[Request], value: float) -> KindValue:
    mine = [req for req in requests if req.kind.name == name]
    ended = [req for req in mine if req.finished and req.first_event_s is not None]
    in_time = sum(req.earned_value == req.full_value for req in ended)
    firsts = sorted(req.first_event_s for req in ended if req.first_event_s is not None)
    errors = [
        abs(req.predicted_first_event_s - req.first_event_s)
        for req in ended
        if req.attempts == 1
        and req.predicted_first_event_s is not None
        and req.first_event_s is not None
    ]
    return KindValue(
        name=name,
        requests=len(mine),
        in_time=in_time / len(mine),
        late=(len(ended) - in_time) / len(mine),
        refused=sum(req.predicted_first_event_s is None for req in mine) / len(mine),
        value=value,
        median_ms=1000 * median(firsts),
        p99_ms=1000 * firsts[int(0.99 * len(firsts))],
        prediction_error_ms=1000 * median(errors),
    )
