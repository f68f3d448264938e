"""Registry of the router's scheduling policies."""

from collections.abc import Callable
from typing import TypeAlias

from oleandershift.dispatch import Policy
from oleandershift.fcfs import FirstComePolicy
from oleandershift.ids import RegionId
from oleandershift.messages import ProcessId

PolicyMaker: TypeAlias = Callable[[ProcessId, RegionId, str, int], Policy]
"""Makes a policy from process, region, own link address and seed."""


def _first_come(
    process: ProcessId, region: RegionId, address: str, seed: int
) -> Policy:
    return FirstComePolicy()


POLICIES: dict[str, PolicyMaker] = {"fcfs": _first_come}
"""Makers by the name that `--policy` takes."""
