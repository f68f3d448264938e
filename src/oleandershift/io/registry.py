"""Registers this VM in the store and discovers the other VMs."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol, TypeVar

from returns.result import Failure, Result

from oleandershift.ids import VmId
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.neighbours import Peer, PeerTable, Registration, StoreRole
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.platform import vms
from oleandershift.records import Snapshot
from oleandershift.streamversions import StreamVersions

RETRY_DELAY_SECONDS = 0.5

REFRESH_INTERVAL_SECONDS = 20.0
"""VMs that start between two reads announce themselves by their digests."""

ROLE_CHECK_SECONDS = 1.0
"""Interval at which a VM looks whether it has to read the registrations."""

MAX_REGISTRATIONS_PER_SECOND = 100.0
"""VMs that register again each second when the store has come back from a copy, or when
a version appears. Each makes three calls at most, two of which write."""

FIRST_VERSIONS_SECONDS = 0.5
"""Time for which the first registration waits for the list of upstreams, as it would
be written again otherwise."""

REGISTRATION_TTL_SECONDS = 600.0
"""Time without a digest after which a registration is deleted; longer than it takes to
replace a VM."""

_EXISTENCE_ERRORS = (StoreError.CONFLICT, StoreError.NOT_FOUND)

_T = TypeVar("_T")


class RegistryStore(Protocol):
    """A store in which objects can be listed and written."""

    def snapshot(self, kind: str) -> Result[Snapshot, StoreFailure]:
        """Return all objects of a kind."""

    def create(self, kind: str, name: str, spec: object) -> Result[int, StoreFailure]:
        """Create an object and return the store's era."""

    def replace(self, kind: str, name: str, spec: object) -> Result[int, StoreFailure]:
        """Replace an object and return the store's era."""

    def delete(self, kind: str, name: str) -> Result[int, StoreFailure]:
        """Delete an object and return the store's era."""


class VmRegistry:
    """Keeps this VM registered in the store and adds the other VMs to the peer table.

    Parameters
    ----------
    store : RegistryStore
        Store of the registrations.
    this_vm : Peer
        This VM.
    peers : PeerTable
        Table that the registered VMs are added to.
    log : DecisionLog
        Receives failed calls and rejected registrations.
    known_era : callable
        Returns the latest era of the store that this VM has heard of.
    versions : StreamVersions
        Versions that the registration has to contain.
    rng : random.Random
        Jitter of registrations.
    """

    def __init__(
        self,
        store: RegistryStore,
        this_vm: Peer,
        peers: PeerTable,
        log: DecisionLog,
        known_era: Callable[[], int],
        versions: StreamVersions,
        rng: random.Random,
    ) -> None:
        self.store = store
        self._this_vm = this_vm
        self._peers = peers
        self._log = log
        self._known_era = known_era
        self._versions = versions
        self._versions_changed = asyncio.Event()
        self._was_listed = False
        self._rng = rng
        self._has_read = False
        self._registered_era = 0

    async def run(self) -> None:
        """Register this VM, then refresh the peer table periodically.

        Followers read the registrations once; their hub reaches the other VMs. A store
        that has come back from a copy may lack the registration, so it is repeated.
        """
        await self._read_peers()
        await self._wait_for_versions(FIRST_VERSIONS_SECONDS)
        is_new = not self._was_listed
        await self._register()
        # A VM that registers later finds this one, but not the other way round.
        next_read = now() + (0.0 if is_new else REFRESH_INTERVAL_SECONDS)
        self._has_read = not is_new
        while True:
            if self._known_era() > self._registered_era:
                await self._renew()
                # Whoever registers later finds whoever did before, who may be unknown
                # to it otherwise.
                next_read = now()
                self._has_read = False
            elif self._versions.needs_recording():
                await self._spread()
                await self._register()
            is_follower = self._peers.store_role(now()) is StoreRole.FOLLOWER
            if now() >= next_read and not (is_follower and self._has_read):
                await self._read_peers()
                self._has_read = True
                next_read = now() + REFRESH_INTERVAL_SECONDS
            await self._wait_for_versions(ROLE_CHECK_SECONDS)

    def on_tick(self) -> None:
        """Let the registration be written soon if it lacks versions."""
        if self._versions.needs_recording():
            self._versions_changed.set()

    async def _wait_for_versions(self, seconds: float) -> None:
        """Wait until the registration lacks versions, but not for longer."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._versions_changed.wait()
        self._versions_changed.clear()

    async def _renew(self) -> None:
        """Register this VM again, at an instant that the VMs spread."""
        await self._spread()
        await self._register()
        self._log.info("registry.renewed", era=self._registered_era)

    async def _spread(self) -> None:
        spread_s = self._peers.known_count(now()) / MAX_REGISTRATIONS_PER_SECOND
        await asyncio.sleep(self._rng.uniform(0.0, spread_s))

    async def _register(self) -> None:
        """Write the registration, with the versions that streams may begin at."""
        record = self._versions.record(now())
        spec = vms.encode(Registration(self._this_vm, record))
        self._registered_era = await self._call_until_success(
            lambda: self._write(self._this_vm.vm, spec)
        )
        self._was_listed = True
        self._versions.on_recorded(record)
        self._log.info("registry.written", versions=record)

    def _write(self, name: VmId, spec: object) -> Result[int, StoreFailure]:
        """Replace the registration, or create it."""
        calls = [self.store.create, self.store.replace]
        if self._was_listed:
            calls.reverse()
        result = calls[0](vms.KIND, name, spec)
        failure = result.swap().value_or(None)
        if failure is not None and failure.error in _EXISTENCE_ERRORS:
            result = calls[1](vms.KIND, name, spec)
        return result

    async def _read_peers(self) -> None:
        """Read the registrations of all VMs."""
        snapshot = await self._call_until_success(lambda: self.store.snapshot(vms.KIND))
        registrations = []
        for record in snapshot.records:
            decoded = vms.decode(record.name, record.spec)
            if isinstance(decoded, Failure):
                self._log.warning("registry.rejected", why=str(decoded.failure()))
            else:
                registrations.append(decoded.unwrap())
        vm = self._this_vm.vm
        self._was_listed = any(item.peer.vm == vm for item in registrations)
        self._peers.add_registered(now(), [item.peer for item in registrations])
        self._versions.inherit(item.versions for item in registrations)

    async def _call_until_success(
        self, call: Callable[[], Result[_T, StoreFailure]]
    ) -> _T:
        """Retry a call until it succeeds, then remove expired registrations."""
        reported = False
        while isinstance(result := await asyncio.to_thread(call), Failure):
            if not reported:
                reason = result.failure().detail
                self._log.warning("registry.failed", reason=reason)
                reported = True
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        await self._remove_expired()
        return result.unwrap()

    async def _remove_expired(self) -> None:
        """On the hub, delete registrations of VMs that no longer send digests."""
        instant = now()
        if not self._peers.is_hub(instant):
            return
        for vm in self._peers.silent_vms(instant, REGISTRATION_TTL_SECONDS):
            self._peers.remove(vm)
            await asyncio.to_thread(self._delete, vm)

    def _delete(self, vm: VmId) -> None:
        result = self.store.delete(vms.KIND, vm)
        if isinstance(result, Failure):
            self._log.warning("registry.not-removed", vm_gone=vm)
