"""Ledger of what an upstream stand-in has executed."""

import threading
import time
from collections import deque
from collections.abc import Callable

import msgspec


class Execution(msgspec.Struct):
    """One execution; times are seconds since the Unix epoch, 0 when not yet reached.

    Parameters
    ----------
    number : int
        Position in the ledger, from 1.
    request, attempt : str
        From `Oleander-Request-Id`.
    method, path : str
        The call.
    key : str
        `Idempotency-Key`, where it was passed on.
    echo, kind : str
        From the body.
    wanted : int
        Tokens of the whole answer.
    arrived : float
        The call came.
    started, finished : float
        Work began and ended.
    tokens : int
        Tokens made so far.
    cancelled : bool
        Ended before its answer was whole.
    """

    number: int
    request: str
    attempt: str
    method: str
    path: str
    key: str
    echo: str
    kind: str
    wanted: int
    arrived: float
    started: float = 0.0
    finished: float = 0.0
    tokens: int = 0
    cancelled: bool = False


class Ledger:
    """Executions in order of arrival."""

    def __init__(self) -> None:
        self._executions: list[Execution] = []
        self._lock = threading.Lock()

    def add(self, make: Callable[[int], Execution]) -> Execution:
        """Add an execution made from its number."""
        with self._lock:
            execution = make(len(self._executions) + 1)
            self._executions.append(execution)
            return execution

    def executions(self) -> tuple[Execution, ...]:
        """Return all executions so far."""
        with self._lock:
            return tuple(self._executions)


class Slots:
    """Places of an upstream, given in order of arrival.

    Parameters
    ----------
    count : int
        Executions that run at once.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self.busy_seconds = 0.0
        self._since = time.monotonic()
        self._queue: deque[Execution] = deque()
        self._changed = threading.Condition()

    @property
    def waiting(self) -> int:
        """Return how many wait."""
        return len(self._queue)

    def acquire(self, execution: Execution, is_cancelled: Callable[[], bool]) -> bool:
        """Wait for a place; return False when `is_cancelled` came first."""
        with self._changed:
            self._queue.append(execution)
            while self.running >= self.count or self._queue[0] is not execution:
                self._changed.wait(0.2)
                if is_cancelled():
                    self._queue.remove(execution)
                    self._changed.notify_all()
                    return False
            self._queue.popleft()
            self._account()
            self.running += 1
            self._changed.notify_all()
            return True

    def release(self) -> None:
        """Free a place."""
        with self._changed:
            self._account()
            self.running -= 1
            self._changed.notify_all()

    def total_busy_seconds(self) -> float:
        """Return slot-seconds of work so far."""
        with self._changed:
            self._account()
            return self.busy_seconds

    def _account(self) -> None:
        now = time.monotonic()
        self.busy_seconds += self.running * (now - self._since)
        self._since = now
