"""Run `make test`, passing over the tests in KNOWN-RED.txt."""

import os
import subprocess
import sys
from pathlib import Path


def known_red(path: Path) -> list[str]:
    """Return the entries of the known-red list, comments left out."""
    lines = (line.strip() for line in path.read_text().splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def main() -> int:
    """Run the tests and return their exit code."""
    entries = known_red(Path("KNOWN-RED.txt"))
    for entry in entries:
        print(f"known red, passed over: {entry}", flush=True)
    skips = [f"--deselect={entry.split('|')[0].strip()}" for entry in entries]
    env = dict(os.environ, PYTEST_ARGS=" ".join(skips))
    return subprocess.run(["make", "test"], env=env, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
