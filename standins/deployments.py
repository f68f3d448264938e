"""Loads and engines of the users' deployments, for the emulator.

Figures are those of the deployment sheets and site files, at the size that the bench
plays; prompts and answers are lognormal with the means and spreads given there.
"""

from dataclasses import dataclass, replace

from standins.batching import EngineSpeed

PAUSE_SECONDS = 0.3
"""Longest pause between events for the full value (deployment sheets)."""

LATE_PART = 0.3
"""Value of a late answer, as a part of that of one in time (deployment sheets)."""


@dataclass(frozen=True)
class Size:
    """A lognormal number of tokens or events.

    Parameters
    ----------
    mean, spread, most : float
        Mean, standard deviation of the logarithm, and upper bound.
    """

    mean: float
    spread: float
    most: float


@dataclass(frozen=True)
class SharedPart:
    """A part of prompts that requests share.

    Parameters
    ----------
    tokens : Size
        Its length.
    things : int
        Different contents.
    """

    tokens: Size
    things: int


@dataclass(frozen=True)
class Kind:
    """One kind of generation.

    Parameters
    ----------
    name : str
        On the sheet.
    per_s : float
        Requests a second of the whole fleet.
    own : Size
        Prompt tokens after the shared parts.
    shared : tuple of SharedPart
        Shared parts in order.
    events : Size
        Events of an answer.
    target_s, deadline_s : float
        Time to the first event for the full value; the caller's patience.
    worth : float
        Value of an answer in time.
    """

    name: str
    per_s: float
    own: Size
    shared: tuple[SharedPart, ...]
    events: Size
    target_s: float
    deadline_s: float
    worth: float

    @property
    def mean_tokens(self) -> float:
        """Return the mean length of a prompt."""
        return self.own.mean + sum(part.tokens.mean for part in self.shared)


@dataclass(frozen=True)
class Deployment:
    """A fleet, its engines and its load.

    Parameters
    ----------
    name : str
        Whose.
    vms, engines : tuple of int
        How many in each region; each region has one data centre.
    region_s, caller_s : float
        One-way delay between regions, and to callers.
    speed : EngineSpeed
        Of every engine.
    kinds : tuple of Kind
        Generations; plain services are not emulated.
    teams : int
        Teams; the request rate of rank n falls as n to the power of `team_skew`.
    team_skew : float
        See there.
    tokens_per_s : float
        Declared capacity of the engines together.
    reuse_s : float
        Time in which a prefix is worth finding again.
    """

    name: str
    vms: tuple[int, ...]
    engines: tuple[int, ...]
    region_s: float
    caller_s: float
    speed: EngineSpeed
    kinds: tuple[Kind, ...]
    teams: int
    team_skew: float
    tokens_per_s: float
    reuse_s: float

    def scaled(self, load: float) -> "Deployment":
        """Return the same deployment with the load multiplied."""
        kinds = tuple(replace(kind, per_s=kind.per_s * load) for kind in self.kinds)
        return replace(self, kinds=kinds)


def _long(
    per_s: float, things: int, events: Size, target_s: float, worth: float
) -> Kind:
    shared = (
        SharedPart(Size(512, 0.4, 1280), 1),
        SharedPart(Size(4870, 0.7, 14_600), things),
    )
    own = Size(6610, 1.4, 54_600)
    return Kind("long", per_s, own, shared, events, target_s, 15.0, worth)


def _chat(
    per_s: float,
    things: int,
    events: Size,
    target_s: float,
    deadline_s: float,
    worth: float,
) -> Kind:
    shared = (
        SharedPart(Size(119, 0.4, 298), 20),
        SharedPart(Size(79.4, 0.7, 238), things),
    )
    own = Size(628, 1.0, 3310)
    return Kind("chat", per_s, own, shared, events, target_s, deadline_s, worth)


def _tag(
    per_s: float, things: tuple[int, int], events: Size, target_s: float, worth: float
) -> Kind:
    shared = (
        SharedPart(Size(341, 0.4, 851), things[0]),
        SharedPart(Size(227, 0.7, 681), things[1]),
    )
    own = Size(1800, 1.3, 6870)
    return Kind("tag", per_s, own, shared, events, target_s, 3.0, worth)


KYUSHU = Deployment(
    name="kyushu",
    vms=(3, 3, 3),
    engines=(2, 2, 2),
    region_s=0.012,
    caller_s=0.001,
    speed=EngineSpeed(
        slots=64,
        step_s=3.74e-3,
        step_s_per_run=0.0807e-3,
        context_s_per_token=0.00128e-6,
        prompt_tokens_per_s=81_900,
        pair_s=0.165e-9,
        first_s=0.041,
        chunk_tokens=2048,
        memory_tokens=708_276,
        tokens_per_event=5,
    ),
    kinds=(
        _long(29.4, 139, Size(76.4, 0.44, 210), 0.8, 4.3),
        _chat(42.5, 301, Size(58.3, 0.69, 191), 0.4, 15.0, 2.0),
        _tag(47.3, (20, 148), Size(4.51, 1.4, 18), 0.5, 0.43),
    ),
    teams=16,
    team_skew=1.8,
    tokens_per_s=380_000,
    reuse_s=10.0,
)

COLDROUTE = Deployment(
    name="coldroute",
    vms=(3, 2, 2),
    engines=(2, 2, 2),
    region_s=0.012,
    caller_s=0.003,
    speed=EngineSpeed(
        slots=128,
        step_s=3.55e-3,
        step_s_per_run=0.0462e-3,
        context_s_per_token=0.00115e-6,
        prompt_tokens_per_s=157_000,
        pair_s=0.109e-9,
        first_s=0.026,
        chunk_tokens=2048,
        memory_tokens=858_385,
        tokens_per_event=6,
    ),
    kinds=(
        _long(54.6, 257, Size(63.7, 0.44, 187), 0.6, 4.0),
        _chat(47.4, 223, Size(48.6, 0.69, 159), 0.3, 12.0, 1.8),
        _tag(81.2, (40, 574), Size(3.76, 1.4, 15), 0.4, 0.38),
    ),
    teams=16,
    team_skew=1.8,
    tokens_per_s=730_000,
    reuse_s=7.6,
)

DEPLOYMENTS = {found.name: found for found in (KYUSHU, COLDROUTE)}
