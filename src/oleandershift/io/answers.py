"""Answers to callers."""

from collections.abc import Iterator
from dataclasses import dataclass

from oleandershift.ids import RequestId
from oleandershift.problems import CONTENT_TYPE, Problem, RunStatus


class BrokenAnswerError(OSError):
    """Part of an answer is with the caller and the rest can't be had.

    Raised to the HTTP server, which then closes the connection in the middle of the
    body, so that the caller's HTTP library reports an incomplete answer.
    """


@dataclass
class Response:
    """What the caller gets.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of pair
        All headers.
    body : iterator of bytes
        Parts as they arrive.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterator[bytes]


@dataclass(frozen=True)
class ExchangeResult:
    """How an exchange ended.

    Parameters
    ----------
    run : Run
        Whether the call ran; `RAN` only with a whole answer.
    status : int
        HTTP status of the answer.
    headers : tuple of pair
        Its headers.
    body : bytes or None
        Its body, where it came whole before it was passed on.
    """

    run: RunStatus
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


def problem_response(request: RequestId, problem: Problem) -> Response:
    """Return the answer that tells a caller of a problem."""
    body = problem.to_json(request)
    headers = [
        ("Content-Type", CONTENT_TYPE),
        ("Content-Length", str(len(body))),
        ("Oleander-Request-Id", request),
        ("Oleander-Run", problem.run.value),
    ]
    seconds = problem.retry_after_seconds()
    if seconds is not None:
        headers.append(("Retry-After", str(seconds)))
    return Response(problem.status.value, headers, iter((body,)))
