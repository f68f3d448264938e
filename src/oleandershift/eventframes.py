"""Server-sent events cut into whole events, with their ids."""

from dataclasses import dataclass

SEPARATOR = b"\n\n"
MAX_EVENT_BYTES = 1 << 20
"""Longest event that is waited for; engines' events are some hundred bytes."""


class EventOrderError(Exception):
    """A stream that skips or repeats an event, or whose event is too long.

    Parameters
    ----------
    expected, received : int
        Ids; `received` is 0 for an event that is too long.
    """

    def __init__(self, expected: int, found: int) -> None:
        super().__init__(f"event {found} came where {expected} was due")
        self.expected = expected
        self.received = found


@dataclass(slots=True)
class EventFramer:
    """Holds back a partial event, so that only whole ones reach a caller.

    Attributes
    ----------
    last_id : int
        Id of the last whole event; where a resumed stream goes on.
    event_count : int
        Whole events so far.
    """

    last_id: int = 0
    event_count: int = 0
    _partial: bytes = b""

    def discard_partial(self) -> None:
        """Forget a partial event before another upstream goes on."""
        self._partial = b""

    @property
    def is_at_boundary(self) -> bool:
        """Tell whether no partial event is held back."""
        return not self._partial

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that `data` completes.

        Raises
        ------
        EventOrderError
            When ids do not follow one another.
        """
        data = self._partial + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._keep(data)
            return b""
        end += len(SEPARATOR)
        self._keep(data[end:])
        for event in data[:end].split(SEPARATOR):
            self._note(event)
        return data[:end]

    def _keep(self, partial: bytes) -> None:
        if len(partial) > MAX_EVENT_BYTES:
            raise EventOrderError(self.last_id + 1, 0)
        self._partial = partial

    def _note(self, event: bytes) -> None:
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            if name == b"id" and value.strip().isdigit():
                self._take_id(int(value))

    def _take_id(self, found: int) -> None:
        if self.last_id and found != self.last_id + 1:
            raise EventOrderError(self.last_id + 1, found)
        self.last_id = found
        self.event_count += 1
