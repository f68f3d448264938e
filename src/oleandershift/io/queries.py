"""Socket on which an agent answers operators' queries, and the client of it."""

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
    """Who answers.

    Parameters
    ----------
    fleet : FleetId
        Queries of other fleets get no answer.
    process : ProcessId
        The agent.
    region : RegionId
        Its region.
    """

    fleet: FleetId
    process: ProcessId
    region: RegionId


class QueryServer:
    """Answers one query after another on a thread of its own.

    Parameters
    ----------
    identity : Identity
        Who answers.
    address : str
        `tcp://ip:port` to listen on.
    answer : callable
        Answers a query.
    events : EventLog
        Clock, and log of dropped messages.
    """

    def __init__(
        self,
        identity: AgentIdentity,
        address: str,
        answer: Callable[[OperatorQuery], OperatorReply],
        events: EventLog,
    ) -> None:
        self._identity = identity
        self._address = address
        self._answer = answer
        self._events = events
        self._closing = threading.Event()
        self._socket = pynng.Rep0(
            recv_timeout=RECEIVE_TIMEOUT_MS,
            send_timeout=SEND_TIMEOUT_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def start(self) -> None:
        """Listen and begin to answer."""
        self._socket.listen(self._address)
        self._thread.start()

    def close(self) -> None:
        """Stop answering."""
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
                self._reply(data)
            except Exception:
                logger.exception("query failed")

    def _reply(self, data: bytes) -> None:
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
        self._socket.send(self._encoded(self._answer(envelope.body)))

    def _encoded(self, reply: OperatorReply) -> bytes:
        stamp = self._events.stamp()
        who = self._identity
        return encode(
            Envelope(who.fleet, who.process, stamp.wall, stamp.logical, reply)
        )

    def _drop(self, why: str) -> None:
        self._events.write(EventName.MESSAGE_DROPPED, "WARNING", detail=why)


def send_query(
    address: str, fleet: FleetId, query: OperatorQuery, timeout_seconds: float
) -> Result[OperatorReply, str]:
    """Ask an agent.

    Parameters
    ----------
    address : str
        `ip:port` of its query socket.
    fleet : FleetId
        Name of the fleet.
    query : OperatorQuery
        The question or order.
    timeout_seconds : float
        How long to wait for the answer.

    Returns
    -------
    Result
        The answer, or why there is none.
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
        return Failure(f"{address}: {type(envelope.body).__name__} is no answer")
    return Success(envelope.body)
