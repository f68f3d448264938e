"""Command line of oleander-allocator."""

from collections.abc import Sequence

from oleandershift.io.allocator import start
from oleandershift.io.daemon import read_settings, run
from oleandershift.messages import Role
from oleandershift.settings import COMMON, Setting, seconds

PURPOSE = "Grant upstreams' slots to routers in fair order."
SETTINGS = (
    *COMMON,
    Setting(
        "drain_seconds",
        seconds(0.0, 86_400.0),
        "0 to 86400",
        "longest time that a stop may take",
        "600",
    ),
)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program."""
    cfg = read_settings("oleander-allocator", PURPOSE, SETTINGS, argv)
    return run(Role.ALLOCATOR, cfg.allocator_port, cfg, start)


if __name__ == "__main__":
    raise SystemExit(main())
