"""Thread pool of the HTTP server, which grows on demand."""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

INITIAL_THREADS = 4


class WorkerPool(ThreadedTaskDispatcher):
    """Runs each request on its own thread, up to a maximum number of threads.

    A thread is started when a request finds no idle one, so that an idle router has
    few threads. Started threads are kept.

    Parameters
    ----------
    limit : int
        Maximum number of threads.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit
        self.set_thread_count(min(INITIAL_THREADS, limit))

    def add_task(self, task: Any) -> None:
        """Queue a request and start threads if too few are idle."""
        with self.lock:
            idle = len(self.threads) - self.stop_count - self.active_count
            missing = len(self.queue) + 1 - idle
            wanted = min(self._limit, len(self.threads) + missing)
        if missing > 0:
            self.set_thread_count(wanted)
        super().add_task(task)
