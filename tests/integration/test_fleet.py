"""Tests of a local fleet of separate processes under load."""

import os
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import replace
from itertools import islice
from pathlib import Path

import pytest

from standins.balancer import Balancer
from standins.calls import Caller, CallRecord, Verdict
from standins.experiment import fetch_ledgers
from standins.fleet import Fleet, FleetConfig
from standins.fleet_file import FILE_NAME, PLATFORM_PORT, read_fleet_file
from standins.load import LoadGenerator, TeamLoad, describe_failures
from standins.ports import is_listening
from standins.workload import RequestMix, WorkItem, generate_work

SUBNETS = range(64, 192)
FAST_ENGINES = ("--speed", "2000")
SEED = 11
CONCURRENT = 500
DRAIN_SECONDS = 60.0
WAIT_SECONDS = 30.0


def free_net() -> str:
    """Return a loopback subnet on which no other fleet runs."""
    for number in range(len(SUBNETS)):
        net = f"127.{SUBNETS[(os.getpid() + number) % len(SUBNETS)]}"
        if not is_listening(f"{net}.0.1", PLATFORM_PORT):
            return net
    raise AssertionError("no free subnet")


@pytest.fixture(params=["fair"])
def fleet(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Fleet]:
    print(f"seed {SEED}")
    cfg = FleetConfig(
        net=free_net(),
        out=tmp_path,
        policy=request.param,
        seed=SEED,
        engine_args=FAST_ENGINES,
        router_args=("--grace-seconds", "1"),
    )
    with Fleet(cfg) as running:
        yield running


def send_at_once(items: list[WorkItem]) -> list[CallRecord]:
    """Send all items at the same time, each on its own connection."""
    records: list[CallRecord] = []
    barrier = threading.Barrier(len(items))

    def send(item: WorkItem) -> None:
        caller = Caller()
        barrier.wait()
        records.append(caller.call(item))
        caller.close()

    threads = [threading.Thread(target=send, args=(item,)) for item in items]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return records


def test_each_of_many_concurrent_callers_gets_its_own_response(fleet: Fleet) -> None:
    addresses = fleet.addresses
    router_urls = [vm.http for vm in addresses.vms if vm.vm.endswith("-1")]
    sources = [
        generate_work(addresses, team, RequestMix(plain=0.3), SEED)
        for team in addresses.teams
    ]
    per_team = CONCURRENT // len(sources) + 1
    items = [item for source in sources for item in islice(source, per_team)]
    items = [
        replace(item, router=router_urls[index % len(router_urls)])
        for index, item in enumerate(items[:CONCURRENT])
    ]
    records = send_at_once(items)
    assert describe_failures(records) == ()
    assert len(records) == CONCURRENT
    executions = Counter(
        execution.echo
        for service in (addresses.engine_service, addresses.plain_service)
        for ledger in fetch_ledgers(addresses, service)
        for execution in ledger
    )
    assert {item.echo for item in items} <= set(executions)
    charged = [item.echo for item in items if item.idempotency_key]
    assert charged
    assert {executions[echo] for echo in charged} == {1}


def test_no_request_fails_during_a_rolling_restart(fleet: Fleet) -> None:
    addresses = fleet.addresses
    balancer = Balancer([vm.http for vm in addresses.vms])
    loads = {
        team.name: TeamLoad(2, mix=RequestMix(plain=0.2)) for team in addresses.teams
    }
    generator = LoadGenerator(addresses, loads, SEED, balancer.choose_router)
    balancer.start()
    generator.start()
    for suffix in ("-1", "-2", "-3"):
        vms = [vm.name for vm in fleet.plan.vms if vm.name.endswith(suffix)]
        fleet.restart_vms(vms, DRAIN_SECONDS)
    generator.stop()
    balancer.stop()
    records = generator.records()
    assert describe_failures(records) == ()
    assert {record.verdict for record in records} == {Verdict.WHOLE}


def test_launcher_stops_all_processes_despite_a_second_sigterm(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "standins.fleet", "--net", free_net()]
    launcher = subprocess.Popen(
        [*command, "--out", str(tmp_path)], stdout=subprocess.PIPE, text=True
    )
    assert launcher.stdout is not None
    assert launcher.stdout.readline().startswith("ready")
    for _ in range(2):
        launcher.terminate()
        time.sleep(0.2)
    launcher.wait(WAIT_SECONDS)
    launcher.stdout.close()
    fleet = read_fleet_file(tmp_path / FILE_NAME)
    urls = [fleet.platform, *(vm.http for vm in fleet.vms)]
    urls += [upstream.url for upstream in fleet.upstreams]
    assert [url for url in urls if serves(url)] == []


def serves(url: str) -> bool:
    host, port = url.removeprefix("http://").split(":")
    return is_listening(host, int(port))
