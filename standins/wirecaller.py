"""Caller on a socket, which keeps the bytes of an answer and how it ended."""

import contextlib
import math
import socket
import time
from dataclasses import dataclass
from enum import Enum

READ_BYTES = 65_536
SLOW_READ_BYTES = 256
SLOW_READ_SECONDS = 0.03
SLOW_BUFFER_BYTES = 4096


class Ending(Enum):
    """How an answer ended at its caller.

    `STATED` by its length or last chunk, `CLOSED` by the end of a connection without
    any of them, in good order; both look complete. `CUT` by the connection's end before
    the end that its framing states, `RESET` by a reset, `LATE` when the caller's
    patience ended, `LEFT` when it left, and `NOTHING` before a whole head.
    """

    STATED = "stated"
    CLOSED = "closed"
    CUT = "cut"
    RESET = "reset"
    LATE = "late"
    LEFT = "left"
    NOTHING = "nothing"


COMPLETE_ENDINGS = (Ending.STATED, Ending.CLOSED)


class _LeftError(Exception):
    """The caller wants no more."""


class BadAnswerError(Exception):
    """Bytes that are no answer in the protocol."""


@dataclass(frozen=True)
class WireAnswer:
    """An answer as it arrived."""

    status: int
    headers: dict[str, str]
    body: bytes
    ending: Ending
    ended_at: float

    @property
    def is_complete(self) -> bool:
        """Return whether the answer looks whole."""
        return self.ending in COMPLETE_ENDINGS

    @property
    def seal(self) -> str:
        """Return the seal of the upstream; empty without one."""
        return self.headers.get("oleandershift-response-seal", "")


class WireConnection:
    """Connection of a caller.

    Parameters
    ----------
    ip : str
        Address of the gateway.
    port : int
        Port of the gateway.
    is_slow : bool
        Whether the caller reads slowly, from a small buffer.
    """

    def __init__(self, ip: str, port: int, is_slow: bool = False) -> None:
        self._conn = socket.socket()
        if is_slow:
            self._conn.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
            )
        self._conn.settimeout(2.0)
        self._conn.connect((ip, port))
        self._conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._is_slow = is_slow
        self._buffer = b""
        self._wanted_bytes = math.inf
        self._received_bytes = 0

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()

    def unasked_bytes(self) -> bytes:
        """Return the bytes that have arrived while no request waits."""
        self._conn.setblocking(False)
        with contextlib.suppress(OSError):
            self._buffer += self._conn.recv(READ_BYTES)
        return self._buffer

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        patience_seconds: float,
        protocol: str = "HTTP/1.1",
        wanted_bytes: float = math.inf,
    ) -> WireAnswer:
        """Send a request and read its answer to the end, or so much of its body."""
        late_at = time.monotonic() + patience_seconds
        fields = {**headers, "Content-Length": str(len(body))}
        lines = [f"{method} {path} {protocol}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        try:
            self._conn.settimeout(patience_seconds)
            self._conn.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        except OSError:
            return WireAnswer(0, {}, b"", Ending.NOTHING, time.monotonic())
        self._wanted_bytes, self._received_bytes = wanted_bytes, 0
        return self._read_answer(late_at)

    def _read_answer(self, late_at: float) -> WireAnswer:
        status, parts = 0, [b""]
        fields: dict[str, str] = {}
        try:
            while status < 200:
                status, fields = self._read_head(late_at)
            ending = self._read_body(fields, parts, late_at)
        except TimeoutError:
            ending = Ending.LATE
        except EOFError:
            ending = Ending.CUT
        except _LeftError:
            ending = Ending.LEFT
        except OSError:
            ending = Ending.RESET
        if status < 200:
            status, ending = 0, Ending.NOTHING
        return WireAnswer(status, fields, b"".join(parts), ending, time.monotonic())

    def _read_head(self, late_at: float) -> tuple[int, dict[str, str]]:
        while b"\r\n\r\n" not in self._buffer:
            self._fill(late_at)
        raw, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        first, *lines = raw.decode("latin-1").split("\r\n")
        if not first.startswith("HTTP/1.") or not first[9:12].isdigit():
            raise BadAnswerError(repr(raw[:80]))
        pairs = (line.partition(":") for line in lines)
        return int(first[9:12]), {k.lower(): v.strip() for k, _, v in pairs}

    def _read_body(
        self, fields: dict[str, str], parts: list[bytes], late_at: float
    ) -> Ending:
        if fields.get("transfer-encoding") == "chunked":
            self._read_chunks(parts, late_at)
        elif "content-length" in fields:
            self._read_exactly(int(fields["content-length"]), parts, late_at)
        else:
            self._read_to_end(parts, late_at)
            return Ending.CLOSED
        return Ending.STATED

    def _read_chunks(self, parts: list[bytes], late_at: float) -> None:
        while True:
            size_text = self._read_line(late_at).partition(b";")[0]
            try:
                size = int(size_text, 16)
            except ValueError:
                raise BadAnswerError(f"chunk of {size_text[:40]!r}") from None
            if not size:
                while self._read_line(late_at):
                    pass
                return
            self._read_exactly(size, parts, late_at)
            if self._read_line(late_at):
                raise BadAnswerError("chunk without its end")

    def _read_line(self, late_at: float) -> bytes:
        while b"\r\n" not in self._buffer:
            self._fill(late_at)
        line, _, self._buffer = self._buffer.partition(b"\r\n")
        return line

    def _read_exactly(self, size: int, parts: list[bytes], late_at: float) -> None:
        while size:
            if not self._buffer:
                self._fill(late_at)
            part, self._buffer = self._buffer[:size], self._buffer[size:]
            parts.append(part)
            size -= len(part)

    def _read_to_end(self, parts: list[bytes], late_at: float) -> None:
        while True:
            parts.append(self._buffer)
            self._buffer = b""
            try:
                self._fill(late_at)
            except EOFError:
                return

    def _fill(self, late_at: float) -> None:
        """Read more bytes.

        Raises
        ------
        EOFError
            If the connection has ended in good order.
        OSError
            If it was reset, or the caller's patience ends.
        """
        if self._received_bytes >= self._wanted_bytes:
            raise _LeftError
        left = late_at - time.monotonic()
        if left <= 0:
            raise TimeoutError
        if self._is_slow:
            time.sleep(SLOW_READ_SECONDS)
        self._conn.settimeout(left)
        data = self._conn.recv(SLOW_READ_BYTES if self._is_slow else READ_BYTES)
        if not data:
            raise EOFError
        self._buffer += data
        self._received_bytes += len(data)
