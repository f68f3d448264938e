"""Interface of a router's scheduling policies.

A policy is sans-IO: it receives requests, messages and ticks with the current time, and
returns actions, which the router executes.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

from oleandershift.ids import RegionId, RequestId, ServiceId, TeamId, UpstreamId
from oleandershift.messages import Body, Envelope, Member, TeamStatus
from oleandershift.replica import Table


class RequestKind(Enum):
    """Expected duration of a request."""

    LONG = "long"
    QUICK = "quick"
    CHEAP = "cheap"


@dataclass(frozen=True)
class QueuedRequest:
    """A request that waits for an upstream.

    Parameters
    ----------
    request : RequestId
        Id of the request.
    team : TeamId
        Team that sent it.
    service : ServiceId
        Requested service.
    kind : RequestKind
        Expected duration.
    arrived_at : float
        Arrival time, seconds since the Unix epoch; a retry keeps it.
    deadline : float or None
        Time after which the response is useless to the caller.
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
    """Why a request is refused."""

    TEAM_WAITING = "team-waiting"
    TEAM_RATE = "team-rate"
    ROUTER_FULL = "router-full"
    NO_UPSTREAM = "no-upstream"
    DEADLINE = "deadline"
    DRAINING = "draining"


@dataclass(frozen=True)
class Start:
    """Action: run a request on an upstream.

    Parameters
    ----------
    request : RequestId
        Id of the request.
    upstream : UpstreamId
        Upstream to use.
    grant : str
        Printable id of the grant; empty for policies without grants.
    deadline : float
        Time by which the request must have started; after it, the grant is returned.
    """

    request: RequestId
    upstream: UpstreamId
    grant: str
    deadline: float


@dataclass(frozen=True)
class Refuse:
    """Action: refuse a request that was not run.

    Parameters
    ----------
    request : RequestId
        Id of the request.
    reason : RefusalReason
        Reason of the refusal.
    retry_at : float or None
        Time from which a retry may succeed.
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
        Link address of the receiver.
    region : RegionId
        The receiver's region.
    body : Body
        Message body.
    """

    address: str
    region: RegionId
    body: Body


Action: TypeAlias = Start | Refuse | Send


@dataclass(frozen=True)
class UpstreamLoad:
    """Load report of an upstream.

    Parameters
    ----------
    upstream : UpstreamId
        The upstream.
    reported_at : float
        Time of the report.
    running, waiting : int
        Requests running and waiting at the upstream.
    """

    upstream: UpstreamId
    reported_at: float
    running: int
    waiting: int


class Policy(Protocol):
    """Orders a router's requests and chooses their upstreams."""

    def configure(
        self,
        now: float,
        table: Table,
        members: Mapping[str, Member],
        leaving: frozenset[str],
    ) -> list[Action]:
        """Apply the current table and membership."""

    def submit(self, now: float, req: QueuedRequest) -> list[Action]:
        """Queue a request, or refuse it."""

    def cancel(self, now: float, request: RequestId) -> list[Action]:
        """Remove a waiting request; a running one ends through `finish`."""

    def report_progress(
        self, now: float, request: RequestId, cost: float
    ) -> list[Action]:
        """Update the cost so far of a running request, tokens."""

    def finish(
        self, now: float, request: RequestId, cost: float, used: bool
    ) -> list[Action]:
        """End a running request.

        Parameters
        ----------
        now : float
            Current time, seconds since the Unix epoch.
        request : RequestId
            Id of the request.
        cost : float
            Final cost, tokens.
        used : bool
            False when the request was never sent to the upstream.
        """

    def set_ejected(self, now: float, upstreams: Iterable[UpstreamId]) -> list[Action]:
        """Set the upstreams that this router has ejected as failing."""

    def on_envelope(self, now: float, envelope: Envelope) -> list[Action]:
        """Handle a message."""

    def on_tick(self, now: float) -> list[Action]:
        """Handle timeouts and send what is due."""

    def drain(self, now: float) -> list[Action]:
        """Accept no new requests; finish those already queued."""

    def team_statuses(self) -> tuple[TeamStatus, ...]:
        """Return the status of each team and service."""
