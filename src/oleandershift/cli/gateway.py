"""Command line of oleander-gateway."""

import signal

if __name__ == "__main__":
    # Before the imports, as it ends the process until its handler is installed.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

import os
import sys
from collections.abc import Sequence
from pathlib import Path

from returns.result import Failure

from oleandershift.exceptions import OleanderError, SettingsError
from oleandershift.io import gateway
from oleandershift.platform.settings import DEFAULT_PATH, PATH_VARIABLE
from oleandershift.quarantine import QuarantineLimits
from oleandershift.settings import (
    Setting,
    build_parser,
    choice,
    integer_between,
    load_settings,
    non_empty_text,
    port,
    seconds_between,
)

SETTINGS = (
    Setting(
        "node_file",
        non_empty_text,
        "a path",
        "the platform's settings file",
        os.environ.get(PATH_VARIABLE, DEFAULT_PATH),
    ),
    Setting(
        "metrics_port",
        port,
        "1 to 65535",
        "port that serves metrics at /metrics",
        "9464",
    ),
    Setting(
        "log_level",
        choice("DEBUG", "INFO", "WARNING", "ERROR"),
        "DEBUG, INFO, WARNING or ERROR",
        "minimum level to log",
        "INFO",
    ),
    Setting(
        "prompt_crash_limit",
        integer_between(2, 10),
        "2 to 10",
        "crashes of upstreams under one request or prompt part that block it",
        "3",
    ),
    Setting(
        "prompt_block_seconds",
        seconds_between(1, 3600),
        "1 to 3600",
        "first block of a request or prompt part; longer with each further crash",
        "30",
    ),
)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the gateway and return the exit code."""
    purpose = "Forwards callers' requests to upstreams on a platform VM."
    args = build_parser("oleander-gateway", purpose, SETTINGS).parse_args(argv)
    result = load_settings(SETTINGS, args, os.environ)
    try:
        if isinstance(result, Failure):
            raise SettingsError(result.failure())
        cfg = result.unwrap()
        gateway.run(
            Path(cfg.node_file),
            cfg.metrics_port,
            cfg.log_level,
            QuarantineLimits(cfg.prompt_crash_limit, cfg.prompt_block_seconds),
        )
    except OleanderError as exc:
        print(f"oleander-gateway: {exc.message}", file=sys.stderr)
        return exc.exit_code
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
