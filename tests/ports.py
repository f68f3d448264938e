"""Free TCP ports for processes that tests start."""

import itertools
import os
import socket

FIRST_PORT = 10_000
PORTS = 20_000
STRIDE = 997

_next = itertools.count(os.getpid() * STRIDE)
_reserved: list[socket.socket] = []


def free_port() -> int:
    """Return a port that nothing is bound to.

    Ports lie below the range that the system gives to outgoing connections, so that
    none is taken between this call and the start of the process that is to have it.
    The port stays bound, without listening, until this process ends: other test
    processes find it taken, but a server that reuses addresses can listen on it.
    """
    while True:
        port = FIRST_PORT + next(_next) % PORTS
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            continue
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _reserved.append(sock)
        return port


def free_ports(count: int) -> list[int]:
    """Return distinct free ports."""
    return [free_port() for _ in range(count)]
