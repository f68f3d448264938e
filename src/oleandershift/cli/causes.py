"""Command `oleander causes`: count in logs why requests did not succeed."""

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
        help="count in gateways' logs why requests did not succeed",
        description="Count the causes of all unsuccessful requests in logs.",
    )
    add_logs_argument(parser)
    add_json_flag(parser)


def run(args: argparse.Namespace) -> int:
    """Run the command and return the exit code."""
    summary = summarise_causes(read_log_lines(args.logs))
    if args.json:
        print_json({"causes": summary.causes, "unexplained": summary.unexplained})
        return 0
    for cause, count in summary.causes.most_common():
        print(f"{count:7}  {cause}")
    for request in summary.unexplained:
        print(f"      1  {request}: no line reports how it ended")
    print(f"explained: {summary.explained} of {summary.total} unsuccessful requests")
    return 0
