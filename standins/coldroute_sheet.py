"""What dcfa-coldroute's sheet says: data centres, services and kinds of request."""

from typing import NamedTuple

from standins.gateway_fleet import route

PLACES = ("south-a",) * 3 + ("north-a",) * 2 + ("northwest-a",) * 2
"""Data centre of each VM."""

MODELS, DESK = "assistant-pool", "hire-desk"
MODEL_SLOTS, DESK_SLOTS = 128, 6
MODEL_COUNT = 6
TEAMS = 16


class Kind(NamedTuple):
    """A kind of request, as the deployment's sheet has it.

    Parameters
    ----------
    name, type, service : str
        Name, route type and service.
    weight : float
        Requests a second.
    pieces, max_pieces : int
        Mean and largest number of events; 0 for a plain answer.
    deadline_seconds : float
        Longest time that the caller waits.
    target_ms, max_attempts : int
        Of the route.
    is_resumable : bool
        Whether its streams may be resumed.
    """

    name: str
    type: str
    service: str
    weight: float
    pieces: int
    max_pieces: int
    deadline_seconds: float
    target_ms: int
    max_attempts: int
    is_resumable: bool = False

    @property
    def path(self) -> str:
        """Return the prefix of its route."""
        return f"/{self.name}/"


KINDS = (
    Kind("agreement-review", "streaming", MODELS, 54.6, 64, 187, 15.0, 600, 1),
    Kind("hirer-chat", "streaming", MODELS, 47.4, 49, 159, 12.0, 300, 2, True),
    Kind("message-tagging", "streaming", MODELS, 81.2, 4, 15, 3.0, 400, 1),
    Kind("booking-commit", "non_idempotent", DESK, 19.1, 0, 0, 1.2, 250, 1),
    Kind("fleet-lookup", "idempotent", DESK, 7.62, 0, 0, 1.2, 250, 2),
)


def key_of(team: int) -> str:
    """Return the API key of a team."""
    return f"key-of-team-{team}"


def version_path(version: int) -> str:
    """Return the prefix of the route that is there from a version on."""
    return f"/from-{version}/"


def coldroute_configuration(versions: list[int]) -> dict[str, object]:
    """Return the newest of some versions; each has added a route to those before."""
    routes = [
        route(
            kind.path,
            kind.type,
            service=kind.service,
            timeoutMs=int(kind.deadline_seconds * 1000),
            targetLatencyMs=kind.target_ms,
            maxAttempts=kind.max_attempts,
            **({"resumable": True} if kind.is_resumable else {}),
            **({"targetGapMs": 300, "sticky": True} if kind.pieces else {}),
        )
        for kind in KINDS
    ]
    routes += [
        route(version_path(version), "idempotent", service=DESK, timeoutMs=1200)
        for version in versions
    ]
    return {
        "version": versions[-1],
        "routes": routes,
        "services": [
            {"name": MODELS, "healthPath": "/healthz", "maxConnections": 620},
            {"name": DESK, "healthPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {"idleTimeoutMs": 15000, "headerTimeoutMs": 3000},
        "tenants": [
            {"name": f"team-{team}", "apiKeys": [key_of(team)]} for team in range(TEAMS)
        ],
    }
