"""Framing of server-sent events: whole events with consecutive ids."""

import re
from codecs import BOM_UTF8
from dataclasses import dataclass, field
from itertools import pairwise

_EVENT_END = re.compile(rb"(?!\r?\n\r\Z)(?:\r\n?+|\n)(?:\r\n?+|\n)++|\A[\r\n]+")
"""Blank lines, also those that come later than the event before them. Lines end in
CRLF, LF or CR. If an LF and a CR come last, the line is not over: an LF may follow."""

_MAX_END_PREFIX = len(b"\r\n\r")
"""Most bytes of an event's end that can come before the read that completes it."""

MAX_EVENT_BYTES = 1 << 20
"""Maximum size of an event; events of engines have some hundred bytes."""

MAX_ID_DIGITS = 18
"""Maximum length of an id; longer ones are no count of events."""

_FIELDS_WITHOUT_EVENT = {b"", b"event", b"retry"}
"""Fields that dispatch no event by themselves; comments have no name. Other names may
be the text of an error and count as an event."""

FIRST_IDS = (0, 1)
"""Ids with which a fresh stream may begin."""


class EventOrderError(Exception):
    """A stream skips or repeats an event, or contains something that is none.

    Parameters
    ----------
    expected, received : int
        Ids of the events; `received` is 0 for an event that is too long, whose id is
        no number, with more than one id, or with or without one unlike those before it.
    """

    def __init__(self, expected: int, received: int) -> None:
        super().__init__(f"received event {received}, expected event {expected}")
        self.expected = expected
        self.received = received


@dataclass(slots=True)
class EventFramer:
    """Buffers partial events, so that callers receive whole events only.

    Attributes
    ----------
    last_id : int or None
        Id of the last whole event, after which a resumed stream continues; None before
        the first.
    event_count : int
        Number of whole events so far; comments, or blocks with nothing but the
        fields `event` and `retry`, are none.
    is_unnumbered : bool
        Whether an event had no id, so that nothing can go on after it.
    """

    last_id: int | None = None
    event_count: int = 0
    is_unnumbered: bool = False
    _partial: bytearray = field(default_factory=bytearray)
    _is_stream_start: bool = True
    _is_answer_start: bool = True

    def discard_partial(self) -> None:
        """Discard a partial event before another upstream resumes the stream."""
        self._partial = bytearray()
        self._is_stream_start = True

    @property
    def is_at_boundary(self) -> bool:
        """Whether no partial event is buffered."""
        return not self._partial

    @property
    def _next_id(self) -> int:
        return 1 if self.last_id is None else self.last_id + 1

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that `data` completes.

        A byte order mark before them is kept at the start of the answer only, as it
        would hide the first field of a resumed stream.

        Raises
        ------
        EventOrderError
            If the first id is wrong, ids are not consecutive or missing, or a partial
            event is too long. None of the events of `data` counts then.
        """
        start = 0
        if self._partial:
            start = max(0, len(self._partial) - _MAX_END_PREFIX)
            self._partial += data
            if not _has_end(self._partial, start):
                self._check_size()
                return b""
            data = bytes(self._partial)
        bom = b""
        if self._is_stream_start and data.startswith(BOM_UTF8):
            bom, data = BOM_UTF8, data[len(BOM_UTF8) :]
            start = max(0, start - len(BOM_UTF8))
        ends = _find_ends(data, start)
        end = ends[-1] if ends else 0
        if not end:
            self._partial = bytearray(bom + data)
            self._check_size()
            return b""
        self._partial = bytearray(data[end:])
        self._check_size()
        before = self.last_id, self.event_count, self.is_unnumbered
        try:
            for begin, stop in pairwise([0, *ends]):
                self._check_ids(data[begin:stop])
        except EventOrderError:
            self.last_id, self.event_count, self.is_unnumbered = before
            raise
        events = data[:end]
        if self._is_stream_start:
            if self._is_answer_start:
                events = bom + events
            self._is_stream_start = self._is_answer_start = False
        return events

    def _check_size(self) -> None:
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventOrderError(self._next_id, 0)

    def _check_ids(self, event: bytes) -> None:
        if self._is_usual(event):
            self.last_id = self._next_id
            self.event_count += 1
            return
        # Of bytes, only CRLF, LF and CR end a line.
        lines = event.splitlines()
        ids = [line[3:] for line in lines if line.startswith(b"id:") or line == b"id"]
        if not ids:
            if all(line.partition(b":")[0] in _FIELDS_WITHOUT_EVENT for line in lines):
                return
            if self.last_id is not None:
                raise EventOrderError(self._next_id, 0)
            self.is_unnumbered = True
            self.event_count += 1
            return
        if len(ids) > 1 or self.is_unnumbered:
            raise EventOrderError(self._next_id, 0)
        self._advance(ids[0].strip())

    def _is_usual(self, event: bytes) -> bool:
        """Return whether an event begins with the next id and has no other line of one.

        Others may be sound, too.
        """
        return (
            event.startswith(b"id: %d\n" % self._next_id)
            and b"\nid" not in event
            and b"\rid" not in event
            and not self.is_unnumbered
        )

    def _advance(self, raw_id: bytes) -> None:
        # Longer numbers than Python converts by default are possible.
        if not raw_id.isdigit() or len(raw_id) > MAX_ID_DIGITS:
            raise EventOrderError(self._next_id, 0)
        received = int(raw_id)
        expected = FIRST_IDS if self.last_id is None else (self._next_id,)
        if received not in expected:
            raise EventOrderError(self._next_id, received)
        self.last_id = received
        self.event_count += 1


def _has_end(partial: bytearray, start: int) -> bool:
    """Return whether an event ends in `partial`, searched from `start`."""
    if partial.find(b"\r", start) < 0:
        return partial.find(b"\n\n", start) >= 0
    return _EVENT_END.search(partial, start) is not None


def _find_ends(data: bytes, start: int) -> list[int]:
    """Return the offsets behind the events of `data`, none of which ends by `start`."""
    if (
        data.find(b"\r", start) >= 0
        or data.startswith(b"\n")
        or data.find(b"\n\n\n", start) >= 0
    ):
        return [match.end() for match in _EVENT_END.finditer(data, start)]
    # The usual case is faster without the regular expression.
    ends = []
    end = data.find(b"\n\n", start)
    while end >= 0:
        ends.append(end + 2)
        end = data.find(b"\n\n", end + 2)
    return ends
