"""Responses to callers."""

from collections.abc import Iterator
from dataclasses import dataclass

from oleandershift.ids import RequestId
from oleandershift.problems import CONTENT_TYPE, Problem, RunStatus


class BrokenAnswerError(OSError):
    """The upstream failed after part of the response was sent to the caller.

    Raised to the HTTP server, which then closes the connection in the middle of the
    body, so that the caller's HTTP library reports an incomplete response.
    """


@dataclass
class Response:
    """HTTP response to the caller.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of pair
        Name and value of each header.
    body : iterator of bytes
        Chunks of the body, as they arrive.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterator[bytes]


@dataclass(frozen=True)
class ExchangeResult:
    """Final result of an exchange.

    Parameters
    ----------
    run : RunStatus
        Whether the call ran; `RAN` only if the response is complete.
    status : int
        HTTP status of the response.
    headers : tuple of pair
        Headers of the response.
    body : bytes or None
        Body of the response if it was buffered, None if it was streamed.
    """

    run: RunStatus
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


def problem_response(request: RequestId, problem: Problem) -> Response:
    """Return the response with a problem document."""
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
