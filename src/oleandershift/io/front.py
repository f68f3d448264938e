"""WSGI application of a router."""

import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from http import HTTPStatus
from typing import Any, Protocol
from uuid import uuid4

from returns.result import Failure

from oleandershift.calls import Call, RawRequest, parse_call
from oleandershift.ids import RequestId
from oleandershift.io.answers import BrokenAnswerError, Response, problem_response
from oleandershift.io.jobs import Snapshot
from oleandershift.problems import Problem, ProblemReason, RunStatus

_HEALTH_PATHS = ("/healthz", "/readyz")

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class RequestHandler(Protocol):
    """Runs one request; implemented by `Exchange` and `ClaimedExchange`."""

    def get_response(self) -> Response:
        """Return the response; its body may still be arriving."""

    def close(self) -> None:
        """Release all resources."""


class Router(Protocol):
    """The router's interface to its WSGI application."""

    def snapshot(self) -> Snapshot:
        """Return the current state of the router."""

    def create_handler(
        self, call: Call, is_disconnected: Callable[[], bool]
    ) -> RequestHandler:
        """Return the handler of a validated request."""


class RequestLimiter:
    """Limits the number of concurrent requests, queued and running.

    Parameters
    ----------
    limit : int
        Maximum number of concurrent requests.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._active = 0
        self._lock = threading.Lock()

    @property
    def active_requests(self) -> int:
        """Return the current number of requests."""
        return self._active

    def try_acquire(self) -> bool:
        """Count a new request; return False if the limit is reached."""
        with self._lock:
            if self._active >= self._limit:
                return False
            self._active += 1
            return True

    def release(self) -> None:
        """Record that a request has ended."""
        with self._lock:
            self._active -= 1


class _ResponseBody:
    """Body of a response; closing it releases the resources of the request."""

    def __init__(self, response: Response, release: Callable[[], None]) -> None:
        self._chunks = response.body
        self._release = release

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        self._release()


def _raw_request(environ: Mapping[str, Any], body: bytes) -> RawRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    target = environ["REQUEST_URI"]
    return RawRequest(environ["REQUEST_METHOD"], target, headers, body)


def status_line(status: int) -> str:
    """Return the WSGI status line for an HTTP status code."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"


class RouterApplication:
    """WSGI application of a router.

    Parameters
    ----------
    router : Router
        Runs the requests.
    max_requests : int
        Maximum number of concurrent requests, queued and running.
    """

    def __init__(self, router: Router, max_requests: int) -> None:
        self._router = router
        self.limiter = RequestLimiter(max_requests)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one HTTP request."""
        if environ["PATH_INFO"] in _HEALTH_PATHS:
            return self._health_check(environ["PATH_INFO"], start_response)
        request = RequestId(uuid4().hex)
        problem = self._rejection()
        if problem is None and not self.limiter.try_acquire():
            problem = Problem(ProblemReason.ROUTER_FULL, "the router holds its limit")
        if problem is not None:
            return _start_response(problem_response(request, problem), start_response)
        return self._handle(environ, start_response, request)

    def _rejection(self) -> Problem | None:
        snapshot = self._router.snapshot()
        if snapshot.accepting:
            return None
        if snapshot.draining:
            return Problem(ProblemReason.DRAINING, "the router is stopping")
        return Problem(ProblemReason.NOT_READY, "the router has no table yet")

    def _health_check(
        self, path: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        is_healthy = path == "/healthz" or self._router.snapshot().ready
        status = HTTPStatus.OK if is_healthy else HTTPStatus.SERVICE_UNAVAILABLE
        body = status.phrase.encode() + b"\n"
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response(status_line(status), headers)
        return [body]

    def _handle(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        request: RequestId,
    ) -> Iterable[bytes]:
        try:
            response, handler = self._get_response(environ, request)
        except BaseException:
            self.limiter.release()
            raise

        def release() -> None:
            self.limiter.release()
            if handler is not None:
                handler.close()

        _start_response(response, start_response)
        return _ResponseBody(response, release)

    def _get_response(
        self, environ: dict[str, Any], request: RequestId
    ) -> tuple[Response, RequestHandler | None]:
        snapshot = self._router.snapshot()
        raw = _raw_request(environ, environ["wsgi.input"].read())
        parsed = parse_call(raw, snapshot.table, snapshot.key_index, request)
        if isinstance(parsed, Failure):
            return problem_response(request, parsed.failure()), None
        is_disconnected = environ["waitress.client_disconnected"]
        handler = self._router.create_handler(parsed.unwrap(), is_disconnected)
        response = handler.get_response()
        if environ["SERVER_PROTOCOL"] == "HTTP/1.0":
            response = _buffered(response, request)
        return response, handler


def _start_response(
    response: Response, start_response: StartResponse
) -> Iterable[bytes]:
    start_response(status_line(response.status), response.headers)
    return response.body


def _buffered(response: Response, request: RequestId) -> Response:
    """Read the complete body and return a response with a Content-Length.

    Without a length, an HTTP/1.0 caller can't tell a truncated body from a whole one.
    """
    try:
        body = b"".join(response.body)
    except BrokenAnswerError as exc:
        detail = f"the upstream's answer broke off ({exc})"
        problem = Problem(ProblemReason.UPSTREAM_FAILED, detail, RunStatus.UNKNOWN)
        return problem_response(request, problem)
    headers = [pair for pair in response.headers if pair[0] != "Content-Length"]
    headers.append(("Content-Length", str(len(body))))
    return Response(response.status, headers, iter((body,)))
