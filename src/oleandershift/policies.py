"""Registry of the router's scheduling policies."""

from collections.abc import Callable
from typing import TypeAlias

from oleandershift.dispatch import Policy
from oleandershift.fair import FairPolicy
from oleandershift.fcfs import FirstComePolicy
from oleandershift.ids import RegionId
from oleandershift.local import GossipPolicy, StaticSplitPolicy
from oleandershift.messages import ProcessId

PolicyFactory: TypeAlias = Callable[[ProcessId, RegionId, str, int], Policy]
"""Creates a policy from process id, region, link address and random seed."""


def _first_come(
    process: ProcessId, region: RegionId, address: str, seed: int
) -> Policy:
    return FirstComePolicy()


def _fair(process: ProcessId, region: RegionId, address: str, seed: int) -> Policy:
    return FairPolicy(process, region, address)


def _gossip(process: ProcessId, region: RegionId, address: str, seed: int) -> Policy:
    return GossipPolicy(process, region, address)


def _static(process: ProcessId, region: RegionId, address: str, seed: int) -> Policy:
    return StaticSplitPolicy(process, region, address)


POLICIES: dict[str, PolicyFactory] = {
    "fair": _fair,
    "fcfs": _first_come,
    "gossip": _gossip,
    "static": _static,
}
"""Policy factories by `--policy` name."""
