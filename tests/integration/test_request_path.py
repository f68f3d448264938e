"""Tests of the events that one request leaves in the logs of all processes."""

import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3
from loguru import logger

from oleandershift.cli import operator
from oleandershift.events import EventName
from oleandershift.ids import RegionId, ServiceId, TeamId, UpstreamId
from oleandershift.io.logs import configure_logging
from oleandershift.keys import hash_key
from oleandershift.messages import Row
from oleandershift.rows import RowKind, ServiceRow, TeamRow, UpstreamRow, encode_row
from oleandershift.timeline import Filter, Timeline
from standins.capacity.daemons import PORTS, Vm, running_vm
from standins.engine import Engine
from standins.ports import free_ports
from standins.run import UpstreamConfig

KEY = "ole_test"


@pytest.fixture
def engine(tmp_path: Path) -> Iterator[Engine]:
    configure_logging("INFO", str(tmp_path / "engine.jsonl"))
    model_engine = Engine(UpstreamConfig(name="engine-1", speed=1000.0))
    model_engine.start()
    yield model_engine
    model_engine.stop()
    logger.remove()


@pytest.fixture
def vm(engine: Engine, tmp_path: Path) -> Iterator[Vm]:
    service = ServiceRow(name=ServiceId("draft"))
    team = TeamRow(name=TeamId("a"), key_hashes=(hash_key(KEY),))
    upstream = UpstreamRow(
        name=UpstreamId("engine-1"),
        service=service.name,
        region=RegionId("region-00"),
        url=engine.url,
    )
    kinds = (
        (RowKind.SERVICES, service),
        (RowKind.TEAMS, team),
        (RowKind.UPSTREAMS, upstream),
    )
    table = [Row(kind.value, row.name, 1, encode_row(row)) for kind, row in kinds]
    ports = dict(zip(PORTS, free_ports(len(PORTS)), strict=True))
    with running_vm(Vm(table, "127.0.0.1", ports), tmp_path) as vm:
        yield vm


def test_request_is_seen_at_router_allocator_and_upstream(
    vm: Vm, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    response = urllib3.request(
        "POST",
        f"{vm.url}/v1/draft/generate",
        body=b'{"max_tokens":5}',
        headers={"Authorization": f"Bearer {KEY}"},
    )
    request = response.headers["Oleander-Request-Id"]
    timeline = Timeline()
    for log in tmp_path.glob("*.jsonl"):
        timeline.add_lines(log.read_bytes().splitlines())
    events = timeline.events(Filter(request=request))
    assert {event.process for event in events} == {"router", "allocator", "upstream"}
    order = [event.name for event in events]
    steps = [
        EventName.REQUEST_ACCEPTED,
        EventName.GRANT_MADE,
        EventName.REQUEST_GRANTED,
        EventName.REQUEST_FINISHED,
    ]
    assert sorted(steps, key=order.index) == steps
    assert operator.main(["timeline", str(tmp_path), f"--request={request}"]) == 0
    assert "grant-made" in capsys.readouterr().out
    query = ["--query-address", vm.query_address, "--fleet=capacity"]
    assert operator.main(["status", "--window-seconds=1", *query]) == 0
    output = capsys.readouterr().out
    assert "1 of 1 reachable, one table in force" in output
    assert operator.main(["explain", request, *query]) == 0
    assert "status 200, ran on engine-1" in capsys.readouterr().out


def test_example_caller_gets_both_responses(vm: Vm) -> None:
    caller = Path(__file__).parents[2] / "examples" / "caller.py"
    completed = subprocess.run(
        [sys.executable, str(caller), vm.url, KEY, "draft"],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert (completed.returncode, completed.stderr) == (0, "")
    assert completed.stdout.startswith("200 ran ")
    assert "data: [DONE]" in completed.stdout
