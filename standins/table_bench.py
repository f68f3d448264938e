"""Measurements of table edits on a local fleet of real processes."""

import argparse
import secrets
import time
from collections.abc import Sequence
from pathlib import Path
from statistics import median

import msgspec
import urllib3
from returns.result import Failure

from oleandershift.edits import CellChange, EditType, RowEdit
from oleandershift.ids import EditId, FleetId, VmId
from oleandershift.io.force import wait_until_in_force
from oleandershift.io.platform import PlatformClient
from oleandershift.io.queries import send_query
from oleandershift.io.query import FleetClient
from oleandershift.messages import OperatorQuery, QueryKind, Role, RowVersion
from oleandershift.rows import RowKind, TeamRow
from oleandershift.table import TableClient
from standins.fleet import Fleet, FleetConfig
from standins.platform import CallCounters, Outage, PlatformFaults, ResponseLoss

EDITS = 20
LOSSY_EDITS = 20
QUERY_TIMEOUT_SECONDS = 1.0
TIMEOUT_SECONDS = 30.0
FAULT_SECONDS = 8.0
IDLE_SECONDS = 10.0


class TableFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of table edits on nine VMs in three regions.

    Parameters
    ----------
    in_force_median_seconds, in_force_worst_seconds : float
        From the acceptance of an edit until the router and the allocator of every VM
        have it in force, measured by polling.
    after_freeze_seconds : float
        From the thaw of a VM that was frozen when an edit was accepted until the VM
        has the edit in force.
    platform_back_seconds : float
        From the end of a platform outage until an edit made right after it is in force
        on every VM.
    restart_seconds : float
        From the restart of an agent without stored state, while the platform is
        unreachable, until its VM has the table in force.
    lossy_edits, lossy_versions : int
        Edits made while the platform lost every second response to a write, and the
        number of versions by which the row advanced.
    calls_a_second : dict
        Rate of calls of all agents to the platform, by type, while nothing changes.
    waiting_watches : int
        Watches pending at the platform.
    """

    in_force_median_seconds: float
    in_force_worst_seconds: float
    after_freeze_seconds: float
    platform_back_seconds: float
    restart_seconds: float
    lossy_edits: int
    lossy_versions: int
    calls_a_second: dict[str, float]
    waiting_watches: int


class TableBench:
    """Edits the weight of one team on a running fleet, with and without faults.

    Parameters
    ----------
    fleet : Fleet
        Running fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        addresses = fleet.addresses
        self._team = addresses.teams[0].name
        self._control_url = addresses.platform_control
        self._table = TableClient(PlatformClient(addresses.platform))
        self._fleet_client = FleetClient(
            FleetId("oleander"), addresses.vms[0].query, QUERY_TIMEOUT_SECONDS
        )
        self._http = urllib3.PoolManager(retries=False, timeout=5.0)

    def measure(self) -> TableFigures:
        """Run all measurements and return their figures."""
        seconds = [self._seconds_until_in_force(self._edit()) for _ in range(EDITS)]
        calls, watches = self._measure_idle_calls()
        after_freeze = self._measure_freeze()
        after_outage = self._measure_outage()
        restart = self._measure_restart()
        version_before = self._version()
        self._set_faults(PlatformFaults(lose=ResponseLoss.EVERY_SECOND))
        for _ in range(LOSSY_EDITS):
            self._edit()
        self._set_faults(PlatformFaults())
        return TableFigures(
            in_force_median_seconds=median(seconds),
            in_force_worst_seconds=max(seconds),
            after_freeze_seconds=after_freeze,
            platform_back_seconds=after_outage,
            restart_seconds=restart,
            lossy_edits=LOSSY_EDITS,
            lossy_versions=self._version() - version_before,
            calls_a_second=calls,
            waiting_watches=watches,
        )

    def _edit(self) -> RowVersion:
        """Change the weight of the team and return the accepted version."""
        deadline = time.time() + TIMEOUT_SECONDS
        state = self._table.read_row(RowKind.TEAMS, self._team, deadline)
        assert isinstance(state.row, TeamRow)
        change = CellChange(state.row.weight, state.row.weight + 1.0)
        edit = RowEdit(
            EditId(secrets.token_hex(8)),
            EditType.SET,
            RowKind.TEAMS,
            self._team,
            {"weight": change},
        )
        accepted = self._table.apply(edit, deadline, state)
        return RowVersion(RowKind.TEAMS.value, self._team, accepted.version)

    def _seconds_until_in_force(self, wanted: RowVersion) -> float:
        """Return the seconds until a version is in force on every live VM."""
        started = time.time()
        wait_until_in_force(self._fleet_client, [wanted], started + TIMEOUT_SECONDS)
        return time.time() - started

    def _version(self) -> int:
        deadline = time.time() + TIMEOUT_SECONDS
        return self._table.read_row(RowKind.TEAMS, self._team, deadline).version

    def _measure_idle_calls(self) -> tuple[dict[str, float], int]:
        before = self._counters()
        time.sleep(IDLE_SECONDS)
        after = self._counters()
        calls = {
            name: (count - before.calls.get(name, 0)) / IDLE_SECONDS
            for name, count in after.calls.items()
        }
        return calls, after.waiting_watches

    def _measure_freeze(self) -> float:
        children = self._fleet.vm_processes(self._last_vm())
        for child in children:
            child.freeze()
        wanted = self._edit()
        time.sleep(FAULT_SECONDS)
        for child in children:
            child.thaw()
        started = time.time()
        while not self._is_in_force(self._last_vm(), wanted):
            time.sleep(0.02)
        return time.time() - started

    def _measure_outage(self) -> float:
        self._set_faults(PlatformFaults(outage=Outage.CLOSED))
        time.sleep(FAULT_SECONDS)
        self._set_faults(PlatformFaults())
        started = time.time()
        self._seconds_until_in_force(self._edit())
        return time.time() - started

    def _measure_restart(self) -> float:
        wanted = RowVersion(RowKind.TEAMS.value, self._team, self._version())
        self._set_faults(PlatformFaults(outage=Outage.CLOSED))
        agent = self._fleet.daemon(self._last_vm(), Role.AGENT)
        agent.kill()
        agent.wait(TIMEOUT_SECONDS)
        agent.start()
        started = time.time()
        while not self._is_in_force(self._last_vm(), wanted):
            time.sleep(0.02)
        self._set_faults(PlatformFaults())
        return time.time() - started

    def _last_vm(self) -> VmId:
        return VmId(self._fleet.addresses.vms[-1].vm)

    def _is_in_force(self, vm: VmId, wanted: RowVersion) -> bool:
        address = self._fleet.addresses.vm(vm).query
        query = OperatorQuery(QueryKind.TABLE, f"{wanted.kind}/{wanted.name}")
        result = send_query(address, FleetId("oleander"), query, QUERY_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            return False
        versions = result.unwrap().versions
        return any(version.version >= wanted.version for version in versions)

    def _counters(self) -> CallCounters:
        data = self._http.request("GET", f"{self._control_url}/counters").data
        return msgspec.json.decode(data, type=CallCounters)

    def _set_faults(self, faults: PlatformFaults) -> None:
        body = msgspec.json.encode(faults)
        self._http.request("PUT", f"{self._control_url}/faults", body=body)


def main(argv: Sequence[str] | None = None) -> int:
    """Run all measurements and print the figures as one JSON object."""
    parser = argparse.ArgumentParser("standins.table_bench", description=__doc__)
    parser.add_argument(
        "--net", default="127.23", help="first two numbers of the IP addresses"
    )
    parser.add_argument("--out", type=Path, default=Path("out/table"))
    cfg = parser.parse_args(argv)
    with Fleet(FleetConfig(net=cfg.net, out=cfg.out, policy="fair")) as fleet:
        figures = TableBench(fleet).measure()
    print(msgspec.json.encode(figures).decode())
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
