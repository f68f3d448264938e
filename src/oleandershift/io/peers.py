"""Exchanges load digests with other VMs over UDP and store snapshots over TCP."""

import asyncio
import socket
from collections import defaultdict
from collections.abc import Callable, Iterable

from returns.result import Failure

from oleandershift.crashnotices import NoticeExchange
from oleandershift.digests import (
    CrashNotice,
    LimitNotice,
    PeerMessage,
    SnapshotRequest,
    StoreSnapshot,
    StreamNotice,
    StreamQuery,
    decode_datagram,
    decode_request,
    decode_snapshot,
    encode,
)
from oleandershift.ids import Incarnation, SoftwareVersion, StreamKey
from oleandershift.io.clock import now, remaining
from oleandershift.io.decisionlog import DecisionLog
from oleandershift.io.listener import Listener
from oleandershift.limitnotices import LimitExchange
from oleandershift.neighbours import Addressed, Peer
from oleandershift.state import FleetState, LimitReport
from oleandershift.streamnotices import StreamExchange
from oleandershift.telling import DigestExchange
from oleandershift.vmsettings import Address

SNAPSHOT_TIMEOUT_SECONDS = 1.0
"""Enough for some hundred kilobytes between two regions."""

MAX_SNAPSHOT_BYTES = 8 << 20
"""Several times the largest value that the store accepts."""

REQUEST_TIMEOUT_SECONDS = 0.3
"""Time in which a request follows its connection. VMs of an earlier version send none
and expect a whole snapshot."""

MAX_REQUEST_BYTES = 64

SNAPSHOT_BACKLOG = 512
"""Connections of other VMs that wait to be accepted; several times the VMs of a data
centre, which all ask at once after a change."""

SNAPSHOT_BATCH = 64
"""Connections of other VMs that are accepted in one iteration of the event loop."""

STREAM_ANSWER_SECONDS = 0.1
"""Time in which another VM says which version began a stream; several round trips
between regions."""

STREAM_QUERIES = 2
"""Number of times that the other VMs are asked, as datagrams may be lost."""

_LENGTH_BYTES = 4

_WHOLE_SNAPSHOT = SnapshotRequest(configuration=0, revision=0)


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
        self._notice_exchange = NoticeExchange(
            this_vm.vm, state.peers, state.quarantine
        )
        self._limit_exchange = LimitExchange(this_vm, state.peers, state.allowances)
        self._stream_exchange = StreamExchange(
            this_vm, state.peers, state.stream_versions
        )
        # Callers that wait for the version of a stream.
        self._stream_waiters: defaultdict[
            StreamKey, set[asyncio.Future[SoftwareVersion]]
        ] = defaultdict(set)
        self._state = state
        self._urgent_timer: asyncio.TimerHandle | None = None
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._listener: Listener | None = None

    @property
    def omitted_entries(self) -> int:
        """Return how many entries exceeded the limits of the digests sent so far."""
        return self._digest_exchange.omitted_entries

    async def open(self, snapshot: Callable[[SnapshotRequest], StoreSnapshot]) -> None:
        """Bind the sockets; `snapshot` returns what another VM asks for."""
        loop = asyncio.get_running_loop()
        local_address = (self._address.host, self._address.port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._on_datagram), local_addr=local_address
        )

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(_frame(snapshot(await self._read_request(reader))))
            try:
                async with asyncio.timeout(SNAPSHOT_TIMEOUT_SECONDS):
                    await writer.drain()
            except (OSError, TimeoutError) as exc:
                self._log.warning("snapshot.not-sent", reason=repr(exc))
            writer.close()

        self._listener = Listener(
            self._address,
            lambda: asyncio.StreamReaderProtocol(asyncio.StreamReader(), serve),
            self._log,
            SNAPSHOT_BACKLOG,
            SNAPSHOT_BATCH,
        )
        self._listener.open()

    def close(self) -> None:
        """Close the sockets."""
        if self._transport is not None:
            self._transport.close()
        if self._listener is not None:
            self._listener.close()

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

    def send_due_digests(self) -> None:
        """Send digests if it is time for regular ones."""
        if self._digest_exchange.is_due(now()):
            self.send_digests()

    def send_due_notices(self) -> None:
        """Send notices about upstreams and streams if it is time for them."""
        addressed = self._notice_exchange.next_notice(now())
        if addressed is not None:
            self._send_addressed(addressed)
        for item in self._limit_exchange.next_notices(now()):
            self._send_addressed(item)
        streams = self._stream_exchange.next_notice(now())
        if streams is not None:
            self._send_addressed(streams)

    async def ask_for_stream(self, key: StreamKey) -> SoftwareVersion | None:
        """Ask the other VMs which version began a stream; None if none knows it."""
        answer: asyncio.Future[SoftwareVersion]
        answer = asyncio.get_running_loop().create_future()
        waiters = self._stream_waiters[key]
        waiters.add(answer)
        try:
            for _ in range(STREAM_QUERIES):
                for item in self._stream_exchange.queries(now(), key):
                    self._send_addressed(item)
                await asyncio.wait([answer], timeout=STREAM_ANSWER_SECONDS)
                if answer.done():
                    return answer.result()
            return None
        finally:
            waiters.discard(answer)
            if not waiters:
                self._stream_waiters.pop(key, None)

    def send_digests(self) -> None:
        """Send this VM's digest and, on the hub, the digest of its data centre."""
        if self._urgent_timer is not None:
            self._urgent_timer.cancel()
            self._urgent_timer = None
        for addressed in self._digest_exchange.next_digests(now()):
            self._send_addressed(addressed)

    async def fetch_snapshot(
        self, peer: Peer, req: SnapshotRequest
    ) -> StoreSnapshot | None:
        """Fetch what another VM has read of the store; None when that fails.

        The exchange runs in a thread. On a late event loop each of its steps would
        wait for all other work, and the time would run out on a VM that is well.
        """
        deadline = now() + SNAPSHOT_TIMEOUT_SECONDS
        try:
            data = await asyncio.to_thread(
                _exchange_snapshot, peer.address, req, deadline
            )
        except OSError as exc:
            self._log.warning("snapshot.not-read", peer=peer.vm, reason=repr(exc))
            return None
        result = decode_snapshot(data)
        if isinstance(result, Failure):
            self._log.warning("snapshot.damaged", peer=peer.vm, why=result.failure())
            return None
        return result.unwrap()

    async def _read_request(self, reader: asyncio.StreamReader) -> SnapshotRequest:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                data = await _read_frame(reader, MAX_REQUEST_BYTES)
        except TimeoutError:
            return _WHOLE_SNAPSHOT
        except (OSError, asyncio.IncompleteReadError) as exc:
            self._log.warning("snapshot.bad-request", why=repr(exc))
            return _WHOLE_SNAPSHOT
        result = decode_request(data)
        if isinstance(result, Failure):
            self._log.warning("snapshot.bad-request", why=result.failure())
            return _WHOLE_SNAPSHOT
        return result.unwrap()

    def _send_addressed(self, addressed: Addressed[PeerMessage]) -> None:
        self._send(encode(addressed.message), addressed.peers)

    def _send(self, data: bytes, peers: Iterable[Peer]) -> None:
        if self._transport is None:
            return
        for peer in peers:
            self._transport.sendto(data, (peer.address.host, peer.address.port))

    def _on_datagram(self, data: bytes, sender: Address) -> None:
        result = decode_datagram(data)
        if isinstance(result, Failure):
            self._log.warning("digest.damaged", sender=sender, why=result.failure())
            return
        instant = now()
        message = result.unwrap()
        if isinstance(message, CrashNotice):
            self._notice_exchange.receive(instant, message)
            return
        if isinstance(message, LimitNotice):
            for announced in self._limit_exchange.receive(instant, message):
                self._state.on_limit(LimitReport(announced, f"VM {message.vm}"))
            return
        if isinstance(message, StreamNotice):
            self._on_stream_notice(instant, message)
            return
        if not Address(message.host, message.port).is_valid:
            why = f"no address to send to: {message.host}:{message.port}"
            self._log.warning("digest.damaged", sender=sender, why=why)
            return
        if isinstance(message, StreamQuery):
            self._on_stream_query(instant, message)
            return
        forward_to = self._digest_exchange.receive(instant, message)
        if self._digest_exchange.sums_peers(instant):
            self.on_load_change()
        self._send(data, forward_to)

    def _on_stream_notice(self, instant: float, notice: StreamNotice) -> None:
        self._stream_exchange.receive(instant, notice)
        for group in notice.groups:
            for key in group.keys:
                for waiter in self._stream_waiters.get(key, ()):
                    if not waiter.done():
                        waiter.set_result(group.version)

    def _on_stream_query(self, instant: float, query: StreamQuery) -> None:
        answer = self._stream_exchange.answer(query)
        if answer is not None:
            self._send_addressed(answer)
            return
        forwarded = self._stream_exchange.forwarded(instant, query)
        if forwarded is not None:
            self._send_addressed(forwarded)


def _exchange_snapshot(
    address: Address, req: SnapshotRequest, deadline: float
) -> bytes:
    """Return the encoded answer to a request.

    Raises
    ------
    OSError
        When it does not arrive by the deadline, or is too long.
    """
    endpoint = (address.host, address.port)
    with socket.create_connection(endpoint, _timeout_until(deadline)) as conn:
        conn.sendall(_frame(req))
        size = int.from_bytes(_receive(conn, _LENGTH_BYTES, deadline), "big")
        _check_size(size, MAX_SNAPSHOT_BYTES)
        return _receive(conn, size, deadline)


def _receive(conn: socket.socket, size: int, deadline: float) -> bytes:
    data = bytearray()
    while len(data) < size:
        conn.settimeout(_timeout_until(deadline))
        received = conn.recv(size - len(data))
        if not received:
            raise ConnectionResetError(f"closed after {len(data)} of {size} bytes")
        data += received
    return bytes(data)


def _timeout_until(deadline: float) -> float:
    left_s = remaining(deadline)
    if left_s <= 0:
        raise TimeoutError("timed out")
    return left_s


def _check_size(size: int, max_bytes: int) -> None:
    if size > max_bytes:
        raise OSError(f"message of {size} bytes exceeds {max_bytes}")


def _frame(message: PeerMessage) -> bytes:
    """Encode a message behind its length."""
    data = encode(message)
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


async def _read_frame(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    size = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
    _check_size(size, max_bytes)
    return await reader.readexactly(size)
