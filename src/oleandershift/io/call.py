"""A caller's request under way, and how attempts at it end."""

from dataclasses import dataclass, field
from enum import Enum

from oleandershift.eventframes import EventFramer
from oleandershift.ids import UpstreamId
from oleandershift.io.callers import CallerRequest, Headers
from oleandershift.placement import Choice
from oleandershift.prompts import Prompt
from oleandershift.routing import Route, Service, Team


class AttemptOutcome(Enum):
    """How one attempt at an upstream ended."""

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(slots=True)
class Call:
    """A caller's request under way.

    Parameters
    ----------
    id : str
        Id of the caller's attempt.
    deadline : float
        Instant at which its answer is of no use, or may not be waited for.
    last_event_id : int
        Event after which a stream goes on.
    sends : int
        Upstreams that it was sent to.
    may_have_run : bool
        Whether a send's outcome is unknown.
    failed_response : tuple or None
        An upstream's own failure, returned when no other upstream answers.
    """

    id: str
    req: CallerRequest
    route: Route
    service: Service
    team: Team | None
    deadline: float
    prompt: Prompt | None
    last_event_id: int
    configuration_version: int
    tried_upstreams: set[UpstreamId] = field(default_factory=set)
    first_byte_at: float = 0.0
    choice: Choice | None = None
    sends: int = 0
    failed_connects: int = 0
    may_have_run: bool = False
    failed_response: tuple[int, Headers, bytes] | None = None
    event_stream: EventFramer = field(default_factory=EventFramer)

    @property
    def was_retried(self) -> bool:
        """Tell whether it took more than one attempt."""
        return self.sends + self.failed_connects > 1

    @property
    def repeatable(self) -> bool:
        """Tell whether a second run does no harm."""
        return self.route.semantics.repeatable
