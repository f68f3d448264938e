"""Exceptions reported to the user of a command, each with an exit code."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, order=True)
class Finding:
    """One validation error and its location.

    Parameters
    ----------
    place : str
        Flag and environment variable, or row and column.
    value : str
        Rejected value; empty when the value is missing.
    expected : str
        Description of the allowed values.
    """

    place: str
    value: str
    expected: str

    def __str__(self) -> str:
        if not self.value:
            return f"{self.place}: missing or empty: expected {self.expected}"
        return f"{self.place}: {self.value!r} is not allowed: expected {self.expected}"


class OleanderError(Exception):
    """Base class of the exceptions that end a command.

    Parameters
    ----------
    message : str
        What went wrong and how the user can resolve it.
    """

    exit_code: ClassVar[int] = 1

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class SettingsError(OleanderError):
    """The settings are invalid and the program can't start.

    Parameters
    ----------
    findings : tuple of Finding
        All validation errors.
    """

    exit_code = 2

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class TableError(OleanderError):
    """A table or an edit of it is invalid.

    Parameters
    ----------
    findings : tuple of Finding
        All validation errors.
    """

    exit_code = 3

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class ConflictError(OleanderError):
    """Another operator changed the same cell first.

    Parameters
    ----------
    place : str
        Row and column.
    requested, current : str
        Value requested by this edit and value now in the table.
    """

    exit_code = 4

    def __init__(self, place: str, requested: str, current: str) -> None:
        super().__init__(
            f"{place} was changed by another edit to {current!r}; you requested "
            f"{requested!r}; read the row again and repeat the edit if still needed"
        )
        self.place = place
        self.requested = requested
        self.current = current


class PlatformUnavailableError(OleanderError):
    """The platform's object API did not respond in time."""

    exit_code = 5


class UnreachableError(OleanderError):
    """No agent responded in time."""

    exit_code = 6


class NotInForceError(OleanderError):
    """An accepted edit did not take effect on every live VM by the deadline."""

    exit_code = 7


class MalformedRequestError(OleanderError):
    """A caller's request is malformed; the response has status 400."""

    exit_code = 8


class CallerLeftError(Exception):
    """A caller disconnected before its request was sent to an upstream."""
