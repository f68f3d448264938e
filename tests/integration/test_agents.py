"""Tests of agent processes: table, membership, queries and the table command."""

import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from oleandershift.cli.operator import main
from oleandershift.ids import RequestId, ServiceId, TeamId, UpstreamId
from oleandershift.messages import DrainCommand, Outcome, QueryKind, StatusReport
from standins.platform import (
    Outage,
    Platform,
    PlatformFaults,
    ResponseLoss,
    VmEntry,
    VmEntryState,
)
from tests.agents import AgentProcess, FakeRouter, wait_until

REGIONS = ("north", "north", "north", "south")
ROW = "teams/alpha"

WATCH_END_SECONDS = 4.0
"""The watches of an agent end this soon after it releases the role (docs/TABLE.md)."""

OBSERVED_SECONDS = 2.5
"""Longer than a call of a watch, so that each watch is seen."""


def put_row(platform: Platform, kind: str, name: str, value: dict[str, object]) -> int:
    current = platform.store.get(kind, name)
    data = json.dumps({"name": name, **value}).encode()
    expected = current.version if current else None
    return platform.store.put(kind, name, data, expected).version


@pytest.fixture
def rows(platform: Platform) -> Platform:
    """Return the platform with a table of three rows."""
    put_row(platform, "services", "cases", {})
    put_row(platform, "teams", "alpha", {"weight": 1.0})
    upstream = {"service": "cases", "region": "north", "url": "http://127.0.0.5:80"}
    put_row(platform, "upstreams", "u1", upstream)
    return platform


@pytest.fixture
def new_agents(tmp_path: Path) -> Iterator[Callable[..., list[AgentProcess]]]:
    """Return a function that creates agents without starting them."""
    created: list[AgentProcess] = []

    def make(platform: Platform, regions: tuple[str, ...]) -> list[AgentProcess]:
        for number, region in enumerate(regions):
            log = tmp_path / f"vm{number}.log"
            created.append(AgentProcess(f"vm{number}", region, platform.url, log))
        for agent in created:
            agent.seeds = [f"127.0.0.1:{created[i].agent_port}" for i in (0, -1)]
        return created

    yield make
    for agent in created:
        agent.dump_stacks()
        agent.kill()


@pytest.fixture
def agents(
    rows: Platform, new_agents: Callable[..., list[AgentProcess]]
) -> list[AgentProcess]:
    """Return running agents that have all members and the table."""
    created = new_agents(rows, REGIONS)
    for agent in created:
        agent.start()
    wait_until(
        lambda: all(len(a.member_states()) == len(created) for a in created), "members"
    )
    wait_until(lambda: all(a.is_ready() for a in created), "table")
    return created


@pytest.fixture
def router(agents: list[AgentProcess]) -> Iterator[FakeRouter]:
    """Return a router on the VM of the first agent that has the table."""
    router = FakeRouter(agents[0])
    wait_until(router.subscription.is_complete, "table at the router")
    wait_until(lambda: len(router.subscription.members) == len(agents), "members")
    yield router
    router.close()


def run_table(platform: Platform, agent: AgentProcess, *words: str) -> int:
    flags = ["--platform-url", platform.url]
    if "--wait" in words:
        flags += ["--query-address", agent.query_address]
    return main(["table", *words, *flags])


def test_edit_takes_effect_on_all_agents(
    rows: Platform, agents: list[AgentProcess], router: FakeRouter
) -> None:
    version = put_row(rows, "teams", "alpha", {"weight": 5.0})
    wait_until(
        lambda: all(a.row_version(ROW) == version for a in agents), "edit in force"
    )
    assert router.subscription.table.teams[TeamId("alpha")].weight == 5.0


def test_version_in_force_is_that_of_the_local_process(
    rows: Platform, agents: list[AgentProcess], router: FakeRouter
) -> None:
    wait_until(lambda: agents[0].row_version(ROW) == 1, "acknowledged")
    router.close()
    version = put_row(rows, "teams", "alpha", {"weight": 5.0})
    wait_until(lambda: agents[1].row_version(ROW) == version, "edit at a peer")
    assert agents[0].row_version(ROW) == version - 1
    wait_until(lambda: agents[0].row_version(ROW) == version, "silent process expired")


def test_deleted_row_is_not_restored_by_a_restarted_agent(
    rows: Platform, agents: list[AgentProcess], router: FakeRouter
) -> None:
    put_row(rows, "teams", "alpha", {"deleted": True})
    wait_until(lambda: not router.subscription.table.teams, "row removed")
    agents[1].kill()
    agents[1].start()
    wait_until(agents[1].is_ready, "restarted agent")
    version = put_row(rows, "teams", "beta", {})
    wait_until(lambda: agents[0].row_version("teams/beta") == version, "later edit")
    assert list(router.subscription.table.teams) == ["beta"]


def test_only_two_agents_per_region_watch_the_platform(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    watchers = 2 + 1
    kinds = 3
    time.sleep(WATCH_END_SECONDS)
    wait_until(
        lambda: rows.counters().waiting_watches == watchers * kinds, "two watchers"
    )
    for weight in range(5):
        version = put_row(rows, "teams", "alpha", {"weight": 5.0 + weight})
        wait_until(
            lambda version=version: all(a.row_version(ROW) == version for a in agents),
            "edit in force",
        )
        assert rows.counters().waiting_watches <= watchers * kinds


def most_waiting_watches(rows: Platform) -> int:
    """Return the most watches at one time; some pause between two of their calls."""
    until = time.monotonic() + OBSERVED_SECONDS
    most = 0
    while time.monotonic() < until:
        most = max(most, rows.counters().waiting_watches)
        time.sleep(0.01)
    return most


def test_watch_ends_after_the_agent_releases_the_role(
    rows: Platform, new_agents: Callable[..., list[AgentProcess]]
) -> None:
    created = new_agents(rows, ("north",) * 3)
    for agent in created:
        # An unreachable seed isolates the agent, so that it becomes a watcher.
        seeds, agent.seeds = agent.seeds, ["127.0.0.1:9"]
        agent.start()
        agent.seeds = seeds
    wait_until(
        lambda: rows.counters().waiting_watches == 3 * 3, "three isolated watchers"
    )
    for agent in created[1:]:
        agent.kill()
        agent.start()
    wait_until(lambda: all(len(a.member_states()) == 3 for a in created), "members")
    time.sleep(WATCH_END_SECONDS)
    assert most_waiting_watches(rows) == 2 * 3


def test_watch_handover_loses_no_edit(
    rows: Platform, agents: list[AgentProcess], router: FakeRouter
) -> None:
    watchers = [a for a in agents[1:3] if a.query(QueryKind.STATUS).platform == "ok"]  # type: ignore[union-attr]
    for agent in watchers:
        agent.kill()
    for weight in range(20):
        version = put_row(rows, "teams", "alpha", {"weight": 2.0 + weight})
        time.sleep(0.05)
    remaining = [agent for agent in agents if agent not in watchers]
    wait_until(
        lambda: all(a.row_version(ROW) == version for a in remaining), "last edit"
    )
    versions = [
        row_version for name, row_version in router.row_versions if name == "alpha"
    ]
    assert versions == sorted(set(versions))


def test_restarted_agent_gets_the_table_from_peers_during_an_outage(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    version = put_row(rows, "teams", "alpha", {"weight": 5.0})
    wait_until(
        lambda: all(a.row_version(ROW) == version for a in agents), "edit in force"
    )
    rows.set_faults(PlatformFaults(outage=Outage.CLOSED))
    agents[0].kill()
    agents[0].start()
    wait_until(lambda: agents[0].row_version(ROW) == version, "table from the peers")


def test_agent_without_table_is_not_ready_until_the_platform_recovers(
    rows: Platform, new_agents: Callable[..., list[AgentProcess]]
) -> None:
    rows.set_faults(PlatformFaults(outage=Outage.UNAVAILABLE))
    (agent,) = new_agents(rows, ("north",))
    agent.start()
    wait_until(lambda: agent.query(QueryKind.STATUS) is not None, "answer")
    router = FakeRouter(agent)
    wait_until(lambda: len(router.received) > 0, "members")
    wait_until(lambda: agent.query(QueryKind.STATUS).platform == "away", "away")  # type: ignore[union-attr]
    assert not agent.is_ready()
    assert not router.subscription.is_complete()
    rows.set_faults(PlatformFaults())
    wait_until(router.subscription.is_complete, "table")
    router.close()


def test_slow_platform_does_not_block_the_agent(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    rows.set_faults(PlatformFaults(slow_seconds=5.0))
    time.sleep(2.0)
    for agent in agents:
        assert set(agent.member_states().values()) == {"alive"}
    rows.set_faults(PlatformFaults())


def test_invalid_row_is_skipped_and_logged(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    put_row(rows, "teams", "alpha", {"weight": -1.0})
    version = put_row(rows, "teams", "beta", {})
    wait_until(
        lambda: all(a.row_version("teams/beta") == version for a in agents), "valid row"
    )
    assert [agent.row_version(ROW) for agent in agents] == [1] * len(agents)
    logs = "".join(agent.log.read_text() for agent in agents)
    assert "row skipped" in logs


def test_frozen_agent_catches_up(rows: Platform, agents: list[AgentProcess]) -> None:
    agents[3].freeze()
    version = put_row(rows, "teams", "alpha", {"weight": 5.0})
    wait_until(lambda: agents[0].member_states()["vm3"] == "dead", "frozen agent dead")
    agents[3].thaw()
    wait_until(
        lambda: agents[3].row_version(ROW) == version, "edit in force", agents[3:]
    )
    wait_until(
        lambda: agents[0].member_states()["vm3"] == "alive",
        "agent alive again",
        agents[3:],
    )


def test_agent_dumps_its_thread_stacks_on_request(
    rows: Platform, agents: list[AgentProcess]
) -> None:
    agents[0].dump_stacks()
    stacks = agents[0].log.with_suffix(".stacks")
    wait_until(lambda: "in run_ticks" in stacks.read_text(), "stacks")
    assert agents[0].is_ready()


def test_failed_wait_shows_whether_an_agent_is_stopped_or_blocked(
    agents: list[AgentProcess], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.agents.WAIT_TIMEOUT_SECONDS", 0.0)
    with pytest.raises(AssertionError, match=r"sleeping(.|\n)*in run_ticks"):
        wait_until(lambda: False, "never", agents[:1])
    agents[1].freeze()
    with pytest.raises(AssertionError, match="stopped"):
        wait_until(lambda: False, "never", agents[1:2])


def test_killed_agent_is_declared_dead_and_rejoins(
    agents: list[AgentProcess],
) -> None:
    agents[2].kill()
    wait_until(lambda: agents[0].member_states()["vm2"] == "dead", "dead")
    agents[2].start()
    wait_until(lambda: agents[0].member_states()["vm2"] == "alive", "alive")


def test_agent_leaves_and_exits_with_zero_on_sigterm(
    agents: list[AgentProcess],
) -> None:
    assert agents[2].stop() == 0
    wait_until(lambda: agents[0].member_states()["vm2"] == "dead", "dead")


def test_drain_command_is_sent_to_local_processes(
    agents: list[AgentProcess], router: FakeRouter
) -> None:
    deadline = time.time() + 5.0
    assert agents[0].query(QueryKind.DRAIN, deadline=deadline) is not None
    wait_until(lambda: DrainCommand(deadline) in router.received, "drain command")
    wait_until(lambda: agents[1].member_states()["vm0"] == "leaving", "leaving")
    router.close()
    assert agents[0].process is not None
    assert agents[0].process.wait(30) == 0


def test_explain_query_returns_the_outcome_of_a_request(
    agents: list[AgentProcess], router: FakeRouter
) -> None:
    outcome = Outcome(
        RequestId("r1"), TeamId("alpha"), ServiceId("cases"), 503, "not-run", "x", 1.0
    )
    router.send(
        StatusReport(router.process, time.time(), True, False, b"", outcomes=(outcome,))
    )
    wait_until(
        lambda: agents[0].query(QueryKind.EXPLAIN, "r1").outcomes == (outcome,),  # type: ignore[union-attr]
        "outcome",
    )
    reports = agents[0].query(QueryKind.STATUS).reports  # type: ignore[union-attr]
    assert {report.process.role.label for report in reports} == {"router", "agent"}


def test_leaving_upstreams_are_sent_to_local_processes(
    rows: Platform, agents: list[AgentProcess], router: FakeRouter
) -> None:
    leaving = VmEntry("engine-1", "north", "127.0.0.5", VmEntryState.LEAVING)
    rows.set_vms((leaving,))
    expected_upstreams = frozenset({UpstreamId("u1")})
    wait_until(
        lambda: router.subscription.leaving_upstreams == expected_upstreams, "leaving"
    )
    rows.set_vms(())
    wait_until(lambda: not router.subscription.leaving_upstreams, "no longer leaving")


def test_table_command_waits_until_the_edit_is_in_force(
    rows: Platform, agents: list[AgentProcess], capsys: pytest.CaptureFixture[str]
) -> None:
    rows.set_faults(PlatformFaults(lose=ResponseLoss.EVERY_SECOND))
    words = ("set", ROW, "weight=7", "--wait", "20", "--json")
    assert run_table(rows, agents[0], *words) == 0
    report = json.loads(capsys.readouterr().out)
    assert report["in_force"] == ["vm0", "vm1", "vm2", "vm3"]
    assert [entry["version"] for entry in report["accepted"]] == [2]
    assert all(agent.row_version(ROW) == 2 for agent in agents)


def test_table_command_lists_the_vms_where_the_edit_is_not_in_force(
    rows: Platform, agents: list[AgentProcess], capsys: pytest.CaptureFixture[str]
) -> None:
    agents[3].freeze()
    assert run_table(rows, agents[0], "set", ROW, "weight=7", "--wait", "1") == 7
    captured = capsys.readouterr()
    assert "accepted: set teams/alpha (version 2)" in captured.out
    assert "1 of 4 VMs: vm3" in captured.err
