"""Event loops that are late, or whose time passes at once, for tests."""

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


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while every task waits."""

    def __init__(self):
        super().__init__()
        self.instant = 1000.0
        self._selector.select = self._skip

    def time(self):
        """Return the virtual time, seconds."""
        return self.instant

    def _skip(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task waits for ever")
        self.instant += max(0.0, timeout)
        return []
