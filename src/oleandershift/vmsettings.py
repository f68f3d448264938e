"""What a VM's process learns from its settings file."""

from dataclasses import dataclass

from oleandershift.ids import DataCentreId, RegionId, VmId


@dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and port to listen on or connect to."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class DeploymentBounds:
    """Times and shares that the deployment holds the system to.

    Parameters
    ----------
    drain_ms : float
        An upstream that leaves gets no new work this long after it said so.
    termination_grace_ms : float
        Time from SIGTERM to SIGKILL.
    retry_ratio : float
        Further sends per request.
    retry_extra : float
        Further sends beyond the ratio in a window of the platform, by the whole fleet.
    share_window_ms : float
        Window over which a team is owed its share.
    reuse_window_ms : float
        Time after its last use in which a cached prefix is worth finding again.
    """

    drain_ms: float
    termination_grace_ms: float
    retry_ratio: float
    retry_extra: float
    share_window_ms: float
    reuse_window_ms: float


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Settings of one process.

    Parameters
    ----------
    vm : VmId
        Name of the VM.
    ip : str
        Its address.
    data_centre, region
        Where it stands.
    region_by_data_centre : dict
        Region of each data centre.
    caller_address, readiness_address : Address
        Where callers connect, and where the balancer asks for readiness.
    peer_port : int
        Port for the other VMs' processes, the same on every VM.
    metrics_port : int
        Port that serves metrics.
    store_address : Address
        The platform's store.
    bounds : Bounds
        What the deployment asks.
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
