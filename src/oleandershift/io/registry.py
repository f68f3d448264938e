"""Registers this VM in the store and discovers the other VMs."""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol, TypeVar

from returns.result import Failure, Result

from oleandershift.ids import VmId
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.neighbours import Peer, PeerTable, StoreRole
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.platform import vms
from oleandershift.records import Snapshot

RETRY_DELAY_SECONDS = 0.5

REFRESH_INTERVAL_SECONDS = 20.0
"""VMs that start between two reads announce themselves by their digests."""

ROLE_CHECK_SECONDS = 1.0
"""Interval at which a VM looks whether it has to read the registrations."""

MAX_REREGISTRATIONS_PER_SECOND = 100.0
"""VMs that register again each second when the store has come back from a copy. Each
makes three calls, two of which write."""

REGISTRATION_TTL_SECONDS = 600.0
"""Time without a digest after which a registration is deleted; longer than it takes to
replace a VM."""


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
        rng: random.Random,
    ) -> None:
        self.store = store
        self._this_vm = this_vm
        self._peers = peers
        self._log = log
        self._known_era = known_era
        self._rng = rng
        self._has_read = False
        self._registered_era = 0

    async def run(self) -> None:
        """Register this VM, then refresh the peer table periodically.

        Followers read the registrations once; their hub reaches the other VMs. A store
        that has come back from a copy may lack the registration, so it is repeated.
        """
        await self._call_until_success(self._register)
        next_read = now()
        while True:
            if self._known_era() > self._registered_era:
                await self._renew()
                # Whoever registers later finds whoever did before, who may be unknown
                # to it otherwise.
                next_read = now()
                self._has_read = False
            is_follower = self._peers.store_role(now()) is StoreRole.FOLLOWER
            if now() >= next_read and not (is_follower and self._has_read):
                await self._call_until_success(self._read_peers)
                self._has_read = True
                next_read = now() + REFRESH_INTERVAL_SECONDS
            await asyncio.sleep(ROLE_CHECK_SECONDS)

    async def _renew(self) -> None:
        """Register this VM again, at an instant that the VMs spread."""
        spread_s = self._peers.known_count(now()) / MAX_REREGISTRATIONS_PER_SECOND
        await asyncio.sleep(self._rng.uniform(0.0, spread_s))
        await self._call_until_success(self._register)
        self._log.info("registry.renewed", era=self._registered_era)

    async def _call_until_success(
        self, call: Callable[[], StoreFailure | None]
    ) -> None:
        """Retry a call until it succeeds, then remove expired registrations."""
        reported = False
        while (failure := await asyncio.to_thread(call)) is not None:
            if not reported:
                self._log.warning("registry.failed", reason=failure.detail)
                reported = True
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        await self._remove_expired()

    def _register(self) -> StoreFailure | None:
        spec = vms.encode(self._this_vm)
        result = self.store.create(vms.KIND, self._this_vm.vm, spec)
        failure = _failure_of(result)
        if failure is not None and failure.error is StoreError.CONFLICT:
            result = self.store.replace(vms.KIND, self._this_vm.vm, spec)
            failure = _failure_of(result)
        self._registered_era = result.value_or(self._registered_era)
        return failure

    def _read_peers(self) -> StoreFailure | None:
        result = self.store.snapshot(vms.KIND)
        failure = _failure_of(result)
        if failure is not None:
            return failure
        peers = []
        for record in result.unwrap().records:
            decoded = vms.decode(record.name, record.spec)
            if isinstance(decoded, Failure):
                self._log.warning("registry.rejected", why=str(decoded.failure()))
            else:
                peers.append(decoded.unwrap())
        self._peers.add_registered(now(), peers)
        return None

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


def _failure_of(result: Result[_T, StoreFailure]) -> StoreFailure | None:
    return result.swap().value_or(None)
