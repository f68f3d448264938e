"""Settings, flags and output shared by the operators' commands."""

import argparse
import sys
from collections.abc import Sequence

import msgspec

from oleandershift.settings import (
    Setting,
    add_flags,
    ip,
    non_empty_text,
    port,
    seconds_between,
    url,
)


def address(value: str) -> str:
    """Parse `ip:port`."""
    host, _, number = value.rpartition(":")
    return f"{ip(host)}:{port(number)}"


FLEET = Setting("fleet", non_empty_text, "a name", "name of the fleet", "oleander")
PLATFORM_URL = Setting(
    "platform_url", url, "http://ip:port", "the platform's object API"
)
QUERY_ADDRESS = Setting(
    "query_address", address, "ip:port", "query socket of any agent of the fleet"
)
TIMEOUT = Setting(
    "timeout_seconds",
    seconds_between(0.1, 600),
    "0.1 to 600",
    "longest wait for one reply, seconds",
    "3",
)


def add_settings(parser: argparse.ArgumentParser, settings: Sequence[Setting]) -> None:
    """Add settings to a command's parser; they are checked before it runs."""
    add_flags(parser, settings)
    parser.set_defaults(settings=tuple(settings))


def add_json_flag(parser: argparse._ActionsContainer) -> None:
    """Add the flag `--json` to a command's parser."""
    parser.add_argument("--json", action="store_true", help="print JSON")


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    encoded = msgspec.json.encode(value, enc_hook=str)
    sys.stdout.write(msgspec.json.format(encoded).decode() + "\n")
