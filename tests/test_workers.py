"""Tests of the HTTP server's worker threads."""

import threading

from oleandershift.io.workers import INITIAL_THREADS, WorkerPool

WAIT_SECONDS = 20
LIMIT = 12


class BlockingTask:
    """Task that blocks its thread until released."""

    def __init__(self) -> None:
        self.started = threading.Event()
        self.release = threading.Event()

    def service(self) -> None:
        """Block the thread."""
        self.started.set()
        self.release.wait(WAIT_SECONDS)

    def cancel(self) -> None:
        """Release the thread."""
        self.release.set()


def test_idle_pool_keeps_few_threads() -> None:
    pool = WorkerPool(1000)
    assert len(pool.threads) == INITIAL_THREADS
    pool.shutdown()


def test_each_task_gets_a_thread_up_to_the_limit() -> None:
    pool = WorkerPool(LIMIT)
    tasks = [BlockingTask() for _ in range(LIMIT + 1)]
    for task in tasks:
        pool.add_task(task)
    assert all(task.started.wait(WAIT_SECONDS) for task in tasks[:LIMIT])
    assert not tasks[LIMIT].started.is_set()
    assert len(pool.threads) == LIMIT
    tasks[0].release.set()
    assert tasks[LIMIT].started.wait(WAIT_SECONDS)
    for task in tasks:
        task.release.set()
    pool.shutdown()
