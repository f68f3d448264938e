"""Work of an upstream stand-in: settings, what is asked for, what is under way."""

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
        For the log.
    ip : str
        Address to listen on.
    port, control_port : int
        Ports; 0 takes a free one.
    slots : int
        Executions at once.
    speed : float
        Tokens a second of an execution that runs alone.
    load_factor : float
        Part by which each further running execution slows all.
    overhead_seconds : float
        Time before the first token.
    load_lag_seconds : float
        Age that the load report may have.
    keep_seconds : float
        How long an engine keeps a stream whose client has gone.
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
    """What a body asks for; other fields are ignored."""

    max_tokens: int = 1
    stream: bool = False
    echo: str = ""
    kind: str = ""


class LoadReport(msgspec.Struct, frozen=True):
    """Load report of an upstream."""

    running: int
    waiting: int
    slots: int
    tokens_per_second: float


class Activity(msgspec.Struct, frozen=True):
    """Exact figures for the control port."""

    running: int
    waiting: int
    slots: int
    busy_seconds: float
    tokens: int


class Run:
    """One execution under way.

    Parameters
    ----------
    execution : Execution
        Its entry in the ledger.
    work : Work
        What is asked for.

    Attributes
    ----------
    cancelled : threading.Event
        Set to stop it.
    """

    def __init__(self, execution: Execution, work: WorkRequest) -> None:
        self.execution = execution
        self.work = work
        self.cancelled = threading.Event()

    @property
    def request_id(self) -> str:
        """Return the id that the router knows it by."""
        return f"{self.execution.request}/{self.execution.attempt}"

    def is_complete(self) -> bool:
        """Tell whether all tokens are made."""
        return self.execution.tokens >= self.work.max_tokens


def decode_work(body: bytes) -> WorkRequest:
    """Return what a body asks for; one that is not such JSON asks for one token."""
    try:
        return msgspec.json.decode(body, type=WorkRequest)
    except msgspec.DecodeError:
        return WorkRequest()
