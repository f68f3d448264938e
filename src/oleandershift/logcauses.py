"""Finds the causes of failed requests in gateways' logs."""

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
    "suspect.blocked": "blocked: upstreams {upstreams} crashed under it",
    "suspect.released": "released: {reason}",
}
"""Text of the cause for each event that ends a request, or that blocks or releases a
suspect."""

SUCCESS_EVENTS = frozenset({"request.done", "request.late"})
"""Events of requests that ended successfully."""


class _Line(msgspec.Struct):
    time: str
    event: str
    vm: str = ""
    request: str = ""


@dataclass(frozen=True)
class LogEntry:
    """One log line about a request or a suspect.

    Parameters
    ----------
    time : str
        Time at which the line was written.
    vm : str
        VM that wrote the line.
    event : str
        Name of the event.
    fields : dict
        Other fields: the inputs of the decision and its outcome.
    """

    time: str
    vm: str
    event: str
    fields: dict[str, object]


@dataclass(frozen=True)
class CauseSummary:
    """Causes of the requests that did not succeed.

    Parameters
    ----------
    causes : Counter of str
        Number of requests by cause.
    unexplained : tuple of str
        Ids of requests with log lines but no line that gives a cause.
    """

    causes: Counter[str]
    unexplained: tuple[str, ...]

    @property
    def explained(self) -> int:
        """Number of requests whose cause is known."""
        return self.causes.total()

    @property
    def total(self) -> int:
        """Number of requests that did not succeed."""
        return self.explained + len(self.unexplained)


def find_entries(subject: str, lines: Iterable[bytes]) -> list[LogEntry]:
    """Return the log entries of a request or a suspect, sorted by time.

    Parameters
    ----------
    subject : str
        Id of the caller's attempt, or name of the suspect.
    lines : iterable of bytes
        Logs of one or more gateways; text before the JSON of a line is ignored.
    """
    subject_bytes = subject.encode()
    entries = []
    for line in lines:
        if subject_bytes in line:
            entry = _parse_entry(line)
            if entry is not None and subject in (
                entry.fields.get("request"),
                entry.fields.get("suspect"),
            ):
                entries.append(entry)
    return sorted(entries, key=lambda entry: entry.time)


def find_cause(entries: Iterable[LogEntry]) -> str | None:
    """Return the cause given by the last entry with a cause; None without one."""
    cause = None
    for entry in entries:
        template = CAUSE_TEMPLATES.get(entry.event)
        if template is not None:
            cause = template.format_map(_FieldsWithDefault(entry.fields))
    return cause


def summarise_causes(lines: Iterable[bytes]) -> CauseSummary:
    """Return the causes of all requests in the logs that did not succeed.

    Parameters
    ----------
    lines : iterable of bytes
        Logs of one or more gateways, each in its original order.
    """
    causes: dict[str, str | None] = {}
    succeeded: set[str] = set()
    for line in lines:
        entry = _parse_entry(line)
        if entry is None:
            continue
        request = entry.fields.get("request")
        if not isinstance(request, str) or not request:
            continue
        if entry.event in SUCCESS_EVENTS:
            succeeded.add(request)
        causes[request] = find_cause([entry]) or causes.get(request)
    for request in succeeded:
        causes.pop(request, None)
    unexplained = tuple(request for request, cause in causes.items() if cause is None)
    counts = Counter(
        _cause_kind(cause) for cause in causes.values() if cause is not None
    )
    return CauseSummary(counts, unexplained)


def _cause_kind(cause: str) -> str:
    """Return a cause up to its first quoted value, for grouping."""
    return cause.partition(" '")[0]


def _parse_entry(line: bytes) -> LogEntry | None:
    start = line.find(b'{"time"')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(line[start:], type=dict[str, object])
        header = msgspec.convert(fields, type=_Line)
    except msgspec.DecodeError:
        return None
    other_fields = {k: v for k, v in fields.items() if k not in ("time", "vm", "event")}
    return LogEntry(header.time, header.vm, header.event, other_fields)


class _FieldsWithDefault(dict[str, object]):
    """Log fields with a placeholder for missing ones."""

    def __missing__(self, key: str) -> str:
        return "unknown"
