"""Checks whether an upstream has crashed."""

import asyncio

import pytest

from oleandershift.directory import Upstream, UpstreamState
from oleandershift.ids import DataCentreId, ServiceId, UpstreamId
from oleandershift.io import crashchecks
from oleandershift.io.crashchecks import CrashChecks

UPSTREAM = Upstream(
    UpstreamId("u1"),
    1,
    ServiceId("s"),
    "127.0.0.1",
    1,
    DataCentreId("one"),
    8,
    UpstreamState.READY,
)


class SilentConnection:
    """Connection on which nothing comes, not even its end."""

    def is_quiet(self):
        """Return True."""
        return True


class ClosingPool:
    """Pool of an upstream that accepts a number of connections and then none."""

    def __init__(self, accepted):
        self._accepted = accepted
        self.released = 0

    async def acquire(self, upstream, repeatable, attempt_id):
        """Return a connection, or raise."""
        if not self._accepted:
            raise ConnectionRefusedError
        self._accepted -= 1
        return SilentConnection()

    def release(self, upstream, conn):
        """Count the connection."""
        self.released += 1


@pytest.fixture(autouse=True)
def short_exit(monkeypatch):
    """Let processes end at once."""
    monkeypatch.setattr(crashchecks, "EXIT_SECONDS", 0.0)


@pytest.mark.parametrize(("accepted", "outlives"), [(0, False), (1, False), (2, True)])
def test_upstream_whose_end_a_connection_was_never_told_has_not_outlived(
    accepted, outlives
):
    pool, failures = ClosingPool(accepted), []
    checks = CrashChecks(pool, lambda run: False, lambda *args: failures.append(args))
    assert asyncio.run(checks.outlives(UPSTREAM)) == outlives
    assert pool.released == accepted
    assert bool(failures) != outlives
