"""Command `oleander check`."""

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
        help="check a deploy folder before it ships",
        description="Check a deploy folder and print all that is wrong.",
    )
    parser.add_argument("folder", type=Path, help="folder with the deploy file")


def run(args: argparse.Namespace) -> int:
    """Run the command."""
    result = deployment.check(args.folder)
    if isinstance(result, Failure):
        raise SettingsError(result.failure())
    print(f"{args.folder}: programs {', '.join(result.unwrap())}")
    return 0
