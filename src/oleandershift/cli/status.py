"""Command `oleander status`: show the state of a fleet."""

import argparse
import time
from collections.abc import Iterator, Sequence

from oleandershift.cli.options import (
    FLEET,
    QUERY_ADDRESS,
    TIMEOUT,
    add_json_flag,
    add_settings,
    print_json,
)
from oleandershift.io.query import FleetClient
from oleandershift.messages import OperatorQuery, QueryKind
from oleandershift.settings import Setting, seconds_between
from oleandershift.status import FleetStatus, ProcessLine, VmLine, summarise

MEASUREMENT_WINDOW = Setting(
    "window_seconds",
    seconds_between(1, 60),
    "1 to 60",
    "period over which shares and traffic are measured, seconds",
    "3",
)
STALE_REPORT_SECONDS = 5.0
DIGEST_PREFIX_DIGITS = 8
BYTES_PER_MIB = 1 << 20


def add_parser(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Add the command's parser."""
    parser = subparsers.add_parser(
        "status",
        help="show VMs, upstreams, teams and their shares",
        description="Query every VM's agent twice and show the state of the fleet.",
    )
    add_settings(parser, (FLEET, QUERY_ADDRESS, TIMEOUT, MEASUREMENT_WINDOW))
    add_json_flag(parser)


def _format_table(
    header: Sequence[str], rows: Sequence[Sequence[str]]
) -> Iterator[str]:
    widths = [max(map(len, column)) for column in zip(header, *rows, strict=True)]
    for row in (header, *rows):
        cells = (f"{cell:<{width}}" for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()
    yield ""


def _format_percent(value: float | None) -> str:
    return "-" if value is None else f"{100 * value:.1f}%"


def _format_process(line: ProcessLine) -> str:
    parts = [line.role]
    if line.draining:
        parts.append("draining")
    elif not line.ready:
        parts.append("not ready")
    if line.age_seconds > STALE_REPORT_SECONDS:
        parts.append(f"last report {line.age_seconds:.0f} s ago")
    if not line.in_force:
        parts.append("different table")
    return " ".join(parts)


def _vm_row(line: VmLine) -> tuple[str, ...]:
    if not line.reachable:
        processes = "NOT REACHABLE"
    else:
        processes = ", ".join(map(_format_process, line.processes)) or "none"
    memory_mib = (
        sum(process.resident_bytes for process in line.processes) / BYTES_PER_MIB
    )
    return (
        line.vm,
        line.region,
        line.data_centre,
        line.state.value,
        line.platform or "-",
        line.table_digest[:DIGEST_PREFIX_DIGITS] or "-",
        f"{memory_mib:.0f}" if line.reachable else "-",
        processes,
    )


def _format_vms(status: FleetStatus) -> Iterator[str]:
    reachable_count = sum(line.reachable for line in status.vms)
    digests = {line.table_digest for line in status.vms if line.reachable}
    tables = "one table" if len(digests) < 2 else f"{len(digests)} different tables"
    yield f"VMs: {reachable_count} of {len(status.vms)} reachable, {tables} in force"
    header = ("vm", "region", "dc", "state", "platform", "table", "MiB", "processes")
    yield from _format_table(header, [_vm_row(line) for line in status.vms])


def _format_upstreams(status: FleetStatus) -> Iterator[str]:
    busy = _format_percent(status.busy_while_waiting)
    yield f"Upstreams: slots busy {busy} of the time with work waiting or running"
    header = ("upstream", "service", "region", "state", "slots", "taken", "utilisation")
    rows = [
        (
            line.upstream,
            line.service,
            line.region,
            line.state,
            str(line.slots),
            str(line.taken),
            _format_percent(line.utilisation),
        )
        for line in status.upstreams
    ]
    yield from _format_table(header, rows)


def _format_teams(status: FleetStatus) -> Iterator[str]:
    yield f"Teams, over {status.window_seconds:.1f} s"
    header = (
        "service",
        "team",
        "weight",
        "waiting",
        "running",
        "served",
        "refused",
        "tokens",
        "promised",
        "received",
    )
    rows = [
        (
            share.work.service,
            share.work.team,
            f"{share.weight:g}",
            str(share.work.waiting),
            str(share.work.running),
            str(share.work.served),
            str(share.work.refused),
            f"{share.work.cost:.0f}",
            _format_percent(share.promised),
            _format_percent(share.received),
        )
        for share in status.teams
    ]
    yield from _format_table(header, rows)
    for gap in status.gaps:
        yield (
            f"gap in {gap.service}: {gap.gap:.0f} tokens per unit of weight, "
            f"{gap.most} ahead of {gap.least}"
        )


def _format_traffic(status: FleetStatus) -> Iterator[str]:
    yield "Control traffic"
    header = ("from", "to", "bytes/s", "messages/s")
    rows = [
        (
            line.source,
            line.target,
            f"{line.bytes_per_second:.0f}",
            f"{line.messages_per_second:.1f}",
        )
        for line in status.traffic
    ]
    yield from _format_table(header, rows)


def render_status(status: FleetStatus) -> Iterator[str]:
    """Yield the status as lines of text."""
    yield from _format_vms(status)
    yield from _format_upstreams(status)
    yield from _format_teams(status)
    yield from _format_traffic(status)


def run(args: argparse.Namespace) -> int:
    """Run the command and return the exit code."""
    client = FleetClient(args.fleet, args.query_address, args.timeout_seconds)
    query = OperatorQuery(QueryKind.STATUS)
    earlier = client.sample(client.members(), query)
    time.sleep(args.window_seconds)
    later = client.sample(client.members(), query)
    status = summarise(earlier, later)
    if args.json:
        print_json(status)
        return 0
    for line in render_status(status):
        print(line)
    return 0
