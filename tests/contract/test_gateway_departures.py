"""Upstreams that leave between the choice of an upstream and the send."""

import asyncio
import http.client
import time

import pytest
from gateways import running

from oleandershift.io.pool import ConnectionPool
from standins.gateway_fleet import call_on
from standins.modelengine import ModelEngine

TIMEOUT_SECONDS = 10.0


@pytest.fixture
def second_engine():
    created = ModelEngine("e2")
    created.start()
    yield created
    created.stop()


class HeldPool:
    """Holds back connections to one upstream after they are open."""

    def __init__(self, upstream, acquire):
        self.released = asyncio.Event()
        self.is_held = asyncio.Event()
        self._upstream = upstream
        self._acquire = acquire

    async def acquire(self, pool, upstream, *args):
        """Return a connection, once it is released if it leads to the upstream."""
        conn = await self._acquire(pool, upstream, *args)
        if upstream.name == self._upstream:
            self.is_held.set()
            await self.released.wait()
        return conn


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def leave_while_held(gateway, vm_settings, monkeypatch):
    """Return a function that lets e1 leave while a request to it is held back."""

    async def run(leave, is_known):
        held = HeldPool("e1", ConnectionPool.acquire)
        monkeypatch.setattr(
            ConnectionPool,
            "acquire",
            lambda pool, upstream, *args: held.acquire(pool, upstream, *args),
        )
        address = vm_settings.caller_address
        conn = http.client.HTTPConnection(address.host, address.port, timeout=10.0)
        async with running(gateway, vm_settings):
            answering = asyncio.create_task(
                asyncio.to_thread(call_on, conn, "/read/x", "a1")
            )
            await asyncio.wait_for(held.is_held.wait(), TIMEOUT_SECONDS)
            leave()
            await until(is_known)
            held.released.set()
            answer = await answering
            conn.close()
        return answer

    return lambda leave, is_known: asyncio.run(run(leave, is_known))


def known_upstreams(gateway):
    return {entry.name for entry in gateway._view.directory.entries()}


def test_request_chosen_before_its_upstream_left_is_not_sent_to_it(
    gateway, engine, second_engine, store, leave_while_held
):
    def leave():
        store.put("servers", "e1", engine.entry("model", "one", "draining"))
        store.put("servers", "e2", second_engine.entry("model", "one"))

    answer = leave_while_held(leave, lambda: "e2" in known_upstreams(gateway))
    assert answer.status == 200
    assert engine.arrivals == []


def test_request_chosen_before_its_upstream_was_removed_is_not_sent_to_it(
    gateway, engine, second_engine, store, leave_while_held
):
    def leave():
        store.put("servers", "e2", second_engine.entry("model", "one"))
        store.delete("servers", "e1")

    answer = leave_while_held(leave, lambda: "e1" not in known_upstreams(gateway))
    assert answer.status == 200
    assert engine.arrivals == []


def test_request_chosen_before_its_upstream_was_replaced_is_not_sent_to_it(
    gateway, engine, second_engine, store, leave_while_held
):
    def leave():
        born = int(time.time() * 1000) + 1
        later = second_engine.entry("model", "one") | {"born": born}
        store.put("servers", "e1", later)
        store.put("servers", "e2", second_engine.entry("model", "one"))

    answer = leave_while_held(leave, lambda: "e2" in known_upstreams(gateway))
    assert answer.status == 200
    assert engine.arrivals == []


def test_request_chosen_before_its_only_upstream_restarted_is_served(
    gateway, engine, store, leave_while_held
):
    born = int(time.time() * 1000) + 1

    def restart():
        store.put("servers", "e1", engine.entry("model", "one") | {"born": born})

    def is_known():
        return gateway._view.directory.get("e1").incarnation == born

    answer = leave_while_held(restart, is_known)
    assert answer.status == 200
