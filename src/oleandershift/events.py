"""Events written to the processes' logs and merged into the timeline."""

from enum import Enum

import msgspec

from oleandershift.ids import RegionId, VmId


class EventName(Enum):
    """Type of an event."""

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
    """One event in a process's log.

    Parameters
    ----------
    wall, logical : int
        Hybrid logical clock: nanoseconds since the Unix epoch, and tie-breaker.
    vm, region, process : str
        Origin of the event; `process` is the role of the process.
    incarnation : int
        Incarnation of the process.
    name : EventName
        Type of the event.
    request, grant, team, service, upstream : str
        Objects that the event concerns; empty if not applicable.
    detail : str
        Additional text for readers.
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
