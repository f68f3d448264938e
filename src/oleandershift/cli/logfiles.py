"""Logs that a command names."""

import argparse
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from oleandershift.exceptions import OleanderError
from oleandershift.timeline import MAX_LINE_BYTES


def add_logs_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument that names logs for `read_log_lines`."""
    parser.add_argument(
        "logs", nargs="+", metavar="LOG", help="a log of JSON lines, or `-`"
    )


def read_file_lines(path: Path) -> Iterator[bytes]:
    """Yield the lines of a file; longer ones than `MAX_LINE_BYTES` in pieces.

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


def read_log_lines(names: Sequence[str]) -> Iterator[bytes]:
    """Yield the lines of files in order; `-` is standard input.

    Raises
    ------
    OleanderError
        When a file can't be read.
    """
    for name in names:
        if name == "-":
            yield from sys.stdin.buffer
        else:
            yield from read_file_lines(Path(name))
