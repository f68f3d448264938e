"""Pool of idle connections to upstreams."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable
from functools import partial

from oleandershift.directory import Upstream
from oleandershift.io.clock import now
from oleandershift.io.upstreamconn import (
    IdleConnection,
    ResponseHead,
    UpstreamConnection,
)

CONNECT_TIMEOUT_SECONDS = 0.6
"""TCP retransmits a lost SYN only after a second; another upstream answers sooner."""

IDLE_TIMEOUT_SECONDS = 4.0
"""Longest idle time of a reused connection if its upstream announces no shorter one."""

IDLE_MARGIN_SECONDS = 0.5
"""Time before the upstream's own idle timeout at which a connection is closed."""

UNREPEATABLE_IDLE_SECONDS = 1.0
"""Longest idle time before a request that can't be repeated: the more recent the last
response, the less likely the upstream has closed the connection."""

MAX_IDLE_CONNECTIONS_PER_UPSTREAM = 32


class ConnectionPool:
    """Opens connections to upstreams and keeps idle ones for reuse.

    Parameters
    ----------
    max_idle : int
        Maximum number of idle connections to all upstreams together.

    Attributes
    ----------
    on_response : callable
        Called with an upstream, the head of each of its responses, and the time at
        which the answered request was sent, as by `UpstreamConnection`.
    """

    def __init__(self, max_idle: int) -> None:
        self._max_idle = max_idle
        self.on_response: Callable[[Upstream, ResponseHead, float | None], None] = (
            lambda upstream, head, sent_at: None
        )
        self._idle_count = 0
        self._idle: defaultdict[tuple[str, int], deque[UpstreamConnection]]
        self._idle = defaultdict(deque)
        self.opened_count = 0

    async def acquire(
        self, upstream: Upstream, repeatable: bool, attempt_id: str | None = None
    ) -> UpstreamConnection:
        """Return an idle or a new connection for one exchange.

        Parameters
        ----------
        upstream : Upstream
            Upstream to connect to.
        repeatable : bool
            Whether the request may be repeated, which allows a longer idle time.
        attempt_id : str or None
            Id of the attempt. A connection that carried the id before is not used, nor
            any other if it is empty, as a late copy could not be told from the answer.
            None to use any.

        Raises
        ------
        OSError
            When no connection can be opened in time; nothing was sent.
        """
        reused = None
        if attempt_id != "":
            reused = self._reuse(upstream, repeatable, attempt_id)
        if reused is not None:
            # Another run may be registered at the address by now.
            reused.on_response = partial(self.on_response, upstream)
            reused.attempt_ids.add(attempt_id or "")
            return reused
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, conn = await loop.create_connection(
                lambda: UpstreamConnection(partial(self.on_response, upstream)),
                upstream.host,
                upstream.port,
            )
        conn.attempt_ids.add(attempt_id or "")
        return conn

    def release(self, upstream: Upstream, conn: UpstreamConnection) -> None:
        """End the use of a connection: keep it if its exchange is complete."""
        idle_conn = conn.settle()
        if idle_conn is not None:
            self._keep(upstream, idle_conn)

    def close_idle(self, upstream: Upstream) -> None:
        """Close the idle connections to an upstream."""
        for conn in self._idle.pop((upstream.host, upstream.port), ()):
            conn.close()
            self._idle_count -= 1

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()
        self._idle_count = 0

    def close_expired(self) -> None:
        """Close connections whose idle timeout has passed."""
        for key, idle in list(self._idle.items()):
            while idle and (
                not idle[0].reusable or _idle_seconds(idle[0]) > _idle_timeout(idle[0])
            ):
                idle.popleft().close()
                self._idle_count -= 1
            if not idle:
                del self._idle[key]

    def _keep(self, upstream: Upstream, idle_conn: IdleConnection) -> None:
        idle = self._idle[upstream.host, upstream.port]
        if (
            len(idle) < MAX_IDLE_CONNECTIONS_PER_UPSTREAM
            and self._idle_count < self._max_idle
        ):
            idle.append(idle_conn.conn)
            self._idle_count += 1
        else:
            idle_conn.conn.close()

    def _reuse(
        self, upstream: Upstream, repeatable: bool, attempt_id: str | None
    ) -> UpstreamConnection | None:
        idle = self._idle.get((upstream.host, upstream.port))
        while idle:
            conn = idle.pop()
            self._idle_count -= 1
            idle_timeout_s = _idle_timeout(conn)
            if (
                conn.reusable
                and not conn.closed
                and _idle_seconds(conn) <= idle_timeout_s
                and conn.is_quiet()
            ):
                is_recent = _idle_seconds(conn) <= UNREPEATABLE_IDLE_SECONDS
                if (repeatable or is_recent) and attempt_id not in conn.attempt_ids:
                    return conn
                idle.append(conn)
                self._idle_count += 1
                return None
            conn.close()
        return None


def _idle_seconds(conn: UpstreamConnection) -> float:
    return now() - conn.idle_since


def _idle_timeout(conn: UpstreamConnection) -> float:
    if conn.idle_timeout_s is None:
        return IDLE_TIMEOUT_SECONDS
    return min(
        IDLE_TIMEOUT_SECONDS, max(0.0, conn.idle_timeout_s - IDLE_MARGIN_SECONDS)
    )
