"""Lines of log files that a command names."""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from oleandershift.exceptions import OleanderError


def lines_of(names: Sequence[str]) -> Iterator[bytes]:
    """Yield the lines of files in order; `-` is standard input.

    Raises
    ------
    OleanderError
        When a file can't be read.
    """
    for name in names:
        if name == "-":
            yield from sys.stdin.buffer
            continue
        try:
            with Path(name).open("rb") as log:
                yield from log
        except OSError as exc:
            raise OleanderError(f"{name}: {exc.strerror}") from exc
