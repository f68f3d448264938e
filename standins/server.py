"""Threaded HTTP/1.1 server shared by the stand-ins."""

import contextlib
import select
import socket
import struct
import sys
import threading
from collections.abc import Callable, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, ClassVar, TypeAlias
from urllib.parse import parse_qsl, urlsplit

import msgspec

from standins.ports import free_port

LISTEN_BACKLOG = 1024


def abort_socket(conn: socket.socket) -> None:
    """Unblock the readers of a connection and make its close send an RST."""
    no_linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        conn.shutdown(socket.SHUT_RD)


class _LineReader:
    """File wrapper that detects whether the head of a request is complete."""

    def __init__(self, file: Any) -> None:
        self._file = file
        self._last_line = b""

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)

    def readline(self, *args: int) -> bytes:
        self._last_line = self._file.readline(*args)
        return self._last_line

    def head_is_complete(self) -> bool:
        return self._last_line in {b"\r\n", b"\n"}


class Exchange:
    """One request, and the connection on which its response is sent.

    Parameters
    ----------
    handler : RequestHandler
        Handler of the connection.

    Attributes
    ----------
    method, path : str
        Method and path of the request; the path excludes the query.
    query : dict
        Query parameters.
    headers : Mapping
        Header fields, case-insensitive.
    body : bytes
        Complete body.
    extra_headers : Mapping
        Header fields that are added to every response.
    """

    def __init__(self, handler: "RequestHandler") -> None:
        parts = urlsplit(handler.path)
        self.method = handler.command
        self.path = parts.path
        self.query = dict(parse_qsl(parts.query))
        self.headers = handler.headers
        self.extra_headers: Mapping[str, str] = {}
        self._handler = handler
        length = int(self.headers.get("Content-Length", 0))
        self.body = handler.rfile.read(length)
        if len(self.body) < length:
            raise ConnectionError("request body is truncated")

    def send_json(
        self, status: int, value: object, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete JSON response."""
        body = msgspec.json.encode(value)
        self.send_head(status, {"Content-Length": str(len(body)), **(headers or {})})
        self._write(body)

    def send_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of a response."""
        self._handler.send_response(status)
        if "Content-Type" not in headers:
            self._handler.send_header("Content-Type", "application/json")
        for name, value in {**self.extra_headers, **headers}.items():
            self._handler.send_header(name, value)
        self._handler.end_headers()

    def write(self, data: bytes) -> None:
        """Send bytes of the body without chunked encoding."""
        self._write(data)

    def write_chunk(self, data: bytes) -> None:
        """Send one chunk of a chunked body; an empty one ends the body."""
        self._write(b"%x\r\n%s\r\n" % (len(data), data))

    def abort(self) -> None:
        """Reset the connection."""
        self._handler.close_connection = True
        self._handler.server.abort(self._handler.connection)

    def client_disconnected(self) -> bool:
        """Return whether the client has closed the connection."""
        conn = self._handler.connection
        try:
            readable, _, _ = select.select([conn], [], [], 0)
            return bool(readable) and conn.recv(1, socket.MSG_PEEK) == b""
        except (OSError, ValueError):
            return True

    def _write(self, data: bytes) -> None:
        self._handler.wfile.write(data)
        self._handler.wfile.flush()


ExchangeHandler: TypeAlias = Callable[[Exchange], None]


class WholeHeadHandler(BaseHTTPRequestHandler):
    """Handler of requests that does not take a truncated head for a whole one."""

    def setup(self) -> None:
        """Wrap the reader, because `http.server` accepts a truncated head."""
        super().setup()
        self._reader = _LineReader(self.rfile)
        self.rfile = self._reader  # type: ignore[assignment]

    def parse_request(self) -> bool:
        """Reject a truncated head."""
        return super().parse_request() and self._reader.head_is_complete()


class RequestHandler(WholeHeadHandler):
    """Passes requests to the handler of the server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    server: "_HttpServer"

    def _handle(self) -> None:
        try:
            self.server.handle(Exchange(self))
        except (BrokenPipeError, ConnectionError):
            self.close_connection = True

    do_GET = do_HEAD = do_PUT = do_POST = do_DELETE = do_PATCH = _handle  # noqa: N815

    def log_message(self, *_: Any) -> None:
        """Log nothing, to keep standard error free of requests."""


class _HttpServer(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, ip: str, port: int, handle: ExchangeHandler) -> None:
        super().__init__((ip, port), RequestHandler)
        self.handle = handle
        self._open: set[socket.socket] = set()
        self._aborted: set[socket.socket] = set()
        self._lock = threading.Lock()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Track the connection, so that `abort_connections` can reset it."""
        with self._lock:
            self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close the connection, without a FIN if it is being reset."""
        with self._lock:
            self._open.discard(request)
            aborted = request in self._aborted
            self._aborted.discard(request)
        if aborted:
            self.close_request(request)
        else:
            super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore connection errors; report all others."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)

    def abort(self, conn: socket.socket) -> None:
        """Reset a connection."""
        with self._lock:
            self._aborted.add(conn)
        abort_socket(conn)

    def abort_connections(self) -> None:
        """Reset every open connection."""
        with self._lock:
            conns = tuple(self._open)
        for conn in conns:
            self.abort(conn)


class Server:
    """HTTP server on threads of this process.

    Parameters
    ----------
    ip : str
        Address to listen on.
    port : int
        Port to listen on; 0 chooses one that no other test process gets.
    handle : callable
        Handles one exchange and sends its response.
    """

    def __init__(self, ip: str, port: int, handle: ExchangeHandler) -> None:
        self._server = _HttpServer(ip, port or free_port(ip), handle)
        self.ip = ip
        self.port = int(self._server.server_address[1])
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.ip}:{self.port}"

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections and reset the open ones."""
        self._server.shutdown()
        self._server.server_close()
        self._server.abort_connections()
        self._thread.join()

    def abort_connections(self) -> None:
        """Reset every open connection."""
        self._server.abort_connections()


ControlHandler: TypeAlias = Callable[[Exchange], object]


class ControlServer:
    """Control port of a stand-in, with JSON calls by method and path.

    Parameters
    ----------
    ip, port
        Address and port to listen on.
    routes : mapping
        Functions by `METHOD /path`; each receives the exchange and returns the value
        to send as JSON.
    """

    error_status: ClassVar[int] = 400

    def __init__(
        self, ip: str, port: int, routes: Mapping[str, ControlHandler]
    ) -> None:
        self._routes = dict(routes)
        self._server = Server(ip, port, self._handle)
        self.url = self._server.url
        self.start = self._server.start
        self.stop = self._server.stop

    def _handle(self, exchange: Exchange) -> None:
        route = self._routes.get(f"{exchange.method} {exchange.path}")
        if route is None:
            exchange.send_json(404, {"calls": sorted(self._routes)})
            return
        try:
            value = route(exchange)
        except (msgspec.DecodeError, ValueError) as exc:
            exchange.send_json(self.error_status, {"error": str(exc)})
            return
        exchange.send_json(200, value)
