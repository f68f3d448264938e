"""Upstreams that send the bytes of a script, and calls to a gateway before them."""

import asyncio
import contextlib
import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterable
from enum import Enum, auto
from pathlib import Path

import uvloop
from gateways import running

from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.gateway import Gateway
from oleandershift.io.lingering import reset_on_close
from oleandershift.vmsettings import VmSettings
from standins.gateway_fleet import (
    METRICS_PORT,
    GatewayResponse,
    call_on,
    configuration,
)
from standins.metastore import MetaStore
from standins.registration import registration

NAMES = ("e1", "e2")
TIMEOUT_SECONDS = 10.0
EVENTS = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: c\n\n"
EVENT_STREAM = b"Content-Type: text/event-stream"
CHUNKED = b"Transfer-Encoding: chunked"


class End(Enum):
    """What an upstream does with the connection after its bytes.

    With `EXIT` it also accepts no more connections, as its process has ended.
    """

    KEEP = auto()
    CLOSE = auto()
    HALF_CLOSE = auto()
    RESET = auto()
    EXIT = auto()


Script = Callable[[bytes, int | None], tuple[bytes | Iterable[bytes | float], End]]
"""Returns the bytes for an attempt, given its id and the `Last-Event-Id`: at once, or
in parts with pauses in seconds between them; and what follows them."""


def head_of(attempt: bytes, *fields: bytes) -> bytes:
    """Return the head of a successful answer to an attempt."""
    lines = (
        b"HTTP/1.1 200 OK",
        b"Oleandershift-Attempt-Id: " + attempt,
        b"Oleandershift-Response-Seal: seal",
        *fields,
    )
    return b"\r\n".join(lines) + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk; the last one for no data."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream(attempt: bytes, first: int = 0, events: tuple[bytes, ...] = EVENTS) -> bytes:
    """Return a whole stream of events in chunks, from one of them on."""
    head = head_of(attempt, EVENT_STREAM, CHUNKED)
    return head + b"".join(map(chunk, events[first:])) + chunk(b"")


class ScriptedUpstream:
    """Sends the bytes that a script gives for each request.

    Parameters
    ----------
    script : callable
        Returns what is sent for an attempt, and what happens then.

    Attributes
    ----------
    received : list of tuple
        Attempt id and `Last-Event-Id` of each request, None if there is none.
    """

    def __init__(self, script: Script) -> None:
        self._script = script
        self._server = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._server.getsockname()[1]
        self.received: list[tuple[bytes, int | None]] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        with contextlib.suppress(OSError):
            # Wakes the thread that accepts, which keeps the socket open.
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        conn.settimeout(TIMEOUT_SECONDS)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with conn, conn.makefile("rb") as reader:
                while (fields := _read_request(reader)) is not None:
                    attempt = fields.get(b"oleandershift-attempt-id", b"")
                    last_event = fields.get(b"last-event-id")
                    number = None if last_event is None else int(last_event)
                    self.received.append((attempt, number))
                    parts, end = self._script(attempt, number)
                    _send(conn, parts)
                    if end is End.KEEP:
                        continue
                    if end is End.HALF_CLOSE:
                        conn.shutdown(socket.SHUT_WR)
                        conn.recv(1)
                    if end is End.EXIT:
                        self.close()
                    if end is End.RESET:
                        reset_on_close(conn)
                    return
        except OSError:
            return


def _send(conn: socket.socket, parts: bytes | Iterable[bytes | float]) -> None:
    for part in [parts] if isinstance(parts, bytes) else parts:
        if isinstance(part, bytes):
            conn.sendall(part)
        else:
            time.sleep(part)


def _read_request(reader) -> dict[bytes, bytes] | None:
    """Return the header fields of the next request; None at the end."""
    if not reader.readline():
        return None
    fields = {}
    while line := reader.readline().strip():
        name, _, value = line.partition(b":")
        fields[name.lower()] = value.strip()
    reader.read(int(fields.get(b"content-length", b"0")))
    return fields


def play(
    store: MetaStore,
    settings_path: Path,
    vm_settings: VmSettings,
    script: Script,
    calls: Callable[[], None],
) -> list[tuple[bytes, int | None]]:
    """Play calls against scripted upstreams; return the requests they received."""
    upstreams = [ScriptedUpstream(script) for _ in NAMES]
    store.put("config", "main", configuration(1))
    for name, upstream in zip(NAMES, upstreams, strict=True):
        entry = registration(f"127.0.0.1:{upstream.port}", born_ms=1)
        store.put("servers", name, entry)
    log = DecisionLog(vm_settings.vm, "ERROR")
    gateway = Gateway(vm_settings, settings_path, METRICS_PORT, log)

    async def serve() -> None:
        async with running(gateway, vm_settings):
            await asyncio.to_thread(calls)

    try:
        uvloop.run(serve())
    finally:
        for upstream in upstreams:
            upstream.close()
    return [item for upstream in upstreams for item in upstream.received]


def call(
    vm_settings: VmSettings, path: str, attempt: str, **headers: str
) -> GatewayResponse | None:
    """Call a gateway on a new connection; None if it closes without an answer."""
    address = vm_settings.caller_address
    conn = http.client.HTTPConnection(address.host, address.port, TIMEOUT_SECONDS)
    try:
        return call_on(conn, path, attempt, **headers)
    except http.client.HTTPException:
        return None
    finally:
        conn.close()
