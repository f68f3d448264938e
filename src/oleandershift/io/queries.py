"""Request/reply socket for operators' queries to an agent, and its client."""

import threading
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import pynng
from loguru import logger
from returns.result import Failure, Result, Success

from oleandershift.events import EventName
from oleandershift.ids import FleetId, Incarnation, RegionId, VmId
from oleandershift.io.logs import EventLog
from oleandershift.messages import (
    MAX_MESSAGE_BYTES,
    Body,
    Envelope,
    OperatorQuery,
    OperatorReply,
    ProcessId,
    Role,
    decode,
    encode,
)

RECEIVE_TIMEOUT_MS = 200
SEND_TIMEOUT_MS = 1000
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True)
class AgentIdentity:
    """Identity of the agent that replies.

    Parameters
    ----------
    fleet : FleetId
        Queries from other fleets are dropped.
    process : ProcessId
        The agent's process.
    region : RegionId
        Region of the agent.
    """

    fleet: FleetId
    process: ProcessId
    region: RegionId


class QueryServer:
    """Serves queries one at a time on a background thread.

    Parameters
    ----------
    identity : AgentIdentity
        Identity of the agent that replies.
    address : str
        `tcp://ip:port` to listen on.
    handler : callable
        Called on the background thread; returns the reply to a query.
    events : EventLog
        Provides the clock and logs dropped messages.
    """

    def __init__(
        self,
        identity: AgentIdentity,
        address: str,
        handler: Callable[[OperatorQuery], OperatorReply],
        events: EventLog,
    ) -> None:
        self._identity = identity
        self._address = address
        self._handler = handler
        self._events = events
        self._closing = threading.Event()
        self._socket = pynng.Rep0(
            recv_timeout=RECEIVE_TIMEOUT_MS,
            send_timeout=SEND_TIMEOUT_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def start(self) -> None:
        """Listen and start the background thread."""
        self._socket.listen(self._address)
        self._thread.start()

    def close(self) -> None:
        """Stop the background thread and close the socket."""
        self._closing.set()
        self._thread.join()
        self._socket.close()

    def _serve(self) -> None:
        while not self._closing.is_set():
            try:
                data = self._socket.recv_msg().bytes
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            try:
                self._handle_message(data)
            except Exception:
                logger.exception("query handler failed")

    def _handle_message(self, data: bytes) -> None:
        try:
            envelope = decode(data)
        except msgspec.DecodeError as exc:
            self._drop(f"{len(data)} bytes: {exc}")
            return
        if envelope.fleet != self._identity.fleet:
            self._drop(f"fleet {envelope.fleet!r}")
            return
        if not isinstance(envelope.body, OperatorQuery):
            self._drop(f"{type(envelope.body).__name__} is no query")
            return
        self._socket.send(self._encode_reply(self._handler(envelope.body)))

    def _encode_reply(self, reply: OperatorReply) -> bytes:
        stamp = self._events.stamp()
        identity = self._identity
        return encode(
            Envelope(identity.fleet, identity.process, stamp.wall, stamp.logical, reply)
        )

    def _drop(self, reason: str) -> None:
        self._events.write(EventName.MESSAGE_DROPPED, "WARNING", detail=reason)


def send_query(
    address: str, fleet: FleetId, query: OperatorQuery, timeout_seconds: float
) -> Result[OperatorReply, str]:
    """Send a query to an agent and wait for its reply.

    Parameters
    ----------
    address : str
        `ip:port` of its query socket.
    fleet : FleetId
        Name of the fleet.
    query : OperatorQuery
        The query or command.
    timeout_seconds : float
        Longest wait for sending and for the reply, each.

    Returns
    -------
    Result
        The reply, or why there is none.
    """
    sender = ProcessId(VmId("operator"), Role.AGENT, Incarnation(0))
    body: Body = query
    data = encode(Envelope(fleet, sender, 0, 0, body))
    timeout_ms = int(timeout_seconds * MILLISECONDS_PER_SECOND)
    with pynng.Req0(
        recv_timeout=timeout_ms,
        send_timeout=timeout_ms,
        recv_max_size=MAX_MESSAGE_BYTES,
    ) as socket:
        try:
            socket.dial(f"tcp://{address}", block=False)
            socket.send(data)
            envelope = decode(socket.recv())
        except (pynng.NNGException, msgspec.DecodeError) as exc:
            return Failure(f"{address}: {type(exc).__name__}: {exc}")
    if not isinstance(envelope.body, OperatorReply):
        return Failure(f"{address}: {type(envelope.body).__name__} is not a reply")
    return Success(envelope.body)
