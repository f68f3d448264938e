"""Seeded work of teams: kinds, costs unknown in advance, and cost hints."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from oleandershift.dispatch import RequestKind
from standins.fleet_file import FleetFile, TeamAccess

WRONG_HINT_FACTOR = 10.0


@dataclass(frozen=True)
class CostModel:
    """Log-normal cost of a request kind, tokens."""

    median_tokens: float
    sigma: float
    max_tokens: int

    def draw(self, rng: random.Random) -> int:
        """Return a random cost, limited to 1 to `max_tokens`."""
        cost = rng.lognormvariate(math.log(self.median_tokens), self.sigma)
        return max(1, min(self.max_tokens, round(cost)))


COST_MODELS = {
    RequestKind.LONG: CostModel(500.0, 0.9, 3000),
    RequestKind.QUICK: CostModel(120.0, 0.7, 800),
    RequestKind.CHEAP: CostModel(15.0, 0.5, 60),
}


@dataclass(frozen=True)
class RequestMix:
    """Kinds of a team's requests, and how often and how well costs are hinted.

    Parameters
    ----------
    long, quick, cheap : float
        Relative frequencies of the kinds on the engine service.
    plain : float
        Relative frequency of calls to the plain service; half are non-idempotent.
    hint_share : float
        Share of the requests that carry a cost hint.
    hint_sigma : float
        Sigma of the log-normal error of hints.
    hint_factor : float
        Factor by which every hint is too large.
    wrong_hint_share : float
        Share of the hints that are `WRONG_HINT_FACTOR` times too large or too small.
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
        Team that sends the request.
    number : int
        Position in the team's work, starting at 1.
    service, method, path : str
        Service, HTTP method and path to call.
    kind : RequestKind
        Expected length of the request, sent in `Oleander-Kind`.
    tokens : int
        Cost requested.
    stream : bool
        Request a streamed response.
    hint : float or None
        Cost hint, tokens; no hint is sent when None.
    router : str
        URL of the router to call.
    echo : str
        Unique text that the response must repeat.
    idempotency_key : str or None
        Idempotency key of calls that must not be repeated.
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
    """Yield an endless sequence of a team's requests, determined by the seed."""
    rng = random.Random(f"{seed}/{team.name}")
    number = 0
    while True:
        number += 1
        yield _make_item(fleet, team, mix, rng, number, f"{seed}/{team.name}/{number}")


def _make_item(
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
        return _make_plain_item(fleet, team, rng, number, echo, router)
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
        hint=_make_hint(mix, rng, tokens),
        router=router,
        echo=echo,
    )


def _make_plain_item(
    fleet: FleetFile,
    team: TeamAccess,
    rng: random.Random,
    number: int,
    echo: str,
    router: str,
) -> WorkItem:
    is_non_idempotent = rng.random() < 0.5
    method, path = ("GET", f"/status/{number}")
    if is_non_idempotent:
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
        idempotency_key=echo if is_non_idempotent else None,
    )


def _make_hint(mix: RequestMix, rng: random.Random, tokens: int) -> float | None:
    error = rng.lognormvariate(0.0, mix.hint_sigma) * mix.hint_factor
    wrong_factor = rng.choice((WRONG_HINT_FACTOR, 1 / WRONG_HINT_FACTOR))
    is_wrong = rng.random() < mix.wrong_hint_share
    has_hint = rng.random() < mix.hint_share
    if not has_hint:
        return None
    return max(1.0, tokens * error * (wrong_factor if is_wrong else 1.0))
