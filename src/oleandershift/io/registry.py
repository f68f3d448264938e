"""Registration of this VM's process in the store, and the list of the others."""

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from returns.result import Failure, Result

from oleandershift.ids import VmId
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.neighbours import Peer, PeerTable
from oleandershift.objects import StoreError, StoreFailure
from oleandershift.platform import vms
from oleandershift.records import Snapshot

RETRY_DELAY_SECONDS = 0.5
"""Pause after a failed call."""

REFRESH_INTERVAL_SECONDS = 20.0
"""Pace of reading the list again; VMs that start in between make themselves known."""

REGISTRATION_TTL_SECONDS = 600.0
"""Silence after which a VM's registration is removed: longer than a VM takes to be
replaced."""


_T = TypeVar("_T")


class RegistryStore(Protocol):
    """A store that keeps objects."""

    def snapshot(self, kind: str) -> Result[Snapshot, StoreFailure]:
        """Read all objects of a kind."""

    def create(self, kind: str, name: str, spec: object) -> Result[None, StoreFailure]:
        """Create an object."""

    def replace(self, kind: str, name: str, spec: object) -> Result[None, StoreFailure]:
        """Replace an object."""

    def delete(self, kind: str, name: str) -> Result[None, StoreFailure]:
        """Delete an object."""


class VmRegistry:
    """Makes this VM known to the others, and the others to this one.

    Parameters
    ----------
    store : Registrar
        Where registrations lie.
    own : Peer
        This VM.
    neighbours : Neighbours
        Takes the others.
    log : DecisionLog
        Failed calls.
    """

    def __init__(
        self, store: RegistryStore, own: Peer, neighbours: PeerTable, log: DecisionLog
    ) -> None:
        self.store = store
        self._own = own
        self._neighbours = neighbours
        self._log = log

    async def run(self) -> None:
        """Register, then read the list again and again."""
        await self._insist(self._register)
        while True:
            await self._insist(self._read)
            await asyncio.sleep(REFRESH_INTERVAL_SECONDS)

    async def _insist(self, call: Callable[[], StoreFailure | None]) -> None:
        reported = False
        while (failure := await asyncio.to_thread(call)) is not None:
            if not reported:
                self._log.warning("registry.failed", reason=failure.detail)
                reported = True
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        await self._remove_gone()

    def _register(self) -> StoreFailure | None:
        spec = vms.encode(self._own)
        result = self.store.create(vms.KIND, self._own.vm, spec)
        failure = _failure(result)
        if failure is not None and failure.error is StoreError.CONFLICT:
            result = self.store.replace(vms.KIND, self._own.vm, spec)
            failure = _failure(result)
        return failure

    def _read(self) -> StoreFailure | None:
        result = self.store.snapshot(vms.KIND)
        failure = _failure(result)
        if failure is not None:
            return failure
        peers = []
        for record in result.unwrap().records:
            decoded = vms.decode(record.name, record.spec)
            if isinstance(decoded, Failure):
                self._log.warning("registry.rejected", why=str(decoded.failure()))
            else:
                peers.append(decoded.unwrap())
        self._neighbours.add_registered(now(), peers)
        return None

    async def _remove_gone(self) -> None:
        """Remove registrations of VMs that are gone for good."""
        at = now()
        if not self._neighbours.is_hub(at):
            return
        for vm in self._neighbours.silent_vms(at, REGISTRATION_TTL_SECONDS):
            self._neighbours.remove(vm)
            await asyncio.to_thread(self._delete, vm)

    def _delete(self, vm: VmId) -> None:
        result = self.store.delete(vms.KIND, vm)
        if isinstance(result, Failure):
            self._log.warning("registry.not-removed", vm_gone=vm)


def _failure(result: Result[_T, StoreFailure]) -> StoreFailure | None:
    return result.swap().value_or(None)
