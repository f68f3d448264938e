"""Ledger of executions, and execution slots, of an upstream stand-in."""

import threading
import time
from collections import deque
from collections.abc import Callable

import msgspec


class Execution(msgspec.Struct):
    """One execution; times are seconds since the Unix epoch, 0 until they are known.

    Parameters
    ----------
    number : int
        Position in the ledger, starting at 1.
    request, attempt : str
        Request and attempt identifiers from `Oleander-Request-Id`.
    method, path : str
        HTTP method and path.
    key : str
        `Idempotency-Key` header, if the router forwarded it.
    echo, kind : str
        Fields of the request body.
    wanted : int
        Tokens of the complete response.
    arrived : float
        Arrival of the request.
    started, finished : float
        Start and end of the work.
    tokens : int
        Tokens generated so far.
    cancelled : bool
        The execution ended before its response was complete.
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
    """Thread-safe list of executions in order of arrival."""

    def __init__(self) -> None:
        self._executions: list[Execution] = []
        self._lock = threading.Lock()

    def add(self, make_execution: Callable[[int], Execution]) -> Execution:
        """Append the execution that `make_execution` returns for its number."""
        with self._lock:
            execution = make_execution(len(self._executions) + 1)
            self._executions.append(execution)
            return execution

    def executions(self) -> tuple[Execution, ...]:
        """Return all executions."""
        with self._lock:
            return tuple(self._executions)


class Slots:
    """Execution slots of an upstream, assigned in order of arrival.

    Parameters
    ----------
    count : int
        Maximum number of concurrent executions.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self.busy_seconds = 0.0
        self._accounted_until = time.monotonic()
        self._queue: deque[Execution] = deque()
        self._slot_changed = threading.Condition()

    @property
    def waiting(self) -> int:
        """Return the number of executions waiting for a slot."""
        return len(self._queue)

    def acquire(self, execution: Execution, is_cancelled: Callable[[], bool]) -> bool:
        """Wait for a slot; return False if `is_cancelled` returns True first."""
        with self._slot_changed:
            self._queue.append(execution)
            while self.running >= self.count or self._queue[0] is not execution:
                self._slot_changed.wait(0.2)
                if is_cancelled():
                    self._queue.remove(execution)
                    self._slot_changed.notify_all()
                    return False
            self._queue.popleft()
            self._update_busy_seconds()
            self.running += 1
            self._slot_changed.notify_all()
            return True

    def release(self) -> None:
        """Free a slot."""
        with self._slot_changed:
            self._update_busy_seconds()
            self.running -= 1
            self._slot_changed.notify_all()

    def total_busy_seconds(self) -> float:
        """Return the slot-seconds occupied so far."""
        with self._slot_changed:
            self._update_busy_seconds()
            return self.busy_seconds

    def _update_busy_seconds(self) -> None:
        now = time.monotonic()
        self.busy_seconds += self.running * (now - self._accounted_until)
        self._accounted_until = now
