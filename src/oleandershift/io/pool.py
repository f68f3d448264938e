"""Kept connections to upstreams."""

import asyncio
from collections import defaultdict, deque

from oleandershift.directory import Upstream
from oleandershift.io.clock import now
from oleandershift.io.upstreamconn import UpstreamConnection

CONNECT_TIMEOUT_SECONDS = 0.6
"""Longest connect: a lost opening packet is sent again after a second, and another
upstream answers sooner."""

IDLE_TIMEOUT_SECONDS = 4.0
"""Longest idleness of a connection that is used again, when its upstream names none."""

IDLE_MARGIN_SECONDS = 0.5
"""Time before an upstream's own limit at which an idle connection is given up."""

UNREPEATABLE_IDLE_SECONDS = 1.0
"""Longest idleness for a request that can't be repeated: the more recent the last
answer, the less likely the connection was closed meanwhile."""

MAX_IDLE_CONNECTIONS = 32
"""Idle connections that are kept for one upstream."""


class ConnectionPool:
    """Opens connections to upstreams and keeps those that can be used again."""

    def __init__(self) -> None:
        self._idle: defaultdict[tuple[str, int], deque[UpstreamConnection]]
        self._idle = defaultdict(deque)
        self.opened_count = 0

    async def acquire(self, upstream: Upstream, repeatable: bool) -> UpstreamConnection:
        """Return a connection to use for one exchange.

        Raises
        ------
        OSError
            When none can be opened in time; nothing was sent.
        """
        kept = self._kept(upstream, repeatable)
        if kept is not None:
            return kept
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            _, conn = await loop.create_connection(
                UpstreamConnection, upstream.host, upstream.port
            )
        return conn

    def release(self, upstream: Upstream, conn: UpstreamConnection) -> None:
        """Keep a connection whose exchange is over, if it can be used again."""
        idle = self._idle[upstream.host, upstream.port]
        if not conn.reusable or conn.closed or len(idle) >= MAX_IDLE_CONNECTIONS:
            conn.close()
            return
        idle.append(conn)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        for key, idle in list(self._idle.items()):
            while idle and (not idle[0].reusable or _age(idle[0]) > _limit(idle[0])):
                idle.popleft().close()
            if not idle:
                del self._idle[key]

    def _kept(self, upstream: Upstream, repeatable: bool) -> UpstreamConnection | None:
        idle = self._idle.get((upstream.host, upstream.port))
        while idle:
            conn = idle.pop()
            limit = _limit(conn)
            if conn.reusable and not conn.closed and _age(conn) <= limit:
                if repeatable or _age(conn) <= UNREPEATABLE_IDLE_SECONDS:
                    return conn
                idle.append(conn)
                return None
            conn.close()
        return None


def _age(conn: UpstreamConnection) -> float:
    return now() - conn.idle_since


def _limit(conn: UpstreamConnection) -> float:
    if conn.idle_timeout_s is None:
        return IDLE_TIMEOUT_SECONDS
    return min(
        IDLE_TIMEOUT_SECONDS, max(0.0, conn.idle_timeout_s - IDLE_MARGIN_SECONDS)
    )
