"""Time line of a fleet: events of all processes in the order of cause and effect.

Events come from the processes' logs, which are JSON lines. Order is that of the hybrid
logical clocks, so that an effect never stands before its cause, whatever the VMs' own
clocks say.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec

from oleandershift.events import Event

MAX_LINE_BYTES = 64 * 1024
"""Longest line of a log that is read."""


class LineFault(Enum):
    """Why a line of a log gives no event."""

    INVALID_JSON = "torn"
    INVALID_EVENT = "invalid-event"
    TOO_LONG = "too-long"


class _LogLine(msgspec.Struct):
    event: msgspec.Raw = msgspec.Raw()


_LINES = msgspec.json.Decoder(_LogLine)
_EVENTS = msgspec.json.Decoder(Event)


def parse_line(line: bytes) -> Event | LineFault | None:
    """Return the event in a line of a log.

    Parameters
    ----------
    line : bytes
        One line, with or without its line end.

    Returns
    -------
    Event, LineFault or None
        None for a blank line and for a log line that is no event.
    """
    if len(line) > MAX_LINE_BYTES:
        return LineFault.TOO_LONG
    if not line.strip():
        return None
    try:
        raw = _LINES.decode(line).event
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return LineFault.INVALID_JSON
    if not bytes(raw):
        return None
    try:
        return _EVENTS.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return LineFault.INVALID_EVENT


@dataclass(frozen=True)
class Filter:
    """Which events are wanted; an empty field wants all.

    Parameters
    ----------
    request, team, upstream, service : str
        Values that the event's fields must have.
    """

    request: str = ""
    team: str = ""
    upstream: str = ""
    service: str = ""

    def matches(self, event: Event) -> bool:
        """Tell whether an event is wanted for its team, upstream and service."""
        return (
            self.team in ("", event.team)
            and self.upstream in ("", event.upstream)
            and self.service in ("", event.service)
        )


def _is_of_request(event: Event, request: str) -> bool:
    return event.request == request or event.request.startswith(f"{request}/")


def _order(event: Event) -> tuple[int, int, str, str, int]:
    return (event.wall, event.logical, event.vm, event.process, event.incarnation)


class Timeline:
    """Collects events from log lines of many processes.

    Attributes
    ----------
    faults : collections.Counter of LineFault
        Lines that could not be read, by reason.
    """

    def __init__(self) -> None:
        self.faults: Counter[LineFault] = Counter()
        self._events: list[Event] = []

    def add_lines(self, lines: Iterable[bytes]) -> None:
        """Read lines of one process's log."""
        for line in lines:
            parsed = parse_line(line)
            if isinstance(parsed, LineFault):
                self.faults[parsed] += 1
            elif parsed is not None:
                self._events.append(parsed)

    def events(self, wanted: Filter | None = None) -> tuple[Event, ...]:
        """Return the wanted events, earliest first.

        A filter by request also admits the events of the grants that the request ran
        on, since an allocator does not know the request.
        """
        wanted = wanted or Filter()
        found = [event for event in self._events if wanted.matches(event)]
        if wanted.request:
            found = self._of_request(found, wanted.request)
        return tuple(sorted(found, key=_order))

    def _of_request(self, events: list[Event], request: str) -> list[Event]:
        own = [event for event in events if _is_of_request(event, request)]
        grants = {event.grant for event in own if event.grant}
        return [
            event
            for event in events
            if _is_of_request(event, request)
            or (not event.request and event.grant in grants)
        ]
