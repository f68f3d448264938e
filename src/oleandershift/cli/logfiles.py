"""Reading of the log files named in a command's arguments."""

import argparse
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from oleandershift.exceptions import OleanderError
from oleandershift.timeline import MAX_LINE_BYTES


def add_logs_argument(parser: argparse.ArgumentParser) -> None:
    """Add the positional argument with the log files for `read_log_lines`."""
    parser.add_argument(
        "logs",
        nargs="+",
        metavar="LOG",
        help="log file of JSON lines, or - for standard input",
    )


def read_file_lines(path: Path) -> Iterator[bytes]:
    """Yield the lines of a file; lines over `MAX_LINE_BYTES` come in pieces.

    Raises
    ------
    OleanderError
        When the file can't be read.
    """
    try:
        with path.open("rb") as log:
            while line := log.readline(MAX_LINE_BYTES + 1):
                yield line
    except OSError as exc:
        raise OleanderError(f"{path}: {exc.strerror}") from exc


def read_log_lines(paths: Sequence[str]) -> Iterator[bytes]:
    """Yield the lines of log files in order; `-` stands for standard input.

    Raises
    ------
    OleanderError
        When a file can't be read.
    """
    for path in paths:
        if path == "-":
            yield from sys.stdin.buffer
        else:
            yield from read_file_lines(Path(path))
