"""Measurements of membership: detection time, false alarms and bytes sent.

Runs the membership objects of up to 770 VMs in one process, with a loop that delivers
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
    """Cost of membership in a fleet in which nothing changes.

    Parameters
    ----------
    bytes_a_second : float
        Encoded bytes that a VM sends, without TCP overhead.
    processor_share : float
        CPU time of a VM's membership object divided by the virtual time.
    """

    bytes_a_second: float
    processor_share: float


class Detection(msgspec.Struct, frozen=True):
    """Detection of VMs that are killed one after another.

    Parameters
    ----------
    median_seconds, worst_seconds : float
        From the kill until every running VM considers the killed VM dead.
    bytes_a_second : float
        Encoded bytes that a VM sends during the measurement.
    """

    median_seconds: float
    worst_seconds: float
    bytes_a_second: float


class FalseAlarms(msgspec.Struct, frozen=True):
    """False alarms in a fleet under faults in which no VM stops.

    Parameters
    ----------
    suspicions : float
        Mean number of concurrent suspicions, over all VMs.
    deaths : int
        Largest number of concurrent beliefs that a running VM is dead, over all VMs.
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
        From the simultaneous start of all VMs until each knows all others.
    quiet : IdleCost
        Cost while nothing changes.
    kills : Detection
        Detection of killed VMs.
    loss : FalseAlarms
        False alarms while 20% of the messages are lost.
    frozen : FalseAlarms
        False alarms after a tenth of the VMs was frozen for 3 s.
    merge_seconds : float
        From the end of a network partition between one region and the others until all
        views agree.
    """

    vms: int
    start_seconds: float
    quiet: IdleCost
    kills: Detection
    loss: FalseAlarms
    frozen: FalseAlarms
    merge_seconds: float


def _region_count(vms: int) -> int:
    return max(MIN_REGIONS, vms // VMS_PER_REGION)


def _make_steady_loop(vms: int, seed: int) -> MembershipLoop:
    """Return a warmed-up loop whose VMs know each other, as after a long run."""
    loop = MembershipLoop(
        vms, seed, _region_count(vms), sync_seconds=MAX_SYNC_INTERVAL_SECONDS
    )
    loop.introduce_all()
    loop.run(WARM_UP_SECONDS)
    loop.sent_bytes.clear()
    return loop


def _bytes_a_second(loop: MembershipLoop, started_at: float) -> float:
    return sum(loop.sent_bytes.values()) / len(loop.nodes) / (loop.now - started_at)


def _measure_start(vms: int, seed: int) -> float:
    loop = MembershipLoop(vms, seed, _region_count(vms))
    return loop.run_until_settled(SETTLE_TIMEOUT_SECONDS)


def _measure_quiet(vms: int, seed: int) -> IdleCost:
    loop = _make_steady_loop(vms, seed)
    cpu_started, started_at = time.process_time(), loop.now
    loop.run(IDLE_SECONDS)
    cpu_seconds = time.process_time() - cpu_started
    share = cpu_seconds / (loop.now - started_at) / vms
    return IdleCost(_bytes_a_second(loop, started_at), share)


def _measure_kills(vms: int, seed: int, kills: int) -> Detection:
    loop = _make_steady_loop(vms, seed)
    started_at = loop.now
    seconds = []
    for number in range(1, kills + 1):
        loop.down.add(list(loop.nodes)[-number])
        seconds.append(loop.run_until_settled(SETTLE_TIMEOUT_SECONDS))
    rate = _bytes_a_second(loop, started_at)
    return Detection(median(seconds), max(seconds), rate)


def _measure_false_alarms(
    loop: MembershipLoop, seconds: int, started_at: float
) -> FalseAlarms:
    deaths = 0
    suspicions = 0
    for _ in range(seconds):
        loop.run(1.0)
        deaths = max(deaths, loop.count_false_deaths())
        suspicions += loop.count_suspicions()
    return FalseAlarms(suspicions / seconds, deaths, _bytes_a_second(loop, started_at))


def _measure_loss(vms: int, seed: int) -> FalseAlarms:
    loop = _make_steady_loop(vms, seed)
    loop.loss_rate = LOSS_RATE
    return _measure_false_alarms(loop, int(LOSSY_SECONDS), loop.now)


def _measure_frozen(vms: int, seed: int) -> FalseAlarms:
    loop = _make_steady_loop(vms, seed)
    started_at = loop.now
    loop.frozen.update(list(loop.nodes)[: max(1, int(vms * FROZEN_SHARE))])
    loop.run(FREEZE_SECONDS)
    loop.frozen.clear()
    return _measure_false_alarms(loop, AFTER_FREEZE_SECONDS, started_at)


def _measure_merge(vms: int, seed: int) -> float:
    loop = _make_steady_loop(vms, seed)
    region = next(iter(loop.nodes.values())).local_member.region
    loop.partition = frozenset(
        vm for vm, node in loop.nodes.items() if node.local_member.region == region
    )
    loop.run(PARTITION_SECONDS)
    loop.partition = frozenset()
    return loop.run_until_settled(SETTLE_TIMEOUT_SECONDS)


def measure(vms: int, seed: int, kills: int) -> Measurement:
    """Run all measurements at one fleet size.

    Parameters
    ----------
    vms : int
        Number of VMs.
    seed : int
        Seed of delays, losses and the members' random choices.
    kills : int
        Number of VMs to kill.
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
    """Measure each fleet size and print one JSON line for each."""
    parser = argparse.ArgumentParser("standins.membership_bench", description=__doc__)
    parser.add_argument("--sizes", default="9,30,90,270", help="fleet sizes")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kills", type=int, default=5)
    cfg = parser.parse_args(argv)
    print(f"seed {cfg.seed}", file=sys.stderr)
    for size in cfg.sizes.split(","):
        measurement = measure(int(size), cfg.seed, cfg.kills)
        print(msgspec.json.encode(measurement).decode(), flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
