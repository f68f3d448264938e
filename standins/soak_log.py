"""Log of what a soak does to its fleet, with the times of the gateways' logs."""

import time
from datetime import datetime
from pathlib import Path

import msgspec


class SoakLog:
    """File of JSON lines.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("ab", buffering=0)

    def write(self, event: str, **fields: object) -> None:
        """Append a line with the time, also by the monotonic clock."""
        times = {"time": datetime.now().isoformat(), "at": time.monotonic()}
        line = msgspec.json.encode({**times, "event": event, **fields})
        self._file.write(line + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
