"""Command `oleander check`: check a deploy folder."""

import argparse
from pathlib import Path

from returns.result import Failure

from oleandershift.exceptions import SettingsError
from oleandershift.platform import deployment


def add_parser(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    """Add the command's parser."""
    parser = subparsers.add_parser(
        "check",
        help="check a deploy folder before it is deployed",
        description="Check a deploy folder and print all findings.",
    )
    parser.add_argument("folder", type=Path, help="folder with the deploy file")


def run(args: argparse.Namespace) -> int:
    """Run the command and return the exit code."""
    result = deployment.check(args.folder)
    if isinstance(result, Failure):
        raise SettingsError(result.failure())
    print(f"{args.folder}: programs {', '.join(result.unwrap())}")
    return 0
