"""Settings read from flags and environment variables and validated together."""

import argparse
import ipaddress
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from importlib.metadata import PackageNotFoundError, version
from typing import Any

from returns.result import Failure, Result, Success

from oleandershift.exceptions import Finding

ENVIRONMENT_PREFIX = "OLEANDER_"
_CREDENTIALS = re.compile(r"//[^/\s]*@")


@dataclass(frozen=True)
class Setting:
    """A setting with its flag and environment variable.

    Parameters
    ----------
    name : str
        Attribute of the resulting namespace, in snake case.
    parse : callable
        Converts text to the value; raises `ValueError` if the text is invalid.
    expected : str
        Description of the allowed values, for findings and help.
    help : str
        Help text.
    default : str or None
        Default as text; None makes the setting required.
    """

    name: str
    parse: Callable[[str], Any]
    expected: str
    help: str
    default: str | None = None

    @property
    def flag(self) -> str:
        """Command-line flag of the setting."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Environment variable of the setting."""
        return ENVIRONMENT_PREFIX + self.name.upper()


def non_empty_text(value: str) -> str:
    """Parse a text that is not blank."""
    if not value.strip():
        raise ValueError("empty")
    return value


def port(value: str) -> int:
    """Parse a TCP port."""
    return integer_between(1, 65535)(value)


def integer_between(low: int, high: int) -> Callable[[str], int]:
    """Return a parser for integers from `low` to `high`, inclusive."""

    def parse(value: str) -> int:
        number = int(value)
        if not low <= number <= high:
            raise ValueError("out of range")
        return number

    return parse


def seconds_between(low: float, high: float) -> Callable[[str], float]:
    """Return a parser for seconds from `low` to `high`, inclusive."""

    def parse(value: str) -> float:
        number = float(value)
        if not low <= number <= high:
            raise ValueError("out of range")
        return number

    return parse


def choice(*allowed: str) -> Callable[[str], str]:
    """Return a parser that accepts one of the given words."""

    def parse(value: str) -> str:
        if value not in allowed:
            raise ValueError("unknown")
        return value

    return parse


def ip(value: str) -> str:
    """Parse an IP address."""
    return str(ipaddress.ip_address(value))


def address_list(value: str) -> tuple[str, ...]:
    """Parse a comma-separated list of `ip:port`, which may be empty."""
    parts = tuple(part.strip() for part in value.split(",") if part.strip())
    for address in parts:
        host, _, number = address.rpartition(":")
        ip(host)
        port(number)
    return parts


def url(value: str) -> str:
    """Parse an `http://` or `https://` URL and strip trailing slashes."""
    if not value.startswith(("http://", "https://")):
        raise ValueError("not a URL")
    return value.rstrip("/")


COMMON_SETTINGS = (
    Setting("fleet", non_empty_text, "a name", "name of the fleet", "oleander"),
    Setting("vm", non_empty_text, "a name unique in the fleet", "name of this VM"),
    Setting("region", non_empty_text, "a name", "region of this VM"),
    Setting("data_centre", non_empty_text, "a name", "data centre of this VM"),
    Setting("ip", ip, "an IP address", "address that this VM's processes bind to"),
    Setting("agent_port", port, "1 to 65535", "agent's link port", "7101"),
    Setting("query_port", port, "1 to 65535", "agent's query port", "7104"),
    Setting("allocator_port", port, "1 to 65535", "allocator's link port", "7102"),
    Setting("router_port", port, "1 to 65535", "router's link port", "7103"),
    Setting("http_port", port, "1 to 65535", "router's HTTP port", "8080"),
    Setting(
        "log_file", str, "a path, or empty for standard error", "log of JSON lines", ""
    ),
    Setting(
        "log_level",
        choice("DEBUG", "INFO", "WARNING", "ERROR"),
        "DEBUG, INFO, WARNING or ERROR",
        "minimum level to log",
        "INFO",
    ),
    Setting(
        "metrics",
        choice("none", "otlp"),
        "none or otlp",
        "metrics exporter",
        "none",
    ),
)
"""Settings shared by all daemons."""


def program_version() -> str:
    """Return the installed version of the package."""
    try:
        return version("oleandershift")
    except PackageNotFoundError:
        return "0+unknown"


def add_flags(parser: argparse.ArgumentParser, settings: Sequence[Setting]) -> None:
    """Add a flag for each setting; `load_settings` validates the values."""
    for setting in settings:
        default = "required" if setting.default is None else repr(setting.default)
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar=setting.name.upper(),
            help=f"{setting.help} ({setting.expected}; {default}) [{setting.variable}]",
        )


def build_parser(
    program: str, description: str, settings: Sequence[Setting]
) -> argparse.ArgumentParser:
    """Return an argument parser with `--version` and a flag for each setting."""
    argument_parser = argparse.ArgumentParser(program, description=description)
    argument_parser.add_argument(
        "--version", action="version", version=program_version()
    )
    add_flags(argument_parser, settings)
    return argument_parser


def _redact_credentials(value: str) -> str:
    return _CREDENTIALS.sub("//***@", value)


def load_settings(
    settings: Sequence[Setting],
    flags: argparse.Namespace,
    environment: Mapping[str, str],
) -> Result[argparse.Namespace, tuple[Finding, ...]]:
    """Parse and validate all settings.

    Parameters
    ----------
    settings : sequence of Setting
        Settings of the program.
    flags : argparse.Namespace
        Parsed flags, None if absent. A flag takes precedence over its environment
        variable.
    environment : mapping
        Environment variables.

    Returns
    -------
    Result
        The parsed values, or all findings.
    """
    values = argparse.Namespace()
    findings = []
    for setting in settings:
        raw = getattr(flags, setting.name, None)
        if raw is None:
            raw = environment.get(setting.variable, setting.default)
        place = f"{setting.flag} ({setting.variable})"
        if raw is None:
            findings.append(Finding(place, "", setting.expected))
            continue
        try:
            setattr(values, setting.name, setting.parse(raw))
        except ValueError:
            findings.append(Finding(place, _redact_credentials(raw), setting.expected))
    if findings:
        return Failure(tuple(findings))
    return Success(values)
