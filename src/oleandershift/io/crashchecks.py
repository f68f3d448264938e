"""Checks whether an upstream that broke an exchange has crashed."""

import asyncio
from collections.abc import Callable

from oleandershift.directory import Upstream, UpstreamRun
from oleandershift.io.pool import ConnectionPool
from oleandershift.io.upstreamconn import UpstreamConnection

PATIENCE_SECONDS = 0.25
"""Time for which a request waits for a check; several round trips between regions."""

EXIT_SECONDS = 0.1
"""Time in which a busy kernel closes the sockets of a process that ended. It may accept
connections until the last one is closed, and resets them then."""


class CrashChecks:
    """Connects to upstreams that broke an exchange; a crashed one refuses that.

    Without a check the next request would find out, or the end of the registration
    seconds later, when the upstream may have been replaced at its address.

    Parameters
    ----------
    pool : ConnectionPool
        Opens the connections, and keeps those to upstreams that live.
    is_absent : callable
        Returns whether a run of an upstream is known to be gone.
    on_failure : callable
        Called with an upstream and the error of a connect that failed.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        is_absent: Callable[[UpstreamRun], bool],
        on_failure: Callable[[Upstream, Exception], None],
    ) -> None:
        self._pool = pool
        self._is_absent = is_absent
        self._on_failure = on_failure
        self._running: dict[UpstreamRun, asyncio.Task[bool]] = {}

    def start(self, upstream: Upstream) -> None:
        """Start a check of an upstream unless one runs or it is known to be gone."""
        run = upstream.run
        if run not in self._running and not self._is_absent(run):
            task = asyncio.create_task(self._check(upstream))
            self._running[run] = task
            task.add_done_callback(lambda _: self._running.pop(run, None))

    async def wait(self, upstream: Upstream) -> None:
        """Wait for the check of an upstream, but not for long."""
        task = self._running.get(upstream.run)
        if task is not None:
            await asyncio.wait([task], timeout=PATIENCE_SECONDS)

    async def outlives(self, upstream: Upstream) -> bool:
        """Return whether an upstream keeps a connection that it accepts from now on.

        It has to accept another one then, as the first one may never be told of an end
        that comes while the kernel accepts it.
        """
        if self._is_absent(upstream.run):
            return False
        conn = await self._open(upstream)
        if conn is None:
            return False
        try:
            await asyncio.sleep(EXIT_SECONDS)
            return conn.is_quiet() and await self._check(upstream)
        finally:
            self._pool.release(upstream, conn)

    async def _check(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts a connection."""
        conn = await self._open(upstream)
        if conn is None:
            return False
        self._pool.release(upstream, conn)
        return True

    async def _open(self, upstream: Upstream) -> UpstreamConnection | None:
        try:
            # An empty id asks for a new connection.
            return await self._pool.acquire(upstream, repeatable=True, attempt_id="")
        except (OSError, TimeoutError) as exc:
            self._on_failure(upstream, exc)
            return None
