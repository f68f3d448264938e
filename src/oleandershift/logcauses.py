"""Finds in gateways' logs why a request ended as it did."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

CAUSE_TEMPLATES = {
    "request.refused": "refused: {reason}",
    "request.failed": "the upstream answered {status}: {reason}",
    "request.late": "answered late",
    "stream.cut": "the stream was cut: {reason}",
    "stream.disorder": "the stream was cut: {detail}",
    "caller.left": "the caller left before the answer ended",
    "request.error": "internal error: {exception}",
}
"""Events that end a request, and what they say."""

SUCCESS_EVENTS = frozenset({"request.done", "request.late"})
"""Events that end a request with success."""


class _Line(msgspec.Struct):
    time: str
    event: str
    vm: str = ""
    request: str = ""


@dataclass(frozen=True)
class LogEntry:
    """One line about a request.

    Parameters
    ----------
    time : str
        When it was written.
    vm : str
        Where.
    event : str
        What happened.
    fields : dict
        Inputs of the decision and its outcome.
    """

    time: str
    vm: str
    event: str
    fields: dict[str, object]


@dataclass(frozen=True)
class CauseSummary:
    """Why requests ended without success.

    Parameters
    ----------
    causes : Counter of str
        Requests by cause.
    unexplained : tuple of str
        Ids of requests that have lines, but none that says how they ended.
    """

    causes: Counter[str]
    unexplained: tuple[str, ...]

    @property
    def explained(self) -> int:
        """Return the requests whose cause is known."""
        return self.causes.total()

    @property
    def total(self) -> int:
        """Return all requests without success."""
        return self.explained + len(self.unexplained)


def find_entries(request: str, lines: Iterable[bytes]) -> list[LogEntry]:
    """Return a request's lines in order; lines of other kinds are passed over.

    Parameters
    ----------
    request : str
        Id of the caller's attempt.
    lines : iterable of bytes
        Logs of one or more gateways; text before a line's JSON is passed over.
    """
    wanted = request.encode()
    found = []
    for line in lines:
        if wanted in line:
            entry = _entry(line)
            if entry is not None and entry.fields.get("request") == request:
                found.append(entry)
    return sorted(found, key=lambda entry: entry.time)


def find_cause(entries: Iterable[LogEntry]) -> str | None:
    """Return why a request ended as it did; None when no line says so."""
    cause = None
    for entry in entries:
        template = CAUSE_TEMPLATES.get(entry.event)
        if template is not None:
            cause = template.format_map(_Missing(entry.fields))
    return cause


def summarise_causes(lines: Iterable[bytes]) -> CauseSummary:
    """Return why the requests of whole logs ended without success.

    Parameters
    ----------
    lines : iterable of bytes
        Logs of one or more gateways, each in its order.
    """
    causes: dict[str, str | None] = {}
    served: set[str] = set()
    for line in lines:
        entry = _entry(line)
        if entry is None:
            continue
        request = entry.fields.get("request")
        if not isinstance(request, str) or not request:
            continue
        if entry.event in SUCCESS_EVENTS:
            served.add(request)
        causes[request] = find_cause([entry]) or causes.get(request)
    for request in served:
        causes.pop(request, None)
    unexplained = tuple(request for request, cause in causes.items() if cause is None)
    counts = Counter(_kind(cause) for cause in causes.values() if cause is not None)
    return CauseSummary(counts, unexplained)


def _kind(cause: str) -> str:
    """Return a cause without the names and values that are its own."""
    return cause.partition(" '")[0]


def _entry(line: bytes) -> LogEntry | None:
    start = line.find(b'{"time"')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(line[start:], type=dict[str, object])
        head = msgspec.convert(fields, type=_Line)
    except msgspec.DecodeError:
        return None
    rest = {k: v for k, v in fields.items() if k not in ("time", "vm", "event")}
    return LogEntry(head.time, head.vm, head.event, rest)


class _Missing(dict[str, object]):
    """Fields of a line, with a mark for those that it lacks."""

    def __missing__(self, key: str) -> str:
        return "not told"
