"""Command line of oleander-router."""

from collections.abc import Sequence

from oleandershift.io import daemon, router
from oleandershift.messages import Role
from oleandershift.policies import POLICIES
from oleandershift.settings import (
    COMMON_SETTINGS,
    Setting,
    choice,
    integer_between,
    seconds_between,
    url,
)


def _optional_url(value: str) -> str:
    return url(value) if value else ""


SETTINGS = (
    *COMMON_SETTINGS,
    Setting(
        "policy",
        choice(*POLICIES),
        ", ".join(POLICIES),
        "how requests are ordered and upstreams chosen",
        "fair",
    ),
    Setting(
        "max_requests",
        integer_between(1, 10_000),
        "1 to 10000",
        "maximum number of requests that wait or run at once, one thread each",
        "1000",
    ),
    Setting(
        "platform_url",
        _optional_url,
        "http://ip:port, or empty for none",
        "the platform's object API; without it non-idempotent requests are refused",
        "",
    ),
    Setting(
        "connect_seconds",
        seconds_between(0.01, 60.0),
        "0.01 to 60",
        "timeout of a connect to an upstream",
        "2",
    ),
    Setting(
        "idle_seconds",
        seconds_between(0.1, 3600.0),
        "0.1 to 3600",
        "longest time without data from an upstream with an unfinished response, or "
        "without a caller reading any of its response",
        "60",
    ),
    Setting(
        "claim_seconds",
        seconds_between(0.1, 60.0),
        "0.1 to 60",
        "timeout of a platform call that a non-idempotent request waits for",
        "6",
    ),
    Setting(
        "grace_seconds",
        seconds_between(0.0, 600.0),
        "0 to 600",
        "time for which a stopping router, no longer ready, still accepts requests",
        "3",
    ),
    Setting(
        "drain_seconds",
        seconds_between(0.0, 86_400.0),
        "0 to 86400",
        "time after which a stopping router exits even with requests running",
        "600",
    ),
)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the router until it stops and return the exit code."""
    cfg = daemon.read_settings(
        "oleander-router",
        "Accepts callers' requests and runs them on upstreams.",
        SETTINGS,
        argv,
    )
    return daemon.run(Role.ROUTER, cfg.router_port, cfg, router.start)


if __name__ == "__main__":
    raise SystemExit(main())
