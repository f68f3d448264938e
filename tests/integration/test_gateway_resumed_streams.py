"""Streams that break off and are resumed at an upstream that answers with an error."""

from collections.abc import Iterator

import pytest

from standins.behaviours import Behaviour
from standins.gateway_fleet import GatewayFleet, running_fleet

ENGINES = 3
WRONG_ANSWERS = [
    Behaviour.FAIL,
    Behaviour.ERROR_JSON,
    Behaviour.ERROR_TEXT,
    Behaviour.ERROR_EMPTY,
    Behaviour.GARBAGE,
]
ALL_EVENTS = [b"id: %d" % number for number in range(1, 6)]


@pytest.fixture
def fleet(tmp_path) -> Iterator[GatewayFleet]:
    with running_fleet(tmp_path, engines=ENGINES) as running:
        for engine in running.engines.values():
            engine.behaviour = Behaviour.CUT_MIDWAY
        yield running


def event_ids(answer):
    return [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]


@pytest.mark.parametrize("wrong", WRONG_ANSWERS)
def test_error_of_the_next_upstream_is_no_part_of_a_stream(fleet, wrong):
    for engine in fleet.engines.values():
        engine.resumed_behaviour = wrong
    answer = fleet.gateways[0].call("/stream/resumable/x", "a1")
    assert (answer.status, answer.whole) == (200, False)
    assert event_ids(answer) == ALL_EVENTS[: len(event_ids(answer))]
    for text in (b"error", b"HTTP", b"answer", b"failed"):
        assert text not in answer.body


@pytest.mark.parametrize("wrong", WRONG_ANSWERS)
def test_stream_goes_on_at_a_third_upstream_after_an_error(fleet, wrong):
    """Which upstream gets the second attempt is not known, so each is made sound."""
    wholes = 0
    for number, sound in enumerate(fleet.engines):
        for name, engine in fleet.engines.items():
            is_sound = name == sound
            engine.resumed_behaviour = Behaviour.ANSWER if is_sound else wrong
        answer = fleet.gateways[0].call("/stream/resumable/x", f"a{number}")
        assert event_ids(answer) == ALL_EVENTS[: len(event_ids(answer))]
        assert answer.whole == (event_ids(answer) == ALL_EVENTS)
        wholes += answer.whole
    assert wholes >= ENGINES - 1
