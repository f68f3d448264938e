"""Command line of oleander-allocator."""

from collections.abc import Sequence

from oleandershift.io.allocator import start
from oleandershift.io.daemon import read_settings, run
from oleandershift.messages import Role
from oleandershift.settings import COMMON_SETTINGS, Setting, seconds_between

PURPOSE = "Grant upstreams' slots to routers in fair order."
SETTINGS = (
    *COMMON_SETTINGS,
    Setting(
        "drain_seconds",
        seconds_between(0.0, 86_400.0),
        "0 to 86400",
        "longest time that a shutdown may take",
        "600",
    ),
)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the allocator until it stops and return the exit code."""
    cfg = read_settings("oleander-allocator", PURPOSE, SETTINGS, argv)
    return run(Role.ALLOCATOR, cfg.allocator_port, cfg, start)


if __name__ == "__main__":
    raise SystemExit(main())
