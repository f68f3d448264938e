"""Failures that a program reports to its user, each with an exit code."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, order=True)
class Finding:
    """One thing that is wrong, and where.

    Parameters
    ----------
    place : str
        Flag and variable, or row and column.
    value : str
        What stands there; empty when nothing does.
    expected : str
        What is allowed.
    """

    place: str
    value: str
    expected: str

    def __str__(self) -> str:
        if not self.value:
            return f"{self.place}: missing or empty: expected {self.expected}"
        return f"{self.place}: {self.value!r} is not allowed: expected {self.expected}"


class OleanderError(Exception):
    """Base of all failures that end a command.

    Parameters
    ----------
    message : str
        What went wrong and what the user can do.
    """

    exit_code: ClassVar[int] = 1

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class SettingsError(OleanderError):
    """Settings that a program can't start with.

    Parameters
    ----------
    findings : tuple of Finding
        Everything that is wrong.
    """

    exit_code = 2

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class TableError(OleanderError):
    """A table, or a change of it, that can't be accepted.

    Parameters
    ----------
    findings : tuple of Finding
        Everything that is wrong.
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
        The value of this edit, and the one now in the table.
    """

    exit_code = 4

    def __init__(self, place: str, requested: str, current: str) -> None:
        super().__init__(
            f"{place} was changed meanwhile: it is now {current!r}, you asked for "
            f"{requested!r}; read the row again and repeat the edit if it still applies"
        )
        self.place = place
        self.requested = requested
        self.current = current


class PlatformUnavailableError(OleanderError):
    """The platform's object API did not answer in time."""

    exit_code = 5


class UnreachableError(OleanderError):
    """No agent answered in time."""

    exit_code = 6


class NotInForceError(OleanderError):
    """An accepted edit was not in force on every live VM by the deadline."""

    exit_code = 7


class MalformedRequestError(OleanderError):
    """A caller's request that can't be understood; it is answered 400."""

    exit_code = 8
