"""Entry point of `oleander`, the operators' command line."""

import argparse
import os
import sys
from collections.abc import Sequence
from typing import Protocol

from returns.result import Failure

from oleandershift.cli import (
    cause,
    causes,
    check,
    drain,
    explain,
    status,
    table,
    timeline,
)
from oleandershift.exceptions import OleanderError, SettingsError
from oleandershift.settings import load_settings, program_version

PROGRAM = "oleander"
EXIT_CODES = """\
exit codes:
  0  success
  1  failed
  2  wrong flags, environment variables or arguments
  3  the table, or an edit of it, is not valid
  4  another operator changed the same cell first
  5  the platform did not answer
  6  no agent answered
  7  accepted, but not in force on every VM by the deadline
"""


class Command(Protocol):
    """Module of `oleandershift.cli` that implements one command."""

    __name__: str

    def add_parser(
        self, subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]"
    ) -> None:
        """Add the command's parser."""

    def run(self, args: argparse.Namespace) -> int:
        """Run the command and return the exit code."""


COMMANDS: tuple[Command, ...] = (
    table,
    status,
    explain,
    cause,
    causes,
    check,
    timeline,
    drain,
)


def _command_name(command: Command) -> str:
    return command.__name__.rpartition(".")[2]


def make_parser() -> argparse.ArgumentParser:
    """Return the program's parser with all commands."""
    parser = argparse.ArgumentParser(
        PROGRAM,
        description="Operate a fleet of routers that share capacity fairly.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=program_version())
    subparsers = parser.add_subparsers(
        dest="command", metavar="COMMAND", title="commands", required=True
    )
    for command in COMMANDS:
        command.add_parser(subparsers)
    return parser


def _load_settings(args: argparse.Namespace) -> None:
    result = load_settings(getattr(args, "settings", ()), args, os.environ)
    if isinstance(result, Failure):
        raise SettingsError(result.failure())
    for name, value in vars(result.unwrap()).items():
        setattr(args, name, value)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program.

    Parameters
    ----------
    argv : sequence of str, optional
        Command-line arguments; by default those of the process.

    Returns
    -------
    int
        Exit code.
    """
    args = make_parser().parse_args(argv)
    commands = {_command_name(command): command for command in COMMANDS}
    try:
        _load_settings(args)
        return commands[args.command].run(args)
    except OleanderError as exc:
        print(f"{PROGRAM}: {exc.message}", file=sys.stderr)
        return exc.exit_code
    except BrokenPipeError:
        sys.stderr.close()
        return 1


if __name__ == "__main__":
    raise SystemExit(main())
