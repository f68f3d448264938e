"""The load generator tells whole answers from others."""

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


def fleet(router: str) -> FleetFile:
    team = TeamAccess("a", "key", 1.0, 1.0, (router,))
    once = ("POST /once",)
    return FleetFile("", "", "engines", "plain", once, "", "", "", (), (), (team,))


@pytest.fixture(params=[Engine, PlainService])
def upstream(request: pytest.FixtureRequest) -> Iterator[Upstream]:
    standin = request.param(FAST)
    standin.start()
    yield standin
    standin.stop()


def items(upstream: Upstream, count: int) -> list[WorkItem]:
    """Return work for an upstream that is asked without a router between."""
    mix = RequestMix() if isinstance(upstream, Engine) else RequestMix(0, 0, 0, 1)
    made = fleet(upstream.url)
    return list(islice(generate_work(made, made.teams[0], mix, seed=1), count))


def direct(caller: Caller, item: WorkItem) -> Verdict:
    return caller.call(item).verdict


def test_whole_answers(upstream: Upstream) -> None:
    caller = Caller()
    sent = items(upstream, 12)
    assert {direct(caller, item) for item in sent} == {Verdict.WHOLE}
    assert {item.stream for item in sent} >= {False}
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
def test_other_answers(
    kind: FaultKind, verdicts: set[Verdict], upstream: Upstream
) -> None:
    caller = Caller()
    first, *rest = items(upstream, 8)
    direct(caller, first)
    upstream.faults.set(UpstreamFaults(kind))
    assert {direct(caller, item) for item in rest} <= verdicts
    caller.close()


def test_work_is_the_same_for_a_seed() -> None:
    made = fleet("http://127.0.0.1:1")
    one, again, other = (
        list(
            islice(generate_work(made, made.teams[0], RequestMix(plain=0.3), seed), 50)
        )
        for seed in (5, 5, 6)
    )
    assert one == again
    assert [item.tokens for item in one] != [item.tokens for item in other]
