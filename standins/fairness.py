"""Fairness of an emulation between teams, by the users' rule.

The rule (platform contract, FAIR): in every second of a window of six seconds a team
has a request that is refused or late, and it gets less than half of what it requested
or of what the best served team got, whichever is less, second by second, less three of
the largest requests.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from oleandershift.ids import TeamId
from standins.emulator import EmulationResult, Request

WINDOW_SECONDS = 6
MIN_FRACTION = 0.5
LARGEST_REQUESTS_ALLOWED = 3


@dataclass(frozen=True)
class UnfairWindow:
    """A window in which a team received too little.

    Parameters
    ----------
    start_s : int
        Start of the window in seconds from the start of the emulation.
    team, best_team : TeamId
        The team that received too little, and the team that received the most.
    requested, received, best_received : int
        Tokens that the team requested and received, and that the best team received.
    """

    start_s: int
    team: TeamId
    best_team: TeamId
    requested: int
    received: int
    best_received: int


class _Ledger:
    """Tokens of each team in each second."""

    def __init__(self, requests: list[Request]) -> None:
        self.requested: defaultdict[tuple[TeamId, int], int] = defaultdict(int)
        self.received: defaultdict[tuple[TeamId, int], int] = defaultdict(int)
        self.waited: set[tuple[TeamId, int]] = set()
        self.largest: defaultdict[TeamId, int] = defaultdict(int)
        for req in requests:
            self._add(req)

    def _add(self, req: Request) -> None:
        tokens = req.prompt.weighted_tokens
        self.largest[req.team] = max(self.largest[req.team], tokens)
        for attempted_at in req.attempted_at:
            self.requested[req.team, int(attempted_at)] += tokens
        served = req.first_event_s is not None
        refused_at = req.attempted_at[:-1] if served else req.attempted_at
        self.waited.update((req.team, int(instant)) for instant in refused_at)
        if req.first_event_s is None:
            return
        first_event_at = req.first_attempt_at + req.first_event_s
        self.received[req.team, int(first_event_at)] += tokens
        if req.first_event_s > req.kind.target_s:
            late_from = req.first_attempt_at + req.kind.target_s
            late_seconds = range(int(late_from), int(first_event_at) + 1)
            self.waited.update((req.team, second) for second in late_seconds)


def received_tokens(
    result: EmulationResult, team: TeamId, seconds: Iterable[int]
) -> int:
    """Return the tokens that a team received in some seconds of the emulation."""
    ledger = _Ledger(result.requests)
    return sum(ledger.received[team, second] for second in seconds)


def unfair_windows(result: EmulationResult) -> list[UnfairWindow]:
    """Return all windows in which a team received too little."""
    ledger = _Ledger(result.requests)
    last_start = int(result.seconds) - WINDOW_SECONDS
    return [
        window
        for start in range(1, last_start + 1)
        for window in _unfair_teams(ledger, start)
    ]


def _unfair_teams(ledger: _Ledger, start: int) -> Iterator[UnfairWindow]:
    """Yield a window once for each team that received too little in it."""
    seconds = range(start, start + WINDOW_SECONDS)
    received = {
        team: sum(ledger.received[team, second] for second in seconds)
        for team in sorted(ledger.largest)
    }
    best = max(received, key=received.__getitem__)
    for team, tokens in received.items():
        waited = all((team, second) in ledger.waited for second in seconds)
        if not waited or tokens >= _due(ledger, team, best, seconds):
            continue
        requested = sum(ledger.requested[team, second] for second in seconds)
        yield UnfairWindow(start, team, best, requested, tokens, received[best])


def _due(ledger: _Ledger, team: TeamId, best: TeamId, seconds: range) -> float:
    """Return the tokens that a team must receive at least."""
    comparable = sum(
        min(ledger.requested[team, second], ledger.received[best, second])
        for second in seconds
    )
    return MIN_FRACTION * comparable - (LARGEST_REQUESTS_ALLOWED * ledger.largest[team])
