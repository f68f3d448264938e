"""Worker threads of the HTTP server, started as requests need them."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

INITIAL_THREADS = 4


class WorkerPool(ThreadedTaskDispatcher):
    """Runs each request on a thread of its own, up to a limit.

    Threads are started when a request finds none idle, so that a router at rest does
    not pay for its limit. A started thread is kept.

    Parameters
    ----------
    limit : int
        Most threads.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit
        self.set_thread_count(min(INITIAL_THREADS, limit))

    def add_task(self, task: Any) -> None:
        """Queue a request and see to it that a thread takes it."""
        with self.lock:
            idle = len(self.threads) - self.stop_count - self.active_count
            missing = len(self.queue) + 1 - idle
            wanted = min(self._limit, len(self.threads) + missing)
        if missing > 0:
            self.set_thread_count(wanted)
        super().add_task(task)
