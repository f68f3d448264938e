"""State and services that a router's request threads share with its actor."""

import time
from collections.abc import Callable
from functools import partial
from typing import Any

import pykka

from oleandershift.calls import ApiKeyIndex, Call
from oleandershift.events import EventName
from oleandershift.io.claiming import ClaimClient, ClaimedExchange, SettlementExecutor
from oleandershift.io.daemon import Runtime
from oleandershift.io.exchange import Exchange
from oleandershift.io.front import RequestHandler
from oleandershift.io.jobs import Job, Snapshot
from oleandershift.io.platform import PlatformClient
from oleandershift.io.sweeper import ClaimSweeper
from oleandershift.io.upstreams import UpstreamConnectionPool
from oleandershift.replica import Table
from oleandershift.retries import RetryBudget


class RouterContext:
    """State and services shared by the request threads and the actor.

    Parameters
    ----------
    runtime : Runtime
        Runtime of the process.

    Attributes
    ----------
    connection_pool, events, retry_budget
        Shared by all request threads.
    """

    def __init__(self, runtime: Runtime) -> None:
        cfg = runtime.cfg
        self.connection_pool = UpstreamConnectionPool(
            cfg.connect_seconds, cfg.idle_seconds
        )
        self.events = runtime.events
        self.retry_budget = RetryBudget()
        self.settlement_executor: SettlementExecutor | None = None
        self.sweeper: ClaimSweeper | None = None
        store: PlatformClient | None = None
        if cfg.platform_url:
            store = PlatformClient(cfg.platform_url)
            self.settlement_executor = SettlementExecutor(store, runtime.events)
            self.sweeper = ClaimSweeper(store, lambda: self.snapshot().sweeps_claims)
            self.sweeper.start()
        self.claim_client = ClaimClient(
            store, self.settlement_executor, cfg.claim_seconds, runtime.events
        )
        self._snapshot = Snapshot(Table(), ApiKeyIndex(Table()), False, False)
        self._actor: pykka.ActorRef[Any] | None = None

    def attach_actor(self, actor: pykka.ActorRef[Any]) -> None:
        """Set the actor that receives messages."""
        self._actor = actor

    def send_to_actor(self, message: object) -> None:
        """Send a message to the actor; drop it if the actor is not running."""
        if self._actor is not None and self._actor.is_alive():
            self._actor.tell(message)

    def snapshot(self) -> Snapshot:
        """Return the current snapshot."""
        return self._snapshot

    def publish(self, snapshot: Snapshot) -> None:
        """Replace the current snapshot."""
        self._snapshot = snapshot

    def close(self) -> None:
        """Close idle connections and stop the background threads."""
        self.connection_pool.close()
        if self.settlement_executor is not None:
            self.settlement_executor.close()
        if self.sweeper is not None:
            self.sweeper.close()

    def create_handler(
        self, call: Call, is_disconnected: Callable[[], bool]
    ) -> RequestHandler:
        """Return the handler of a validated request."""
        now = time.time()
        self.events.write(
            EventName.REQUEST_ACCEPTED,
            request=call.request,
            team=call.team,
            service=call.service,
        )
        job = Job(call, now, is_disconnected)
        if call.idempotent:
            return Exchange(self, job)
        make_exchange = partial(Exchange, self, job)
        return ClaimedExchange(self.claim_client, call, make_exchange)
