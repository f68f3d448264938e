"""A client's requests that are too large keep gateways from learning a version."""

import itertools
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common.callers import call
from review.common.harness import (
    TROUBLE,
    Fleet,
    Gateway,
    Record,
    configuration,
    route,
    run_case,
    running_fleet,
)
from standins.modelengine import ModelEngine
from standins.server import Exchange, Server

GATEWAYS = 3
KV_CAPACITY_TOKENS = 708_276
UNLIMITED = (1 << 64) - 1
"""Maximum number of output tokens of a client that means no limit."""

OUTPUT_TOKENS = UNLIMITED if TROUBLE else 80
DRAFT_INTERVAL_SECONDS = 0.3
APPLY_SECONDS = 2.5
"""Time after which a version is in force (`configApplyMs`)."""

OBSERVED_SECONDS = 6.0
DRAFTS_BEFORE_SECONDS = 2.0
OLD_SERVICE, NEW_SERVICE = "case-records", "case-records-b"
ZONE = "fukuoka-a"


class Llm:
    """An engine that rejects a request larger than its memory, as if it were full."""

    def __init__(self) -> None:
        self.server = Server("127.0.0.1", 0, self._handle)
        self.rejected = 0
        self.ran = 0

    def entry(self) -> dict[str, object]:
        """Return the entry that registers the engine."""
        return {
            "service": "drafting-llm",
            "address": f"127.0.0.1:{self.server.port}",
            "zone": ZONE,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }

    def _handle(self, exchange: Exchange) -> None:
        attempt = exchange.headers["Oleandershift-Attempt-Id"]
        usage = exchange.headers["Oleandershift-Token-Usage"]
        headers = {"Oleandershift-Attempt-Id": attempt}
        if sum(map(int, usage.split(","))) > KV_CAPACITY_TOKENS:
            self.rejected += 1
            headers["Oleandershift-Not-Executed"] = "1"
            exchange.send_json(503, {}, headers)
            return
        self.ran += 1
        headers["Oleandershift-Response-Seal"] = f"i-llm-1.{attempt}"
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        exchange.send_head(200, headers)
        exchange.write_chunk(b"id: 1\ndata: x\n\n")
        exchange.write_chunk(b"")


def draft(gateway: Gateway, stopped: threading.Event) -> None:
    """Ask for one draft after another, each a request of its own."""
    usage = {
        "Oleandershift-Model": "m",
        "Oleandershift-Token-Usage": f"1460,{OUTPUT_TOKENS}",
        "Oleandershift-Prompt-Prefix": "5c1e07a2:800,91bd3f06:660",
    }
    for count in itertools.count():
        attempt = f"draft-{gateway.name}-{count}"
        call(gateway, "POST", "/draft/case", attempt, extra=usage)
        if stopped.wait(DRAFT_INTERVAL_SECONDS):
            return


def version(number: int, service: str) -> dict[str, object]:
    """Return a version whose submissions go to a service."""
    return configuration(
        number,
        route("/draft/", "streaming", "drafting-llm", resumable=True),
        route("/submit/", "non_idempotent", service, maxAttempts=1),
        services=(OLD_SERVICE, NEW_SERVICE, "drafting-llm"),
    )


def submit(fleet: Fleet, acked_at: float, record: Record) -> set[str]:
    """Submit at all gateways; return what was sent after `APPLY_SECONDS`."""
    late: set[str] = set()
    for count in itertools.count():
        elapsed_s = time.monotonic() - acked_at
        if elapsed_s > APPLY_SECONDS + OBSERVED_SECONDS:
            break
        for gateway in fleet.gateways:
            attempt = f"submit-{gateway.name}-{count}"
            if elapsed_s > APPLY_SECONDS:
                late.add(attempt)
            status, body = call(gateway, "POST", "/submit/case", attempt)
            record.write(f"sent {elapsed_s:.1f} s after the ack: {status} {body!r}")
        time.sleep(0.2)
    return late


def run(record: Record) -> bool:
    """Move a route while drafts are asked for; look which service runs submissions."""
    llm = Llm()
    services = {name: ModelEngine(f"i-{name}-1") for name in (OLD_SERVICE, NEW_SERVICE)}
    stopped = threading.Event()
    with running_fleet(version(1, OLD_SERVICE)) as fleet:
        llm.server.start()
        fleet.store.put("servers", "i-llm-1", llm.entry())
        for name, engine in services.items():
            engine.start()
            fleet.store.put("servers", engine.name, engine.entry(name, ZONE))
        try:
            for _ in range(GATEWAYS):
                fleet.add_gateway()
            fleet.wait_in_touch()
            for gateway in fleet.gateways:
                args = (gateway, stopped)
                threading.Thread(target=draft, args=args, daemon=True).start()
            time.sleep(DRAFTS_BEFORE_SECONDS)
            fleet.store.put("config", "main", version(2, NEW_SERVICE))
            record.write(f"version 2 moves /submit/ to {NEW_SERVICE}; acknowledged")
            late = submit(fleet, time.monotonic(), record)
        finally:
            stopped.set()
            llm.server.stop()
            for engine in services.values():
                engine.stop()
    record.write(f"i-llm-1 ran {llm.ran} drafts and rejected {llm.rejected}")
    stale = late & set(services[OLD_SERVICE].runs())
    record.write(f"run by the old service after {APPLY_SECONDS} s: {sorted(stale)}")
    return not stale


run_case("2", run)
