"""Free TCP ports for processes that tests and stand-ins start."""

import itertools
import os
import socket

FIRST_PORT = 10_000
PORT_COUNT = 20_000
PID_STRIDE = 997

_next = itertools.count(os.getpid() * PID_STRIDE)
_reservations: list[socket.socket] = []


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that nothing is bound to and no other test process was given.

    Ports lie below the range that the system gives to outgoing connections, so that
    none is taken between this call and the start of the process that is to have it.
    The UDP port of the same number stays bound for the life of the test process, as a
    mark that other test processes see.
    """
    while True:
        port = FIRST_PORT + next(_next) % PORT_COUNT
        mark = socket.socket(type=socket.SOCK_DGRAM)
        try:
            mark.bind((ip, port))
            with socket.socket() as sock:
                sock.bind((ip, port))
        except OSError:
            mark.close()
            continue
        _reservations.append(mark)
        return port


def free_ports(count: int) -> list[int]:
    """Return distinct free ports."""
    return [free_port() for _ in range(count)]
