"""Looks at what a connection has received without reading it."""

import asyncio
import socket


def peek(transport: asyncio.Transport) -> bytes | None:
    """Return the next unread byte, nothing if the other side has closed, else None."""
    if transport.is_closing():
        return b""
    fileno = transport.get_extra_info("socket").fileno()
    # The transport's own socket object does not allow reading.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fileno)
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except ConnectionError:
        return b""
    finally:
        sock.detach()
