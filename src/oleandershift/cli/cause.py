"""Command `oleander cause`: find in logs why a request or a prompt part failed."""

import argparse

from oleandershift.cli.logfiles import add_logs_argument, read_log_lines
from oleandershift.cli.options import add_json_flag, print_json
from oleandershift.exceptions import OleanderError
from oleandershift.logcauses import LogEntry, find_cause, find_entries


def add_parser(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Add the command's parser."""
    parser = subparsers.add_parser(
        "cause",
        help="find in gateways' logs why a request ended as it did",
        description="Search the logs of gateways for one request or prompt part.",
    )
    parser.add_argument(
        "subject",
        metavar="request",
        help="id of the caller's attempt, or a prompt part that was blocked",
    )
    add_logs_argument(parser)
    add_json_flag(parser)


def _format_entry(entry: LogEntry) -> str:
    fields = " ".join(f"{name}={value}" for name, value in entry.fields.items())
    return f"{entry.time} {entry.vm} {entry.event}: {fields}"


def run(args: argparse.Namespace) -> int:
    """Run the command and return the exit code."""
    entries = find_entries(args.subject, read_log_lines(args.logs))
    if not entries:
        raise OleanderError(
            f"no line names request {args.subject}: it was answered in time, or its "
            "gateway's log is missing"
        )
    cause = find_cause(entries)
    if args.json:
        print_json({"cause": cause, "entries": entries})
        return 0
    for entry in entries:
        print(_format_entry(entry))
    print(f"cause: {cause or 'no line reports a failure'}")
    return 0
