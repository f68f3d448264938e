"""Command `oleander causes`."""

import argparse

from oleandershift.cli.logfiles import add_logs_argument, read_log_lines
from oleandershift.cli.options import add_json_flag, print_json
from oleandershift.logcauses import summarise_causes


def add_parser(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Add the command's parser."""
    parser = subparsers.add_parser(
        "causes",
        help="count from gateways' logs why requests ended without success",
        description="Count the causes of all requests without success in logs.",
    )
    add_logs_argument(parser)
    add_json_flag(parser)


def run(args: argparse.Namespace) -> int:
    """Run the command."""
    found = summarise_causes(read_log_lines(args.logs))
    if args.json:
        print_json({"causes": found.causes, "unexplained": found.unexplained})
        return 0
    for cause, number in found.causes.most_common():
        print(f"{number:7}  {cause}")
    for request in found.unexplained:
        print(f"      1  {request}: no line tells how it ended")
    print(f"explained: {found.explained} of {found.total} requests without success")
    return 0
