"""Event loops that are late, for tests."""

import asyncio
import time
from contextlib import contextmanager


@contextmanager
def busy_loop(iteration_s):
    """Let each iteration of the running loop take some time."""
    loop = asyncio.get_running_loop()
    is_done = False

    def keep_busy():
        time.sleep(iteration_s)
        if not is_done:
            loop.call_soon(keep_busy)

    keep_busy()
    try:
        yield
    finally:
        is_done = True
