"""Rendering of the timeline as text and as a self-contained HTML page."""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from datetime import UTC, datetime
from importlib.resources import files

import msgspec

from oleandershift.events import Event
from oleandershift.timeline import LineFault

NANOSECONDS_PER_SECOND = 1_000_000_000
_OPTIONAL_FIELDS = ("request", "grant", "team", "service", "upstream", "detail")
_PAGE_FILE = "timeline.html"
_DATA_PLACEHOLDER = "/*DATA*/"


def format_time(wall: int) -> str:
    """Format nanoseconds since the Unix epoch as UTC time of day with microseconds."""
    seconds, nanoseconds = divmod(wall, NANOSECONDS_PER_SECOND)
    try:
        time = datetime.fromtimestamp(seconds, UTC)
    except (OverflowError, ValueError, OSError):
        return str(wall)
    return f"{time:%H:%M:%S}.{nanoseconds // 1000:06d}"


def _format_fields(event: Event) -> Iterator[str]:
    for name in _OPTIONAL_FIELDS:
        value = getattr(event, name)
        if value:
            yield f"{name}={value}"


def describe_faults(faults: Mapping[LineFault, int]) -> str:
    """Return a sentence that counts the skipped lines; empty if there are none."""
    if not sum(faults.values()):
        return ""
    counts = ", ".join(f"{count} {fault.value}" for fault, count in faults.items())
    return f"lines skipped: {counts}"


def render_text(events: Sequence[Event]) -> Iterator[str]:
    """Return the timeline as text, one line per event."""
    sources = [f"{event.vm}/{event.process}" for event in events]
    width = max(map(len, sources), default=0)
    name_width = max((len(event.name.value) for event in events), default=0)
    for event, source in zip(events, sources, strict=True):
        name = f"{event.name.value:<{name_width}}"
        fields = " ".join(_format_fields(event))
        line = f"{format_time(event.wall)}  {source:<{width}}  {name}  {fields}"
        yield line.rstrip()


def _escape_for_script(data: bytes) -> str:
    return data.decode().replace("<", "\\u003c").replace("\u2028", "\\u2028")


def render_html(
    events: Sequence[Event], faults: Counter[LineFault] | None = None
) -> str:
    """Return the timeline as an HTML page without external resources.

    Parameters
    ----------
    events : sequence of Event
        Events, earliest first.
    faults : collections.Counter of LineFault, optional
        Number of skipped lines by fault, shown on the page.
    """
    page = files("oleandershift").joinpath(_PAGE_FILE).read_text(encoding="utf-8")
    data = _escape_for_script(msgspec.json.encode(events))
    note = _escape_for_script(msgspec.json.encode(describe_faults(faults or Counter())))
    script = f"const EVENTS = {data};\nconst NOTE = {note};"
    return page.replace(_DATA_PLACEHOLDER, script, 1)
