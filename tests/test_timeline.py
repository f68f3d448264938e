"""Tests of the merged timeline and its rendering."""

import random

import msgspec
import pytest

from oleandershift.events import Event, EventName
from oleandershift.ids import RegionId, VmId
from oleandershift.rendering import render_html, render_text
from oleandershift.timeline import MAX_LINE_BYTES, Filter, LineFault, Timeline


def make_event(wall: int, name: EventName, vm: str = "vm-1", **fields: str) -> Event:
    return Event(
        wall=wall,
        logical=0,
        vm=VmId(vm),
        region=RegionId("fukuoka"),
        process=fields.pop("process", "router"),
        incarnation=1,
        name=name,
        **fields,
    )


def log_line(event: Event) -> bytes:
    return msgspec.json.encode({"level": "INFO", "event": event}) + b"\n"


@pytest.fixture
def request_events() -> list[Event]:
    return [
        make_event(10, EventName.REQUEST_ACCEPTED, request="r1", team="a"),
        make_event(20, EventName.GRANT_MADE, "vm-2", process="allocator", grant="g1"),
        make_event(30, EventName.REQUEST_GRANTED, request="r1", grant="g1", team="a"),
        make_event(35, EventName.GRANT_MADE, "vm-2", process="allocator", grant="g2"),
        make_event(40, EventName.UPSTREAM_RAN, "up", process="engine", request="r1/1"),
        make_event(50, EventName.REQUEST_ACCEPTED, request="r10", team="b"),
    ]


@pytest.fixture
def timeline(request_events: list[Event]) -> Timeline:
    merged = Timeline()
    lines = [log_line(event) for event in request_events]
    random.Random(4).shuffle(lines)
    merged.add_lines(lines)
    return merged


def test_events_are_merged_in_clock_order(
    timeline: Timeline, request_events: list[Event]
) -> None:
    assert timeline.events() == tuple(request_events)


def test_logical_clock_orders_events_with_equal_wall_time() -> None:
    timeline = Timeline()
    cause = make_event(10, EventName.GRANT_MADE, vm="vm-9")
    effect = msgspec.structs.replace(
        make_event(10, EventName.REQUEST_GRANTED, vm="vm-1"), logical=1
    )
    timeline.add_lines([log_line(effect), log_line(cause)])
    assert timeline.events() == (cause, effect)


def test_request_filter_includes_grants_and_attempts(timeline: Timeline) -> None:
    events = timeline.events(Filter(request="r1"))
    assert [event.wall for event in events] == [10, 20, 30, 40]


def test_team_filter_selects_its_events(timeline: Timeline) -> None:
    events = timeline.events(Filter(team="b"))
    assert [event.request for event in events] == ["r10"]


@pytest.mark.parametrize(
    ("line", "fault"),
    [
        (b"", None),
        (b'{"level":"INFO","message":"no event"}', None),
        (b'{"event":{"wall":1,"logi', LineFault.INVALID_JSON),
        (b"\xff\xfe\x00", LineFault.INVALID_JSON),
        (b"[1, 2]", LineFault.INVALID_JSON),
        (b'{"event":{"wall":"late"}}', LineFault.INVALID_EVENT),
        (b'{"event":{"name":"from-a-later-version"}}', LineFault.INVALID_EVENT),
        (b"[" * 5000, LineFault.INVALID_JSON),
        (b'"' + b"x" * MAX_LINE_BYTES, LineFault.TOO_LONG),
    ],
)
def test_unreadable_line_is_counted_by_fault(
    line: bytes, fault: LineFault | None
) -> None:
    timeline = Timeline()
    timeline.add_lines([line])
    assert timeline.events() == ()
    assert list(timeline.faults) == ([] if fault is None else [fault])


def test_text_has_one_line_per_event(timeline: Timeline) -> None:
    lines = list(render_text(timeline.events(Filter(request="r1"))))
    assert len(lines) == 4
    assert "vm-2/allocator" in lines[1]
    assert lines[1].endswith("grant-made        grant=g1")


def test_page_is_self_contained_and_escapes_data() -> None:
    event = make_event(1, EventName.STARTED, detail="</script><img src=x>")
    page = render_html([event])
    assert page.count("</script>") == 1
    assert "http://" not in page.replace("http://www.w3.org/2000/svg", "")
    assert "https://" not in page
