"""Sample members and table rows of a large fleet."""

from collections.abc import Iterator

from oleandershift.ids import (
    DataCentreId,
    Incarnation,
    RegionId,
    ServiceId,
    TeamId,
    UpstreamId,
    VmId,
)
from oleandershift.messages import Member, Row
from oleandershift.rows import RowKind, ServiceRow, TeamRow, UpstreamRow, encode_row

NOW = 1_790_000_000.0
SERVICES = 6
REGIONS = 11
DATA_CENTRES = 27


def region_of(number: int) -> RegionId:
    """Return the region of VM or upstream `number`."""
    return RegionId(f"region-{number % REGIONS:02d}")


def service_of(number: int) -> ServiceId:
    """Return the service of upstream `number`."""
    return ServiceId(f"model-{number // REGIONS % SERVICES}")


def make_member(number: int) -> Member:
    """Return the member entry of VM `number`."""
    return Member(
        VmId(f"vm-{number:04d}"),
        region_of(number),
        DataCentreId(f"dc-{number % DATA_CENTRES:02d}"),
        f"10.{number // 250}.{number % 250}.7",
        7101,
        7104,
        7102,
        7103,
        8080,
        Incarnation(int(NOW * 1e9)),
    )


def team_row(number: int, version: int = 1) -> Row:
    """Return the table row of team `number`."""
    row = TeamRow(
        name=TeamId(f"team-{number:04d}"),
        weight=1.0 + number % 5,
        key_hashes=(f"{number:064x}",),
    )
    return Row(RowKind.TEAMS.value, row.name, version, encode_row(row))


def upstream_row(number: int, version: int = 1) -> Row:
    """Return the table row of upstream `number`."""
    row = UpstreamRow(
        name=UpstreamId(f"engine-{number:05d}"),
        service=service_of(number),
        region=region_of(number),
        url=f"http://127.25.{100 + number // 250}.{1 + number % 250}:9",
    )
    return Row(RowKind.UPSTREAMS.value, row.name, version, encode_row(row))


def rows(teams: int, upstreams: int) -> Iterator[Row]:
    """Yield all rows of a table."""
    for number in range(SERVICES):
        service_row = ServiceRow(name=ServiceId(f"model-{number}"))
        yield Row(RowKind.SERVICES.value, service_row.name, 1, encode_row(service_row))
    for number in range(teams):
        yield team_row(number)
    for number in range(upstreams):
        yield upstream_row(number)
