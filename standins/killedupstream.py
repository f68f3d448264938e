"""Upstream process that is killed in the middle of its first answer.

Its answers have no length and no chunks, so that each ends with its connection. The
kernel closes the connections of a killed process in good order.
"""

import argparse
import os
import signal
import socketserver
import sys
import time
from collections.abc import Sequence

from standins.modelengine import ATTEMPT_HEADER, SEAL_HEADER

BODY = b"the whole body of an answer"


def event(number: int, attempt: bytes) -> bytes:
    """Return one event of a stream, as `ModelEngine` sends it."""
    return b"id: %d\ndata: %b\n\n" % (number, attempt)


class _Handler(socketserver.StreamRequestHandler):
    server: "KilledUpstream"

    def handle(self) -> None:
        """Send the beginning of an answer, and end the process without a last word."""
        target = self.rfile.readline().split(b" ")[1]
        fields = {}
        while line := self.rfile.readline().strip():
            name, _, value = line.partition(b":")
            fields[name.lower()] = value.strip()
        self.rfile.read(int(fields.get(b"content-length", b"0")))
        attempt = fields[ATTEMPT_HEADER.lower().encode()]
        self.wfile.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n%b: %b\r\n%b: killed.%b\r\n\r\n"
            % (ATTEMPT_HEADER.encode(), attempt, SEAL_HEADER.encode(), attempt)
        )
        if b"/stream/" in target:
            for number in range(1, self.server.events + 1):
                self.wfile.write(event(number, attempt))
        else:
            self.wfile.write(BODY[: len(BODY) // 2])
        time.sleep(self.server.pause_seconds)
        if self.server.exit_seconds:
            self.connection.close()
            self.wfile.close()
            self.rfile.close()
            time.sleep(self.server.exit_seconds)
        os.kill(os.getpid(), signal.SIGKILL)


class KilledUpstream(socketserver.TCPServer):
    """Server of an upstream process that is killed.

    Parameters
    ----------
    port : int
        Port on the loopback address.
    events : int
        Number of events of a stream before the end.
    pause_seconds : float
        Time from the last event to the end, seconds.
    exit_seconds : float
        Time for which it accepts connections after the one of the answer has ended.
    """

    allow_reuse_address = True

    def __init__(
        self, port: int, events: int, pause_seconds: float, exit_seconds: float
    ) -> None:
        self.events = events
        self.pause_seconds = pause_seconds
        self.exit_seconds = exit_seconds
        super().__init__(("127.0.0.1", port), _Handler)


class _OneProcess(socketserver.ThreadingMixIn, KilledUpstream):
    """Answers in the process that listens, which is killed as a whole."""


class _Workers(socketserver.ForkingMixIn, KilledUpstream):
    """Answers in processes of their own, of which only one is killed."""


def main(argv: Sequence[str] | None = None) -> int:
    """Serve until the end."""
    parser = argparse.ArgumentParser("standins.killedupstream", description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--events", type=int, default=2, help="before the end")
    parser.add_argument("--pause-seconds", type=float, default=0.05)
    parser.add_argument("--exit-seconds", type=float, default=0.0)
    parser.add_argument("--workers", action="store_true", help="kill a worker only")
    cfg = parser.parse_args(argv)
    make = _Workers if cfg.workers else _OneProcess
    with make(cfg.port, cfg.events, cfg.pause_seconds, cfg.exit_seconds) as server:
        server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
