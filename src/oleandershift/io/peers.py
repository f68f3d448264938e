"""Digests between VMs by datagrams, and snapshots by connections."""

import asyncio
from collections.abc import Callable, Iterable

from returns.result import Failure

from oleandershift.digests import (
    BeliefsSnapshot,
    Digest,
    Scope,
    decode_digest,
    decode_snapshot,
    encode,
)
from oleandershift.ids import Incarnation, Seq
from oleandershift.io.clock import now
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.neighbours import (
    CentreSum,
    Peer,
    demand_entries,
    work_entries,
)
from oleandershift.node import Address
from oleandershift.state import FleetState

SEARCH_TICKS = 10
"""Every so many digests, a hub also tells data centres whose hub it does not know."""

URGENT_TOKENS = 3000
"""Change of unread prompt tokens that the others are told before their turn: some tens
of milliseconds of an engine's time."""

URGENT_SECONDS_PER_VM = 0.001
"""Time in which such changes are gathered, for each VM: at ten VMs less than a way
between regions, at a hundred the pace of the usual digests."""

FETCH_SECONDS = 1.0
"""Limit of reading a snapshot: some hundred kilobytes over two regions."""

MAX_SNAPSHOT_BYTES = 8 << 20
"""Largest snapshot: several times the largest value of the store."""

_LENGTH_BYTES = 4


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes, Address], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._take(data, Address(addr[0], addr[1]))


class PeerLink:
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
        self._own = own
        self._address = own.address
        self._incarnation = incarnation
        self._state = state
        self._neighbours = state.neighbours
        self._told = 0
        self._soon: asyncio.TimerHandle | None = None
        self._log = log
        self._seq = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None

    async def open(self, snapshot: Callable[[], BeliefsSnapshot]) -> None:
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
                async with asyncio.timeout(FETCH_SECONDS):
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

    def on_work(self) -> None:
        """Tell the others soon if the work here has changed by much."""
        if self._soon is not None:
            return
        if abs(self._unread() - self._told) < URGENT_TOKENS:
            return
        loop = asyncio.get_running_loop()
        wait = URGENT_SECONDS_PER_VM * self._neighbours.known(now())
        self._soon = loop.call_later(wait, self.tell)

    def tell(self) -> None:
        """Send this VM's digest, and as a hub the data centre's."""
        at = now()
        if self._soon is not None:
            self._soon.cancel()
            self._soon = None
        self._told = self._unread()
        self._seq += 1
        work = work_entries(self._state.loads.own())
        asked = self._state.demand.rates(at)
        own = CentreSum(1, work, demand_entries(asked))
        self._send(self._digest(Scope.VM, own), self._neighbours.mates(at))
        if not self._neighbours.is_hub(at):
            return
        search = self._seq % SEARCH_TICKS == 0
        total = self._neighbours.centre(at, work, asked)
        digest = self._digest(Scope.DATA_CENTRE, total)
        self._send(digest, self._neighbours.hubs(at, search))

    async def fetch(self, peer: Peer) -> BeliefsSnapshot | None:
        """Read another VM's snapshot; None when that fails."""
        try:
            async with asyncio.timeout(FETCH_SECONDS):
                data = await _read(peer.address)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self._log.warning("snapshot.not-read", peer=peer.vm, reason=repr(exc))
            return None
        result = decode_snapshot(data)
        if isinstance(result, Failure):
            self._log.warning("snapshot.damaged", peer=peer.vm, why=result.failure())
            return None
        return result.unwrap()

    def _unread(self) -> int:
        """Return the prompt tokens that this VM, or its data centre, waits for."""
        own = sum(load.unread for load in self._state.loads.own().values())
        if not self._neighbours.is_hub(now()):
            return own
        return own + self._neighbours.centre_unread(now())

    def _digest(self, scope: Scope, total: CentreSum) -> Digest:
        cfg = self._state.beliefs.configuration
        return Digest(
            vm=self._own.vm,
            data_centre=self._own.data_centre,
            incarnation=self._incarnation,
            seq=Seq(self._seq),
            scope=scope,
            vms=total.vms,
            configuration=cfg.version if cfg else 0,
            revision=self._state.beliefs.directory.changed,
            host=self._address.host,
            port=self._address.port,
            work=total.work,
            demand=total.demand,
        )

    def _send(self, digest: Digest, peers: Iterable[Peer]) -> None:
        self._send_bytes(encode(digest), peers)

    def _send_bytes(self, data: bytes, peers: Iterable[Peer]) -> None:
        if self._transport is None:
            return
        for peer in peers:
            self._transport.sendto(data, (peer.address.host, peer.address.port))

    def _take(self, data: bytes, sender: Address) -> None:
        result = decode_digest(data)
        if isinstance(result, Failure):
            self._log.warning("digest.damaged", sender=sender, why=result.failure())
            return
        at = now()
        is_news = self._neighbours.take(at, result.unwrap())
        self.on_work()
        if is_news and self._neighbours.is_hub(at):
            self._send_bytes(data, self._neighbours.mates(at))


async def _read(address: Address) -> bytes:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        size = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
        if size > MAX_SNAPSHOT_BYTES:
            raise OSError(f"a snapshot of {size} bytes exceeds {MAX_SNAPSHOT_BYTES}")
        return await reader.readexactly(size)
    finally:
        writer.close()
