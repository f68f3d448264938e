"""Settings, requests, load reports and active runs of the upstream stand-ins."""

import threading
from dataclasses import dataclass

import msgspec

from standins.ledger import Execution


@dataclass(frozen=True)
class UpstreamConfig:
    """Settings of an upstream stand-in.

    Parameters
    ----------
    name, region : str
        Name and region in the event log.
    ip : str
        Address to listen on.
    port, control_port : int
        TCP ports; 0 selects a free one.
    slots : int
        Maximum number of concurrent executions.
    speed : float
        Tokens per second of a single execution.
    load_factor : float
        Fraction by which each additional running execution slows down all of them.
    overhead_seconds : float
        Delay before the first token.
    load_lag_seconds : float
        Maximum age of the load report.
    keep_seconds : float
        Time for which an engine retains a stream without clients.
    """

    name: str = "upstream"
    region: str = ""
    ip: str = "127.0.0.1"
    port: int = 0
    control_port: int = 0
    slots: int = 8
    speed: float = 400.0
    load_factor: float = 0.03
    overhead_seconds: float = 0.02
    load_lag_seconds: float = 0.5
    keep_seconds: float = 5.0


class WorkRequest(msgspec.Struct, frozen=True):
    """Request body; other fields are ignored."""

    max_tokens: int = 1
    stream: bool = False
    echo: str = ""
    kind: str = ""


class LoadReport(msgspec.Struct, frozen=True):
    """Load report of an upstream, which may be out of date."""

    running: int
    waiting: int
    slots: int
    tokens_per_second: float


class Activity(msgspec.Struct, frozen=True):
    """Current load and totals, reported on the control port."""

    running: int
    waiting: int
    slots: int
    busy_seconds: float
    tokens: int


class Run:
    """State of one execution.

    Parameters
    ----------
    execution : Execution
        Ledger entry of the execution.
    work : WorkRequest
        Request body.

    Attributes
    ----------
    cancelled : threading.Event
        Set to stop the execution.
    """

    def __init__(self, execution: Execution, work: WorkRequest) -> None:
        self.execution = execution
        self.work = work
        self.cancelled = threading.Event()

    @property
    def request_id(self) -> str:
        """Request id and attempt, in the form in which the router sends them."""
        return f"{self.execution.request}/{self.execution.attempt}"

    def is_complete(self) -> bool:
        """Return whether all requested tokens are generated."""
        return self.execution.tokens >= self.work.max_tokens


def decode_work(body: bytes) -> WorkRequest:
    """Decode a request body; an invalid one counts as a request for one token."""
    try:
        return msgspec.json.decode(body, type=WorkRequest)
    except msgspec.DecodeError:
        return WorkRequest()
