"""Resolves the route, team and deadline of a caller's request."""

from functools import partial

from oleandershift.arrivals import ArrivalClock
from oleandershift.eventframes import EventFramer
from oleandershift.exceptions import MalformedRequestError
from oleandershift.fingerprints import RequestContent
from oleandershift.ids import Fingerprint, TeamId
from oleandershift.io.call import Call
from oleandershift.io.callers import CallerRequest
from oleandershift.io.clock import now
from oleandershift.platform import headers
from oleandershift.prompts import Prompt
from oleandershift.routing import Configuration, Route, Service, Team
from oleandershift.state import FleetState
from oleandershift.suspects import RequestSuspects

_REFUSED_BY_CONFIGURATION = (401, 404)


class RefusalError(Exception):
    """A request that is rejected before an upstream is chosen.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    detail : str
        Reason, sent to the caller and logged.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class RequestResolver:
    """Resolves requests by the current configuration.

    Parameters
    ----------
    state : FleetState
        Fleet view, and the demand meter that records what teams request.
    arrivals : ArrivalClock
        Estimates when a request arrived, from which its deadline counts.
    """

    def __init__(self, state: FleetState, arrivals: ArrivalClock) -> None:
        self._state = state
        self._arrivals = arrivals
        self._view = state.view
        self.shutting_down = False

    def resolve(self, req: CallerRequest) -> Call:
        """Return a call with the route, team and deadline of a request.

        Raises
        ------
        RefusalError
            When the request is rejected; has the HTTP status for the caller.
        """
        cfg = self._view.configuration
        if cfg is None or not self._view.directory.loaded:
            raise RefusalError(503, "no configuration yet")
        if self.shutting_down:
            raise RefusalError(503, "shutting down")
        try:
            route = self._find_route(cfg, req)
            team = self._authenticate(cfg, route, req)
        except RefusalError as exc:
            self._check_is_latest(cfg, exc)
            raise
        try:
            parsed = headers.parse(req.headers)
        except MalformedRequestError as exc:
            raise RefusalError(400, exc.message) from None
        timeout_ms = route.timeout_ms
        if parsed.timeout_ms is not None:
            timeout_ms = min(timeout_ms, parsed.timeout_ms)
        if parsed.prompt is not None and team is not None:
            self._state.demand.record_request(
                now(), team.name, parsed.prompt.weighted_tokens
            )
        service_name = route.service_for(parsed.began_as)
        return Call(
            id=parsed.attempt_id,
            req=req,
            route=route,
            service=cfg.service(service_name) or Service(service_name, 0),
            team=team,
            deadline=self._arrivals.earliest_arrival(req.arrived_at)
            + timeout_ms / 1000,
            prompt=parsed.prompt,
            suspects=RequestSuspects(
                parsed.prompt, partial(_fingerprint, req, team, parsed.prompt)
            ),
            last_event_id=parsed.last_event_id,
            configuration_version=cfg.version,
            began_as=parsed.began_as,
            resumes=parsed.resumes,
            event_stream=EventFramer(last_id=parsed.last_event_id),
        )

    def team_of(self, req: CallerRequest) -> TeamId | None:
        """Return the team that holds the key of a request; None if there is none."""
        cfg = self._view.configuration
        team = _team_of(cfg, req) if cfg is not None else None
        return team.name if team is not None else None

    def _check_is_latest(self, cfg: Configuration, refusal: RefusalError) -> None:
        """Raise a refusal that invites a retry if another VM has a newer version.

        Callers don't repeat a request that no route or key allows.
        """
        newest = self._state.peers.newest_configuration(now())
        if newest > cfg.version and refusal.status in _REFUSED_BY_CONFIGURATION:
            detail = f"{refusal.detail} in version {cfg.version}; {newest} is in force"
            raise RefusalError(503, detail)

    def _find_route(self, cfg: Configuration, req: CallerRequest) -> Route:
        host = req.header(b"host")
        if host is None:
            raise RefusalError(400, "exactly one Host header is required")
        path = req.target.partition(b"?")[0].decode("latin-1")
        hostname = host.decode("latin-1").lower().partition(":")[0]
        route = cfg.route_for(hostname, path)
        if route is None:
            raise RefusalError(404, f"no route for host {hostname!r} and path {path!r}")
        return route

    def _authenticate(
        self, cfg: Configuration, route: Route, req: CallerRequest
    ) -> Team | None:
        team = _team_of(cfg, req)
        if team is None and cfg.requires_keys and not route.public:
            raise RefusalError(401, "the key is missing or not known")
        return team


def _team_of(cfg: Configuration, req: CallerRequest) -> Team | None:
    value = req.header(b"authorization")
    scheme, _, key = (value or b"").partition(b" ")
    if scheme.lower() != b"bearer":
        return None
    return cfg.team_for(key.strip().decode("latin-1"))


def _fingerprint(
    req: CallerRequest, team: Team | None, prompt: Prompt | None
) -> Fingerprint:
    parts = prompt.parts if prompt is not None else ()
    return RequestContent(
        team=team.name if team is not None else None,
        method=req.method,
        host=req.header(b"host") or b"",
        target=req.target,
        parts=tuple(part.name for part in parts),
        body=req.body,
    ).fingerprint()


def attempt_id(req: CallerRequest) -> str:
    """Return the attempt id of a request; empty when it has none."""
    return (req.header(headers.ATTEMPT_ID) or b"").decode("latin-1")
