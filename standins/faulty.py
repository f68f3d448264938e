"""Upstream that injects the fault named in the `X-Fault` header of each request.

It keeps a ledger of its executions, against which tests check a router's responses.
"""

import argparse
import json
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from http.server import ThreadingHTTPServer

from standins.server import WholeHeadHandler

DELAY_SECONDS = 0.3
EVENT_COUNT = 5
EVENT_INTERVAL_SECONDS = 0.01
CUT_AFTER_EVENTS = 2
SLOTS = 64
LARGE_BODY_BYTES = 32 << 20
MAX_BLOCK_SECONDS = 30.0


class FaultName(Enum):
    """Fault to inject into the handling of a request."""

    NONE = "none"
    LATE = "late"
    WRONG_ID = "wrong-id"
    NO_ID = "no-id"
    CROSSED = "crossed"
    SHORT = "short"
    TWICE = "twice"
    CLOSE_BEFORE = "close-before"
    CLOSE_AFTER = "close-after"
    NO_LENGTH = "no-length"
    BAD_STATUS = "bad-status"
    ERROR = "error"
    CUT_STREAM = "cut-stream"
    CUT_STREAM_START = "cut-stream-start"
    CUT_CHUNKED = "cut-chunked"
    CHUNKED = "chunked"
    GAP = "gap"
    REPEAT = "repeat"
    NO_DONE = "no-done"
    HANG = "hang"
    FORGET = "forget"
    LARGE = "large"
    BLOCKED = "held"


@dataclass(frozen=True)
class Execution:
    """One execution of a request.

    Parameters
    ----------
    tag : str
        Request id with the attempt.
    path, key, echo : str
        Path, idempotency key and `X-Echo` header of the request.
    """

    tag: str
    path: str
    key: str
    echo: str


class Ledger:
    """Executed requests and received cancellations of the upstream."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._executions: list[Execution] = []
        self._fault_counts: Counter[str] = Counter()
        self.cancelled: list[str] = []

    def add(self, execution: Execution) -> None:
        """Record an execution."""
        with self._lock:
            self._executions.append(execution)

    def executions(self) -> tuple[Execution, ...]:
        """Return all executions."""
        with self._lock:
            return tuple(self._executions)

    def should_inject_fault(self, echo: str) -> bool:
        """Count a request by its `X-Echo` value; return True for the first of each."""
        with self._lock:
            self._fault_counts[echo] += 1
            return self._fault_counts[echo] == 1


class _Handler(WholeHeadHandler):
    protocol_version = "HTTP/1.1"
    server: "_Server"

    def log_message(self, *_: object) -> None:
        """Suppress the access log."""

    def _handle_request(self) -> None:
        self.tag = self.headers.get("Oleander-Request-Id", "")
        length = int(self.headers.get("Content-Length", "0"))
        body = self.rfile.read(length)
        if len(body) < length:
            self.close_connection = True
            return
        if self.path.startswith("/-/"):
            self._handle_control()
            return
        self.echo = self.headers.get("X-Echo", "")
        fault = FaultName(self.headers.get("X-Fault", self.server.default_fault.value))
        once_only = self.headers.get("X-Fault-Once", "") == "yes"
        if once_only and not self.server.ledger.should_inject_fault(self.echo):
            fault = FaultName.NONE
        if fault is FaultName.CLOSE_BEFORE:
            self._close_connection()
            return
        key = self.headers.get("Idempotency-Key", "")
        self.server.ledger.add(Execution(self.tag, self.path, key, self.echo))
        with self.server.count_running():
            self._execute(fault, body)

    do_GET = do_POST = do_PUT = _handle_request  # noqa: N815

    def _execute(self, fault: FaultName, body: bytes) -> None:
        streaming = b'"stream": true' in body or b'"stream":true' in body
        if streaming:
            self._send_stream(fault)
        else:
            self._send_whole_response(fault)

    def _handle_control(self) -> None:
        ledger = self.server.ledger
        action = self.path.split("/")[2].partition("?")[0]
        if action == "ledger":
            records = [vars(record) for record in ledger.executions()]
            self._send_response(json.dumps(records).encode())
        elif action == "cancel":
            ledger.cancelled.append(self.path.removeprefix("/-/cancel/"))
            self._send_response(b"{}")
        elif action == "resume":
            self._resume_stream()
        else:
            self._send_response(json.dumps(self.server.load_report()).encode())

    def _send_whole_response(self, fault: FaultName) -> None:
        body = json.dumps({"echo": self.echo, "pad": "x" * 200}).encode()
        if fault in (FaultName.CHUNKED, FaultName.CUT_CHUNKED):
            self._send_chunked(body, fault is FaultName.CUT_CHUNKED)
            return
        if fault is FaultName.LARGE:
            body = b"x" * LARGE_BODY_BYTES
        if fault is FaultName.HANG:
            time.sleep(DELAY_SECONDS * 20)
        if fault is FaultName.BLOCKED:
            self.server.released.wait(MAX_BLOCK_SECONDS)
        if fault is FaultName.LATE:
            time.sleep(DELAY_SECONDS)
        if fault is FaultName.CLOSE_AFTER:
            self._close_connection()
            return
        if fault is FaultName.CROSSED:
            body = json.dumps({"echo": "another caller's"}).encode()
        status = 500 if fault is FaultName.ERROR else 200
        self._send_response(body, fault, status)

    def _send_response(
        self, body: bytes, fault: FaultName = FaultName.NONE, status: int = 200
    ) -> None:
        tag = self.tag
        if fault in (FaultName.WRONG_ID, FaultName.CROSSED):
            tag = "0" * 32 + "/1"
        lines = [f"HTTP/1.1 {status} Fine", "Content-Type: application/json"]
        if fault is FaultName.BAD_STATUS:
            lines[0] = "HTTP/1.1 fine"
        if fault is not FaultName.NO_ID:
            lines.append(f"Oleander-Request-Id: {tag}")
        if fault is not FaultName.NO_LENGTH:
            lines.append(f"Content-Length: {len(body)}")
        lines.append("Oleander-Cost: 10")
        message = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        if fault is FaultName.SHORT:
            message = message[: -len(body) // 2]
        if fault is FaultName.TWICE:
            message += message
        self.wfile.write(message)
        if fault in (FaultName.SHORT, FaultName.NO_LENGTH, FaultName.BAD_STATUS):
            self._close_connection()

    def _close_connection(self) -> None:
        self.close_connection = True
        try:
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _send_head(self, content_type: str) -> None:
        self.send_response(200)
        self.send_header("Content-Type", content_type)
        self.send_header("Oleander-Request-Id", self.tag)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def _send_chunk(self, data: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def _send_chunked(self, body: bytes, cut: bool) -> None:
        self._send_head("application/json")
        self._send_chunk(body[:20])
        time.sleep(EVENT_INTERVAL_SECONDS)
        if cut:
            self._close_connection()
            return
        self._send_chunk(body[20:])
        self.wfile.write(b"0\r\n\r\n")

    def _send_stream(self, fault: FaultName) -> None:
        self.server.echoes[self.tag] = self.echo
        if fault is FaultName.FORGET:
            self.server.echoes.pop(self.tag)
        self._send_head("text/event-stream")
        cut_at = {
            FaultName.CUT_STREAM: CUT_AFTER_EVENTS,
            FaultName.FORGET: CUT_AFTER_EVENTS,
            FaultName.CUT_STREAM_START: 0,
        }.get(fault)
        for index in range(EVENT_COUNT):
            if index == cut_at:
                self._close_connection()
                return
            if fault is FaultName.GAP and index == CUT_AFTER_EVENTS:
                continue
            self._send_event(index)
            if fault is FaultName.REPEAT:
                self._send_event(index)
            time.sleep(
                DELAY_SECONDS if fault is FaultName.LATE else EVENT_INTERVAL_SECONDS
            )
        self._end_stream(fault is not FaultName.NO_DONE)

    def _send_event(self, index: int) -> None:
        data = {"index": index, "tokens": 2, "text": f"{self.echo}:{index} "}
        self._send_chunk(f"id: {index}\ndata: {json.dumps(data)}\n\n".encode())

    def _end_stream(self, done: bool) -> None:
        usage = {"usage": {"total_tokens": EVENT_COUNT * 2}}
        self._send_chunk(f"data: {json.dumps(usage)}\n\n".encode())
        if done:
            self._send_chunk(b"data: [DONE]\n\n")
        self.wfile.write(b"0\r\n\r\n")

    def _resume_stream(self) -> None:
        tag, _, first_index = self.path.removeprefix("/-/resume/").partition("?from=")
        echo = self.server.echoes.get(tag)
        if echo is None:
            self.send_error(404)
            return
        self.tag, self.echo = tag, echo
        self._send_head("text/event-stream")
        for index in range(int(first_index), EVENT_COUNT):
            self._send_event(index)
        self._end_stream(True)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(
        self, address: tuple[str, int], default_fault: FaultName = FaultName.NONE
    ) -> None:
        super().__init__(address, _Handler)
        self.default_fault = default_fault
        self.ledger = Ledger()
        self.echoes: dict[str, str] = {}
        self.released = threading.Event()
        self._lock = threading.Lock()
        self._running = 0

    def load_report(self) -> dict[str, float]:
        """Return the load report."""
        return {
            "running": self._running,
            "waiting": 0,
            "slots": SLOTS,
            "tokens_per_second": 0.0,
        }

    @contextmanager
    def count_running(self) -> Iterator[None]:
        """Count an execution as running within the context."""
        with self._lock:
            self._running += 1
        try:
            yield
        finally:
            with self._lock:
                self._running -= 1

    def handle_error(self, *_: object) -> None:
        """Ignore errors, as callers and proxies reset connections on purpose."""


class FaultyUpstream:
    """Faulty upstream that runs on a separate thread.

    Parameters
    ----------
    ip : str
        Address to listen on.
    port : int
        TCP port; 0 selects a free one.
    default_fault : FaultName
        Fault of requests without an `X-Fault` header.
    """

    def __init__(
        self,
        ip: str = "127.0.0.1",
        port: int = 0,
        default_fault: FaultName = FaultName.NONE,
    ) -> None:
        self._server = _Server((ip, port), default_fault)
        self.ledger = self._server.ledger
        self.url = f"http://{ip}:{self._server.server_address[1]}"
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        self._thread.start()

    def release(self) -> None:
        """Let blocked requests continue."""
        self._server.released.set()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


def main(argv: Sequence[str] | None = None) -> int:
    """Run the upstream until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args(argv)
    _Server((args.ip, args.port)).serve_forever()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
