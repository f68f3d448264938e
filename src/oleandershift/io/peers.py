"""Digests between VMs by datagrams, and snapshots by connections."""

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
"""Limit of reading a snapshot: some hundred kilobytes over two regions."""

MAX_SNAPSHOT_BYTES = 8 << 20
"""Largest snapshot: several times the largest value of the store."""

_LENGTH_BYTES = 4


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes, Address], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._take(data, Address(addr[0], addr[1]))


class PeerTransport:
    """Tells the other VMs what this one has sent, and hears them.

    Parameters
    ----------
    own : Peer
        This VM; its address is listened on by datagrams and connections.
    incarnation : Incarnation
        Start of this process.
    state : FleetState
        What is told, and takes what is heard.
    log : DecisionLog
        Damaged messages and failed reads.
    """

    def __init__(
        self,
        own: Peer,
        incarnation: Incarnation,
        state: FleetState,
        log: DecisionLog,
    ) -> None:
        self._address = own.address
        self._teller = DigestExchange(own, incarnation, state)
        self._soon: asyncio.TimerHandle | None = None
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def open(self, snapshot: Callable[[], StoreSnapshot]) -> None:
        """Listen; `snapshot` gives what other VMs may read."""
        loop = asyncio.get_running_loop()
        local = (self._address.host, self._address.port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self._take), local_addr=local
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

        self._server = await asyncio.start_server(serve, *local)

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def on_load_change(self) -> None:
        """Tell the others soon if the work here has changed by much."""
        at = now()
        if self._soon is not None or not self._teller.is_urgent(at):
            return
        loop = asyncio.get_running_loop()
        self._soon = loop.call_later(
            self._teller.urgent_delay_seconds(at), self.send_digests
        )

    def send_digests(self) -> None:
        """Send this VM's digest, and as a hub the data centre's."""
        if self._soon is not None:
            self._soon.cancel()
            self._soon = None
        for notice in self._teller.next_digests(now()):
            self._send(encode(notice.digest), notice.peers)

    async def fetch_snapshot(self, peer: Peer) -> StoreSnapshot | None:
        """Read another VM's snapshot; None when that fails."""
        try:
            async with asyncio.timeout(SNAPSHOT_TIMEOUT_SECONDS):
                data = await _read(peer.address)
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

    def _take(self, data: bytes, sender: Address) -> None:
        result = decode_digest(data)
        if isinstance(result, Failure):
            self._log.warning("digest.damaged", sender=sender, why=result.failure())
            return
        passed_on = self._teller.receive(now(), result.unwrap())
        self.on_load_change()
        self._send(data, passed_on)


async def _read(address: Address) -> bytes:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        size = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
        if size > MAX_SNAPSHOT_BYTES:
            raise OSError(f"a snapshot of {size} bytes exceeds {MAX_SNAPSHOT_BYTES}")
        return await reader.readexactly(size)
    finally:
        writer.close()
