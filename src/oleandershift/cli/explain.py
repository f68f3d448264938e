"""Command `oleander explain`."""

import argparse
import sys
from datetime import UTC, datetime

from oleandershift.cli.options import (
    FLEET,
    QUERY_ADDRESS,
    TIMEOUT,
    add_json_flag,
    add_settings,
    print_json,
)
from oleandershift.exceptions import OleanderError
from oleandershift.io.query import FleetClient
from oleandershift.messages import Member, OperatorQuery, Outcome, QueryKind
from oleandershift.samples import Sample


def add_parser(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Add the command's parser."""
    parser = subparsers.add_parser(
        "explain",
        help="tell how a request ended, or why it was refused",
        description="Ask every VM's agent how a request ended.",
    )
    parser.add_argument("request", help="the answer's Oleander-Request-Id")
    add_settings(parser, (FLEET, QUERY_ADDRESS, TIMEOUT))
    add_json_flag(parser)


def _silent(sample: Sample) -> list[Member]:
    return [member for member in sample.members if member.vm not in sample.replies]


def _text(outcome: Outcome, vm: str) -> str:
    at = datetime.fromtimestamp(outcome.at, UTC).isoformat(timespec="milliseconds")
    upstream = f" on {outcome.upstream}" if outcome.upstream else ""
    reason = f": {outcome.reason}" if outcome.reason else ""
    return (
        f"{at} {vm}: request {outcome.request} of {outcome.team} for "
        f"{outcome.service}: status {outcome.status}, {outcome.run}{upstream}{reason}"
    )


def run(args: argparse.Namespace) -> int:
    """Run the command."""
    client = FleetClient(args.fleet, args.query_address, args.timeout_seconds)
    query = OperatorQuery(QueryKind.EXPLAIN, args.request)
    sample = client.sample(client.members(), query)
    by_outcome = {
        outcome: vm
        for vm, reply in sample.replies.items()
        for outcome in reply.outcomes
    }
    found = sorted(by_outcome.items(), key=lambda entry: entry[0].at)
    silent = ", ".join(member.vm for member in _silent(sample))
    if silent:
        print(f"did not answer: {silent}", file=sys.stderr)
    if args.json:
        print_json([outcome for outcome, _ in found])
    else:
        for outcome, vm in found:
            print(_text(outcome, vm))
    if not found:
        raise OleanderError(
            f"no agent that answered knows request {args.request}: it still runs, was "
            "long ago, or its VM is gone"
        )
    return 0
