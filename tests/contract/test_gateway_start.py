"""What a load balancer and callers meet while a gateway starts."""

import asyncio
import http.client
import socket

import pytest
import uvloop
from gateways import running

from oleandershift.arrivals import PAUSE_THRESHOLD_SECONDS
from oleandershift.io.clock import now
from oleandershift.io.gateway import MAINTENANCE_INTERVAL_SECONDS
from standins.gateway_fleet import call_on

LISTEN_DELAY_SECONDS = 0.3
TIMEOUT_SECONDS = 10.0
SHORT_DEADLINE_MS = "280"
MAX_STARTS = 5
MAX_STALL_SECONDS = PAUSE_THRESHOLD_SECONDS - MAINTENANCE_INTERVAL_SECONDS


class SlowLoop(asyncio.SelectorEventLoop):
    """Event loop that takes a while to open each server."""

    async def create_server(self, *args, **kwargs):
        """Open a server after a delay."""
        await asyncio.sleep(LISTEN_DELAY_SECONDS)
        return await super().create_server(*args, **kwargs)


async def first_connection(vm_settings):
    """Return the exception of a caller that connects as soon as the VM is ready."""
    address = vm_settings.caller_address
    async with asyncio.timeout(TIMEOUT_SECONDS):
        try:
            _, writer = await asyncio.open_connection(address.host, address.port)
        except OSError as exc:
            return exc
        writer.close()
        return None


def test_vm_that_reports_ready_refuses_no_connection(gateway, vm_settings):
    async def start_and_stop():
        async with running(gateway, vm_settings):
            exc = await first_connection(vm_settings)
            await asyncio.sleep(3 * LISTEN_DELAY_SECONDS)
        return exc

    with asyncio.Runner(loop_factory=SlowLoop) as runner:
        assert runner.run(start_and_stop()) is None


async def answer_to_short_deadline(vm_settings):
    """Return the answer to a request that is sent as soon as the VM is ready."""
    address = vm_settings.caller_address
    conn = http.client.HTTPConnection(address.host, address.port, timeout=5.0)
    fields = {"Oleandershift-Deadline-Ms": SHORT_DEADLINE_MS}
    answer = await asyncio.to_thread(call_on, conn, "/read/x", "a1", **fields)
    conn.close()
    return answer


async def record_stalls(stalls):
    """Record for how long the event loop stands still."""
    while True:
        started_at = now()
        await asyncio.sleep(0.01)
        stalls.append(now() - started_at)


def test_vm_that_has_just_started_does_not_take_requests_for_old(
    make_gateway, vm_settings
):
    async def start_and_stop():
        stalls = []
        recording = asyncio.create_task(record_stalls(stalls))
        async with running(make_gateway(), vm_settings):
            answer = await answer_to_short_deadline(vm_settings)
            recording.cancel()
        return answer, max(stalls)

    for _ in range(MAX_STARTS):
        with asyncio.Runner(loop_factory=SlowLoop) as runner:
            answer, stall_s = runner.run(start_and_stop())
        # Requests that are read after a true pause may be old.
        if stall_s < MAX_STALL_SECONDS:
            break
    else:
        pytest.fail(f"the event loop stood still in each of {MAX_STARTS} starts")
    assert answer.status == 200


class FailedTestError(Exception):
    """A failure of a test beside a running gateway."""


def test_gateway_beside_a_failed_test_leaves_its_address(make_gateway, vm_settings):
    async def fail():
        async with running(make_gateway(), vm_settings):
            raise FailedTestError

    async def start_and_stop():
        async with running(make_gateway(), vm_settings):
            return await first_connection(vm_settings)

    with pytest.raises(FailedTestError):
        uvloop.run(fail())
    assert uvloop.run(start_and_stop()) is None


def test_error_of_a_gateway_is_raised_in_its_test(make_gateway, vm_settings):
    address = vm_settings.caller_address

    async def start():
        async with running(make_gateway(), vm_settings):
            raise FailedTestError

    with (
        socket.create_server((address.host, address.port)),
        pytest.raises(OSError, match="in use"),
    ):
        uvloop.run(start())
