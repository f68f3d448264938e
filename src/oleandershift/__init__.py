"""A router fleet that shares model capacity fairly between teams.

The names exported here are the library: state machines without threads, sockets or
clocks, driven by the event loop of the embedding program. They accept messages, ticks
and the current time, and return the actions to perform. Modules are imported on first
use of an exported name, so that a program loads only what it uses.
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
    """Import an exported name from its module on first use."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
