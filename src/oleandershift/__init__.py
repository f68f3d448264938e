"""A router fleet that shares model capacity fairly between teams.

The names exported here are the library: decision objects without threads, sockets or
clocks, to be run by another program's own loop. Each takes messages, ticks and the
current time, and returns what is to be done. A name's module is imported at its first
use, so that a program pays only for what it uses.
"""

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oleandershift.allocation import Allocator
    from oleandershift.claims import ClaimAcquirer
    from oleandershift.clock import HybridLogicalClock, Stamp
    from oleandershift.dispatch import (
        Policy,
        QueuedRequest,
        RefusalReason,
        Refuse,
        RequestKind,
        Send,
        Start,
        UpstreamLoad,
    )
    from oleandershift.events import Event, EventName
    from oleandershift.exceptions import Finding, OleanderError
    from oleandershift.fair import FairPolicy
    from oleandershift.fcfs import FirstComePolicy
    from oleandershift.membership import Membership
    from oleandershift.messages import Envelope, Member, decode, encode
    from oleandershift.replica import Replica, Table
    from oleandershift.replication import Replication
    from oleandershift.status import FleetStatus, summarise
    from oleandershift.timeline import Filter, Timeline

_MODULES = {
    "Allocator": "allocation",
    "ClaimAcquirer": "claims",
    "Envelope": "messages",
    "Event": "events",
    "EventName": "events",
    "FairPolicy": "fair",
    "Filter": "timeline",
    "Finding": "exceptions",
    "FirstComePolicy": "fcfs",
    "FleetStatus": "status",
    "HybridLogicalClock": "clock",
    "Member": "messages",
    "Membership": "membership",
    "OleanderError": "exceptions",
    "Policy": "dispatch",
    "QueuedRequest": "dispatch",
    "RefusalReason": "dispatch",
    "Refuse": "dispatch",
    "Replica": "replica",
    "Replication": "replication",
    "RequestKind": "dispatch",
    "Send": "dispatch",
    "Stamp": "clock",
    "Start": "dispatch",
    "Table": "replica",
    "Timeline": "timeline",
    "UpstreamLoad": "dispatch",
    "decode": "messages",
    "encode": "messages",
    "summarise": "status",
}

__all__ = [
    "Allocator",
    "ClaimAcquirer",
    "Envelope",
    "Event",
    "EventName",
    "FairPolicy",
    "Filter",
    "Finding",
    "FirstComePolicy",
    "FleetStatus",
    "HybridLogicalClock",
    "Member",
    "Membership",
    "OleanderError",
    "Policy",
    "QueuedRequest",
    "RefusalReason",
    "Refuse",
    "Replica",
    "Replication",
    "RequestKind",
    "Send",
    "Stamp",
    "Start",
    "Table",
    "Timeline",
    "UpstreamLoad",
    "decode",
    "encode",
    "summarise",
]


def __getattr__(name: str) -> object:
    """Import an exported name from its module."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
