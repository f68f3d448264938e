"""Reader of the platform's settings file."""

import ipaddress
import tomllib
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from oleandershift.exceptions import Finding
from oleandershift.ids import DataCentreId, RegionId, VmId
from oleandershift.vmsettings import (
    MAX_PORT,
    Address,
    DeploymentBounds,
    VmSettings,
)

PATH_VARIABLE = "OLEANDERSHIFT_NODE_FILE"
DEFAULT_PATH = "/etc/oleandershift/local.toml"
MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MB = 1_000_000

DESCRIPTORS_FOR_FILES = 200
"""Descriptors of a process that sockets can't use (platform contract)."""


class _Listen(msgspec.Struct, rename="camel"):
    frontend: str
    readiness: str


class _Bounds(msgspec.Struct, rename="camel"):
    drain_ms: float = 2500.0
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_extra: float = 0.0
    quota_window_s: float = 4.0
    reuse_window_s: float = 10.0


class _Limits(msgspec.Struct, rename="camel"):
    max_fds: int = 1024
    memory_mb: float = 512.0


class _Platform(msgspec.Struct, rename="camel"):
    address: str


class _File(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    listen: _Listen
    platform: _Platform
    zones: dict[str, str] = {}
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def read_toml(path: Path) -> Result[dict[str, object], tuple[Finding, ...]]:
    """Read a TOML file; a finding when it can't be read or parsed."""
    try:
        return Success(tomllib.loads(path.read_text()))
    except (OSError, ValueError) as exc:
        return Failure((Finding(str(path), str(exc), "a readable TOML file"),))


def read(path: Path) -> Result[VmSettings, tuple[Finding, ...]]:
    """Read and decode a settings file."""
    return read_toml(path).bind(decode)


def decode(raw: dict[str, object]) -> Result[VmSettings, tuple[Finding, ...]]:
    """Decode the content of a settings file; a failure contains all findings."""
    findings = []
    for name, info in _file_fields().items():
        if name not in raw:
            if info.required:
                findings.append(Finding(name, "", "a value"))
            continue
        try:
            msgspec.convert(raw[name], info.type, strict=False)
        except msgspec.ValidationError as exc:
            findings.append(Finding(name, str(raw[name]), str(exc)))
    if findings:
        return Failure(tuple(findings))
    file = msgspec.convert(raw, _File, strict=False)
    try:
        return Success(_to_vm_settings(file))
    except ValueError as exc:
        return Failure((Finding("listen, platform", str(exc), "ip:port"),))


def _to_max_sockets(limits: _Limits) -> int:
    """Return the descriptors that are left for sockets (platform contract)."""
    return max(0, limits.max_fds - DESCRIPTORS_FOR_FILES)


def _file_fields() -> dict[str, msgspec.structs.FieldInfo]:
    return {info.encode_name: info for info in msgspec.structs.fields(_File)}


def parse_address(text: str) -> Address:
    """Parse `ip:port`.

    Raises
    ------
    ValueError
        When the text is not an IPv4 address and a port.
    """
    host, _, port = text.rpartition(":")
    address = Address(str(ipaddress.IPv4Address(host)), int(port))
    if not address.is_valid:
        raise ValueError(f"{text!r} has no port from 1 to {MAX_PORT}")
    return address


def _to_vm_settings(file: _File) -> VmSettings:
    lowest_port, highest_port = file.port_range
    return VmSettings(
        vm=VmId(file.node_name),
        ip=file.ip,
        data_centre=DataCentreId(file.zone),
        region=RegionId(file.region),
        region_by_data_centre={
            DataCentreId(name): RegionId(region) for name, region in file.zones.items()
        },
        caller_address=parse_address(file.listen.frontend),
        readiness_address=parse_address(file.listen.readiness),
        peer_port=lowest_port,
        metrics_port=highest_port,
        store_address=parse_address(file.platform.address),
        bounds=_to_bounds(file.bounds),
        max_sockets=_to_max_sockets(file.limits),
        memory_bytes=int(file.limits.memory_mb * BYTES_PER_MB),
    )


def _to_bounds(raw: _Bounds) -> DeploymentBounds:
    return DeploymentBounds(
        drain_ms=raw.drain_ms,
        termination_grace_ms=raw.grace_s * MILLISECONDS_PER_SECOND,
        retry_ratio=raw.retry_ratio,
        retry_extra=raw.retry_extra,
        share_window_ms=raw.quota_window_s * MILLISECONDS_PER_SECOND,
        reuse_window_ms=raw.reuse_window_s * MILLISECONDS_PER_SECOND,
    )
