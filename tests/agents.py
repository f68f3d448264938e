"""Agents in subprocesses, and a fake router that subscribes to one of them."""

import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from returns.result import Success

from oleandershift.ids import FleetId, Incarnation, RegionId, VmId
from oleandershift.io.links import Links
from oleandershift.io.logs import EventLog
from oleandershift.io.queries import send_query
from oleandershift.messages import (
    Body,
    Envelope,
    OperatorQuery,
    OperatorReply,
    ProcessId,
    QueryKind,
    Role,
)
from oleandershift.subscription import Subscription
from standins.ports import free_port
from standins.processes import suspend

WAIT_TIMEOUT_SECONDS = 30.0
QUERY_TIMEOUT_SECONDS = 2.0
TICK_INTERVAL_SECONDS = 0.05
FLEET = FleetId("oleander")
SHOWN_STATUS = ("Name:", "State:", "SigPnd:", "ShdPnd:", "voluntary_ctxt_switches:")
SHOWN_CHARACTERS = 8000


def wait_until(
    condition: Callable[[], bool], what: str, agents: Iterable["AgentProcess"] = ()
) -> None:
    """Wait until a condition holds; a failure shows the threads of some agents."""
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() >= deadline:
            threads = [agent.describe_threads() for agent in agents]
            raise AssertionError(
                "\n".join([f"timed out waiting for: {what}", *threads])
            )
        time.sleep(0.02)


@dataclass
class AgentProcess:
    """An agent in a subprocess."""

    vm: str
    region: str
    platform_url: str
    log: Path
    seeds: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.agent_port = free_port()
        self.query_port = free_port()
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def query_address(self) -> str:
        """Return the address of the agent's query socket."""
        return f"127.0.0.1:{self.query_port}"

    def start(self) -> None:
        """Start or restart the agent, without any earlier state."""
        settings = {
            "vm": self.vm,
            "region": self.region,
            "data-centre": f"{self.region}-1",
            "ip": "127.0.0.1",
            "agent-port": self.agent_port,
            "query-port": self.query_port,
            "platform-url": self.platform_url,
            "seeds": ",".join(self.seeds),
            "log-file": self.log,
            "drain-seconds": 5,
        }
        flags = [f"--{name}={value}" for name, value in settings.items()]
        command = [sys.executable, "-m", "oleandershift.cli.agent", *flags]
        with self.log.with_suffix(".stacks").open("ab") as errors:
            self.process = subprocess.Popen(command, stderr=errors)

    def query(
        self, kind: QueryKind, subject: str = "", deadline: float = 0.0
    ) -> OperatorReply | None:
        """Query the agent and return its reply, or None when there is none."""
        query = OperatorQuery(kind, subject, deadline)
        result = send_query(self.query_address, FLEET, query, QUERY_TIMEOUT_SECONDS)
        return result.unwrap() if isinstance(result, Success) else None

    def is_ready(self) -> bool:
        """Return whether the agent has a complete table."""
        reply = self.query(QueryKind.MEMBERS)
        return reply is not None and reply.table_digest != b""

    def row_version(self, row: str) -> int:
        """Return the version of a row in force on the agent's VM."""
        reply = self.query(QueryKind.TABLE, row)
        return reply.versions[0].version if reply and reply.versions else 0

    def member_states(self) -> dict[str, str]:
        """Return the state of each member as the agent sees it."""
        reply = self.query(QueryKind.MEMBERS)
        members = reply.members if reply else ()
        return {member.vm: member.state.value for member in members}

    def freeze(self) -> None:
        """Pause the process; return when it stands still."""
        assert self.process is not None
        assert suspend(self.process.pid)

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)

    def dump_stacks(self) -> None:
        """Make the process dump its threads' stacks to a file next to its log."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGUSR1)
            time.sleep(TICK_INTERVAL_SECONDS)

    def describe_threads(self) -> str:
        """Return the states of the threads, and the stacks of those that run."""
        assert self.process is not None
        states = []
        for path in Path(f"/proc/{self.process.pid}/task").glob("*/status"):
            with suppress(OSError):
                lines = path.read_text().splitlines()
                states.append(" ".join(x for x in lines if x.startswith(SHOWN_STATUS)))
        self.dump_stacks()
        stacks = self.log.with_suffix(".stacks").read_text()[-SHOWN_CHARACTERS:]
        exit_code = self.process.poll()
        return "\n".join([f"{self.vm}, exit code {exit_code}", *states, stacks])

    def kill(self) -> None:
        """Kill the process with SIGKILL."""
        if self.process is not None:
            self.process.kill()
            self.process.wait(WAIT_TIMEOUT_SECONDS)

    def stop(self) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        assert self.process is not None
        self.process.terminate()
        return self.process.wait(WAIT_TIMEOUT_SECONDS)


class FakeRouter:
    """Fake router process that subscribes to its VM's agent.

    Parameters
    ----------
    agent : AgentProcess
        The agent to subscribe to.

    Attributes
    ----------
    received : list of Body
        Messages from the agent.
    row_versions : list of tuple
        Names and versions of rows in the order in which they were applied.
    """

    def __init__(self, agent: AgentProcess) -> None:
        address = f"tcp://127.0.0.1:{free_port()}"
        process = ProcessId(VmId(agent.vm), Role.ROUTER, Incarnation(time.time_ns()))
        region = RegionId(agent.region)
        self.process = process
        self.subscription = Subscription(address)
        self.received: list[Body] = []
        self.row_versions: list[tuple[str, int]] = []
        self._agent_address = f"tcp://127.0.0.1:{agent.agent_port}"
        self._lock = threading.Lock()
        self._closing = threading.Event()
        events = EventLog(process, region)
        self.links = Links(FLEET, process, region, address, self._on_envelope, events)
        self._thread = threading.Thread(target=self._tick, daemon=True)
        self.links.start()
        self._thread.start()

    def send(self, body: Body) -> None:
        """Send a message to the agent."""
        self.links.send(self._agent_address, body)

    def close(self) -> None:
        """Stop sending heartbeats and close the links."""
        self._closing.set()
        self._thread.join()
        self.links.close()

    def _on_envelope(self, envelope: Envelope) -> None:
        with self._lock:
            self.received.append(envelope.body)
            changes = self.subscription.on_message(
                envelope.sender.incarnation, envelope.body
            )
            self.row_versions += [(row.name, row.version) for row in changes.rows]

    def _tick(self) -> None:
        while not self._closing.wait(TICK_INTERVAL_SECONDS):
            with self._lock:
                bodies = self.subscription.on_tick(time.time(), ready=True)
            for body in bodies:
                self.send(body)
