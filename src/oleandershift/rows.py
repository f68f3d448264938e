"""Typed rows of the operators' table."""

from enum import Enum
from typing import TypeAlias

import msgspec

from oleandershift.ids import EditId, RegionId, ServiceId, TeamId, UpstreamId


class RowKind(Enum):
    """Kinds of rows; the values are also names of the platform's object kinds."""

    SERVICES = "services"
    UPSTREAMS = "upstreams"
    TEAMS = "teams"


class ServiceMode(Enum):
    """Type of a service's upstreams."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamState(Enum):
    """State of an upstream as set by operators."""

    ACTIVE = "active"
    LEAVING = "leaving"


class ServiceRow(msgspec.Struct, frozen=True, kw_only=True):
    """One service.

    Parameters
    ----------
    name : ServiceId
        Name of the service, and first segment of the request path.
    mode : ServiceMode
        Whether its upstreams are model engines or plain services.
    non_idempotent : tuple of str
        Requests that must not be retried, each `METHOD /path` or `METHOD /path/*`.
    max_body_bytes : int
        Largest request body, bytes.
    edit : EditId
        Last edit of the row.
    earlier_edits : tuple of EditId
        Edits before the last, newest first; limited in number.
    """

    name: ServiceId
    mode: ServiceMode = ServiceMode.ENGINE
    non_idempotent: tuple[str, ...] = ()
    max_body_bytes: int = 1 << 20
    edit: EditId = EditId("")
    earlier_edits: tuple[EditId, ...] = ()


class UpstreamRow(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream of a service.

    Parameters
    ----------
    name : UpstreamId
        Name, unique in the fleet.
    service : ServiceId
        Service that it belongs to.
    region : RegionId
        Region that it runs in.
    url : str
        Base URL, `http://host:port`.
    slots : int
        Maximum number of concurrent requests.
    state : UpstreamState
        A `leaving` upstream gets no new requests.
    edit : EditId
        Last edit of the row.
    earlier_edits : tuple of EditId
        Edits before the last, newest first; limited in number.
    """

    name: UpstreamId
    service: ServiceId
    region: RegionId
    url: str
    slots: int = 8
    state: UpstreamState = UpstreamState.ACTIVE
    edit: EditId = EditId("")
    earlier_edits: tuple[EditId, ...] = ()


class TeamRow(msgspec.Struct, frozen=True, kw_only=True):
    """One team.

    Parameters
    ----------
    name : TeamId
        Name of the team.
    weight : float
        Share of the capacity relative to other teams.
    key_hashes : tuple of str
        Hex SHA-256 hash of each valid key; at most two.
    max_waiting : int
        Limit on waiting requests per service and router.
    max_running : int
        Limit on running requests per service over the whole fleet. Each allocator
        applies it to the loads that were last reported to it.
    max_rate : float
        Limit on requests per second per router, over all services; 0 means no limit.
    edit : EditId
        Last edit of the row.
    earlier_edits : tuple of EditId
        Edits before the last, newest first; limited in number.
    """

    name: TeamId
    weight: float = 1.0
    key_hashes: tuple[str, ...] = ()
    max_waiting: int = 1000
    max_running: int = 1000
    max_rate: float = 0.0
    edit: EditId = EditId("")
    earlier_edits: tuple[EditId, ...] = ()


TableRow: TypeAlias = ServiceRow | UpstreamRow | TeamRow

ROW_TYPES: dict[RowKind, type[ServiceRow] | type[UpstreamRow] | type[TeamRow]] = {
    RowKind.SERVICES: ServiceRow,
    RowKind.UPSTREAMS: UpstreamRow,
    RowKind.TEAMS: TeamRow,
}


def decode_row(kind: RowKind, value: bytes) -> TableRow:
    """Decode a row from JSON.

    Raises
    ------
    msgspec.ValidationError
        When a cell has the wrong type.
    """
    return msgspec.json.decode(value, type=ROW_TYPES[kind])


def encode_row(row: TableRow) -> bytes:
    """Encode a row as JSON."""
    return msgspec.json.encode(row)
