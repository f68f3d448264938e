"""Command `oleander drain`: drain a VM and stop its daemons."""

import argparse
import time

from oleandershift.cli.options import FLEET, QUERY_ADDRESS, TIMEOUT, add_settings
from oleandershift.exceptions import NotInForceError, OleanderError, UnreachableError
from oleandershift.io.query import FleetClient
from oleandershift.messages import Member, OperatorQuery, QueryKind
from oleandershift.settings import Setting, seconds_between

DRAIN_TIMEOUT = Setting(
    "drain_seconds",
    seconds_between(0, 86_400),
    "0 to 86400",
    "time for running work to finish, seconds",
    "600",
)
POLL_INTERVAL_SECONDS = 0.5


def add_parser(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Add the command's parser."""
    parser = subparsers.add_parser(
        "drain",
        help="drain a VM and stop its daemons",
        description="Make a VM's daemons finish their work, accept no more and stop.",
    )
    parser.add_argument("vm", help="name of the VM")
    parser.add_argument(
        "--wait",
        action="store_true",
        help="return only after the VM's agent has stopped",
    )
    add_settings(parser, (FLEET, QUERY_ADDRESS, TIMEOUT, DRAIN_TIMEOUT))


def _find_member(members: tuple[Member, ...], vm: str) -> Member:
    for member in members:
        if member.vm == vm:
            return member
    vms = ", ".join(sorted(member.vm for member in members))
    raise OleanderError(f"there is no VM {vm}; the fleet has {vms}")


def _wait_until_stopped(client: FleetClient, member: Member, deadline: float) -> None:
    query = OperatorQuery(QueryKind.MEMBERS)
    while client.query_member(member, query) is not None:
        if time.time() > deadline:
            raise NotInForceError(f"{member.vm} is still draining at the deadline")
        time.sleep(POLL_INTERVAL_SECONDS)


def run(args: argparse.Namespace) -> int:
    """Run the command and return the exit code."""
    client = FleetClient(args.fleet, args.query_address, args.timeout_seconds)
    member = _find_member(client.members(), args.vm)
    deadline = time.time() + args.drain_seconds
    query = OperatorQuery(QueryKind.DRAIN, deadline=deadline)
    if client.query_member(member, query) is None:
        raise UnreachableError(f"the agent of {member.vm} did not answer")
    print(f"{member.vm} is draining")
    if args.wait:
        _wait_until_stopped(client, member, deadline + args.timeout_seconds)
        print(f"{member.vm} has stopped")
    return 0
