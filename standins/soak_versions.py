"""Judge of numbers that must not go back at a gateway while its process lives."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeAlias

DOWNGRADE_SECONDS = 0.25
"""Time after a request was served by a version's route, until which others may not."""

Life: TypeAlias = tuple[str, int]
"""Name of a gateway and process id."""


@dataclass(frozen=True)
class VersionProbe:
    """A request on a route that is there from one version on.

    Parameters
    ----------
    life : Life
        Process that was asked.
    version : int
        First version that has the route.
    status : int
        Status of the answer.
    sent_at, ended_at : float
        Monotonic times.
    """

    life: Life
    version: int
    status: int
    sent_at: float
    ended_at: float


@dataclass(frozen=True)
class VersionGauges:
    """What a gateway's metrics say.

    Parameters
    ----------
    life : Life
        Process that was asked.
    sent_at : float
        Monotonic time.
    version, revision, era : int
        Version of the configuration, revision of the upstreams' list and the store's
        era.
    """

    life: Life
    sent_at: float
    version: int
    revision: int
    era: int


@dataclass
class VersionHistory:
    """Probes and samples of a run, in the order in which they were sent."""

    probes: list[VersionProbe] = field(default_factory=list)
    gauges: list[VersionGauges] = field(default_factory=list)


def find_steps_back(history: VersionHistory) -> list[str]:
    """Return a description of every number that went back."""
    return [*_route_steps(history), *_gauge_steps(history)]


def count_older_lives(history: VersionHistory) -> int:
    """Return how many processes began with an older version than the one before.

    The rule holds for one life of a process, so that they don't count. Version 0 is
    that of a process that knows none yet.
    """
    newest: dict[str, tuple[int, int]] = {}
    older = 0
    for item in (item for item in history.gauges if item.version):
        name, pid = item.life
        last_pid, last_version = newest.get(name, (pid, 0))
        older += pid != last_pid and item.version < last_version
        newest[name] = (pid, item.version)
    return older


def _route_steps(history: VersionHistory) -> Iterator[str]:
    """Find routes that were not there after a version that has them was in force."""
    served: dict[Life, list[VersionProbe]] = defaultdict(list)
    for probe in history.probes:
        if probe.status == 200:
            served[probe.life].append(probe)
    for probe in history.probes:
        if probe.status != 404:
            continue
        for other in served[probe.life]:
            is_later = probe.sent_at > other.ended_at + DOWNGRADE_SECONDS
            if is_later and other.version >= probe.version:
                yield (
                    f"version went back: {probe.life} served the route of version "
                    f"{other.version} and has none of {probe.version} "
                    f"{probe.sent_at - other.ended_at:.2f} s later"
                )
                break


def _gauge_steps(history: VersionHistory) -> Iterator[str]:
    last: dict[Life, VersionGauges] = {}
    for item in history.gauges:
        before = last.get(item.life, item)
        if item.version < before.version:
            yield (
                f"version went back: {item.life} says {item.version} "
                f"after {before.version}"
            )
        if item.era == before.era and item.revision < before.revision:
            yield (
                f"revision went back: {item.life} says {item.revision} "
                f"after {before.revision}"
            )
        last[item.life] = item
