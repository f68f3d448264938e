"""Routes of a configuration, and which of them a request takes."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import xxhash

from oleandershift.ids import RouteId, ServiceId, TeamId

_HASH_SPACE = 1 << 32


class Semantics(Enum):
    """What may be repeated when the outcome of an attempt is unknown."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""

    AT_MOST_ONCE = "at-most-once"
    """Is never sent again unless the upstream proved that it did not run."""

    STREAM = "stream"
    """A stream of events that runs once at most."""

    RESUMABLE_STREAM = "resumable-stream"
    """A stream of events that another upstream may continue."""

    @property
    def repeatable(self) -> bool:
        """Tell whether a second run does no harm."""
        return self in (Semantics.IDEMPOTENT, Semantics.RESUMABLE_STREAM)

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a stream of events."""
        return self in (Semantics.STREAM, Semantics.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a part of a route's requests."""

    service: ServiceId
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and how they are treated.

    Parameters
    ----------
    name : RouteId
        Unique in a configuration.
    host, prefix : str
        What a request must match; the prefix begins and ends with a slash.
    targets : tuple of WeightedService
        Services by weight.
    semantics : Semantics
        What may be repeated.
    timeout_ms : float
        Longest time that a caller may be kept waiting.
    target_ms : float
        Time to the first byte within which an answer has its full value.
    max_upstreams : int
        Most upstreams that one attempt of a caller may be sent to.
    priority : int
        Urgency; 0 is the most urgent.
    public : bool
        Whether requests need no key.
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
        """Return the service that takes a request, by weight and the hash of `key`."""
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
        Connections that one upstream accepts from all callers together.
    batch_slots : int
        Requests that a model engine runs at once; 0 for a plain service.
    """

    name: ServiceId
    max_connections: int
    batch_slots: int = 0

    @property
    def generates(self) -> bool:
        """Tell whether its upstreams are model engines."""
        return self.batch_slots > 0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest header block and body.
    header_timeout_ms, idle_timeout_ms : float
        Longest time for a header block, and between requests on a connection.
    tokens_per_second : float
        What all engines together produce, or 0 when not declared.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0
    tokens_per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Team:
    """A customer of the fleet, and its urgency where it has one of its own."""

    name: TeamId
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class Configuration:
    """One accepted version of the configuration.

    Parameters
    ----------
    version : int
        Larger is newer.
    routes, services, teams : tuple
        What it holds.
    limits : Limits
        Bounds for callers.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: Limits = Limits()
    _routes: Mapping[tuple[str, str], Route] = field(init=False, repr=False)
    _keys: Mapping[str, Team] = field(init=False, repr=False)
    _services: Mapping[ServiceId, Service] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_place = {(route.host, route.prefix): route for route in self.routes}
        object.__setattr__(self, "_routes", by_place)
        object.__setattr__(self, "_keys", _by_key(self.teams))
        by_name = {service.name: service for service in self.services}
        object.__setattr__(self, "_services", by_name)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins `path`, if any."""
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def team_for(self, key: str) -> Team | None:
        """Return the team that holds a key, if any."""
        return self._keys.get(key)

    def service(self, name: ServiceId) -> Service | None:
        """Return a service by name."""
        return self._services.get(name)

    @property
    def requires_keys(self) -> bool:
        """Tell whether routes that are not public need a key."""
        return bool(self.teams)


def _by_key(teams: Iterable[Team]) -> dict[str, Team]:
    return {key: team for team in teams for key in team.keys}
