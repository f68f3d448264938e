"""Exchanges load digests with other VMs over UDP and store snapshots over TCP."""

import asyncio
from collections.abc import Callable, Iterable

from returns.result import Failure

from oleandershift.digests import (
    StoreSnapshot,
    decode_digest,
    decode_snapshot,
    encode,
)
from oleandershift.ids import Incarnation
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.neighbours import Peer
from oleandershift.state import FleetState
from oleandershift.telling import DigestExchange
from oleandershift.vmsettings import Address

SNAPSHOT_TIMEOUT_SECONDS = 1.0
"""Enough for some hundred kilobytes between two regions."""

MAX_SNAPSHOT_BYTES = 8 << 20
"""Several times the largest value that the store accepts."""

_LENGTH_BYTES = 4


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._on_datagram(data, Address(addr[0], addr[1]))


class PeerTransport:
    """Sends this VM's digests to other VMs and receives theirs.

    Parameters
    ----------
    this_vm : Peer
        This VM. Its address is bound for both UDP and TCP.
    incarnation : Incarnation
        Start time of this process.
    state : FleetState
        Source of the digests that are sent, updated by those received.
    log : DecisionLog
        Receives damaged messages and failed transfers.
    """

    def __init__(
        self,
        this_vm: Peer,
        incarnation: Incarnation,
        state: FleetState,
        log: DecisionLog,
    ) -> None:
        self._address = this_vm.address
        self._digest_exchange = DigestExchange(this_vm, incarnation, state)
        self._urgent_timer: asyncio.TimerHandle | None = None
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def open(self, snapshot: Callable[[], StoreSnapshot]) -> None:
        """Bind the sockets; `snapshot` returns what other VMs may fetch."""
        loop = asyncio.get_running_loop()
        local_address = (self._address.host, self._address.port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._on_datagram), local_addr=local_address
        )

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            data = encode(snapshot())
            writer.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)
            try:
                async with asyncio.timeout(SNAPSHOT_TIMEOUT_SECONDS):
                    await writer.drain()
            except (OSError, TimeoutError) as exc:
                self._log.warning("snapshot.not-sent", reason=repr(exc))
            writer.close()

        self._server = await asyncio.start_server(serve, *local_address)

    def close(self) -> None:
        """Close the sockets."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def on_load_change(self) -> None:
        """Schedule an early digest if the load has changed significantly."""
        instant = now()
        if self._urgent_timer is not None or not self._digest_exchange.is_urgent(
            instant
        ):
            return
        loop = asyncio.get_running_loop()
        self._urgent_timer = loop.call_later(
            self._digest_exchange.urgent_delay_seconds(instant), self.send_digests
        )

    def send_digests(self) -> None:
        """Send this VM's digest and, on the hub, the digest of its data centre."""
        if self._urgent_timer is not None:
            self._urgent_timer.cancel()
            self._urgent_timer = None
        for addressed in self._digest_exchange.next_digests(now()):
            self._send(encode(addressed.digest), addressed.peers)

    async def fetch_snapshot(self, peer: Peer) -> StoreSnapshot | None:
        """Fetch another VM's store snapshot; None when that fails."""
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT_SECONDS):
                data = await _read_snapshot(peer.address)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self._log.warning("snapshot.not-read", peer=peer.vm, reason=repr(exc))
            return None
        result = decode_snapshot(data)
        if isinstance(result, Failure):
            self._log.warning("snapshot.damaged", peer=peer.vm, why=result.failure())
            return None
        return result.unwrap()

    def _send(self, data: bytes, peers: Iterable[Peer]) -> None:
        if self._transport is None:
            return
        for peer in peers:
            self._transport.sendto(data, (peer.address.host, peer.address.port))

    def _on_datagram(self, data: bytes, sender: Address) -> None:
        result = decode_digest(data)
        if isinstance(result, Failure):
            self._log.warning("digest.damaged", sender=sender, why=result.failure())
            return
        forward_to = self._digest_exchange.receive(now(), result.unwrap())
        self.on_load_change()
        self._send(data, forward_to)


async def _read_snapshot(address: Address) -> bytes:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        size = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
        if size > MAX_SNAPSHOT_BYTES:
            raise OSError(f"snapshot of {size} bytes exceeds {MAX_SNAPSHOT_BYTES}")
        return await reader.readexactly(size)
    finally:
        writer.close()
