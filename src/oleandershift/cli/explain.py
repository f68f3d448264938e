"""Command `oleander explain`: show how a request ended."""

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
        help="show how a request ended, or why it was refused",
        description="Query every VM's agent for the outcome of a request.",
    )
    parser.add_argument("request", help="Oleander-Request-Id of the response")
    add_settings(parser, (FLEET, QUERY_ADDRESS, TIMEOUT))
    add_json_flag(parser)


def _missing_members(sample: Sample) -> list[Member]:
    return [member for member in sample.members if member.vm not in sample.replies]


def _format_outcome(outcome: Outcome, vm: str) -> str:
    at = datetime.fromtimestamp(outcome.at, UTC).isoformat(timespec="milliseconds")
    upstream = f" on {outcome.upstream}" if outcome.upstream else ""
    reason = f": {outcome.reason}" if outcome.reason else ""
    return (
        f"{at} {vm}: request {outcome.request} of {outcome.team} for "
        f"{outcome.service}: status {outcome.status}, {outcome.run}{upstream}{reason}"
    )


def run(args: argparse.Namespace) -> int:
    """Run the command and return the exit code."""
    client = FleetClient(args.fleet, args.query_address, args.timeout_seconds)
    query = OperatorQuery(QueryKind.EXPLAIN, args.request)
    sample = client.sample(client.members(), query)
    vm_by_outcome = {
        outcome: vm
        for vm, reply in sample.replies.items()
        for outcome in reply.outcomes
    }
    outcomes = sorted(vm_by_outcome.items(), key=lambda entry: entry[0].at)
    missing = ", ".join(member.vm for member in _missing_members(sample))
    if missing:
        print(f"did not answer: {missing}", file=sys.stderr)
    if args.json:
        print_json([outcome for outcome, _ in outcomes])
    else:
        for outcome, vm in outcomes:
            print(_format_outcome(outcome, vm))
    if not outcomes:
        raise OleanderError(
            f"no agent that answered knows request {args.request}: it still runs, "
            "ended too long ago, or its VM has left the fleet"
        )
    return 0
