"""What a router's scheduling policy takes and gives.

A policy is sans-IO: it gets requests, messages and ticks with the current time, and
returns actions. The router's shell carries the actions out.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

from oleandershift.ids import RegionId, RequestId, ServiceId, TeamId, UpstreamId
from oleandershift.messages import Body, Envelope, Member, TeamStatus
from oleandershift.replica import Table


class RequestKind(Enum):
    """How long a request's answer is expected to take."""

    LONG = "long"
    QUICK = "quick"
    CHEAP = "cheap"


@dataclass(frozen=True)
class QueuedRequest:
    """A request that waits for an upstream.

    Parameters
    ----------
    request : RequestId
        The request.
    team : TeamId
        Whose it is.
    service : ServiceId
        The service it asks for.
    kind : RequestKind
        Expected length.
    arrived_at : float
        Instant of arrival; kept when a retry queues it again.
    deadline : float or None
        Instant after which the answer is of no use.
    cost_hint : float or None
        Caller's estimate of the cost, tokens.
    failed_upstreams : frozenset of UpstreamId
        Upstreams that failed this request.
    attempt : int
        Number of the attempt, from 1.
    """

    request: RequestId
    team: TeamId
    service: ServiceId
    kind: RequestKind
    arrived_at: float
    deadline: float | None = None
    cost_hint: float | None = None
    failed_upstreams: frozenset[UpstreamId] = frozenset()
    attempt: int = 1


class RefusalReason(Enum):
    """Why a queued request is given up."""

    TEAM_WAITING = "team-waiting"
    TEAM_RATE = "team-rate"
    ROUTER_FULL = "router-full"
    NO_UPSTREAM = "no-upstream"
    DEADLINE = "deadline"
    DRAINING = "draining"


@dataclass(frozen=True)
class Start:
    """Action: run the request on an upstream.

    Parameters
    ----------
    request : RequestId
        The request.
    upstream : UpstreamId
        Where.
    grant : str
        Printable id of the grant; empty where the policy has none.
    deadline : float
        Instant by which it must have been started; past it, hand it back.
    """

    request: RequestId
    upstream: UpstreamId
    grant: str
    deadline: float


@dataclass(frozen=True)
class Refuse:
    """Action: answer the caller that the request was not run.

    Parameters
    ----------
    request : RequestId
        The request.
    reason : RefusalReason
        Why.
    retry_at : float or None
        Instant at which coming back helps.
    """

    request: RequestId
    reason: RefusalReason
    retry_at: float | None = None


@dataclass(frozen=True)
class Send:
    """Action: send a message.

    Parameters
    ----------
    address : str
        Link address.
    region : RegionId
        The receiver's region.
    body : Body
        The message.
    """

    address: str
    region: RegionId
    body: Body


Action: TypeAlias = Start | Refuse | Send


@dataclass(frozen=True)
class UpstreamLoad:
    """Load that an upstream reported.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    reported_at : float
        Instant of the report.
    running, waiting : int
        Its requests.
    """

    upstream: UpstreamId
    reported_at: float
    running: int
    waiting: int


class Policy(Protocol):
    """How a router orders its requests and chooses upstreams."""

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[Action]:
        """Take the table and members now in force."""

    def submit(self, now: float, req: QueuedRequest) -> list[Action]:
        """Queue a request, or refuse it."""

    def cancel(self, now: float, request: RequestId) -> list[Action]:
        """Forget a waiting request; one that runs ends by `finish`."""

    def report_progress(
        self, now: float, request: RequestId, cost: float
    ) -> list[Action]:
        """Take the cost so far of a running request, tokens."""

    def finish(
        self, now: float, request: RequestId, cost: float, used: bool
    ) -> list[Action]:
        """Take the end of a running request.

        Parameters
        ----------
        now : float
            The current instant.
        request : RequestId
            The request.
        cost : float
            Its final cost, tokens.
        used : bool
            False when the upstream was never asked.
        """

    def set_ejected(self, now: float, upstreams: Iterable[UpstreamId]) -> list[Action]:
        """Take the set of upstreams that this router currently finds failing."""

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Take a message."""

    def on_tick(self, now: float) -> list[Action]:
        """Take the passage of time."""

    def drain(self, now: float) -> list[Action]:
        """Ask for grants only for what is already queued."""

    def team_statuses(self) -> tuple[TeamStatus, ...]:
        """Return each team's figures."""
