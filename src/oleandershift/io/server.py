"""HTTP server for callers, based on waitress."""

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
"""Far above `MAX_BODY_BYTES`, so that bodies are not written to disk."""

OUTPUT_HIGH_WATER_BYTES = 256 * 1024
LOOKAHEAD_REQUESTS = 1
CONNECTIONS_PER_REQUEST = 2
POLL_TIMEOUT_SECONDS = 1


class _CallerTask(WSGITask):
    """Closes the connection after the response while the router drains."""

    def build_response_header(self) -> bytes:
        channel: Any = self.channel
        if channel.server.draining:
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class _ParseErrorTask(ErrorTask):
    """Returns a problem document for a request that waitress could not parse."""

    def execute(self) -> None:
        request: Any = self.request
        error = request.error
        reason = ProblemReason.MALFORMED
        if error.code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            reason = ProblemReason.BODY_TOO_LARGE
        problem = Problem(reason, f"{error.reason}: {error.body}")
        response = problem_response(RequestId(uuid4().hex), problem)
        body = b"".join(response.body)
        self.status = status_line(response.status)
        self.response_headers = list(response.headers)
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class _Channel(HTTPChannel):
    task_class = _CallerTask
    error_task_class = _ParseErrorTask


class HttpServer:
    """HTTP server; its event loop runs on a background thread.

    Parameters
    ----------
    application : RouterApplication
        WSGI application that handles the requests.
    ip : str
        Address to bind to.
    port : int
        TCP port.
    max_requests : int
        Maximum number of concurrent requests. There are more threads than that, so
        that refusals and health checks always find a free one.
    """

    def __init__(
        self, application: RouterApplication, ip: str, port: int, max_requests: int
    ) -> None:
        threads = max_requests + SPARE_THREADS
        server: Any = create_server(
            application,
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
        server.channel_class = _Channel
        logging.getLogger("waitress.queue").setLevel(logging.ERROR)
        server.draining = False
        self._server = server
        self._thread = threading.Thread(target=self._serve, name="http", daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def drain(self) -> None:
        """Close each connection after its current response."""
        self._server.draining = True

    def is_flushed(self) -> bool:
        """Return whether all responses have been sent."""
        channels = list(self._server.active_channels.values())
        return not any(ch.requests or ch.total_outbufs_len for ch in channels)

    def disconnect_stalled(self, now: float, timeout_seconds: float) -> None:
        """Disconnect callers that read none of their pending output in time."""
        for channel in list(self._server.active_channels.values()):
            has_output = channel.total_outbufs_len > 0
            if has_output and channel.last_activity < now - timeout_seconds:
                with contextlib.suppress(OSError):
                    channel.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the listening socket."""
        self._server.close()

    def _serve(self) -> None:
        try:
            self._server.run()
        except OSError:
            return
