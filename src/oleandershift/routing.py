"""Routing configuration: selects the route, service and team of a request."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from oleandershift.ids import RouteId, ServiceId, TeamId

_HASH_SPACE = 1 << 32


class Semantics(Enum):
    """Whether a request may be retried when the outcome of an attempt is unknown."""

    IDEMPOTENT = "idempotent"
    """May be executed more than once."""

    AT_MOST_ONCE = "at-most-once"
    """Is retried only if the upstream proved that the request was not executed."""

    STREAM = "stream"
    """A stream of events that is executed at most once."""

    RESUMABLE_STREAM = "resumable-stream"
    """A stream of events that another upstream may resume."""

    @property
    def repeatable(self) -> bool:
        """Whether a second execution is harmless."""
        return self in (Semantics.IDEMPOTENT, Semantics.RESUMABLE_STREAM)

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (Semantics.STREAM, Semantics.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a weighted part of a route's requests."""

    service: ServiceId
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Targets and limits of the requests to one host and path prefix.

    Parameters
    ----------
    name : RouteId
        Unique in a configuration.
    host, prefix : str
        Host and path that a request must match; the prefix begins and ends with a
        slash.
    targets : tuple of WeightedService
        Services with their weights.
    semantics : Semantics
        Whether requests may be retried.
    timeout_ms : float
        Maximum time that a caller waits.
    target_ms : float
        Target time to the first byte, within which a response has its full value.
    max_upstreams : int
        Maximum number of upstreams to which one attempt of a caller is sent.
    priority : int
        Priority; 0 is the most urgent.
    public : bool
        Whether requests are accepted without a key.
    prefix_affinity : bool
        Whether requests share prompt prefixes.
    """

    name: RouteId
    host: str
    prefix: str
    targets: tuple[WeightedService, ...]
    semantics: Semantics
    timeout_ms: float
    target_ms: float
    max_upstreams: int = 1
    priority: int = 0
    public: bool = False
    prefix_affinity: bool = False

    def service_for(self, key: str) -> ServiceId:
        """Return the service of a request, by the weights and the hash of `key`."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh32_intdigest(key.encode()) * total / _HASH_SPACE
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclass(frozen=True, slots=True)
class Service:
    """A set of upstreams that serve the same requests.

    Parameters
    ----------
    name : ServiceId
        Unique in a configuration.
    max_connections : int
        Maximum number of connections that one upstream accepts, over all callers.
    batch_slots : int
        Requests that a model engine runs concurrently; 0 for a plain service.
    """

    name: ServiceId
    max_connections: int
    batch_slots: int = 0

    @property
    def generates(self) -> bool:
        """Whether the upstreams are model engines."""
        return self.batch_slots > 0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits for the requests of callers, and the declared capacity.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the header block and of the body.
    header_timeout_ms, idle_timeout_ms : float
        Maximum time to receive a header block, and between requests on a connection.
    tokens_per_second : float
        Rate that all engines together produce; 0 if not declared.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0
    tokens_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Team:
    """A team that uses the fleet.

    Parameters
    ----------
    name : TeamId
        Unique in a configuration.
    keys : tuple of str
        Keys that identify requests of the team.
    priority : int or None
        Priority of the team's requests; None if it has none of its own.
    """

    name: TeamId
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class Configuration:
    """One accepted version of the configuration.

    Parameters
    ----------
    version : int
        Increases with every change.
    routes, services, teams : tuple
        Contents of the configuration.
    limits : Limits
        Limits for callers.

    Attributes
    ----------
    resumable_services : frozenset of ServiceId
        Services whose streams may go on at another upstream.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: Limits = Limits()
    _routes: Mapping[tuple[str, str], Route] = field(init=False, repr=False)
    _keys: Mapping[str, Team] = field(init=False, repr=False)
    _services: Mapping[ServiceId, Service] = field(init=False, repr=False)
    resumable_services: frozenset[ServiceId] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        routes_by_path = {(route.host, route.prefix): route for route in self.routes}
        object.__setattr__(self, "_routes", routes_by_path)
        object.__setattr__(self, "_keys", _teams_by_key(self.teams))
        services_by_name = {service.name: service for service in self.services}
        object.__setattr__(self, "_services", services_by_name)
        resumable = frozenset(
            target.service
            for route in self.routes
            if route.semantics is Semantics.RESUMABLE_STREAM
            for target in route.targets
        )
        object.__setattr__(self, "resumable_services", resumable)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`, if any."""
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def team_for(self, key: str) -> Team | None:
        """Return the team to which a key belongs, if any."""
        return self._keys.get(key)

    def service(self, name: ServiceId) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)

    @property
    def requires_keys(self) -> bool:
        """Whether routes that are not public require a key."""
        return bool(self.teams)


def _teams_by_key(teams: Iterable[Team]) -> dict[str, Team]:
    return {key: team for team in teams for key in team.keys}
