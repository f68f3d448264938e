"""Listening sockets that accept connections in batches."""

import asyncio
import select
import socket
from collections.abc import Callable

from oleandershift.io.decisionlog import DecisionLog
from oleandershift.vmsettings import Address

RETRY_SECONDS = 0.1
"""Pause after a failed accept. It fails again while no descriptor is free."""


class Listener:
    """Accepts the connections that wait in the queue of a listening socket.

    The event loop's own servers accept one connection an iteration (libuv since 1.47).
    Where an iteration takes long, the queue overflows and callers leave it unserved.

    Parameters
    ----------
    address : Address
        Address to listen on.
    factory : callable
        Returns the protocol of a new connection.
    log : DecisionLog
        Receives failed accepts.
    backlog : int
        Length of the queue.
    max_batch : int
        Connections that are accepted in one iteration of the loop.

    Attributes
    ----------
    accepted_count : int
        Connections accepted so far.
    """

    def __init__(
        self,
        address: Address,
        factory: Callable[[], asyncio.Protocol],
        log: DecisionLog,
        backlog: int,
        max_batch: int,
    ) -> None:
        self._address = address
        self._factory = factory
        self._log = log
        self._backlog = backlog
        self._max_batch = max_batch
        self._socket: socket.socket | None = None
        self._retry: asyncio.TimerHandle | None = None
        self._opening: set[asyncio.Task[None]] = set()
        self.accepted_count = 0

    @property
    def opening_count(self) -> int:
        """Return the number of accepted connections that have no protocol yet."""
        return len(self._opening)

    def has_waiting(self) -> bool:
        """Return whether connections wait to be accepted."""
        if self._socket is None:
            return False
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return bool(poller.poll(0))

    def open(self) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            When the address is not available.
        """
        self._socket = socket.create_server(
            (self._address.host, self._address.port), backlog=self._backlog
        )
        self._socket.setblocking(False)
        self._resume()

    def close(self) -> None:
        """Accept the connections that wait already, and stop listening."""
        if self._socket is None:
            return
        while self._accept_batch():
            pass
        self._pause()
        self._socket.close()
        self._socket = None

    def _resume(self) -> None:
        assert self._socket is not None
        self._retry = None
        asyncio.get_running_loop().add_reader(self._socket, self._accept_batch)

    def _pause(self) -> None:
        assert self._socket is not None
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        asyncio.get_running_loop().remove_reader(self._socket)

    def _accept_batch(self) -> bool:
        """Accept connections; return whether more may wait."""
        assert self._socket is not None
        for _ in range(self._max_batch):
            try:
                conn, _ = self._socket.accept()
            except BlockingIOError:
                return False
            except ConnectionAbortedError:
                continue
            except OSError as exc:
                self._on_failure(exc)
                return False
            self.accepted_count += 1
            conn.setblocking(False)
            self._start(conn)
        return True

    def _start(self, conn: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._open_connection(conn))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open_connection(self, conn: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._factory, conn)
        except OSError as exc:
            conn.close()
            self._log.warning("connection.not-opened", error=str(exc))

    def _on_failure(self, exc: OSError) -> None:
        """Wait a moment, as the socket stays readable while accepting fails."""
        address = f"{self._address.host}:{self._address.port}"
        self._log.warning("connection.not-accepted", address=address, error=str(exc))
        self._pause()
        self._retry = asyncio.get_running_loop().call_later(RETRY_SECONDS, self._resume)
