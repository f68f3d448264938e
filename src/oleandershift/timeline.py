"""Timeline of a fleet: events of all processes in causal order.

Events are read from the processes' logs, which are JSON lines. They are sorted by their
hybrid logical clocks, so that an effect never precedes its cause, even if the clocks of
the VMs differ.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec

from oleandershift.events import Event

MAX_LINE_BYTES = 64 * 1024
"""Longer log lines are not parsed."""


class LineFault(Enum):
    """Why no event could be read from a log line."""

    INVALID_JSON = "torn"
    INVALID_EVENT = "invalid-event"
    TOO_LONG = "too-long"


class _LogLine(msgspec.Struct):
    event: msgspec.Raw = msgspec.Raw()


_LINE_DECODER = msgspec.json.Decoder(_LogLine)
_EVENT_DECODER = msgspec.json.Decoder(Event)


def parse_line(line: bytes) -> Event | LineFault | None:
    """Parse the event in a log line.

    Parameters
    ----------
    line : bytes
        One line, with or without its newline.

    Returns
    -------
    Event, LineFault or None
        None for a blank line and for a log line without an event.
    """
    if len(line) > MAX_LINE_BYTES:
        return LineFault.TOO_LONG
    if not line.strip():
        return None
    try:
        raw = _LINE_DECODER.decode(line).event
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return LineFault.INVALID_JSON
    if not bytes(raw):
        return None
    try:
        return _EVENT_DECODER.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return LineFault.INVALID_EVENT


@dataclass(frozen=True)
class Filter:
    """Filter of events; an empty field matches every event.

    Parameters
    ----------
    request, team, upstream, service : str
        Required values of the event's fields.
    """

    request: str = ""
    team: str = ""
    upstream: str = ""
    service: str = ""

    def matches(self, event: Event) -> bool:
        """Return whether an event matches by team, upstream and service.

        `Timeline.events` applies `request`, which needs more than one event to match.
        """
        return (
            self.team in ("", event.team)
            and self.upstream in ("", event.upstream)
            and self.service in ("", event.service)
        )


def _belongs_to_request(event: Event, request: str) -> bool:
    return event.request == request or event.request.startswith(f"{request}/")


def _sort_key(event: Event) -> tuple[int, int, str, str, int]:
    return (event.wall, event.logical, event.vm, event.process, event.incarnation)


class Timeline:
    """Events collected from the logs of many processes.

    Attributes
    ----------
    faults : collections.Counter of LineFault
        Number of unreadable lines by fault.
    """

    def __init__(self) -> None:
        self.faults: Counter[LineFault] = Counter()
        self._events: list[Event] = []

    def add_lines(self, lines: Iterable[bytes]) -> None:
        """Add the events in the log lines of one process."""
        for line in lines:
            parsed = parse_line(line)
            if isinstance(parsed, LineFault):
                self.faults[parsed] += 1
            elif parsed is not None:
                self._events.append(parsed)

    def events(self, event_filter: Filter | None = None) -> tuple[Event, ...]:
        """Return the matching events, earliest first.

        A filter by request also matches the events of the grants that the request ran
        on, because an allocator does not know the request.
        """
        event_filter = event_filter or Filter()
        matching = [event for event in self._events if event_filter.matches(event)]
        if event_filter.request:
            matching = self._events_of_request(matching, event_filter.request)
        return tuple(sorted(matching, key=_sort_key))

    def _events_of_request(self, events: list[Event], request: str) -> list[Event]:
        request_events = [
            event for event in events if _belongs_to_request(event, request)
        ]
        grants = {event.grant for event in request_events if event.grant}
        return [
            event
            for event in events
            if _belongs_to_request(event, request)
            or (not event.request and event.grant in grants)
        ]
