"""What of a request may crash the upstreams that run it."""

from collections.abc import Callable
from enum import Enum
from functools import cached_property
from typing import NamedTuple

from oleandershift.ids import Fingerprint
from oleandershift.prompts import Prompt


class SuspectKind(Enum):
    """Kind of a suspect.

    Attributes
    ----------
    PART
        A prompt part that other requests have as well.
    REQUEST
        A request with all its repetitions.
    """

    PART = 0
    REQUEST = 1


class Suspect(NamedTuple):
    """Something that a crash may be due to.

    Parameters
    ----------
    kind : SuspectKind
        Its kind.
    name : str
        Name of the part, or fingerprint of the request.
    """

    kind: SuspectKind
    name: str


class RequestSuspects:
    """The suspects that a request carries.

    Parameters
    ----------
    prompt : Prompt or None
        Its prompt.
    fingerprint : callable
        Returns its fingerprint. It is called once at most, and only while some request
        is suspected, as a body may be large.
    """

    def __init__(
        self, prompt: Prompt | None, fingerprint: Callable[[], Fingerprint]
    ) -> None:
        self._fingerprint = fingerprint
        shared = prompt.shared_parts if prompt is not None else ()
        self.parts = tuple(Suspect(SuspectKind.PART, part.name) for part in shared)

    @cached_property
    def request(self) -> Suspect:
        """The request itself."""
        return Suspect(SuspectKind.REQUEST, self._fingerprint())

    def all(self) -> tuple[Suspect, ...]:
        """Return the shared parts and the request itself."""
        return (*self.parts, self.request)
