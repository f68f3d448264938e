"""Stand-in for the platform's metadata store, with its published protocol."""

import copy
import threading
import time
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from standins.server import Exchange, Server

OBJECTS_PATH = "/v1/objects/"
HISTORY_EVENTS = 1000
"""Number of changes kept for watches."""

ERA_HEADER = "Store-Era"
"""Names, in each answer, how often the store has come back from a copy."""


class StoreMode(Enum):
    """How the store responds to requests."""

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
class StoreState:
    """Objects of a store and its history of changes, as in a copy of it."""

    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    events: list[_Event] = field(default_factory=list)
    revision: int = 1
    dropped_revision: int = 0


class MetaStore:
    """Store of objects by kind and name, with revisions, pages and watches.

    Parameters
    ----------
    ip : str
        Address to listen on.
    port : int
        Port to listen on; 0 chooses a free one.
    page_size : int
        Maximum number of objects on a page.
    """

    def __init__(
        self, ip: str = "127.0.0.1", port: int = 0, page_size: int = 500
    ) -> None:
        self._server = Server(ip, port, self._handle)
        self._page_size = page_size
        self._state = StoreState()
        self._changed = threading.Condition()
        self._mode = StoreMode.SERVE
        self._stopping = False
        self.era = 1
        self.port = self._server.port
        self.start = self._server.start
        self.calls = 0

    def stop(self) -> None:
        """Stop serving requests."""
        with self._changed:
            self._stopping = True
            self._changed.notify_all()
        self._server.stop()

    def set_mode(self, mode: StoreMode) -> None:
        """Set the mode; any but `SERVE` also resets the open connections."""
        with self._changed:
            self._mode = mode
            self._changed.notify_all()
        if mode is not StoreMode.SERVE:
            self._server.abort_connections()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Create or replace an object as an operator would; return its revision."""
        with self._changed:
            return int(self._store(kind, name, spec)["metadata"]["revision"])

    def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        with self._changed:
            self._remove(kind, name)

    def forget_history(self) -> None:
        """Drop the history, so that watches from earlier revisions get 410."""
        with self._changed:
            self._state.events.clear()
            self._state.dropped_revision = self._state.revision
            self._changed.notify_all()

    def copy(self) -> StoreState:
        """Return a copy of the content, from which the store can come back."""
        with self._changed:
            return copy.deepcopy(self._state)

    def restore(
        self, state: StoreState, rewritten_kinds: Collection[str] = ()
    ) -> list[tuple[str, str]]:
        """Come back from an earlier copy: what was acknowledged since is lost.

        Revisions are given out again, and open connections are reset.

        Parameters
        ----------
        state : StoreState
            The copy.
        rewritten_kinds : collection of str
            Kinds whose owners write again what was lost.

        Returns
        -------
        list of tuple
            Kind and name of the objects that had been deleted and are back.
        """
        with self._changed:
            lost = self._state.objects
            self._state = copy.deepcopy(state)
            self.era += 1
            for (kind, name), obj in lost.items():
                if kind in rewritten_kinds:
                    self._store(kind, name, obj["spec"])
            self._changed.notify_all()
        self._server.abort_connections()
        return [key for key in state.objects if key not in lost]

    def names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind."""
        with self._changed:
            return sorted(name for k, name in self._state.objects if k == kind)

    def _store(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        current = self._state.objects.get((kind, name))
        if current is not None and current["spec"] == spec:
            return current
        self._state.revision += 1
        created = current["metadata"]["created"] if current else self._state.revision
        stored = {
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
        self._state.objects[kind, name] = stored
        self._record_event(kind, stored, False)
        return stored

    def _remove(self, kind: str, name: str) -> dict[str, Any] | None:
        current = self._state.objects.pop((kind, name), None)
        if current is not None:
            self._state.revision += 1
            self._record_event(kind, current, True)
        return current

    def _record_event(self, kind: str, obj: dict[str, Any], deleted: bool) -> None:
        event = _Event(self._state.revision, kind, obj, deleted)
        self._state.events.append(event)
        if len(self._state.events) > HISTORY_EVENTS:
            self._state.dropped_revision = self._state.events.pop(0).revision
        self._changed.notify_all()

    def _handle(self, exchange: Exchange) -> None:
        self.calls += 1
        mode = self._mode
        if mode is StoreMode.BUSY:
            exchange.send_json(503, {"error": "busy"}, {ERA_HEADER: str(self.era)})
        elif mode is StoreMode.RESET:
            exchange.abort()
        elif mode is StoreMode.SILENT:
            self._wait_without_response(exchange)
        elif not exchange.path.startswith(OBJECTS_PATH):
            exchange.send_json(404, {"error": exchange.path})
        else:
            self._serve(exchange, mode)

    def _wait_without_response(self, exchange: Exchange) -> None:
        while self._mode is StoreMode.SILENT and not self._stopping:
            if exchange.client_disconnected():
                return
            time.sleep(0.02)
        exchange.abort()

    def _serve(self, exchange: Exchange, mode: StoreMode) -> None:
        kind, _, name = exchange.path.removeprefix(OBJECTS_PATH).partition("/")
        is_read = exchange.method == "GET"
        with self._changed:
            if is_read and "watch" in exchange.query:
                status, body = self._watch(exchange, kind)
            elif is_read:
                status, body = self._read(exchange, kind, name)
            else:
                status, body = self._write(exchange, kind, name)
            # The store may have come back from a copy while a watch waited.
            era = self.era
        if mode is StoreMode.LOSE_RESPONSES and not is_read:
            exchange.abort()
            return
        exchange.send_json(status, body, {ERA_HEADER: str(era)})

    def _read(self, exchange: Exchange, kind: str, name: str) -> tuple[int, object]:
        with self._changed:
            if name:
                current = self._state.objects.get((kind, name))
                return (200, current) if current else (404, {"error": "not found"})
            after = exchange.query.get("after", "")
            matches = sorted(
                (n, obj)
                for (k, n), obj in self._state.objects.items()
                if k == kind and n > after
            )
            items = [obj for _, obj in matches[: self._page_size]]
            has_more = len(matches) > self._page_size
            return 200, {
                "items": items,
                "hasMore": has_more,
                "at": self._state.revision,
            }

    def _watch(self, exchange: Exchange, kind: str) -> tuple[int, object]:
        since = int(exchange.query["watch"])
        deadline = time.monotonic() + int(exchange.query.get("waitMs", 0)) / 1000
        with self._changed:
            while True:
                if not self._state.dropped_revision <= since <= self._state.revision:
                    return 410, {"error": "history is gone"}
                events = [
                    {"object": event.object, "deleted": event.deleted}
                    for event in self._state.events
                    if event.kind == kind and event.revision > since
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0 or self._stopping:
                    return 200, {"events": events, "at": self._state.revision}
                self._changed.wait(remaining)

    def _write(self, exchange: Exchange, kind: str, name: str) -> tuple[int, object]:
        with self._changed:
            if exchange.method == "DELETE":
                current = self._remove(kind, name)
                return (200, current) if current else (404, {"error": "not found"})
            body = msgspec.json.decode(exchange.body)
            if exchange.method == "POST":
                name = body["metadata"]["name"]
                current = self._state.objects.get((kind, name))
                if current is not None:
                    return 409, current
            return 200, self._store(kind, name, body["spec"])
