"""Free addresses and TCP ports for the processes that tests and stand-ins start."""

import itertools
import os
import socket

FIRST_PORT = 10_000
PORT_COUNT = 20_000
PID_STRIDE = 997
HOSTS_PER_SUBNET = 250
RESERVATION_PORT = 9
"""UDP port that reserves an IP address; no process of a fleet uses it."""

_port_offsets = itertools.count(os.getpid() * PID_STRIDE)
_host_offsets = itertools.count(os.getpid() * PID_STRIDE)
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


def free_ip(network: str) -> str:
    """Return a loopback address of which no other test process uses any port.

    Processes that listen on fixed ports need an address of their own. It is reserved as
    the ports are, for the lifetime of this process.

    Parameters
    ----------
    network : str
        First two numbers of the address.
    """
    for _ in range(HOSTS_PER_SUBNET**2):
        subnet, host = divmod(next(_host_offsets), HOSTS_PER_SUBNET)
        ip = f"{network}.{subnet % HOSTS_PER_SUBNET}.{host + 1}"
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind((ip, RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return ip
    raise OSError(f"no address of {network} is free")


def is_listening(ip: str, port: int) -> bool:
    """Return whether a server accepts connections at an address."""
    with socket.socket() as probe:
        return probe.connect_ex((ip, port)) == 0
