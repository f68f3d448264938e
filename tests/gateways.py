"""Gateways in the process of a test."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from oleandershift.io.gateway import Gateway
from oleandershift.vmsettings import VmSettings
from standins.gateway_fleet import is_ready

READY_TIMEOUT_SECONDS = 10.0


@asynccontextmanager
async def running(gateway: Gateway, vm_settings: VmSettings) -> AsyncIterator[None]:
    """Run a gateway beside a test, from its readiness to its planned stop.

    A test that fails stops its gateway as well, so that the next one finds the address
    free. An error of the gateway is raised in place of what it caused in the test.
    """
    serving = asyncio.create_task(gateway.run())
    try:
        await _until_ready(vm_settings, serving)
        yield
    finally:
        if not serving.done():
            signal.raise_signal(signal.SIGTERM)
        await serving


async def _until_ready(vm_settings: VmSettings, serving: asyncio.Task[None]) -> None:
    """Wait until a readiness probe succeeds; a gateway listens to callers then."""
    probed = vm_settings.readiness_address
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while not serving.done() and not await asyncio.to_thread(
            is_ready, probed.host, probed.port
        ):
            await asyncio.sleep(0.01)
