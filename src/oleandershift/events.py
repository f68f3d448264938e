"""Events of the time line."""

from enum import Enum

import msgspec

from oleandershift.ids import RegionId, VmId


class EventName(Enum):
    """What happened."""

    STARTED = "started"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"
    REQUEST_ACCEPTED = "request-accepted"
    REQUEST_QUEUED = "request-queued"
    REQUEST_GRANTED = "request-granted"
    REQUEST_SENT = "request-sent"
    REQUEST_FIRST_BYTE = "request-first-byte"
    REQUEST_RETRIED = "request-retried"
    REQUEST_FINISHED = "request-finished"
    REQUEST_REFUSED = "request-refused"
    REQUEST_CANCELLED = "request-cancelled"
    GRANT_MADE = "grant-made"
    GRANT_RETURNED = "grant-returned"
    GRANT_CLOSED = "grant-closed"
    CLAIM_MADE = "claim-made"
    CLAIM_SETTLED = "claim-settled"
    MEMBER_CHANGED = "member-changed"
    ROLE_ACQUIRED = "role-taken"
    ROLE_RELEASED = "role-left"
    ROW_CHANGED = "row-changed"
    PLATFORM_UNAVAILABLE = "platform-away"
    PLATFORM_RECOVERED = "platform-back"
    UPSTREAM_EJECTED = "upstream-ejected"
    UPSTREAM_RESTORED = "upstream-restored"
    UPSTREAM_RAN = "upstream-ran"
    MESSAGE_DROPPED = "message-dropped"


class Event(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One line of a process's log.

    Parameters
    ----------
    wall, logical : int
        Hybrid logical clock: nanoseconds since the Unix epoch, and tie-breaker.
    vm, region, process : str
        Where it happened; `process` is the role.
    incarnation : int
        Of the process.
    name : EventName
        What happened.
    request, grant, team, service, upstream : str
        What it happened to; empty where it does not apply.
    detail : str
        Further text for a reader.
    """

    wall: int
    logical: int
    vm: VmId
    region: RegionId
    process: str
    incarnation: int
    name: EventName
    request: str = ""
    grant: str = ""
    team: str = ""
    service: str = ""
    upstream: str = ""
    detail: str = ""
