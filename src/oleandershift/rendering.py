"""The time line as text, and as one self-contained HTML page."""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from datetime import UTC, datetime
from importlib.resources import files

import msgspec

from oleandershift.events import Event
from oleandershift.timeline import LineFault

NANOSECONDS_PER_SECOND = 1_000_000_000
_FIELDS = ("request", "grant", "team", "service", "upstream", "detail")
_PAGE = "timeline.html"
_DATA_MARK = "/*DATA*/"


def format_time(wall: int) -> str:
    """Return nanoseconds since the Unix epoch as UTC time of day, microseconds."""
    whole, rest = divmod(wall, NANOSECONDS_PER_SECOND)
    try:
        day = datetime.fromtimestamp(whole, UTC)
    except (OverflowError, ValueError, OSError):
        return str(wall)
    return f"{day:%H:%M:%S}.{rest // 1000:06d}"


def _fields(event: Event) -> Iterator[str]:
    for name in _FIELDS:
        value = getattr(event, name)
        if value:
            yield f"{name}={value}"


def describe_faults(faults: Mapping[LineFault, int]) -> str:
    """Return one sentence on lines that were passed over; empty when there are none."""
    if not sum(faults.values()):
        return ""
    counts = ", ".join(f"{count} {fault.value}" for fault, count in faults.items())
    return f"lines passed over: {counts}"


def render_text(events: Sequence[Event]) -> Iterator[str]:
    """Return the time line as text, one line an event."""
    places = [f"{event.vm}/{event.process}" for event in events]
    width = max(map(len, places), default=0)
    name_width = max((len(event.name.value) for event in events), default=0)
    for event, place in zip(events, places, strict=True):
        name = f"{event.name.value:<{name_width}}"
        fields = " ".join(_fields(event))
        line = f"{format_time(event.wall)}  {place:<{width}}  {name}  {fields}"
        yield line.rstrip()


def _script_safe(data: bytes) -> str:
    return data.decode().replace("<", "\\u003c").replace("\u2028", "\\u2028")


def render_html(
    events: Sequence[Event], faults: Counter[LineFault] | None = None
) -> str:
    """Return the time line as one HTML page that needs nothing else.

    Parameters
    ----------
    events : sequence of Event
        In order.
    faults : collections.Counter of LineFault, optional
        Lines that were passed over; the page states them.
    """
    page = files("oleandershift").joinpath(_PAGE).read_text(encoding="utf-8")
    data = _script_safe(msgspec.json.encode(events))
    note = _script_safe(msgspec.json.encode(describe_faults(faults or Counter())))
    script = f"const EVENTS = {data};\nconst NOTE = {note};"
    return page.replace(_DATA_MARK, script, 1)
