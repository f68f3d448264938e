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


def _dial(address: str) -> pynng.Push0:
    push = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
    try:
        push.dial(address, block=False)
    except pynng.NNGException:
        push.close()
        raise
    return push


class Links:
    """Sends messages to other processes and passes received ones to a callback.

    A message that can't be sent without blocking is dropped: messages carry state,
    and the next heartbeat sends it again.

    Parameters
    ----------
    fleet : FleetId
        Messages from other fleets are dropped.
    process : ProcessId
        The sending process.
    region : RegionId
        Region of the sending process.
    address : str
        `tcp://ip:port` to listen on.
    on_envelope : callable
        Called on the receiving thread with each valid message.
    events : EventLog
        Provides the clock and logs dropped messages.
    metrics : Metrics, optional
        Counts messages sent to other VMs.
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
        self._push_sockets: dict[str, pynng.Push0] = {}
        self._traffic: dict[RegionId, _Traffic] = {}
        self._closing = threading.Event()
        self._pull_socket = pynng.Pull0(
            recv_timeout=RECEIVE_TIMEOUT_MS,
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._thread = threading.Thread(target=self._receive, name="links", daemon=True)

    def start(self) -> None:
        """Listen and start the receiving thread."""
        self._pull_socket.listen(self.address)
        self._thread.start()

    def close(self) -> None:
        """Stop receiving and close all sockets."""
        self._closing.set()
        self._thread.join()
        self._pull_socket.close()
        with self._lock:
            for push in self._push_sockets.values():
                push.close()
            self._push_sockets.clear()

    def send(self, address: str, body: Body, region: RegionId | None = None) -> bool:
        """Send a message; return False if it was dropped.

        Parameters
        ----------
        address : str
            Link address of the receiver.
        body : Body
            The message.
        region : RegionId, optional
            Region of the receiver, under which the traffic is counted; defaults to the
            region of the sender.
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
            self._push_socket(address).send(data, block=False)
        except pynng.NNGException:
            return False
        target_region = region or self._region
        if _host(address) != self._host:
            self._count_sent(target_region, len(data))
            self._metrics.on_message_sent(type(body).__name__, target_region, len(data))
        return True

    def disconnect(self, address: str) -> None:
        """Close the connection to an address that is no longer used."""
        with self._lock:
            push = self._push_sockets.pop(address, None)
        if push is not None:
            push.close()

    def traffic(self) -> tuple[TrafficCount, ...]:
        """Return the traffic sent to other VMs, by region."""
        with self._lock:
            return tuple(
                TrafficCount(region, count.messages, count.sent_bytes)
                for region, count in sorted(self._traffic.items())
            )

    def _push_socket(self, address: str) -> pynng.Push0:
        with self._lock:
            push = self._push_sockets.get(address)
            if push is None:
                push = _dial(address)
                self._push_sockets[address] = push
            return push

    def _count_sent(self, region: RegionId, size: int) -> None:
        with self._lock:
            count = self._traffic.setdefault(region, _Traffic())
            count.messages += 1
            count.sent_bytes += size

    def _receive(self) -> None:
        while not self._closing.is_set():
            try:
                data = self._pull_socket.recv_msg().bytes
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

    def _drop(self, reason: str) -> None:
        self.dropped += 1
        self._events.write(EventName.MESSAGE_DROPPED, "WARNING", detail=reason)
