"""Command line of oleander-agent."""

from collections.abc import Sequence
from typing import Any

import pykka

from oleandershift.io.agent import AgentActor
from oleandershift.io.daemon import Runtime, read_settings, run
from oleandershift.messages import Role
from oleandershift.settings import (
    COMMON_SETTINGS,
    Setting,
    address_list,
    seconds_between,
    url,
)

PROGRAM = "oleander-agent"
PURPOSE = "Maintain this VM's view of the fleet and of the operators' table."

SETTINGS = (
    *COMMON_SETTINGS,
    Setting("platform_url", url, "http://host:port", "the platform's object API"),
    Setting(
        "seeds",
        address_list,
        "ip:port, comma-separated",
        "agents to contact first",
        "",
    ),
    Setting(
        "drain_seconds",
        seconds_between(0, 86_400),
        "0 to 86400",
        "longest time from SIGTERM to exit while local processes still run",
        "600",
    ),
)


def _start_actor(runtime: Runtime) -> pykka.ActorRef[Any]:
    return AgentActor.start(runtime)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the agent until it has left the fleet and return the exit code."""
    cfg = read_settings(PROGRAM, PURPOSE, SETTINGS, argv)
    return run(Role.AGENT, cfg.agent_port, cfg, _start_actor)


if __name__ == "__main__":
    raise SystemExit(main())
