"""What the kernel does with a connection when its socket is closed."""

import socket
import struct

_OFF = struct.pack("ii", 0, 0)
_ZERO = struct.pack("ii", 1, 0)


def reset_on_close(sock: socket.socket) -> None:
    """Let a close reset the connection, also that of a killed process."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO)


def end_on_close(sock: socket.socket) -> None:
    """Let a close end the connection in good order, once all bytes are sent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _OFF)
