"""Seeded work of teams: kinds, costs that nobody knows beforehand, and hints."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from oleandershift.dispatch import RequestKind
from standins.fleet_file import FleetFile, TeamAccess

WRONG_HINT_FACTOR = 10.0


@dataclass(frozen=True)
class CostModel:
    """Log-normal cost of a kind, tokens."""

    median_tokens: float
    sigma: float
    max_tokens: int

    def draw(self, rng: random.Random) -> int:
        """Return one cost."""
        cost = rng.lognormvariate(math.log(self.median_tokens), self.sigma)
        return max(1, min(self.max_tokens, round(cost)))


COST_MODELS = {
    RequestKind.LONG: CostModel(500.0, 0.9, 3000),
    RequestKind.QUICK: CostModel(120.0, 0.7, 800),
    RequestKind.CHEAP: CostModel(15.0, 0.5, 60),
}


@dataclass(frozen=True)
class RequestMix:
    """What a team's requests are.

    Parameters
    ----------
    long, quick, cheap : float
        Relative numbers of each kind on the engines.
    plain : float
        Relative number of calls of the plain service, half of them non-idempotent.
    hint_share : float
        Share of the requests with a hint.
    hint_sigma : float
        Log-normal error of hints.
    hint_factor : float
        Every hint is this many times too large.
    wrong_hint_share : float
        Share of the hints that are `WRONG_HINT_FACTOR` times off, either way.
    """

    long: float = 0.25
    quick: float = 0.45
    cheap: float = 0.3
    plain: float = 0.0
    hint_share: float = 0.7
    hint_sigma: float = 0.5
    hint_factor: float = 1.0
    wrong_hint_share: float = 0.1


@dataclass(frozen=True)
class WorkItem:
    """One request to be sent.

    Parameters
    ----------
    team : TeamAccess
        Whose it is.
    number : int
        Position in the team's work.
    service, method, path : str
        The call.
    kind : RequestKind
        Expected length.
    tokens : int
        Cost.
    stream : bool
        The answer is streamed.
    hint : float or None
        Cost hint sent along.
    router : str
        URL that it enters at.
    echo : str
        Unique text that the answer must carry.
    idempotency_key : str or None
        For calls that must not be repeated.
    """

    team: TeamAccess
    number: int
    service: str
    method: str
    path: str
    kind: RequestKind
    tokens: int
    stream: bool
    hint: float | None
    router: str
    echo: str
    idempotency_key: str | None = None


def generate_work(
    fleet: FleetFile, team: TeamAccess, mix: RequestMix, seed: int
) -> Iterator[WorkItem]:
    """Yield a team's requests without end; the same for the same seed."""
    rng = random.Random(f"{seed}/{team.name}")
    number = 0
    while True:
        number += 1
        yield _item(fleet, team, mix, rng, number, f"{seed}/{team.name}/{number}")


def _item(
    fleet: FleetFile,
    team: TeamAccess,
    mix: RequestMix,
    rng: random.Random,
    number: int,
    echo: str,
) -> WorkItem:
    router = rng.choice(team.routers)
    weights = (mix.long, mix.quick, mix.cheap, mix.plain)
    [kind] = rng.choices((*RequestKind, None), weights)
    if kind is None:
        return _plain_item(fleet, team, rng, number, echo, router)
    tokens = COST_MODELS[kind].draw(rng)
    return WorkItem(
        team=team,
        number=number,
        service=fleet.engine_service,
        method="POST",
        path="/generate",
        kind=kind,
        tokens=tokens,
        stream=kind is RequestKind.LONG or rng.random() < 0.3,
        hint=_hint(mix, rng, tokens),
        router=router,
        echo=echo,
    )


def _plain_item(
    fleet: FleetFile,
    team: TeamAccess,
    rng: random.Random,
    number: int,
    echo: str,
    router: str,
) -> WorkItem:
    once = rng.random() < 0.5
    method, path = ("GET", f"/status/{number}")
    if once:
        method, _, path = rng.choice(fleet.non_idempotent).partition(" ")
    return WorkItem(
        team=team,
        number=number,
        service=fleet.plain_service,
        method=method,
        path=path,
        kind=RequestKind.CHEAP,
        tokens=1,
        stream=False,
        hint=None,
        router=router,
        echo=echo,
        idempotency_key=echo if once else None,
    )


def _hint(mix: RequestMix, rng: random.Random, tokens: int) -> float | None:
    error = rng.lognormvariate(0.0, mix.hint_sigma) * mix.hint_factor
    wrong = rng.choice((WRONG_HINT_FACTOR, 1 / WRONG_HINT_FACTOR))
    is_wrong = rng.random() < mix.wrong_hint_share
    is_given = rng.random() < mix.hint_share
    if not is_given:
        return None
    return max(1.0, tokens * error * (wrong if is_wrong else 1.0))
