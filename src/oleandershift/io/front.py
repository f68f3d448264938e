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
    """Carries one request; `Exchange` is the real one."""

    def get_response(self) -> Response:
        """Return the answer, whole or begun."""

    def close(self) -> None:
        """Release everything."""


class Router(Protocol):
    """What the HTTP front needs of the router."""

    def snapshot(self) -> Snapshot:
        """Return the state in force."""

    def create_handler(
        self, call: Call, is_disconnected: Callable[[], bool]
    ) -> RequestHandler:
        """Return a carrier for a checked request."""


class RequestLimiter:
    """Bounds the requests that wait and run.

    Parameters
    ----------
    limit : int
        Most requests at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._inside = 0
        self._lock = threading.Lock()

    @property
    def active_requests(self) -> int:
        """Return the number of requests inside."""
        return self._inside

    def try_acquire(self) -> bool:
        """Let a request in; False when the router is full."""
        with self._lock:
            if self._inside >= self._limit:
                return False
            self._inside += 1
            return True

    def release(self) -> None:
        """Take note that a request is over."""
        with self._lock:
            self._inside -= 1


class _Body:
    """Body of an answer; closing it releases the request."""

    def __init__(self, answer: Response, release: Callable[[], None]) -> None:
        self._parts = answer.body
        self._release = release

    def __iter__(self) -> Iterator[bytes]:
        return self._parts

    def close(self) -> None:
        self._release()


def _raw(environ: Mapping[str, Any], body: bytes) -> RawRequest:
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
    """Return the WSGI status of a number."""
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
        Most requests that wait and run at once.
    """

    def __init__(self, router: Router, max_requests: int) -> None:
        self._router = router
        self.limiter = RequestLimiter(max_requests)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        if environ["PATH_INFO"] in _HEALTH_PATHS:
            return self._health(environ["PATH_INFO"], start_response)
        request = RequestId(uuid4().hex)
        problem = self._closed()
        if problem is None and not self.limiter.try_acquire():
            problem = Problem(ProblemReason.ROUTER_FULL, "the router holds its limit")
        if problem is not None:
            return _start(problem_response(request, problem), start_response)
        return self._admitted(environ, start_response, request)

    def _closed(self) -> Problem | None:
        snapshot = self._router.snapshot()
        if snapshot.accepting:
            return None
        if snapshot.draining:
            return Problem(ProblemReason.DRAINING, "the router is stopping")
        return Problem(ProblemReason.NOT_READY, "the router has no table yet")

    def _health(self, path: str, start_response: StartResponse) -> Iterable[bytes]:
        well = path == "/healthz" or self._router.snapshot().ready
        status = HTTPStatus.OK if well else HTTPStatus.SERVICE_UNAVAILABLE
        body = status.phrase.encode() + b"\n"
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response(status_line(status), headers)
        return [body]

    def _admitted(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        request: RequestId,
    ) -> Iterable[bytes]:
        try:
            answer, carrier = self._answer(environ, request)
        except BaseException:
            self.limiter.release()
            raise

        def release() -> None:
            self.limiter.release()
            if carrier is not None:
                carrier.close()

        _start(answer, start_response)
        return _Body(answer, release)

    def _answer(
        self, environ: dict[str, Any], request: RequestId
    ) -> tuple[Response, RequestHandler | None]:
        snapshot = self._router.snapshot()
        raw = _raw(environ, environ["wsgi.input"].read())
        parsed = parse_call(raw, snapshot.table, snapshot.key_index, request)
        if isinstance(parsed, Failure):
            return problem_response(request, parsed.failure()), None
        is_gone = environ["waitress.client_disconnected"]
        carrier = self._router.create_handler(parsed.unwrap(), is_gone)
        answer = carrier.get_response()
        if environ["SERVER_PROTOCOL"] == "HTTP/1.0":
            answer = _gathered(answer, request)
        return answer, carrier


def _start(answer: Response, start_response: StartResponse) -> Iterable[bytes]:
    start_response(status_line(answer.status), answer.headers)
    return answer.body


def _gathered(answer: Response, request: RequestId) -> Response:
    """Return the answer with its whole body.

    An HTTP/1.0 caller can't tell a cut stream from a whole one without a length.
    """
    try:
        body = b"".join(answer.body)
    except BrokenAnswerError as exc:
        detail = f"the upstream's answer broke off ({exc})"
        problem = Problem(ProblemReason.UPSTREAM_FAILED, detail, RunStatus.UNKNOWN)
        return problem_response(request, problem)
    headers = [pair for pair in answer.headers if pair[0] != "Content-Length"]
    headers.append(("Content-Length", str(len(body))))
    return Response(answer.status, headers, iter((body,)))
