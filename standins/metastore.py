"""Stand-in for the platform's metadata store, by its published protocol."""

import threading
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from standins.server import Exchange, Server

OBJECTS_PATH = "/v1/objects/"
HISTORY_EVENTS = 1000
"""Changes that a watch can go back."""


class StoreMode(Enum):
    """How the store treats its callers."""

    SERVE = "serve"
    BUSY = "busy"
    RESET = "reset"
    SILENT = "silent"
    LOSE_RESPONSES = "lose-answers"


@dataclass
class _Event:
    revision: int
    kind: str
    object: dict[str, Any]
    deleted: bool


@dataclass
class _State:
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[_Event] = field(default_factory=list)
    revision: int = 1
    forgotten: int = 0


class MetaStore:
    """Objects by kind and name, with revisions, pages and watches.

    Parameters
    ----------
    ip : str
        Address to listen on.
    port : int
        Port; 0 takes a free one.
    page : int
        Objects on a page.
    """

    def __init__(
        self, ip: str = "127.0.0.1", port: int = 0, page_size: int = 500
    ) -> None:
        self._server = Server(ip, port, self._handle)
        self._page = page_size
        self._state = _State()
        self._changed = threading.Condition()
        self._mode = StoreMode.SERVE
        self._stopping = False
        self.port = self._server.port
        self.start = self._server.start
        self.calls = 0

    def stop(self) -> None:
        """Stop answering."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._server.stop()

    def set_mode(self, mode: StoreMode) -> None:
        """Treat callers in a way from now on."""
        with self._changed:
            self._mode = mode
            self._changed.notify_all()
        if mode is not StoreMode.SERVE:
            self._server.abort_connections()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object as the operator; return its revision."""
        with self._changed:
            return int(self._store(kind, name, spec)["metadata"]["revision"])

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if there is one."""
        with self._changed:
            self._remove(kind, name)

    def forget_history(self) -> None:
        """Answer watches from before now with 410."""
        with self._changed:
            self._state.events.clear()
            self._state.forgotten = self._state.revision
            self._changed.notify_all()

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects."""
        with self._changed:
            return sorted(name for k, name in self._state.objects if k == kind)

    def _store(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        held = self._state.objects.get((kind, name))
        if held is not None and held["spec"] == spec:
            return held
        self._state.revision += 1
        created = held["metadata"]["created"] if held else self._state.revision
        made = {
            "metadata": {
                "name": name,
                "revision": self._state.revision,
                "created": created,
                "finalizers": [],
                "deletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._state.objects[kind, name] = made
        self._note(kind, made, False)
        return made

    def _remove(self, kind: str, name: str) -> dict[str, Any] | None:
        held = self._state.objects.pop((kind, name), None)
        if held is not None:
            self._state.revision += 1
            self._note(kind, held, True)
        return held

    def _note(self, kind: str, made: dict[str, Any], deleted: bool) -> None:
        event = _Event(self._state.revision, kind, made, deleted)
        self._state.events.append(event)
        if len(self._state.events) > HISTORY_EVENTS:
            self._state.forgotten = self._state.events.pop(0).revision
        self._changed.notify_all()

    def _handle(self, exchange: Exchange) -> None:
        self.calls += 1
        mode = self._mode
        if mode is StoreMode.BUSY:
            exchange.send_json(503, {"error": "busy"})
        elif mode is StoreMode.RESET:
            exchange.abort()
        elif mode is StoreMode.SILENT:
            self._stay_silent(exchange)
        elif not exchange.path.startswith(OBJECTS_PATH):
            exchange.send_json(404, {"error": exchange.path})
        else:
            self._answer(exchange, mode)

    def _stay_silent(self, exchange: Exchange) -> None:
        while self._mode is StoreMode.SILENT and not self._stopping:
            if exchange.client_disconnected():
                return
            time.sleep(0.02)
        exchange.abort()

    def _answer(self, exchange: Exchange, mode: StoreMode) -> None:
        kind, _, name = exchange.path.removeprefix(OBJECTS_PATH).partition("/")
        if exchange.method == "GET" and "watch" in exchange.query:
            status, body = self._watch(exchange, kind)
        elif exchange.method == "GET":
            status, body = self._read(exchange, kind, name)
        else:
            status, body = self._write(exchange, kind, name)
            if mode is StoreMode.LOSE_RESPONSES:
                exchange.abort()
                return
        exchange.send_json(status, body)

    def _read(self, exchange: Exchange, kind: str, name: str) -> tuple[int, object]:
        with self._changed:
            if name:
                held = self._state.objects.get((kind, name))
                return (200, held) if held else (404, {"error": "not found"})
            after = exchange.query.get("after", "")
            found = sorted(
                (n, made)
                for (k, n), made in self._state.objects.items()
                if k == kind and n > after
            )
            items = [made for _, made in found[: self._page]]
            more = len(found) > self._page
            return 200, {"items": items, "hasMore": more, "at": self._state.revision}

    def _watch(self, exchange: Exchange, kind: str) -> tuple[int, object]:
        start = int(exchange.query["watch"])
        deadline = time.monotonic() + int(exchange.query.get("waitMs", 0)) / 1000
        with self._changed:
            while True:
                if start < self._state.forgotten:
                    return 410, {"error": "history is gone"}
                events = [
                    {"object": event.object, "deleted": event.deleted}
                    for event in self._state.events
                    if event.kind == kind and event.revision > start
                ]
                left = deadline - time.monotonic()
                if events or left <= 0 or self._stopping:
                    return 200, {"events": events, "at": self._state.revision}
                self._changed.wait(left)

    def _write(self, exchange: Exchange, kind: str, name: str) -> tuple[int, object]:
        with self._changed:
            if exchange.method == "DELETE":
                held = self._remove(kind, name)
                return (200, held) if held else (404, {"error": "not found"})
            body = msgspec.json.decode(exchange.body)
            if exchange.method == "POST":
                name = body["metadata"]["name"]
                held = self._state.objects.get((kind, name))
                if held is not None:
                    return 409, held
            return 200, self._store(kind, name, body["spec"])
