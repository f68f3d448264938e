"""Finds the route, the team and the deadline of a caller's request."""

from oleandershift.eventframes import EventFramer
from oleandershift.exceptions import MalformedRequestError
from oleandershift.io.call import Call
from oleandershift.io.callers import CallerRequest
from oleandershift.io.clock import now
from oleandershift.platform import headers as names
from oleandershift.routing import Configuration, Route, Service, Team
from oleandershift.state import FleetState


class RefusalError(Exception):
    """A request that is answered without being sent."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class RequestResolver:
    """Takes callers' requests by the configuration in force.

    Parameters
    ----------
    state : FleetState
        Beliefs, and the demand that is noted.
    """

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._beliefs = state.view
        self.shutting_down = False

    def resolve(self, req: CallerRequest) -> Call:
        """Return a request with its route, team and deadline.

        Raises
        ------
        RefusalError
            When it is answered without being sent.
        """
        cfg = self._beliefs.configuration
        if cfg is None or not self._beliefs.directory.loaded:
            raise RefusalError(503, "no configuration yet")
        if self.shutting_down:
            raise RefusalError(503, "shutting down")
        route = self._route(cfg, req)
        team = self._team(cfg, route, req)
        try:
            read = names.parse(req.headers)
        except MalformedRequestError as exc:
            raise RefusalError(400, exc.message) from None
        wait_ms = route.timeout_ms
        if read.timeout_ms is not None:
            wait_ms = min(wait_ms, read.timeout_ms)
        if read.prompt is not None and team is not None:
            self._state.demand.record_request(
                now(), team.name, read.prompt.weighted_tokens
            )
        name = route.service_for(read.attempt_id)
        return Call(
            id=read.attempt_id,
            req=req,
            route=route,
            service=cfg.service(name) or Service(name, 0),
            team=team,
            deadline=req.arrived_at + wait_ms / 1000,
            prompt=read.prompt,
            last_event_id=read.last_event_id,
            configuration_version=cfg.version,
            event_stream=EventFramer(last_id=read.last_event_id),
        )

    def _route(self, cfg: Configuration, req: CallerRequest) -> Route:
        host = req.header(b"host")
        if host is None:
            raise RefusalError(400, "exactly one Host header is required")
        path = req.target.partition(b"?")[0].decode("latin-1")
        name = host.decode("latin-1").lower().partition(":")[0]
        route = cfg.route_for(name, path)
        if route is None:
            raise RefusalError(404, f"no route for host {name!r} and path {path!r}")
        return route

    def _team(
        self, cfg: Configuration, route: Route, req: CallerRequest
    ) -> Team | None:
        value = req.header(b"authorization")
        scheme, _, key = (value or b"").partition(b" ")
        team = None
        if scheme.lower() == b"bearer":
            team = cfg.team_for(key.strip().decode("latin-1"))
        if team is None and cfg.requires_keys and not route.public:
            raise RefusalError(401, "the key is missing or not known")
        return team


def attempt_id(req: CallerRequest) -> str:
    """Return the id of the caller's attempt, empty when it has none."""
    return (req.header(names.ATTEMPT_ID) or b"").decode("latin-1")
