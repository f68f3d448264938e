"""Gateways that learn from each other that an upstream leaves."""

from collections.abc import Iterator

import pytest

from standins.gateway_fleet import GatewayFleet, running_fleet, wait_until

GATEWAYS = 3
CALLS = 10


@pytest.fixture
def fleet(tmp_path) -> Iterator[GatewayFleet]:
    with running_fleet(tmp_path, gateways=GATEWAYS) as running:
        yield running


def test_vms_that_were_told_that_an_upstream_leaves_send_it_nothing(fleet):
    first, *others = fleet.gateways
    engine = fleet.engines["e1"]
    engine.is_leaving = True
    wait_until(
        lambda: first.call("/read/x", "a1") and "upstream.leaving" in fleet.log(first),
        "the leaving upstream answers",
    )
    for gateway in others:
        wait_until(
            lambda gateway=gateway: '"source":"digest"' in fleet.log(gateway),
            f"{gateway.name} is told",
        )
    arrivals = len(engine.arrivals)
    for gateway in others:
        for number in range(CALLS):
            answer = gateway.call("/read/x", f"{gateway.name}-{number}")
            assert answer.status == 200
        assert 'oleander_leaving_reports_total{source="digest"} 1.0' in (
            gateway.metrics()
        )
    assert len(engine.arrivals) == arrivals
