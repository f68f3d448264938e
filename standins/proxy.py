"""TCP proxy that injects faults."""

import argparse
import contextlib
import socket
import threading
from enum import Enum

import msgspec

from standins.ports import free_port
from standins.process import run_until_stopped
from standins.proxy_faults import (
    CutStage,
    CutStyle,
    FaultSelector,
    ProxyFaults,
    ProxyMode,
)
from standins.server import ControlServer, Exchange, abort_socket

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.02


class ProxyCounters(msgspec.Struct, frozen=True):
    """Connections (accepted and cut so far, open now) and bytes per direction."""

    accepted: int
    open: int
    cut: int
    to_server_bytes: int
    to_client_bytes: int


class _Direction(Enum):
    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


_HOLDING_MODES = {
    _Direction.TO_SERVER: {ProxyMode.DROP_TO_SERVER, ProxyMode.BLACK_HOLE},
    _Direction.TO_CLIENT: {ProxyMode.DROP_TO_CLIENT, ProxyMode.BLACK_HOLE},
}
_CUT_STAGES = {
    _Direction.TO_SERVER: {CutStage.MID_REQUEST},
    _Direction.TO_CLIENT: {CutStage.AFTER_REQUEST, CutStage.MID_RESPONSE},
}


class _Connection:
    """Forwards the bytes of one connection both ways, subject to the faults."""

    def __init__(
        self, number: int, client: socket.socket, selector: FaultSelector
    ) -> None:
        self.number = number
        self.forwarded_bytes = dict.fromkeys(_Direction, 0)
        self.was_cut = False
        self.closed = threading.Event()
        self.is_silent = False
        self._client = client
        self._server: socket.socket | None = None
        self._selector = selector

    def run(self, target: tuple[str, int]) -> None:
        """Connect to the server and forward bytes until both directions have ended."""
        if self._should_cut_at(CutStage.BEFORE_CONNECT):
            self.cut()
            return
        try:
            server = socket.create_connection(target, CONNECT_TIMEOUT_SECONDS)
        except OSError:
            self.cut()
            return
        server.settimeout(None)
        self._server = server
        if self._should_cut_at(CutStage.AFTER_CONNECT):
            self.cut()
            return
        to_client = threading.Thread(
            target=self._forward,
            args=(server, self._client, _Direction.TO_CLIENT),
            daemon=True,
        )
        to_client.start()
        self._forward(self._client, server, _Direction.TO_SERVER)
        to_client.join()
        if not self.closed.is_set():
            self._close()

    def cut(self) -> None:
        """Cut the connection in the configured style, by FIN or RST."""
        self.was_cut = True
        if self._selector.faults_for(self.number).style is CutStyle.FINISH:
            self._close()
        else:
            self._reset()

    def _reset(self) -> None:
        self.closed.set()
        for conn in self._sockets():
            abort_socket(conn)
            conn.close()

    def _sockets(self) -> tuple[socket.socket, ...]:
        return (self._client,) if self._server is None else (self._client, self._server)

    def _close(self) -> None:
        self.closed.set()
        for conn in self._sockets():
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
            conn.close()

    def _should_cut_at(self, stage: CutStage) -> bool:
        faults = self._selector.faults_for(self.number)
        return faults.mode is ProxyMode.CUT and faults.stage is stage

    def _forward(
        self, source: socket.socket, sink: socket.socket, direction: _Direction
    ) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                self._delay()
                self._wait_while_held(direction)
                if not self._forward_chunk(data, sink, direction):
                    return
            self._wait_while_held(direction)
            if not self.closed.is_set():
                sink.shutdown(socket.SHUT_WR)
        except ConnectionResetError:
            # A close in good order would look like the end of an answer.
            if not self.closed.is_set():
                self._reset()
        except OSError:
            if not self.closed.is_set():
                self._close()

    def _delay(self) -> None:
        self.closed.wait(self._selector.faults_for(self.number).delay_seconds)

    def _wait_while_held(self, direction: _Direction) -> None:
        while (
            self.is_silent
            or self._selector.faults_for(self.number).mode in _HOLDING_MODES[direction]
        ):
            if self.closed.wait(POLL_INTERVAL_SECONDS):
                return

    def _forward_chunk(
        self, data: bytes, sink: socket.socket, direction: _Direction
    ) -> bool:
        faults = self._selector.faults_for(self.number)
        is_cut = faults.mode is ProxyMode.CUT and faults.stage in _CUT_STAGES[direction]
        is_half_closed = (
            faults.mode is ProxyMode.HALF_CLOSE and direction is _Direction.TO_SERVER
        )
        is_limited = is_cut or is_half_closed
        remaining = faults.after_bytes - self.forwarded_bytes[direction]
        if faults.stage is CutStage.AFTER_REQUEST and is_cut:
            remaining = 0
        allowed = data[: max(remaining, 0)] if is_limited else data
        sink.sendall(allowed)
        self.forwarded_bytes[direction] += len(allowed)
        if not is_limited or len(allowed) == len(data):
            return True
        if is_cut:
            self.cut()
        else:
            sink.shutdown(socket.SHUT_WR)
        return False


class Proxy:
    """TCP proxy in front of one server, on threads of this process.

    Parameters
    ----------
    target_ip, target_port
        Address and port of the server.
    ip : str
        Address to listen on.
    port, control_port : int
        Ports to listen on; 0 chooses a free one.
    """

    def __init__(
        self,
        target_ip: str,
        target_port: int,
        ip: str = "127.0.0.1",
        port: int = 0,
        control_port: int = 0,
    ) -> None:
        self._target = (target_ip, target_port)
        self._selector = FaultSelector()
        self._lock = threading.Lock()
        self._connections: list[_Connection] = []
        self._closed_totals = ProxyCounters(0, 0, 0, 0, 0)
        self._accepted = 0
        address = (ip, port or free_port(ip))
        self._listener = socket.create_server(address, backlog=1024)
        self.ip = ip
        self.port = int(self._listener.getsockname()[1])
        self.url = f"http://{ip}:{self.port}"
        routes = {
            "GET /counters": lambda _: self.counters(),
            "GET /faults": lambda _: self._selector.current,
            "PUT /faults": self._put_faults,
            "POST /cut": lambda _: self.cut_all(),
        }
        self._control = ControlServer(ip, control_port, routes)
        self.control_url = self._control.url
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._accept, daemon=True)

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()
        self._control.start()

    def stop(self) -> None:
        """Stop accepting connections and cut the open ones."""
        self.refuse()
        self.cut_all()
        self._control.stop()

    def refuse(self) -> None:
        """Accept no more connections, as if the server had ended."""
        self._closing.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def accept_again(self) -> None:
        """Accept connections again, at the same address."""
        self._listener = socket.create_server((self.ip, self.port), backlog=1024)
        self._closing.clear()
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Replace the active faults."""
        self._selector.set_faults(faults, self._accepted)

    def cut_all(self) -> None:
        """Cut every open connection."""
        with self._lock:
            conns = tuple(self._connections)
        for conn in conns:
            conn.cut()

    def silence_all(self) -> None:
        """Forward nothing more on the open connections, and do not close them."""
        with self._lock:
            conns = tuple(self._connections)
        for conn in conns:
            conn.is_silent = True

    def counters(self) -> ProxyCounters:
        """Return the current counters."""
        with self._lock:
            conns = tuple(self._connections)
            closed_totals = self._closed_totals
        return ProxyCounters(
            self._accepted,
            len(conns),
            closed_totals.cut,
            closed_totals.to_server_bytes
            + sum(conn.forwarded_bytes[_Direction.TO_SERVER] for conn in conns),
            closed_totals.to_client_bytes
            + sum(conn.forwarded_bytes[_Direction.TO_CLIENT] for conn in conns),
        )

    def _put_faults(self, exchange: Exchange) -> None:
        self.set_faults(msgspec.json.decode(exchange.body, type=ProxyFaults))

    def _accept(self) -> None:
        while not self._closing.is_set():
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            self._accepted += 1
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn = _Connection(self._accepted, client, self._selector)
            with self._lock:
                self._connections.append(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: _Connection) -> None:
        conn.run(self._target)
        with self._lock:
            self._connections.remove(conn)
            closed_totals = self._closed_totals
            self._closed_totals = ProxyCounters(
                0,
                0,
                closed_totals.cut + conn.was_cut,
                closed_totals.to_server_bytes
                + conn.forwarded_bytes[_Direction.TO_SERVER],
                closed_totals.to_client_bytes
                + conn.forwarded_bytes[_Direction.TO_CLIENT],
            )


def main() -> int:
    """Run the proxy until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser("standins.proxy", description=__doc__)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--target-ip", required=True)
    parser.add_argument("--target-port", type=int, required=True)
    cfg = parser.parse_args()
    proxy = Proxy(cfg.target_ip, cfg.target_port, cfg.ip, cfg.port, cfg.control_port)
    print(f"control port at {proxy.control_url}", flush=True)
    run_until_stopped(proxy)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
