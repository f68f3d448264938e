"""Identifier types shared by every module."""

from typing import NewType

FleetId = NewType("FleetId", str)
"""Name of the fleet; messages of another fleet are dropped."""

VmId = NewType("VmId", str)
"""Name of a VM, unique in the fleet."""

RegionId = NewType("RegionId", str)
"""Name of a region."""

DataCentreId = NewType("DataCentreId", str)
"""Name of a data centre within a region."""

TeamId = NewType("TeamId", str)
"""Name of a team."""

ServiceId = NewType("ServiceId", str)
"""Name of a service (a model or a plain service) that upstreams serve."""

RouteId = NewType("RouteId", str)
"""Name of a route of the configuration."""

UpstreamId = NewType("UpstreamId", str)
"""Name of an upstream, unique in the fleet."""

RequestId = NewType("RequestId", str)
"""Id of one caller's request, made by the router that accepted it."""

AttemptId = NewType("AttemptId", str)
"""Id of one attempt to run a request."""

EditId = NewType("EditId", str)
"""Id of one operator's edit, kept in the row to settle lost answers."""

Incarnation = NewType("Incarnation", int)
"""Start instant of a process in nanoseconds; a restart has a larger one."""

GrantId = NewType("GrantId", int)
"""Id of a grant, unique within one allocator incarnation."""

Seq = NewType("Seq", int)
"""Position in one sender's stream of states; larger is newer."""
