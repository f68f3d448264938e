"""What the platform's balancer does for callers: choose a router that is ready."""

import threading
from collections.abc import Sequence

import urllib3

from standins.workload import WorkItem

POLL_INTERVAL_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 1.0


class Balancer:
    """Polls `/readyz` of routers and sends callers to ready ones.

    Parameters
    ----------
    routers : sequence of str
        URLs of all routers; taken as ready at first.
    """

    def __init__(self, routers: Sequence[str]) -> None:
        self._ready = dict.fromkeys(routers, True)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._poll, args=(router,), daemon=True)
            for router in routers
        ]

    def start(self) -> None:
        """Begin to poll."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def choose_router(self, item: WorkItem) -> str:
        """Return the router for a request: its own one, or else one that is ready."""
        candidates = (item.router, *item.team.routers, *self._ready)
        ready = (router for router in candidates if self._ready[router])
        return next(ready, item.router)

    def ready_routers(self) -> tuple[str, ...]:
        """Return the routers that are ready; all, when none is."""
        found = tuple(router for router, ready in self._ready.items() if ready)
        return found or tuple(self._ready)

    def _poll(self, router: str) -> None:
        with urllib3.PoolManager(retries=False, timeout=PROBE_TIMEOUT_SECONDS) as http:
            while not self._stopping.wait(POLL_INTERVAL_SECONDS):
                try:
                    answer = http.request("GET", f"{router}/readyz")
                    self._ready[router] = answer.status == 200
                except urllib3.exceptions.HTTPError:
                    self._ready[router] = False
