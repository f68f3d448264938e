"""Settings that a VM's process reads from its settings file."""

import ipaddress
from dataclasses import dataclass

from oleandershift.ids import DataCentreId, RegionId, VmId

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and port to listen on or connect to."""

    host: str
    port: int

    @property
    def is_valid(self) -> bool:
        """Whether messages can be sent to it: sockets raise errors otherwise."""
        try:
            ipaddress.IPv4Address(self.host)
        except ValueError:
            return False
        return 0 < self.port <= MAX_PORT


@dataclass(frozen=True, slots=True)
class DeploymentBounds:
    """Time limits and retry budgets that the deployment requires.

    Parameters
    ----------
    drain_ms : float
        Time after an upstream announces that it is leaving by which it must receive no
        new work, milliseconds.
    termination_grace_ms : float
        Time from SIGTERM to SIGKILL, milliseconds.
    retry_ratio : float
        Allowed retries per request.
    retry_extra : float
        Allowed retries beyond the ratio, by the whole fleet in one window of the
        platform.
    share_window_ms : float
        Window over which a team must receive its share, milliseconds.
    reuse_window_ms : float
        Time after its last use for which routing to a cached prefix pays off,
        milliseconds.
    """

    drain_ms: float
    termination_grace_ms: float
    retry_ratio: float
    retry_extra: float
    share_window_ms: float
    reuse_window_ms: float


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Settings of a VM's process.

    Parameters
    ----------
    vm : VmId
        Name of the VM.
    ip : str
        IP address of the VM.
    data_centre, region
        Location of the VM.
    region_by_data_centre : dict
        Region of each data centre.
    caller_address, readiness_address : Address
        Addresses to listen on for callers and for the load balancer's readiness checks.
    peer_port : int
        Port for the processes of other VMs, the same on every VM.
    metrics_port : int
        Port that serves metrics.
    store_address : Address
        Address of the platform's store.
    bounds : DeploymentBounds
        Limits required by the deployment.
    max_sockets : int
        Sockets that the process may have open.
    memory_bytes : int
        Memory above which the platform ends the process.
    """

    vm: VmId
    ip: str
    data_centre: DataCentreId
    region: RegionId
    region_by_data_centre: dict[DataCentreId, RegionId]
    caller_address: Address
    readiness_address: Address
    peer_port: int
    metrics_port: int
    store_address: Address
    bounds: DeploymentBounds
    max_sockets: int
    memory_bytes: int
