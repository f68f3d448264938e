"""Identifier types shared by all modules."""

from typing import NewType

FleetId = NewType("FleetId", str)
"""Name of a fleet; messages from other fleets are dropped."""

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
"""Name of a route in the configuration."""

UpstreamId = NewType("UpstreamId", str)
"""Name of an upstream, unique in the fleet."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of an upstream's software; versions have no order."""

PromptPartId = NewType("PromptPartId", str)
"""Hash of the content of a prompt part."""

StreamKey = NewType("StreamKey", int)
"""Hash that identifies a stream on all VMs, 64 bits."""

Fingerprint = NewType("Fingerprint", str)
"""Hash of what a caller requests, the same for each repetition on each VM."""

RequestId = NewType("RequestId", str)
"""Id of a caller's request, assigned by the router that accepted it."""

AttemptId = NewType("AttemptId", str)
"""Id of one attempt to run a request."""

EditId = NewType("EditId", str)
"""Id of an operator's edit, stored in the row to recognise it after a lost response."""

Incarnation = NewType("Incarnation", int)
"""Start time of a process, nanoseconds since the Unix epoch; grows at each restart."""

GrantId = NewType("GrantId", int)
"""Id of a grant, unique within one allocator incarnation."""

Seq = NewType("Seq", int)
"""Sequence number in one sender's stream of states; larger is newer."""
