"""Stand-in for the platform's load balancer: sends callers to ready routers."""

import threading
from collections.abc import Sequence

import urllib3

from standins.workload import WorkItem

POLL_INTERVAL_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 1.0


class Balancer:
    """Polls `/readyz` of all routers and chooses ready ones for callers.

    Parameters
    ----------
    routers : sequence of str
        URLs of all routers, which are assumed ready until the first poll.
    """

    def __init__(self, routers: Sequence[str]) -> None:
        self._ready = dict.fromkeys(routers, True)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._poll, args=(router,), daemon=True)
            for router in routers
        ]

    def start(self) -> None:
        """Start polling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def choose_router(self, item: WorkItem) -> str:
        """Return a ready router for a request.

        The router of the request comes first, then those of its team, then all others.
        When no router is ready, the router of the request is returned.
        """
        candidates = (item.router, *item.team.routers, *self._ready)
        ready = (router for router in candidates if self._ready[router])
        return next(ready, item.router)

    def ready_routers(self) -> tuple[str, ...]:
        """Return the ready routers, or all routers when none is ready."""
        routers = tuple(router for router, ready in self._ready.items() if ready)
        return routers or tuple(self._ready)

    def _poll(self, router: str) -> None:
        with urllib3.PoolManager(retries=False, timeout=PROBE_TIMEOUT_SECONDS) as http:
            while not self._stopping.wait(POLL_INTERVAL_SECONDS):
                try:
                    res = http.request("GET", f"{router}/readyz")
                    self._ready[router] = res.status == 200
                except urllib3.exceptions.HTTPError:
                    self._ready[router] = False
