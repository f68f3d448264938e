"""Free TCP ports for the processes that tests and stand-ins start."""

import itertools
import os
import socket

FIRST_PORT = 10_000
PORT_COUNT = 20_000
PID_STRIDE = 997

_port_offsets = itertools.count(os.getpid() * PID_STRIDE)
_reservations: list[socket.socket] = []


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is neither bound nor reserved by another test process.

    Ports lie below the ephemeral range of the system, so that no outgoing connection
    uses the port between this call and the start of the process that listens on it.
    To reserve it against other test processes, the UDP port of the same number stays
    bound for the lifetime of this process.
    """
    while True:
        port = FIRST_PORT + next(_port_offsets) % PORT_COUNT
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind((ip, port))
            with socket.socket() as sock:
                sock.bind((ip, port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return port


def free_ports(count: int) -> list[int]:
    """Return distinct free ports."""
    return [free_port() for _ in range(count)]
