"""Tests of real agents: table, membership, queries, the table command."""

import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from oleandershift.cli.operator import main
from oleandershift.ids import RequestId, ServiceId, TeamId, UpstreamId
from oleandershift.messages import DrainCommand, Outcome, QueryKind, StatusReport
from standins.platform import (
    Loss,
    Outage,
    Platform,
    PlatformFaults,
    VmEntry,
    VmEntryState,
)
from tests.agents import AgentProcess, FakeRouter, wait_until

REGIONS = ("north", "north", "north", "south")
ROW = "teams/alpha"

ROLE_LEFT_SECONDS = 4.0
"""Time in which the watches of an agent that gave up the role end (docs/TABLE.md)."""


def store_put(
    platform: Platform, kind: str, name: str, value: dict[str, object]
) -> int:
    held = platform.store.get(kind, name)
    data = json.dumps({"name": name, **value}).encode()
    expected = held.version if held else None
    return platform.store.put(kind, name, data, expected).version


@pytest.fixture
def rows(platform: Platform) -> Platform:
    """Return the platform with a table."""
    store_put(platform, "services", "cases", {})
    store_put(platform, "teams", "alpha", {"weight": 1.0})
    upstream = {"service": "cases", "region": "north", "url": "http://127.0.0.5:80"}
    store_put(platform, "upstreams", "u1", upstream)
    return platform


@pytest.fixture
def new_agents(tmp_path: Path) -> Iterator[Callable[..., list[AgentProcess]]]:
    """Return a maker of agents, not yet started."""
    made: list[AgentProcess] = []

    def make(platform: Platform, regions: tuple[str, ...]) -> list[AgentProcess]:
        for number, region in enumerate(regions):
            log = tmp_path / f"vm{number}.log"
            made.append(AgentProcess(f"vm{number}", region, platform.url, log))
        for agent in made:
            agent.seeds = [f"127.0.0.1:{made[i].agent_port}" for i in (0, -1)]
        return made

    yield make
    for agent in made:
        agent.dump_stacks()
        agent.kill()


@pytest.fixture
def agents(
    rows: Platform, new_agents: Callable[..., list[AgentProcess]]
) -> list[AgentProcess]:
    """Return running agents that know each other and the table."""
    made = new_agents(rows, REGIONS)
    for agent in made:
        agent.start()
    wait_until(
        lambda: all(len(a.member_states()) == len(made) for a in made), "members"
    )
    wait_until(lambda: all(a.is_ready() for a in made), "table")
    return made


@pytest.fixture
def local(agents: list[AgentProcess]) -> Iterator[FakeRouter]:
    """Return a local process of the first agent's VM that has the table."""
    made = FakeRouter(agents[0])
    wait_until(made.subscription.is_complete, "table at the local process")
    wait_until(lambda: len(made.subscription.members) == len(agents), "members")
    yield made
    made.close()


def run_table(platform: Platform, agent: AgentProcess, *words: str) -> int:
    flags = ["--platform-url", platform.url]
    if "--wait" in words:
        flags += ["--query-address", agent.query_address]
    return main(["table", *words, *flags])


def test_edit_comes_into_force_everywhere(
    rows: Platform, agents: list[AgentProcess], local: FakeRouter
) -> None:
    version = store_put(rows, "teams", "alpha", {"weight": 5.0})
    wait_until(
        lambda: all(a.row_version(ROW) == version for a in agents), "edit in force"
    )
    assert local.subscription.table.teams[TeamId("alpha")].weight == 5.0


def test_version_in_force_is_the_local_process_s(
    rows: Platform, agents: list[AgentProcess], local: FakeRouter
) -> None:
    wait_until(lambda: agents[0].row_version(ROW) == 1, "acknowledged")
    local.close()
    version = store_put(rows, "teams", "alpha", {"weight": 5.0})
    wait_until(lambda: agents[1].row_version(ROW) == version, "edit at a peer")
    assert agents[0].row_version(ROW) == version - 1
    wait_until(
        lambda: agents[0].row_version(ROW) == version, "silent process forgotten"
    )


def test_removed_row_goes_and_stays_away(
    rows: Platform, agents: list[AgentProcess], local: FakeRouter
) -> None:
    store_put(rows, "teams", "alpha", {"deleted": True})
    wait_until(lambda: not local.subscription.table.teams, "row removed")
    agents[1].kill()
    agents[1].start()
    wait_until(agents[1].is_ready, "restarted agent")
    version = store_put(rows, "teams", "beta", {})
    wait_until(lambda: agents[0].row_version("teams/beta") == version, "later edit")
    assert list(local.subscription.table.teams) == ["beta"]


def test_two_agents_a_region_watch_and_no_more(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    watchers = 2 + 1
    kinds = 3
    time.sleep(ROLE_LEFT_SECONDS)
    wait_until(
        lambda: rows.counters().waiting_watches == watchers * kinds, "two watchers"
    )
    for weight in range(5):
        version = store_put(rows, "teams", "alpha", {"weight": 5.0 + weight})
        wait_until(
            lambda version=version: all(a.row_version(ROW) == version for a in agents),
            "edit in force",
        )
        assert rows.counters().waiting_watches <= watchers * kinds


def test_watch_of_an_agent_that_gave_up_the_role_ends(
    rows: Platform, new_agents: Callable[..., list[AgentProcess]]
) -> None:
    made = new_agents(rows, ("north",) * 3)
    for agent in made:
        seeds, agent.seeds = agent.seeds, ["127.0.0.1:9"]
        agent.start()
        agent.seeds = seeds
    wait_until(lambda: rows.counters().waiting_watches == 3 * 3, "each alone")
    for agent in made[1:]:
        agent.kill()
        agent.start()
    wait_until(lambda: all(len(a.member_states()) == 3 for a in made), "members")
    time.sleep(ROLE_LEFT_SECONDS)
    assert rows.counters().waiting_watches == 2 * 3


def test_watch_handover_loses_no_edit(
    rows: Platform, agents: list[AgentProcess], local: FakeRouter
) -> None:
    holders = [a for a in agents[1:3] if a.query(QueryKind.STATUS).platform == "ok"]  # type: ignore[union-attr]
    for agent in holders:
        agent.kill()
    for weight in range(20):
        version = store_put(rows, "teams", "alpha", {"weight": 2.0 + weight})
        time.sleep(0.05)
    living = [agent for agent in agents if agent not in holders]
    wait_until(lambda: all(a.row_version(ROW) == version for a in living), "last edit")
    numbers = [number for name, number in local.row_versions if name == "alpha"]
    assert numbers == sorted(set(numbers))


def test_restarted_agent_takes_the_table_from_peers_while_the_platform_is_away(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    version = store_put(rows, "teams", "alpha", {"weight": 5.0})
    wait_until(
        lambda: all(a.row_version(ROW) == version for a in agents), "edit in force"
    )
    rows.set_faults(PlatformFaults(outage=Outage.CLOSED))
    agents[0].kill()
    agents[0].start()
    wait_until(lambda: agents[0].row_version(ROW) == version, "table of the peers")


def test_agent_without_table_says_so_until_the_platform_is_back(
    rows: Platform, new_agents: Callable[..., list[AgentProcess]]
) -> None:
    rows.set_faults(PlatformFaults(outage=Outage.UNAVAILABLE))
    (agent,) = new_agents(rows, ("north",))
    agent.start()
    wait_until(lambda: agent.query(QueryKind.STATUS) is not None, "answer")
    local = FakeRouter(agent)
    wait_until(lambda: len(local.received) > 0, "members")
    wait_until(lambda: agent.query(QueryKind.STATUS).platform == "away", "away")  # type: ignore[union-attr]
    assert not agent.is_ready()
    assert not local.subscription.is_complete()
    rows.set_faults(PlatformFaults())
    wait_until(local.subscription.is_complete, "table")
    local.close()


def test_slow_platform_does_not_hold_up_the_agent(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    rows.set_faults(PlatformFaults(slow_seconds=5.0))
    time.sleep(2.0)
    for agent in agents:
        assert set(agent.member_states().values()) == {"alive"}
    rows.set_faults(PlatformFaults())


def test_bad_row_is_skipped_and_logged(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    store_put(rows, "teams", "alpha", {"weight": -1.0})
    version = store_put(rows, "teams", "beta", {})
    wait_until(
        lambda: all(a.row_version("teams/beta") == version for a in agents), "good row"
    )
    assert [agent.row_version(ROW) for agent in agents] == [1] * len(agents)
    logs = "".join(agent.log.read_text() for agent in agents)
    assert "row skipped" in logs


def test_frozen_agent_catches_up(rows: Platform, agents: list[AgentProcess]) -> None:
    agents[3].freeze()
    version = store_put(rows, "teams", "alpha", {"weight": 5.0})
    wait_until(lambda: agents[0].member_states()["vm3"] == "dead", "frozen agent dead")
    agents[3].thaw()
    wait_until(lambda: agents[3].row_version(ROW) == version, "edit in force")
    wait_until(lambda: agents[0].member_states()["vm3"] == "alive", "agent back")


def test_agent_writes_its_threads_stacks_when_asked(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    agents[0].dump_stacks()
    stacks = agents[0].log.with_suffix(".stacks")
    wait_until(lambda: "_run_ticks" in stacks.read_text(), "stacks")
    assert agents[0].is_ready()


def test_killed_agent_is_declared_dead_and_comes_back(
    agents: list[AgentProcess],
) -> None:
    agents[2].kill()
    wait_until(lambda: agents[0].member_states()["vm2"] == "dead", "dead")
    agents[2].start()
    wait_until(lambda: agents[0].member_states()["vm2"] == "alive", "alive")


def test_sigterm_leaves_and_exits_zero(agents: list[AgentProcess]) -> None:
    assert agents[2].stop() == 0
    wait_until(lambda: agents[0].member_states()["vm2"] == "dead", "gone")


def test_drain_order_reaches_the_local_processes(
    agents: list[AgentProcess], local: FakeRouter
) -> None:
    deadline = time.time() + 5.0
    assert agents[0].query(QueryKind.DRAIN, deadline=deadline) is not None
    wait_until(lambda: DrainCommand(deadline) in local.received, "order")
    wait_until(lambda: agents[1].member_states()["vm0"] == "leaving", "leaving")
    local.close()
    assert agents[0].process is not None
    assert agents[0].process.wait(30) == 0


def test_outcome_of_a_request_is_explained(
    agents: list[AgentProcess], local: FakeRouter
) -> None:
    outcome = Outcome(
        RequestId("r1"), TeamId("alpha"), ServiceId("cases"), 503, "not-run", "x", 1.0
    )
    local.send(
        StatusReport(local.process, time.time(), True, False, b"", outcomes=(outcome,))
    )
    wait_until(
        lambda: agents[0].query(QueryKind.EXPLAIN, "r1").outcomes == (outcome,),  # type: ignore[union-attr]
        "outcome",
    )
    reports = agents[0].query(QueryKind.STATUS).reports  # type: ignore[union-attr]
    assert {report.process.role.label for report in reports} == {"router", "agent"}


def test_leaving_upstreams_of_the_platform_s_list_reach_local_processes(
    rows: Platform, agents: list[AgentProcess], local: FakeRouter
) -> None:
    leaving = VmEntry("engine-1", "north", "127.0.0.5", VmEntryState.LEAVING)
    rows.set_vms((leaving,))
    wanted = frozenset({UpstreamId("u1")})
    wait_until(lambda: local.subscription.leaving_upstreams == wanted, "leaving")
    rows.set_vms(())
    wait_until(lambda: not local.subscription.leaving_upstreams, "no longer leaving")


def test_table_command_waits_until_in_force(
    rows: Platform, agents: list[AgentProcess], capsys: pytest.CaptureFixture[str]
) -> None:
    rows.set_faults(PlatformFaults(lose=Loss.SECOND))
    words = ("set", ROW, "weight=7", "--wait", "20", "--json")
    assert run_table(rows, agents[0], *words) == 0
    report = json.loads(capsys.readouterr().out)
    assert report["in_force"] == ["vm0", "vm1", "vm2", "vm3"]
    assert [entry["version"] for entry in report["accepted"]] == [2]
    assert all(agent.row_version(ROW) == 2 for agent in agents)


def test_table_command_names_the_vms_where_it_is_not_in_force(
    rows: Platform, agents: list[AgentProcess], capsys: pytest.CaptureFixture[str]
) -> None:
    agents[3].freeze()
    assert run_table(rows, agents[0], "set", ROW, "weight=7", "--wait", "1") == 7
    captured = capsys.readouterr()
    assert "accepted: set teams/alpha (version 2)" in captured.out
    assert "1 of 4 VMs: vm3" in captured.err
