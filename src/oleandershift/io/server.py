"""HTTP server towards callers, by waitress."""

import contextlib
import logging
import socket
import threading
from http import HTTPStatus
from typing import Any
from uuid import uuid4

from waitress.channel import HTTPChannel
from waitress.server import create_server
from waitress.task import ErrorTask, WSGITask

from oleandershift.ids import RequestId
from oleandershift.io.answers import problem_response
from oleandershift.io.front import RouterApplication, status_line
from oleandershift.io.workers import WorkerPool
from oleandershift.problems import Problem, ProblemReason

SPARE_THREADS = 16
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 << 20
DISK_SPILL_THRESHOLD_BYTES = 1 << 30
OUTPUT_HIGH_WATER_BYTES = 256 * 1024
LOOKAHEAD_REQUESTS = 1
CONNECTIONS_PER_REQUEST = 2
POLL_TIMEOUT_SECONDS = 1


class _CallerTask(WSGITask):
    """Closes connections between requests while the router drains."""

    def build_response_header(self) -> bytes:
        channel: Any = self.channel
        if channel.server.draining:
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class _ParseErrorTask(ErrorTask):
    """Answers requests that waitress could not parse with a problem document."""

    def execute(self) -> None:
        request: Any = self.request
        error = request.error
        reason = ProblemReason.MALFORMED
        if error.code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            reason = ProblemReason.BODY_TOO_LARGE
        problem = Problem(reason, f"{error.reason}: {error.body}")
        answer = problem_response(RequestId(uuid4().hex), problem)
        body = b"".join(answer.body)
        self.status = status_line(answer.status)
        self.response_headers = list(answer.headers)
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class _Channel(HTTPChannel):
    task_class = _CallerTask
    error_task_class = _ParseErrorTask


class HttpServer:
    """The listening HTTP server.

    Parameters
    ----------
    front : Front
        Answers requests.
    ip : str
        Address to bind to.
    port : int
        TCP port.
    max_requests : int
        Most requests that wait and run at once; threads are more, so that refusals
        and health checks always find one.
    """

    def __init__(
        self, front: RouterApplication, ip: str, port: int, max_requests: int
    ) -> None:
        threads = max_requests + SPARE_THREADS
        made: Any = create_server(
            front,
            _dispatcher=WorkerPool(threads),
            host=ip,
            port=port,
            connection_limit=threads * CONNECTIONS_PER_REQUEST,
            channel_request_lookahead=LOOKAHEAD_REQUESTS,
            asyncore_use_poll=True,
            asyncore_loop_timeout=POLL_TIMEOUT_SECONDS,
            max_request_header_size=MAX_HEADER_BYTES,
            max_request_body_size=MAX_BODY_BYTES,
            inbuf_overflow=DISK_SPILL_THRESHOLD_BYTES,
            outbuf_overflow=DISK_SPILL_THRESHOLD_BYTES,
            outbuf_high_watermark=OUTPUT_HIGH_WATER_BYTES,
            log_socket_errors=False,
            ident="oleandershift",
            clear_untrusted_proxy_headers=True,
        )
        made.channel_class = _Channel
        logging.getLogger("waitress.queue").setLevel(logging.ERROR)
        made.draining = False
        self._server = made
        self._thread = threading.Thread(target=self._serve, name="http", daemon=True)

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def drain(self) -> None:
        """Close each connection after its answer."""
        self._server.draining = True

    def is_flushed(self) -> bool:
        """Tell whether every answer has left for its caller."""
        channels = list(self._server.active_channels.values())
        return not any(ch.requests or ch.total_outbufs_len for ch in channels)

    def disconnect_stalled(self, now: float, seconds: float) -> None:
        """Cut off callers that took nothing of a waiting answer for some seconds."""
        for channel in list(self._server.active_channels.values()):
            waiting = channel.total_outbufs_len > 0
            if waiting and channel.last_activity < now - seconds:
                with contextlib.suppress(OSError):
                    channel.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def _serve(self) -> None:
        try:
            self._server.run()
        except OSError:
            return
