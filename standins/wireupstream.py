"""Upstream that runs as a process of its own and writes its answers byte by byte.

It frames, splits and ends its answers in all ways that the protocol allows, drawn from
its seed and the attempt, and records what it made. SIGKILL ends it as any process: its
kernel closes the connections.
"""

import argparse
import itertools
import random
import socket
import threading
import time
from pathlib import Path
from typing import Any, BinaryIO, NamedTuple

import msgspec

from oleandershift.io.lingering import reset_on_close
from standins.wireanswers import (
    LAST_CHUNK,
    Close,
    Extra,
    Framing,
    Split,
    draw_style,
    framed,
    framing_fields,
    segments,
)
from standins.wirerecord import PieceMade, RunBegun, RunEnd, RunEnded, WireRecord

IDLE_SECONDS = 10.0
PLAIN_SECONDS = 0.045
HALF_CLOSED_SECONDS = 2.0
MAX_EXTRA_SECONDS = 0.3
MAX_PART_SECONDS = 0.05
"""Longest pause between the parts of a plain answer."""

NEW_WEIGHTS_FRACTION = 0.01
"""Fraction of the events at which the weights' version changes."""

LEAVE_FRACTION = 0.3
"""Fraction of the connections kept that end while they are idle."""


class Work(msgspec.Struct, frozen=True):
    """What a caller asks for, in the body of its request.

    Parameters
    ----------
    stream : str
        Name of the stream; empty for a plain answer.
    pieces : int
        Events of the stream, or bytes of the plain answer.
    padding : int
        Bytes that are appended to each event.
    """

    stream: str = ""
    pieces: int = 800
    padding: int = 20


class Request(NamedTuple):
    """Request as it arrived."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self) -> str:
        """Return the attempt id."""
        return self.headers.get("oleandershift-attempt-id", "")


def event(run: str, work: Work, number: int) -> bytes:
    """Return an event, which names its run, its stream and its place."""
    padding = "x" * work.padding
    text = f"id: {number}\ndata: {run} {work.stream} {number}/{work.pieces} {padding}"
    return text.encode() + b"\n\n"


class WireUpstream:
    """Upstream on sockets, with a thread for each connection.

    Parameters
    ----------
    cfg : argparse.Namespace
        Command line.
    """

    def __init__(self, cfg: argparse.Namespace) -> None:
        self._cfg = cfg
        self._record = WireRecord(cfg.record)
        self._serials = itertools.count(1)
        self._slots = threading.Semaphore(cfg.slots)
        self._listener = socket.create_server(("127.0.0.1", cfg.port), backlog=512)

    def serve(self) -> None:
        """Serve connections for ever."""
        while True:
            conn, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.settimeout(IDLE_SECONDS)
        try:
            with conn, conn.makefile("rb") as reader:
                while (req := read_request(reader)) is not None:
                    if not self._answer(conn, req):
                        return
        except (OSError, ValueError):
            return

    def _answer(self, conn: socket.socket, req: Request) -> bool:
        """Answer a request; return whether the connection is kept."""
        cfg = self._cfg
        expected = req.headers.get("oleandershift-expect-instance", cfg.name)
        if req.path == "/healthz":
            return send_json(conn, 200, {"Oleandershift-Instance-Id": cfg.name})
        if expected != cfg.name:
            return send_json(conn, 421, {"Oleandershift-Attempt-Id": req.attempt_id})
        if not self._slots.acquire(blocking=False):
            fields = {"Oleandershift-Not-Executed": "1"}
            return send_json(
                conn, 503, {**fields, "Oleandershift-Attempt-Id": req.attempt_id}
            )
        try:
            return self._run(conn, req)
        finally:
            self._slots.release()

    def _run(self, conn: socket.socket, req: Request) -> bool:
        cfg = self._cfg
        rng = random.Random(f"{cfg.seed}-{cfg.life}-{req.attempt_id}")
        name = f"{cfg.name}.{cfg.life}.{next(self._serials)}"
        work = msgspec.json.decode(req.body, type=Work) if req.body else Work()
        answer = Answer(cfg, self._record, conn, req, work, name, rng)
        return answer.send()


class Answer:
    """One answer on its way.

    Parameters
    ----------
    cfg : argparse.Namespace
        Command line of the upstream.
    record : WireRecord
        Record of the upstream.
    conn : socket.socket
        Connection of the request.
    req : Request
        Request.
    work : Work
        What it asks for.
    run : str
        Name of the run.
    rng : random.Random
        Source of the draws.
    """

    def __init__(
        self,
        cfg: argparse.Namespace,
        record: WireRecord,
        conn: socket.socket,
        req: Request,
        work: Work,
        run: str,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._record = record
        self._conn = conn
        self._req = req
        self._work = work
        self._run = run
        self._rng = rng
        self._style = draw_style(rng)
        self._first = int(req.headers.get("last-event-id", 0)) + 1
        self._status = 200
        self._pieces = self._make_pieces()
        self._size = sum(map(len, self._pieces))
        self._allowed, self._is_cut_in_event = self._draw_cut()

    def send(self) -> bool:
        """Send the answer; return whether the connection is kept."""
        self._record_begin()
        try:
            self._send()
        except OSError:
            self._record_end(RunEnd.GONE)
            return False
        is_cut = self._style.cut_fraction is not None
        if is_cut and self._style.is_stated_end and not self._is_cut_in_event:
            self._record_end(RunEnd.STATED)
        else:
            self._record_end(RunEnd.CUT if is_cut else RunEnd.FINISHED)
        return self._close()

    def _make_pieces(self) -> list[bytes]:
        work = self._work
        if work.stream:
            numbers = range(self._first, work.pieces + 1)
            return [
                self._weights_line() + event(self._run, work, number)
                for number in numbers
            ]
        if self._rng.random() < 0.02:
            self._status = 500
        text = f"{self._run} ran {self._req.attempt_id} "
        body = (text + "y" * work.pieces)[: work.pieces].encode()
        at = self._rng.randrange(len(body))
        return [part for part in (body[:at], body[at:]) if part]

    def _weights_line(self) -> bytes:
        """Return the first line of an event at which the weights change, or none."""
        if self._rng.random() >= NEW_WEIGHTS_FRACTION:
            return b""
        return b"oleandershift-weight-versions: %d\n" % self._rng.randrange(1, 9)

    def _draw_cut(self) -> tuple[int, bool]:
        """Return the bytes to write, and whether they end within an event."""
        cut = self._style.cut_fraction
        if cut is None:
            return self._size, False
        allowed = int(self._size * cut)
        if not self._work.stream:
            return allowed, False
        ends = list(itertools.accumulate(map(len, self._pieces), initial=0))
        if self._rng.random() < 0.5:
            allowed = max(end for end in ends if end <= allowed)
        return allowed, allowed not in ends

    def _record_begin(self) -> None:
        req, work = self._req, self._work
        body = "" if work.stream else b"".join(self._pieces).decode()
        style = self._style
        self._record.write(
            RunBegun(
                self._run,
                req.attempt_id,
                req.path,
                work.stream,
                self._first,
                work.pieces if work.stream else 0,
                self._cfg.version,
                self._status,
                body,
                f"{style.framing.value} {style.split.value} {style.close.value}",
                time.monotonic(),
            )
        )

    def _record_end(self, end: RunEnd) -> None:
        self._record.write(RunEnded(self._run, end, time.monotonic()))

    def _send(self) -> None:
        pause = self._cfg.pause if self._work.stream else PLAIN_SECONDS
        time.sleep(pause)
        head = self._head()
        if self._rng.random() < 0.5:
            self._write(head)
            head = b""
        left = self._allowed
        waiting = head
        for at, piece in enumerate(self._pieces):
            if left <= 0 and self._style.cut_fraction is not None:
                break
            if self._work.stream:
                number = self._first + at
                self._record.write(PieceMade(self._run, number, time.monotonic()))
            part = piece[:left]
            left -= len(part)
            waiting += framed(part, self._style, self._rng)
            if self._style.split is Split.JOINED and self._rng.random() < 0.5:
                continue
            self._write(waiting)
            waiting = b""
            is_stream = bool(self._work.stream)
            rest = pause * 1.5 if is_stream else MAX_PART_SECONDS
            time.sleep(self._rng.uniform(rest / 3, rest))
        if self._is_ended():
            waiting += LAST_CHUNK
        self._write(waiting)

    def _is_ended(self) -> bool:
        style = self._style
        is_whole = style.cut_fraction is None or style.has_false_end
        return style.framing is Framing.CHUNKED and is_whole

    def _head(self) -> bytes:
        content_type = "text/event-stream" if self._work.stream else "text/plain"
        return head(
            self._status,
            {
                "Content-Type": content_type,
                "Oleandershift-Attempt-Id": self._req.attempt_id,
                "Oleandershift-Response-Seal": self._run,
                **framing_fields(self._style, self._size),
            },
        )

    def _write(self, data: bytes) -> None:
        for segment in segments(data, self._style, self._rng):
            self._conn.sendall(segment)

    def _close(self) -> bool:
        """End the connection as the style says; return whether it is kept."""
        conn, style = self._conn, self._style
        if style.close is Close.HALF:
            conn.shutdown(socket.SHUT_WR)
            conn.settimeout(HALF_CLOSED_SECONDS)
            while conn.recv(4096):
                pass
        elif style.close is Close.RESET:
            reset_on_close(conn)
        elif style.close is Close.KEEP:
            self._go_on()
            return True
        return False

    def _go_on(self) -> None:
        """Send more after the answer, or leave the connection idle for a short time."""
        if self._style.extra is not Extra.NONE:
            time.sleep(self._rng.uniform(0.0, MAX_EXTRA_SECONDS))
            self._conn.sendall(self._extra())
        if self._rng.random() < LEAVE_FRACTION:
            self._conn.settimeout(self._rng.uniform(0.01, 0.5))

    def _extra(self) -> bytes:
        if self._style.extra is Extra.EVENT:
            return event(self._run, self._work, self._first)
        is_same = self._style.extra is Extra.SAME_ANSWER
        attempt_id = self._req.attempt_id if is_same else "another"
        fields = {"Content-Length": "5", "Oleandershift-Response-Seal": "extra"}
        return head(200, {**fields, "Oleandershift-Attempt-Id": attempt_id}) + b"other"


def head(status: int, fields: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Said", *(f"{k}: {v}" for k, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def send_json(conn: socket.socket, status: int, fields: dict[str, str]) -> bool:
    """Send an empty JSON object."""
    body = b"{}"
    said = {"Content-Type": "application/json", "Content-Length": str(len(body))}
    conn.sendall(head(status, {**said, **fields}) + body)
    return True


def read_request(reader: BinaryIO) -> Request | None:
    """Read one request; None at the end of the connection."""
    first = reader.readline()
    if not first.endswith(b"\r\n"):
        return None
    method, path, _ = first.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := reader.readline()) != b"\r\n":
        if not line.endswith(b"\n"):
            return None
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    body = _read_body(reader, headers)
    return None if body is None else Request(method, path, headers, body)


def _read_body(reader: BinaryIO, headers: dict[str, Any]) -> bytes | None:
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(reader.readline().partition(b";")[0] or b"x", 16):
            body += reader.read(size)
            reader.readline()
        reader.readline()
        return body
    length = int(headers.get("content-length", 0))
    body = reader.read(length)
    return body if len(body) == length else None


def main() -> int:
    """Run the upstream until it is killed."""
    parser = argparse.ArgumentParser("standins.wireupstream", description=__doc__)
    parser.add_argument("--name", required=True, help="instance id")
    parser.add_argument("--life", type=int, required=True, help="number of its start")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--version", default="v1", help="of its software")
    parser.add_argument("--slots", type=int, default=128)
    parser.add_argument("--pause", type=float, default=0.02, help="between events")
    parser.add_argument("--seed", required=True)
    parser.add_argument("--record", type=Path, required=True)
    WireUpstream(parser.parse_args()).serve()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
