"""Records that the upstream processes keep of their runs, readable after SIGKILL."""

import os
from enum import Enum
from pathlib import Path
from typing import TypeAlias

import msgspec


class RunEnd(Enum):
    """How a run ended, by its upstream's own record.

    `NONE` is the end of a process that ended first. `FINISHED` has written the whole
    answer, `STATED` a part of it with an end that looks whole, `CUT` a part of it, and
    `GONE` as much as the gateway took.
    """

    NONE = "none"
    FINISHED = "finished"
    STATED = "stated"
    CUT = "cut"
    GONE = "gone"


class RunBegun(msgspec.Struct, frozen=True, tag="begun"):
    """A run that begins, before its first byte is written.

    Parameters
    ----------
    run : str
        Name of the run, also in its events and its seal.
    attempt_id, path : str
        Request.
    stream : str
        Stream that the request asks for; empty for a plain one.
    first, total : int
        First and last event.
    version : str
        Software version.
    status : int
        Status of the answer.
    body : str
        Whole body of a plain answer.
    style : str
        Form of the answer.
    at : float
        Monotonic time.
    """

    run: str
    attempt_id: str
    path: str
    stream: str
    first: int
    total: int
    version: str
    status: int
    body: str
    style: str
    at: float


class PieceMade(msgspec.Struct, frozen=True, tag="piece"):
    """An event that is about to be written."""

    run: str
    number: int
    at: float


class RunEnded(msgspec.Struct, frozen=True, tag="ended"):
    """A run whose last byte has been written, before its connection ends."""

    run: str
    end: RunEnd
    at: float


Line: TypeAlias = RunBegun | PieceMade | RunEnded


class WireRecord:
    """File to which an upstream writes each line at once, so that a kill loses none.

    Parameters
    ----------
    path : Path
        File of one life of the upstream.
    """

    def __init__(self, path: Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644)

    def write(self, line: Line) -> None:
        """Append a line."""
        os.write(self._file, msgspec.json.encode(line) + b"\n")


class RecordedRun(msgspec.Struct):
    """One run as its upstream recorded it."""

    begun: RunBegun
    numbers: list[int] = []
    end: RunEnd = RunEnd.NONE
    ended_at: float | None = None


def read_records(folder: Path) -> dict[str, RecordedRun]:
    """Return all runs of all upstreams, by their names."""
    runs: dict[str, RecordedRun] = {}
    decoder = msgspec.json.Decoder(Line)
    for path in sorted(folder.glob("*.record")):
        for raw in path.read_bytes().splitlines():
            line = decoder.decode(raw)
            if isinstance(line, RunBegun):
                runs[line.run] = RecordedRun(line)
            elif isinstance(line, PieceMade):
                runs[line.run].numbers.append(line.number)
            else:
                runs[line.run].end = line.end
                runs[line.run].ended_at = line.at
    return runs
