"""Decoder of the operator's configuration in the platform's store."""

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.exceptions import Finding
from oleandershift.ids import RouteId, ServiceId, TeamId
from oleandershift.records import MAX_INTEGER
from oleandershift.routing import (
    Configuration,
    Limits,
    Route,
    Semantics,
    Service,
    Team,
    WeightedService,
)

KIND = "config"
OBJECT_NAME = "main"


class _Split(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    sticky: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0
    # A prompt token counts as one, a generated token as two.
    tokens_per_s: float = 0.0


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct, rename="camel"):
    # Sent in digests.
    version: Annotated[int, msgspec.Meta(le=MAX_INTEGER)]
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


def decode(spec: object) -> Result[Configuration, Finding]:
    """Decode the `spec` of the configuration object; a finding when it is invalid."""
    place = f"{KIND}/{OBJECT_NAME}"
    try:
        raw = msgspec.convert(spec, _Configuration, strict=False)
    except msgspec.ValidationError as exc:
        return Failure(Finding(place, "spec", str(exc)))
    return Success(
        Configuration(
            version=raw.version,
            routes=tuple(_decode_route(route) for route in raw.routes),
            services=tuple(_decode_service(service) for service in raw.services),
            teams=tuple(
                Team(TeamId(team.name), tuple(team.api_keys), team.priority)
                for team in raw.tenants
            ),
            limits=Limits(
                header_bytes=raw.limits.max_header_bytes,
                body_bytes=raw.limits.max_body_bytes,
                header_timeout_ms=raw.limits.header_timeout_ms,
                idle_timeout_ms=raw.limits.idle_timeout_ms,
                tokens_per_second=raw.limits.tokens_per_s,
            ),
        )
    )


def _decode_route(raw: _Route) -> Route:
    if raw.split:
        targets = tuple(
            WeightedService(ServiceId(part.service), part.weight) for part in raw.split
        )
    else:
        targets = (WeightedService(ServiceId(raw.service), 1),)
    return Route(
        name=RouteId(raw.name),
        host=raw.host.lower(),
        prefix=raw.path_prefix,
        targets=targets,
        semantics=_decode_semantics(raw),
        timeout_ms=raw.timeout_ms,
        target_ms=raw.target_latency_ms,
        max_upstreams=max(1, raw.max_attempts),
        priority=raw.priority,
        public=raw.public,
        prefix_affinity=raw.sticky,
    )


def _decode_semantics(raw: _Route) -> Semantics:
    if raw.type == "streaming":
        return Semantics.RESUMABLE_STREAM if raw.resumable else Semantics.STREAM
    if raw.type == "idempotent":
        return Semantics.IDEMPOTENT
    return Semantics.AT_MOST_ONCE


def _decode_service(raw: _Service) -> Service:
    engine = raw.engine or _Engine()
    return Service(
        name=ServiceId(raw.name),
        max_connections=raw.max_connections,
        batch_slots=engine.slots,
    )
