"""Typed rows of the operators' table."""

from enum import Enum
from typing import TypeAlias

import msgspec

from oleandershift.ids import EditId, RegionId, ServiceId, TeamId, UpstreamId


class RowKind(Enum):
    """Kinds of rows, which are the platform's kinds of objects too."""

    SERVICES = "services"
    UPSTREAMS = "upstreams"
    TEAMS = "teams"


class ServiceMode(Enum):
    """How a service answers."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamState(Enum):
    """What the operators want of an upstream."""

    ACTIVE = "active"
    LEAVING = "leaving"


class ServiceRow(msgspec.Struct, frozen=True, kw_only=True):
    """One service.

    Parameters
    ----------
    name : ServiceId
        First element of the callers' path.
    mode : ServiceMode
        Whether its upstreams are model engines or plain services.
    non_idempotent : tuple of str
        Calls that must not be repeated, each `METHOD /path` or `METHOD /path/*`.
    max_body_bytes : int
        Largest request body.
    edit : EditId
        Last edit of the row.
    earlier_edits : tuple of EditId
        Edits before the last, newest first; a bounded number.
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
        Unique in the fleet.
    service : ServiceId
        What it serves.
    region : RegionId
        Where it stands.
    url : str
        `http://host:port`.
    slots : int
        Requests that it runs at once.
    state : UpstreamState
        `leaving` ends new work on it.
    edit : EditId
        Last edit of the row.
    earlier_edits : tuple of EditId
        Edits before the last, newest first; a bounded number.
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
        The team.
    weight : float
        Share of the capacity relative to other teams.
    key_hashes : tuple of str
        Hex SHA-256 of each valid key; at most two.
    max_waiting, max_running : int
        Limits per router and over the fleet.
    max_rate : float
        Requests a second per router; 0 means no limit.
    edit : EditId
        Last edit of the row.
    earlier_edits : tuple of EditId
        Edits before the last, newest first; a bounded number.
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
