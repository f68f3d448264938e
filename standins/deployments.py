"""Loads and engines of the users' deployments, for the emulator.

The figures are those of the deployment sheets and site files at the scale of the
bench. Prompt and output sizes are lognormal with the means and sigmas given there.
"""

from dataclasses import dataclass, replace

from standins.batching import EngineProfile

MAX_PAUSE_SECONDS = 0.3
"""Longest pause between events of a response of full value (deployment sheets)."""

LATE_VALUE_FRACTION = 0.3
"""Value of a late response as a fraction of its full value (deployment sheets)."""


@dataclass(frozen=True)
class SizeDistribution:
    """Lognormal distribution of a number of tokens or events.

    Parameters
    ----------
    mean, sigma, maximum : float
        Mean, standard deviation of the logarithm, and upper limit.
    """

    mean: float
    sigma: float
    maximum: float


@dataclass(frozen=True)
class SharedPart:
    """A part of the prompt that requests share.

    Parameters
    ----------
    tokens : SizeDistribution
        Length in tokens.
    variants : int
        Number of different contents.
    """

    tokens: SizeDistribution
    variants: int


@dataclass(frozen=True)
class GenerationKind:
    """A kind of generation.

    Parameters
    ----------
    name : str
        Name on the deployment sheet.
    requests_per_s : float
        Requests per second of the whole fleet.
    unique_tokens : SizeDistribution
        Prompt tokens after the shared parts.
    shared_parts : tuple of SharedPart
        Shared parts of the prompt in order.
    output_events : SizeDistribution
        Events of a response.
    target_s, deadline_s : float
        Maximum time to the first event of a response of full value, and maximum time
        that a caller waits.
    full_value : float
        Value of a response in time.
    """

    name: str
    requests_per_s: float
    unique_tokens: SizeDistribution
    shared_parts: tuple[SharedPart, ...]
    output_events: SizeDistribution
    target_s: float
    deadline_s: float
    full_value: float

    @property
    def mean_prompt_tokens(self) -> float:
        """Mean length of a prompt in tokens."""
        return self.unique_tokens.mean + sum(
            part.tokens.mean for part in self.shared_parts
        )


@dataclass(frozen=True)
class Deployment:
    """A fleet with its engines and its load.

    Parameters
    ----------
    name : str
        Name of the deployment.
    vms_per_region, engines_per_region : tuple of int
        Number of VMs and engines in each region; each region has one data centre.
    inter_region_delay_s, caller_delay_s : float
        One-way delay between regions, and between callers and VMs.
    engine_profile : EngineProfile
        Capacity and speed of every engine.
    kinds : tuple of GenerationKind
        Kinds of generations; plain services are not emulated.
    team_count : int
        Number of teams. The request rate of the team of rank n is proportional to
        ``n ** -team_skew``.
    team_skew : float
        Exponent of that power law.
    capacity_tokens_per_s : float
        Declared total capacity of the engines in tokens per second.
    reuse_s : float
        Seconds after its last use during which a prefix is assumed to be cached.
    """

    name: str
    vms_per_region: tuple[int, ...]
    engines_per_region: tuple[int, ...]
    inter_region_delay_s: float
    caller_delay_s: float
    engine_profile: EngineProfile
    kinds: tuple[GenerationKind, ...]
    team_count: int
    team_skew: float
    capacity_tokens_per_s: float
    reuse_s: float

    def scaled(self, load_factor: float) -> "Deployment":
        """Return a copy whose request rates are multiplied by `load_factor`."""
        kinds = tuple(
            replace(kind, requests_per_s=kind.requests_per_s * load_factor)
            for kind in self.kinds
        )
        return replace(self, kinds=kinds)


def _long_kind(
    requests_per_s: float,
    variants: int,
    output_events: SizeDistribution,
    target_s: float,
    full_value: float,
) -> GenerationKind:
    shared_parts = (
        SharedPart(SizeDistribution(512, 0.4, 1280), 1),
        SharedPart(SizeDistribution(4870, 0.7, 14_600), variants),
    )
    unique_tokens = SizeDistribution(6610, 1.4, 54_600)
    return GenerationKind(
        "long",
        requests_per_s,
        unique_tokens,
        shared_parts,
        output_events,
        target_s,
        15.0,
        full_value,
    )


def _chat_kind(
    requests_per_s: float,
    variants: int,
    output_events: SizeDistribution,
    target_s: float,
    deadline_s: float,
    full_value: float,
) -> GenerationKind:
    shared_parts = (
        SharedPart(SizeDistribution(119, 0.4, 298), 20),
        SharedPart(SizeDistribution(79.4, 0.7, 238), variants),
    )
    unique_tokens = SizeDistribution(628, 1.0, 3310)
    return GenerationKind(
        "chat",
        requests_per_s,
        unique_tokens,
        shared_parts,
        output_events,
        target_s,
        deadline_s,
        full_value,
    )


def _tag_kind(
    requests_per_s: float,
    variants: tuple[int, int],
    output_events: SizeDistribution,
    target_s: float,
    full_value: float,
) -> GenerationKind:
    shared_parts = (
        SharedPart(SizeDistribution(341, 0.4, 851), variants[0]),
        SharedPart(SizeDistribution(227, 0.7, 681), variants[1]),
    )
    unique_tokens = SizeDistribution(1800, 1.3, 6870)
    return GenerationKind(
        "tag",
        requests_per_s,
        unique_tokens,
        shared_parts,
        output_events,
        target_s,
        3.0,
        full_value,
    )


KYUSHU = Deployment(
    name="kyushu",
    vms_per_region=(3, 3, 3),
    engines_per_region=(2, 2, 2),
    inter_region_delay_s=0.012,
    caller_delay_s=0.001,
    engine_profile=EngineProfile(
        slots=64,
        base_step_s=3.74e-3,
        step_s_per_request=0.0807e-3,
        step_s_per_context_token=0.00128e-6,
        prefill_tokens_per_s=81_900,
        attention_s_per_token_pair=0.165e-9,
        first_token_delay_s=0.041,
        prefill_chunk_tokens=2048,
        kv_cache_tokens=708_276,
        tokens_per_event=5,
    ),
    kinds=(
        _long_kind(29.4, 139, SizeDistribution(76.4, 0.44, 210), 0.8, 4.3),
        _chat_kind(42.5, 301, SizeDistribution(58.3, 0.69, 191), 0.4, 15.0, 2.0),
        _tag_kind(47.3, (20, 148), SizeDistribution(4.51, 1.4, 18), 0.5, 0.43),
    ),
    team_count=16,
    team_skew=1.8,
    capacity_tokens_per_s=380_000,
    reuse_s=10.0,
)

COLDROUTE = Deployment(
    name="coldroute",
    vms_per_region=(3, 2, 2),
    engines_per_region=(2, 2, 2),
    inter_region_delay_s=0.012,
    caller_delay_s=0.003,
    engine_profile=EngineProfile(
        slots=128,
        base_step_s=3.55e-3,
        step_s_per_request=0.0462e-3,
        step_s_per_context_token=0.00115e-6,
        prefill_tokens_per_s=157_000,
        attention_s_per_token_pair=0.109e-9,
        first_token_delay_s=0.026,
        prefill_chunk_tokens=2048,
        kv_cache_tokens=858_385,
        tokens_per_event=6,
    ),
    kinds=(
        _long_kind(54.6, 257, SizeDistribution(63.7, 0.44, 187), 0.6, 4.0),
        _chat_kind(47.4, 223, SizeDistribution(48.6, 0.69, 159), 0.3, 12.0, 1.8),
        _tag_kind(81.2, (40, 574), SizeDistribution(3.76, 1.4, 15), 0.4, 0.38),
    ),
    team_count=16,
    team_skew=1.8,
    capacity_tokens_per_s=730_000,
    reuse_s=7.6,
)

KYUSHU_LARGE = Deployment(
    name="kyushu-large",
    vms_per_region=(11, 11, 11),
    engines_per_region=(3, 3, 2),
    inter_region_delay_s=0.012,
    caller_delay_s=0.003,
    engine_profile=replace(
        KYUSHU.engine_profile, slots=12, kv_cache_tokens=437_815, tokens_per_event=7
    ),
    kinds=(
        _long_kind(25.9, 122, SizeDistribution(54.6, 0.44, 160), 0.8, 3.7),
        _chat_kind(22.6, 160, SizeDistribution(41.6, 0.69, 136), 0.4, 10.0, 2.7),
        _tag_kind(52.2, (6, 164), SizeDistribution(3.22, 1.4, 13), 0.4, 0.3),
    ),
    team_count=60,
    team_skew=1.8,
    capacity_tokens_per_s=168_000,
    reuse_s=10.0,
)
"""The large deployment with 8 of its 50 engines, and VMs and load in proportion."""

DEPLOYMENTS = {
    deployment.name: deployment for deployment in (KYUSHU, COLDROUTE, KYUSHU_LARGE)
}
