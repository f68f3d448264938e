"""Runs the measurements of `make capacity`."""

import json
import sys
import time
from pathlib import Path

import msgspec

from standins.capacity import allocation, codec, daemons, datapath, members, table
from standins.capacity.measure import Report

OUTPUT = Path("out/capacity.json")
SECTIONS = {
    "messages": codec.measure,
    "table": table.measure,
    "sharing": allocation.measure,
    "membership": members.measure,
    "daemons": daemons.measure,
    "data-path": datapath.measure,
}


def main() -> int:
    """Measure the sections named on the command line; all sections by default."""
    started = time.monotonic()
    report = Report()
    for name in sys.argv[1:] or SECTIONS:
        SECTIONS[name](report)
    OUTPUT.parent.mkdir(exist_ok=True)
    figures = msgspec.to_builtins(report.figures)
    OUTPUT.write_text(json.dumps(figures, indent=2) + "\n")
    print(f"\n{OUTPUT}: {len(figures)} figures in {time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
