"""State of a caller's request while it is processed."""

import math
from dataclasses import dataclass, field
from enum import Enum

from oleandershift.demand import AdmittedRequest
from oleandershift.directory import UpstreamRun
from oleandershift.eligibility import Requirements
from oleandershift.eventframes import EventFramer
from oleandershift.ids import SoftwareVersion, StreamKey
from oleandershift.io.callers import CallerRequest, Headers
from oleandershift.placement import Choice
from oleandershift.prompts import Prompt
from oleandershift.quarantine import SOUND_ANSWER_SECONDS
from oleandershift.routing import Route, Service, Team
from oleandershift.shedding import AdmissionDecision, ShareClass
from oleandershift.streamversions import stream_key
from oleandershift.suspects import RequestSuspects


class AttemptOutcome(Enum):
    """Outcome of one attempt to send a request to an upstream.

    Attributes
    ----------
    ANSWERED
        The caller received a response, or its connection was closed.
    NOT_SENT
        No connection could be opened.
    NOT_RUN
        The upstream proved that it has not executed the request.
    UNKNOWN
        The exchange failed; the request may have been executed.
    FAILED
        The upstream returned a server error and the request may be retried.
    """

    ANSWERED = "answered"
    NOT_SENT = "not-sent"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclass(slots=True)
class Call:
    """A caller's request and the state of its attempts.

    Parameters
    ----------
    id : str
        Attempt id that the caller sent.
    deadline : float
        Clock time in seconds after which a response is useless or, by the route's
        timeout, no longer waited for.
    suspects : RequestSuspects
        What of it may crash upstreams.
    answers_until : float
        Clock time in seconds by which it is answered: its deadline, or the end of a
        planned stop.
    last_event_id : int or None
        Id of the event after which a stream resumes; None for a new stream.
    began_as : str
        Id of the attempt that began the stream, this one or an earlier one.
    resumes : str
        Id of the attempt that brought the first event of that stream; empty if the
        caller named none.
    version : SoftwareVersion or None
        Version of the upstream that began the stream; None before its first event.
    choice : Choice or None
        Upstream of the current attempt; None before the first.
    chosen_at : float
        Clock time in seconds of that choice.
    share : ShareClass or None
        Share towards which it counts, if that was found before the admission.
    admission : AdmissionDecision or None
        Decision of the load shedder; None before it, and for plain services.
    admitted : AdmittedRequest or None
        What is counted in the admitted rate of its team.
    connected_at : float
        Clock time in seconds at which its connection was ready.
    sent_at : float
        Clock time in seconds of the latest attempt.
    send_count : int
        Number of times the request was sent to an upstream.
    booked_run : UpstreamRun or None
        Upstream under whose limit the current attempt is booked, until it is sent.
    is_needed : bool
        Whether the request counts as need of its service.
    may_have_run : bool
        Whether an upstream may have executed the request without a known outcome.
    failed_response : tuple or None
        Status, headers and body of a server error, which is returned when no other
        upstream succeeds.
    answer_began_at : float or None
        Clock time in seconds of the first event of the current attempt.
    has_begun_stream : bool
        Whether the answer that has begun is a stream of events, and not an error.
    is_counted_as_answer : bool
        Whether an event of this call has shown that its prompt is answered.
    """

    id: str
    req: CallerRequest
    route: Route
    service: Service
    team: Team | None
    deadline: float
    prompt: Prompt | None
    suspects: RequestSuspects
    last_event_id: int | None
    configuration_version: int
    began_as: str
    answers_until: float = math.inf
    resumes: str = ""
    version: SoftwareVersion | None = None
    tried_runs: set[UpstreamRun] = field(default_factory=set)
    first_byte_at: float = 0.0
    choice: Choice | None = None
    chosen_at: float = 0.0
    share: ShareClass | None = None
    admission: AdmissionDecision | None = None
    admitted: AdmittedRequest | None = None
    connected_at: float = 0.0
    sent_at: float = 0.0
    send_count: int = 0
    failed_connects: int = 0
    booked_run: UpstreamRun | None = None
    is_needed: bool = False
    may_have_run: bool = False
    failed_response: tuple[int, Headers, bytes] | None = None
    answer_began_at: float | None = None
    has_begun_stream: bool = False
    is_counted_as_answer: bool = False
    event_stream: EventFramer = field(default_factory=EventFramer)

    @property
    def is_take_up(self) -> bool:
        """Return whether the caller goes on with a stream of an earlier attempt.

        After event 0 it names that attempt. Without one, 0 may stand for no event.
        """
        has_event = self.last_event_id is not None and (
            self.last_event_id > 0 or self.resumes != ""
        )
        return has_event and self.route.semantics.is_stream

    @property
    def requirements(self) -> Requirements:
        """What the request asks of its upstream."""
        return Requirements(self.suspects, self.version)

    @property
    def stream_key(self) -> StreamKey:
        """Key by which VMs know the stream."""
        team = self.team.name if self.team is not None else None
        return stream_key(team, self.service.name, self.began_as)

    @property
    def was_retried(self) -> bool:
        """Return whether more than one attempt was made."""
        return self.send_count + self.failed_connects > 1

    @property
    def repeatable(self) -> bool:
        """Return whether the request may safely be executed twice."""
        return self.route.semantics.repeatable

    @property
    def resumable(self) -> bool:
        """Return whether another upstream may continue a response that has begun."""
        return self.repeatable and self.route.semantics.is_stream

    @property
    def may_go_on(self) -> bool:
        """Return whether another upstream may continue from where the answer is."""
        has_place = self.has_begun_stream and not self.event_stream.is_unnumbered
        return self.resumable and has_place

    def shows_sound_upstream(self, now: float) -> bool:
        """Return whether the upstream has outlived the start of its answer."""
        began_at = self.answer_began_at
        return began_at is not None and now - began_at >= SOUND_ANSWER_SECONDS

    @property
    def expects_body(self) -> bool:
        """Return whether the response may have a body."""
        return self.req.method != b"HEAD"
