"""Message links between processes over pynng push/pull sockets."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import pynng
from loguru import logger

from oleandershift.clock import Stamp
from oleandershift.events import EventName
from oleandershift.ids import FleetId, RegionId
from oleandershift.io.logs import EventLog
from oleandershift.io.metrics import Metrics, NoMetrics
from oleandershift.messages import (
    MAX_MESSAGE_BYTES,
    Body,
    Envelope,
    ProcessId,
    TrafficCount,
    decode,
    encode,
)

SEND_BUFFER_MESSAGES = 64
RECEIVE_BUFFER_MESSAGES = 1024
RECEIVE_TIMEOUT_MS = 200


@dataclass
class _Traffic:
    messages: int = 0
    sent_bytes: int = 0


def _host(address: str) -> str:
    return address.rpartition(":")[0]


def _dialled(address: str) -> pynng.Push0:
    peer = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
    try:
        peer.dial(address, block=False)
    except pynng.NNGException:
        peer.close()
        raise
    return peer


class Links:
    """Sends messages to link addresses and hands received ones to a callback.

    A message that can't be sent at once is dropped: messages are state and are sent
    again by the next heartbeat.

    Parameters
    ----------
    fleet : FleetId
        Messages of other fleets are dropped.
    process : ProcessId
        The sending process.
    region : RegionId
        Its region.
    address : str
        `tcp://ip:port` that it listens on.
    on_envelope : callable
        Called on the receiving thread for each good message.
    events : EventLog
        Clock, and log of dropped messages.
    metrics : Metrics, optional
        Takes sent messages.
    """

    def __init__(
        self,
        fleet: FleetId,
        process: ProcessId,
        region: RegionId,
        address: str,
        on_envelope: Callable[[Envelope], None],
        events: EventLog,
        metrics: Metrics | None = None,
    ) -> None:
        self.address = address
        self._host = _host(address)
        self.dropped = 0
        self._fleet = fleet
        self._process = process
        self._region = region
        self._on_envelope = on_envelope
        self._events = events
        self._metrics = metrics or NoMetrics()
        self._lock = threading.Lock()
        self._peers: dict[str, pynng.Push0] = {}
        self._traffic: dict[RegionId, _Traffic] = {}
        self._closing = threading.Event()
        self._pull = pynng.Pull0(
            recv_timeout=RECEIVE_TIMEOUT_MS,
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._thread = threading.Thread(target=self._receive, name="links", daemon=True)

    def start(self) -> None:
        """Listen and begin to receive."""
        self._pull.listen(self.address)
        self._thread.start()

    def close(self) -> None:
        """Close all sockets."""
        self._closing.set()
        self._thread.join()
        self._pull.close()
        with self._lock:
            for peer in self._peers.values():
                peer.close()
            self._peers.clear()

    def send(self, address: str, body: Body, region: RegionId | None = None) -> bool:
        """Send a message; return False when it was dropped.

        Parameters
        ----------
        address : str
            Link address of the receiver.
        body : Body
            The message.
        region : RegionId, optional
            The receiver's region, under which the traffic is counted; the sender's
            own when absent.
        """
        stamp = self._events.stamp()
        envelope = Envelope(
            self._fleet,
            self._process,
            stamp.wall,
            stamp.logical,
            body,
        )
        data = encode(envelope)
        try:
            self._peer(address).send(data, block=False)
        except pynng.NNGException:
            return False
        target = region or self._region
        if _host(address) != self._host:
            self._count(target, len(data))
            self._metrics.on_message_sent(type(body).__name__, target, len(data))
        return True

    def disconnect(self, address: str) -> None:
        """Close the connection to an address that is gone."""
        with self._lock:
            peer = self._peers.pop(address, None)
        if peer is not None:
            peer.close()

    def traffic(self) -> tuple[TrafficCount, ...]:
        """Return what was sent to other VMs, by region."""
        with self._lock:
            return tuple(
                TrafficCount(region, count.messages, count.sent_bytes)
                for region, count in sorted(self._traffic.items())
            )

    def _peer(self, address: str) -> pynng.Push0:
        with self._lock:
            peer = self._peers.get(address)
            if peer is None:
                peer = _dialled(address)
                self._peers[address] = peer
            return peer

    def _count(self, region: RegionId, size: int) -> None:
        with self._lock:
            count = self._traffic.setdefault(region, _Traffic())
            count.messages += 1
            count.sent_bytes += size

    def _receive(self) -> None:
        while not self._closing.is_set():
            try:
                data = self._pull.recv_msg().bytes
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        try:
            envelope = decode(data)
        except msgspec.DecodeError as exc:
            self._drop(f"{len(data)} bytes: {exc}")
            return
        if envelope.fleet != self._fleet:
            self._drop(f"fleet {envelope.fleet!r}")
            return
        if not self._events.update_clock(Stamp(envelope.wall, envelope.logical)):
            self._drop(f"clock {envelope.wall}.{envelope.logical}")
            return
        try:
            self._on_envelope(envelope)
        except Exception:
            logger.exception("message handler failed")

    def _drop(self, why: str) -> None:
        self.dropped += 1
        self._events.write(EventName.MESSAGE_DROPPED, "WARNING", detail=why)
