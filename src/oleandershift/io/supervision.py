"""Keeps background tasks and threads running after unexpected errors."""

import asyncio
import threading
from collections.abc import Awaitable, Callable

from loguru import logger

from oleandershift.io.decisionlog import DecisionLog

RESTART_DELAY_SECONDS = 0.5
"""Pause before a failed task runs again, so that it does not occupy the process."""


async def supervise(
    name: str, run: Callable[[], Awaitable[None]], log: DecisionLog
) -> None:
    """Run a task until it ends; log an unexpected error and run it again.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    run : callable
        Starts the task; its state has to survive a restart.
    log : DecisionLog
        Receives the errors.
    """
    while True:
        try:
            await run()
        except Exception:
            log.exception("task.failed", task=name)
            await asyncio.sleep(RESTART_DELAY_SECONDS)
        else:
            return


def supervised_thread(
    name: str, run: Callable[[], None], closing: threading.Event
) -> threading.Thread:
    """Return a daemon thread that runs a function again after an unexpected error.

    Parameters
    ----------
    name : str
        Name of the thread, also in the log.
    run : callable
        Body of the thread; its state has to survive a restart.
    closing : threading.Event
        Set when the thread is to end.
    """

    def keep_running() -> None:
        while True:
            try:
                return run()
            except Exception:
                logger.exception("thread {} failed, restarted", name)
                if closing.wait(RESTART_DELAY_SECONDS):
                    return None

    return threading.Thread(target=keep_running, name=name, daemon=True)
