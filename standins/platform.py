"""Stand-in for the platform: object API, watches, VM list and injected faults."""

import argparse
import random
import threading
import time
from collections import Counter
from enum import Enum

import msgspec

from standins.objects import (
    ObjectStore,
    RevisionGoneError,
    VersionConflictError,
)
from standins.process import run_until_stopped
from standins.server import ControlServer, Exchange, Server

MAX_VALUE_BYTES = 1 << 20
DEFAULT_PAGE_SIZE = 500
MAX_WATCH_SECONDS = 60.0


class Outage(Enum):
    """How an unavailable platform responds."""

    NONE = "none"
    CLOSED = "closed"
    UNAVAILABLE = "unavailable"
    OVERLOADED = "overloaded"


class ResponseLoss(Enum):
    """Which responses are lost after the call has taken effect."""

    NONE = "none"
    EVERY = "each"
    EVERY_SECOND = "second"
    RANDOM = "random"


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Active faults.

    Parameters
    ----------
    outage : Outage
        How all calls fail, if they do.
    slow_seconds : float
        Delay of each call in seconds.
    lose : ResponseLoss
        Which responses are lost after the call has taken effect.
    lose_probability : float
        Probability of a loss, for `ResponseLoss.RANDOM`.
    lose_seed : int
        Seed of the losses, for `ResponseLoss.RANDOM`.
    lose_writes_only : bool
        Whether only responses to writes are lost.
    vm_lag_seconds : float
        Delay in seconds until a change of the VM list becomes visible.
    """

    outage: Outage = Outage.NONE
    slow_seconds: float = 0.0
    lose: ResponseLoss = ResponseLoss.NONE
    lose_probability: float = 0.5
    lose_seed: int = 1
    lose_writes_only: bool = True
    vm_lag_seconds: float = 0.0


class VmEntryState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(msgspec.Struct, frozen=True):
    """One VM in the platform's list."""

    name: str
    region: str
    ip: str
    state: VmEntryState = VmEntryState.LIVE


class CallCounters(msgspec.Struct, frozen=True):
    """Calls so far by type, lost and refused ones, and watches that wait now."""

    calls: dict[str, int]
    lost: int
    refused: int
    waiting_watches: int


class VmList(msgspec.Struct, frozen=True):
    """Response to a call for the VM list."""

    vms: tuple[VmEntry, ...]


_OUTAGE_STATUS = {Outage.UNAVAILABLE: 503, Outage.OVERLOADED: 429}


class Platform:
    """Stand-in for the platform on threads of this process.

    Parameters
    ----------
    ip : str
        Address to listen on.
    port, control_port : int
        Ports to listen on; 0 chooses a free one.
    """

    def __init__(
        self, ip: str = "127.0.0.1", port: int = 0, control_port: int = 0
    ) -> None:
        self.store = ObjectStore()
        self._lock = threading.Lock()
        self._calls: Counter[str] = Counter()
        self._losable_responses = 0
        self._lost = 0
        self._refused = 0
        self._waiting_watches = 0
        self._vms: list[tuple[float, tuple[VmEntry, ...]]] = []
        self._faults = PlatformFaults()
        self._loss_rng = random.Random(self._faults.lose_seed)
        self._server = Server(ip, port, self._handle)
        self.url = self._server.url
        routes = {
            "GET /counters": lambda _: self.counters(),
            "GET /faults": lambda _: self._faults,
            "PUT /faults": lambda exchange: self.set_faults(
                msgspec.json.decode(exchange.body, type=PlatformFaults)
            ),
            "PUT /vms": lambda exchange: self.set_vms(
                msgspec.json.decode(exchange.body, type=tuple[VmEntry, ...])
            ),
            "POST /forget-history": lambda _: self.store.forget_history(),
        }
        self._control = ControlServer(ip, control_port, routes)
        self.control_url = self._control.url

    def start(self) -> None:
        """Start serving requests."""
        self._server.start()
        self._control.start()

    def stop(self) -> None:
        """Stop serving requests."""
        self.set_faults(PlatformFaults(outage=Outage.CLOSED))
        self._server.stop()
        self._control.stop()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the active faults; `Outage.CLOSED` also resets all connections."""
        with self._lock:
            if faults.lose_seed != self._faults.lose_seed:
                self._loss_rng = random.Random(faults.lose_seed)
            self._faults = faults
        self.store.wake_watches()
        if faults.outage is Outage.CLOSED:
            self._server.abort_connections()

    def set_vms(self, vms: tuple[VmEntry, ...]) -> None:
        """Replace the VM list; callers see it after `vm_lag_seconds`."""
        with self._lock:
            self._vms.append((time.monotonic(), vms))

    def counters(self) -> CallCounters:
        """Return the current counters."""
        with self._lock:
            return CallCounters(
                dict(self._calls), self._lost, self._refused, self._waiting_watches
            )

    def _handle(self, exchange: Exchange) -> None:
        parts = exchange.path.strip("/").split("/")
        call = _call_name(exchange.method, parts)
        with self._lock:
            self._calls[call] += 1
        if self._refuse_on_outage(exchange):
            return
        time.sleep(self._faults.slow_seconds)
        try:
            status, body = self._dispatch(call, parts, exchange)
        except VersionConflictError as exc:
            status, body = 412, exc.current
        except RevisionGoneError:
            status, body = 410, {"error": "revision is no longer kept"}
        except (ValueError, msgspec.DecodeError) as exc:
            status, body = 400, {"error": str(exc)}
        if self._refuse_on_outage(exchange):
            return
        if self._should_lose_response(call):
            exchange.abort()
            return
        exchange.send_json(status, body)

    def _refuse_on_outage(self, exchange: Exchange) -> bool:
        outage = self._faults.outage
        if outage is Outage.NONE:
            return False
        with self._lock:
            self._refused += 1
        if outage is Outage.CLOSED:
            exchange.abort()
        else:
            headers = {"Retry-After": "1"}
            exchange.send_json(_OUTAGE_STATUS[outage], {"error": outage.value}, headers)
        return True

    def _should_lose_response(self, call: str) -> bool:
        with self._lock:
            faults = self._faults
            if faults.lose_writes_only and call not in {"put", "delete"}:
                return False
            if faults.lose is ResponseLoss.NONE:
                return False
            self._losable_responses += 1
            if faults.lose is ResponseLoss.RANDOM:
                lost = self._loss_rng.random() < faults.lose_probability
            else:
                lost = (
                    faults.lose is ResponseLoss.EVERY
                    or self._losable_responses % 2 == 0
                )
            self._lost += lost
            return lost

    def _dispatch(
        self, call: str, parts: list[str], exchange: Exchange
    ) -> tuple[int, object]:
        if call == "vms":
            return 200, VmList(self._visible_vms())
        if call == "list":
            limit = int(exchange.query.get("limit", DEFAULT_PAGE_SIZE))
            return 200, self.store.list_page(
                parts[2], limit, exchange.query.get("after", "")
            )
        if call == "watch":
            return 200, self._watch(parts[2], exchange)
        if call == "get":
            stored = self.store.get(parts[2], parts[3])
            return (404, {"error": "not found"}) if stored is None else (200, stored)
        if call == "put":
            return self._put(parts[2], parts[3], exchange)
        if call == "delete":
            expected = _version(exchange.headers.get("If-Match", ""))
            deleted = self.store.delete(parts[2], parts[3], expected)
            return (404, {"error": "not found"}) if deleted is None else (200, deleted)
        return 404, {"error": "no such call"}

    def _put(self, kind: str, name: str, exchange: Exchange) -> tuple[int, object]:
        if len(exchange.body) > MAX_VALUE_BYTES:
            return 413, {"error": f"values are at most {MAX_VALUE_BYTES} bytes"}
        msgspec.json.decode(exchange.body)
        if exchange.headers.get("If-None-Match") == "*":
            return 201, self.store.put(kind, name, exchange.body, None)
        expected = _version(exchange.headers.get("If-Match", ""))
        return 200, self.store.put(kind, name, exchange.body, expected)

    def _watch(self, kind: str, exchange: Exchange) -> object:
        timeout = float(exchange.query.get("timeout", 30))
        deadline = time.monotonic() + min(timeout, MAX_WATCH_SECONDS)
        since = int(exchange.query["from"]) if "from" in exchange.query else 0
        self._adjust_watches(1)
        try:
            return self.store.watch(kind, since, deadline, self._has_outage)
        finally:
            self._adjust_watches(-1)

    def _adjust_watches(self, step: int) -> None:
        with self._lock:
            self._waiting_watches += step

    def _has_outage(self) -> bool:
        return self._faults.outage is not Outage.NONE

    def _visible_vms(self) -> tuple[VmEntry, ...]:
        with self._lock:
            visible_until = time.monotonic() - self._faults.vm_lag_seconds
            visible = [vms for set_at, vms in self._vms if set_at <= visible_until]
            return visible[-1] if visible else ()


def _version(etag: str) -> int:
    return int(etag.strip('"'))


def _call_name(method: str, parts: list[str]) -> str:
    if parts == ["v1", "vms"]:
        return "vms"
    if parts[:2] == ["v1", "watch"] and len(parts) == 3:
        return "watch"
    if parts[:2] != ["v1", "objects"]:
        return "other"
    if len(parts) == 3 and method == "GET":
        return "list"
    if len(parts) == 4 and method in {"GET", "PUT", "DELETE"}:
        return method.lower()
    return "other"


def main() -> int:
    """Run the stand-in until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser("standins.platform", description=__doc__)
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=7000)
    parser.add_argument("--control-port", type=int, default=7001)
    cfg = parser.parse_args()
    run_until_stopped(Platform(cfg.ip, cfg.port, cfg.control_port))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
