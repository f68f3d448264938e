"""Measurements of the membership object: time to detect, false alarms, bytes.

Runs membership objects of up to 770 VMs in one process, with a loop that carries
their messages on virtual time. No sockets are opened.
"""

import argparse
import sys
import time
from collections.abc import Sequence
from statistics import median

import msgspec

from oleandershift.membership import MAX_SYNC_INTERVAL_SECONDS
from standins.membership_loop import MembershipLoop

SETTLE_TIMEOUT_SECONDS = 300.0
WARM_UP_SECONDS = 10.0
IDLE_SECONDS = 10.0
LOSSY_SECONDS = 15.0
LOSS_RATE = 0.2
FREEZE_SECONDS = 3.0
FROZEN_SHARE = 0.1
AFTER_FREEZE_SECONDS = 12
PARTITION_SECONDS = 20.0
VMS_PER_REGION = 70
MIN_REGIONS = 3


class IdleCost(msgspec.Struct, frozen=True):
    """A fleet in which nothing happens.

    Parameters
    ----------
    bytes_a_second : float
        Encoded bytes that a VM sends; TCP's own not counted.
    processor_share : float
        Processor time of a VM's membership object over virtual time.
    """

    bytes_a_second: float
    processor_share: float


class Detection(msgspec.Struct, frozen=True):
    """VMs killed one after another.

    Parameters
    ----------
    median_seconds, worst_seconds : float
        From the kill until every VM holds it for dead.
    bytes_a_second : float
        Encoded bytes that a VM sends meanwhile.
    """

    median_seconds: float
    worst_seconds: float
    bytes_a_second: float


class FalseAlarms(msgspec.Struct, frozen=True):
    """A fleet in which no VM stops, under faults.

    Parameters
    ----------
    suspicions : float
        Suspicions held at a time, over all VMs; mean.
    deaths : int
        Beliefs that a running VM is dead, over all VMs; most at a time.
    bytes_a_second : float
        Encoded bytes that a VM sends.
    """

    suspicions: float
    deaths: int
    bytes_a_second: float


class Measurement(msgspec.Struct, frozen=True, kw_only=True):
    """Figures at one fleet size.

    Parameters
    ----------
    vms : int
        Size of the fleet.
    start_seconds : float
        From the start of all VMs at once until each knows all others.
    quiet : Quiet
        Nothing happens.
    kills : Detection
        VMs are killed.
    loss : FalseAlarms
        20% of the messages are lost.
    frozen : FalseAlarms
        A tenth of the VMs was frozen for 3 s.
    merge_seconds : float
        From the end of a cut between one region and the rest until all agree.
    """

    vms: int
    start_seconds: float
    quiet: IdleCost
    kills: Detection
    loss: FalseAlarms
    frozen: FalseAlarms
    merge_seconds: float


def _regions(vms: int) -> int:
    return max(MIN_REGIONS, vms // VMS_PER_REGION)


def _long_known(vms: int, seed: int) -> MembershipLoop:
    """Return a fleet whose VMs have known each other for long."""
    loop = MembershipLoop(
        vms, seed, _regions(vms), sync_seconds=MAX_SYNC_INTERVAL_SECONDS
    )
    loop.introduce_all()
    loop.run(WARM_UP_SECONDS)
    loop.sent_bytes.clear()
    return loop


def _bytes_a_second(loop: MembershipLoop, since: float) -> float:
    return sum(loop.sent_bytes.values()) / len(loop.nodes) / (loop.now - since)


def _measure_start(vms: int, seed: int) -> float:
    loop = MembershipLoop(vms, seed, _regions(vms))
    return loop.run_until_settled(SETTLE_TIMEOUT_SECONDS)


def _measure_quiet(vms: int, seed: int) -> IdleCost:
    loop = _long_known(vms, seed)
    processor, since = time.process_time(), loop.now
    loop.run(IDLE_SECONDS)
    used = time.process_time() - processor
    share = used / (loop.now - since) / vms
    return IdleCost(_bytes_a_second(loop, since), share)


def _measure_kills(vms: int, seed: int, kills: int) -> Detection:
    loop = _long_known(vms, seed)
    since = loop.now
    seconds = []
    for number in range(1, kills + 1):
        loop.down.add(list(loop.nodes)[-number])
        seconds.append(loop.run_until_settled(SETTLE_TIMEOUT_SECONDS))
    rate = _bytes_a_second(loop, since)
    return Detection(median(seconds), max(seconds), rate)


def _watch(loop: MembershipLoop, seconds: int, since: float) -> FalseAlarms:
    deaths = 0
    suspicions = 0
    for _ in range(seconds):
        loop.run(1.0)
        deaths = max(deaths, loop.count_false_deaths())
        suspicions += loop.count_suspicions()
    return FalseAlarms(suspicions / seconds, deaths, _bytes_a_second(loop, since))


def _measure_loss(vms: int, seed: int) -> FalseAlarms:
    loop = _long_known(vms, seed)
    loop.loss_rate = LOSS_RATE
    return _watch(loop, int(LOSSY_SECONDS), loop.now)


def _measure_frozen(vms: int, seed: int) -> FalseAlarms:
    loop = _long_known(vms, seed)
    since = loop.now
    loop.frozen.update(list(loop.nodes)[: max(1, int(vms * FROZEN_SHARE))])
    loop.run(FREEZE_SECONDS)
    loop.frozen.clear()
    return _watch(loop, AFTER_FREEZE_SECONDS, since)


def _measure_merge(vms: int, seed: int) -> float:
    loop = _long_known(vms, seed)
    region = next(iter(loop.nodes.values())).local_member.region
    loop.partition = frozenset(
        vm for vm, node in loop.nodes.items() if node.local_member.region == region
    )
    loop.run(PARTITION_SECONDS)
    loop.partition = frozenset()
    return loop.run_until_settled(SETTLE_TIMEOUT_SECONDS)


def measure(vms: int, seed: int, kills: int) -> Measurement:
    """Return the figures at one fleet size.

    Parameters
    ----------
    vms : int
        Size of the fleet.
    seed : int
        Seed of delays, losses and choices.
    kills : int
        VMs to kill.
    """
    return Measurement(
        vms=vms,
        start_seconds=_measure_start(vms, seed),
        quiet=_measure_quiet(vms, seed),
        kills=_measure_kills(vms, seed, kills),
        loss=_measure_loss(vms, seed),
        frozen=_measure_frozen(vms, seed),
        merge_seconds=_measure_merge(vms, seed),
    )


def main(argv: Sequence[str] | None = None) -> int:
    """Measure and print one JSON line a fleet size."""
    parser = argparse.ArgumentParser("standins.membership_bench", description=__doc__)
    parser.add_argument("--sizes", default="9,30,90,270", help="fleet sizes")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kills", type=int, default=5)
    cfg = parser.parse_args(argv)
    print(f"seed {cfg.seed}", file=sys.stderr)
    for size in cfg.sizes.split(","):
        found = measure(int(size), cfg.seed, cfg.kills)
        print(msgspec.json.encode(found).decode(), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
