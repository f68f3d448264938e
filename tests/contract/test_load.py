"""Contract tests of how the load generator judges responses."""

from collections.abc import Iterator
from itertools import islice

import pytest

from standins.calls import Caller, Verdict
from standins.engine import Engine
from standins.faults import FaultKind, UpstreamFaults
from standins.fleet_file import FleetFile, TeamAccess
from standins.plain import PlainService
from standins.run import UpstreamConfig
from standins.upstream import Upstream
from standins.workload import RequestMix, WorkItem, generate_work

FAST = UpstreamConfig(speed=20_000.0, overhead_seconds=0.0)


def make_fleet_file(router: str) -> FleetFile:
    team = TeamAccess("a", "key", 1.0, 1.0, (router,))
    non_idempotent = ("POST /once",)
    return FleetFile(
        "", "", "engines", "plain", non_idempotent, "", "", "", (), (), (team,)
    )


@pytest.fixture(params=[Engine, PlainService])
def upstream(request: pytest.FixtureRequest) -> Iterator[Upstream]:
    running_upstream = request.param(FAST)
    running_upstream.start()
    yield running_upstream
    running_upstream.stop()


def make_items(upstream: Upstream, count: int) -> list[WorkItem]:
    """Return work items whose router URL is that of the upstream."""
    mix = RequestMix() if isinstance(upstream, Engine) else RequestMix(0, 0, 0, 1)
    fleet = make_fleet_file(upstream.url)
    return list(islice(generate_work(fleet, fleet.teams[0], mix, seed=1), count))


def call_verdict(caller: Caller, item: WorkItem) -> Verdict:
    return caller.call(item).verdict


def test_complete_responses_are_whole(upstream: Upstream) -> None:
    caller = Caller()
    work_items = make_items(upstream, 12)
    assert {call_verdict(caller, item) for item in work_items} == {Verdict.WHOLE}
    assert {item.stream for item in work_items} >= {False}
    caller.close()


@pytest.mark.parametrize(
    ("kind", "verdicts"),
    [
        (FaultKind.CROSSED, {Verdict.WRONG}),
        (FaultKind.SHORT, {Verdict.BROKEN, Verdict.WRONG}),
        (FaultKind.CUT, {Verdict.BROKEN}),
        (FaultKind.ERROR, {Verdict.FAILED}),
    ],
)
def test_faulty_responses_get_the_verdict_of_their_fault(
    kind: FaultKind, verdicts: set[Verdict], upstream: Upstream
) -> None:
    caller = Caller()
    first, *rest = make_items(upstream, 8)
    call_verdict(caller, first)
    upstream.faults.set(UpstreamFaults(kind))
    assert {call_verdict(caller, item) for item in rest} <= verdicts
    caller.close()


def test_work_is_determined_by_the_seed() -> None:
    fleet = make_fleet_file("http://127.0.0.1:1")
    first, repeated, other = (
        list(
            islice(
                generate_work(fleet, fleet.teams[0], RequestMix(plain=0.3), seed), 50
            )
        )
        for seed in (5, 5, 6)
    )
    assert first == repeated
    assert [item.tokens for item in first] != [item.tokens for item in other]
