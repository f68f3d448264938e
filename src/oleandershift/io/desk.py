"""What a router's request threads share with its actor."""

import time
from collections.abc import Callable
from functools import partial
from typing import Any

import pykka

from oleandershift.calls import Call, KeyIndex
from oleandershift.events import EventName
from oleandershift.io.claiming import ClaimDesk, ClaimedExchange, Settler
from oleandershift.io.daemon import Runtime
from oleandershift.io.exchange import Exchange
from oleandershift.io.front import Carrier
from oleandershift.io.jobs import Job, Snapshot
from oleandershift.io.platform import PlatformClient
from oleandershift.io.sweeper import Sweeper
from oleandershift.io.upstreams import Connections
from oleandershift.replica import Table
from oleandershift.retries import RetryBudget


class RouterDesk:
    """What the request threads share with the actor.

    Parameters
    ----------
    runtime : Runtime
        The process.

    Attributes
    ----------
    connections, events, budget
        Shared by the request threads.
    """

    def __init__(self, runtime: Runtime) -> None:
        cfg = runtime.cfg
        self.connections = Connections(cfg.connect_seconds, cfg.idle_seconds)
        self.events = runtime.events
        self.budget = RetryBudget()
        self.settler: Settler | None = None
        self.sweeper: Sweeper | None = None
        store: PlatformClient | None = None
        if cfg.platform_url:
            store = PlatformClient(cfg.platform_url)
            self.settler = Settler(store, runtime.events)
            self.sweeper = Sweeper(store, lambda: self.snapshot().sweeping)
            self.sweeper.start()
        self.claims = ClaimDesk(store, self.settler, cfg.claim_seconds, runtime.events)
        self._snapshot = Snapshot(Table(), KeyIndex(Table()), False, False)
        self._actor: pykka.ActorRef[Any] | None = None

    def attach(self, actor: pykka.ActorRef[Any]) -> None:
        """Take the actor that messages go to."""
        self._actor = actor

    def tell(self, message: object) -> None:
        """Give the actor a message."""
        if self._actor is not None and self._actor.is_alive():
            self._actor.tell(message)

    def snapshot(self) -> Snapshot:
        """Return the state in force."""
        return self._snapshot

    def publish(self, snapshot: Snapshot) -> None:
        """Replace the state in force."""
        self._snapshot = snapshot

    def close(self) -> None:
        """Close connections and the background work."""
        self.connections.close()
        if self.settler is not None:
            self.settler.close()
        if self.sweeper is not None:
            self.sweeper.close()

    def carry(self, call: Call, is_gone: Callable[[], bool]) -> Carrier:
        """Return a carrier for a checked request."""
        now = time.time()
        self.events.write(
            EventName.REQUEST_ACCEPTED,
            request=call.request,
            team=call.team,
            service=call.service,
        )
        job = Job(call, now, is_gone)
        if call.idempotent:
            return Exchange(self, job)
        make = partial(Exchange, self, job)
        return ClaimedExchange(self.claims, call, make)
