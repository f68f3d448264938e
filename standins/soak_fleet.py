"""Processes of the soak test: VMs, a platform, and faulty upstreams behind proxies."""

import hashlib
import json
import random
import time
from contextlib import AbstractContextManager
from pathlib import Path
from types import TracebackType
from typing import Self

import msgspec
import urllib3

from oleandershift.ids import RegionId, ServiceId, TeamId, UpstreamId
from oleandershift.rows import (
    RowKind,
    ServiceRow,
    TableRow,
    TeamRow,
    UpstreamRow,
    encode_row,
)
from standins.faulty import Execution
from standins.platform import Outage, PlatformFaults, ResponseLoss
from standins.ports import free_port
from standins.processes import ChildProcess, stop_all
from standins.proxy_faults import CutStage, CutStyle, ProxyFaults, ProxyMode

DEFAULT_VMS = 3
UPSTREAM_COUNT = 4
UPSTREAM_SLOTS = 64
KEY = "soak-key"
SERVICE = ServiceId("soak")
READY_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.05
FREEZE_SECONDS = 1.5
MAX_CUT_BYTES = 600
CUT_PROBABILITY = 0.25
RESPONSE_LOSS_PROBABILITY = 0.2


def _flags(**values: object) -> list[str]:
    return [f"--{name.replace('_', '-')}={value}" for name, value in values.items()]


class SoakFleet(AbstractContextManager["SoakFleet"]):
    """VMs and a platform, with a fault-injecting proxy in front of each upstream.

    Parameters
    ----------
    ip : str
        Loopback address of all processes, which listen on free ports.
    out : Path
        Directory of the logs.
    policy : str
        Scheduling policy of the routers.
    vms : int
        Number of VMs.
    grace_seconds : float
        Time in seconds for which a stopping router still accepts requests.
    claim_seconds : float
        Timeout in seconds of the platform calls that a caller waits for.
    idle_seconds : float
        Longest time in seconds without data from an upstream.

    Attributes
    ----------
    router_urls : list of str
        URLs that callers use, one per VM.
    """

    def __init__(
        self,
        ip: str,
        out: Path,
        policy: str,
        vms: int = DEFAULT_VMS,
        grace_seconds: float = 0.0,
        claim_seconds: float = 1.0,
        idle_seconds: float = 1.0,
    ) -> None:
        self._claim_seconds = claim_seconds
        self._idle_seconds = idle_seconds
        self._vms = vms
        self._grace_seconds = grace_seconds
        self._ip = ip
        self._out = out
        self._policy = policy
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)
        self._dependencies: list[ChildProcess] = []
        self._other_daemons: list[tuple[ChildProcess, ...]] = []
        self._routers: list[ChildProcess] = []
        self._upstream_urls: list[str] = []
        self._proxied_urls: list[str] = []
        self._proxy_controls: list[str] = []
        self._agent_addresses: list[str] = []
        self._platform_is_faulty = False
        self.router_urls: list[str] = []

    def __enter__(self) -> Self:
        self._out.mkdir(parents=True, exist_ok=True)
        try:
            self._start()
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop()

    def inject_fault(self, rng: random.Random) -> str:
        """Inject a random fault or clear one, and return its description."""
        draw = rng.random()
        if draw < 0.02:
            return self._freeze_router(rng)
        if draw < 0.03:
            return self._restart_router(rng)
        if draw < 0.25:
            return self._change_platform_faults(rng)
        return self._change_proxy_faults(rng)

    def set_platform_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults of the platform."""
        self._put(f"{self._platform_control}/faults", faults)

    def kill_and_restart_router(self, number: int) -> None:
        """Kill a router, start it again and wait until it is ready."""
        router = self._routers[number]
        router.kill()
        router.start()
        self._wait_ready(f"{self.router_urls[number]}/readyz", router)

    def freeze_router(self, number: int) -> None:
        """Freeze a router for `FREEZE_SECONDS`."""
        router = self._routers[number]
        router.freeze()
        time.sleep(FREEZE_SECONDS)
        router.thaw()

    def clear_faults(self) -> None:
        """Clear the faults of the platform and of all proxies."""
        self._put(f"{self._platform_control}/faults", PlatformFaults())
        for control in self._proxy_controls:
            self._put(f"{control}/faults", ProxyFaults())

    def executions(self) -> list[Execution]:
        """Return the executions in the ledgers of all upstreams."""
        executions: list[Execution] = []
        for url in self._upstream_urls:
            body = self._http.request("GET", f"{url}/-/ledger").data
            executions += [Execution(**record) for record in json.loads(body)]
        return executions

    def stop_routers(self) -> list[int | None]:
        """Shut down the routers gracefully and return their exit codes."""
        for router in self._routers:
            router.terminate()
        return [router.wait(READY_TIMEOUT_SECONDS) for router in self._routers]

    def restart_vm(self, number: int) -> tuple[int | None, ...]:
        """Restart the daemons of a VM gracefully and return their exit codes.

        The router drains first, because it depends on the other daemons until then.
        """
        router = self._routers[number]
        others = self._other_daemons[number]
        codes = []
        for group in ((router,), others):
            for child in group:
                child.terminate()
            codes += [child.wait(READY_TIMEOUT_SECONDS) for child in group]
        for child in (*others, router):
            child.start()
        self._wait_ready(f"{self.router_urls[number]}/readyz", router)
        return tuple(codes)

    # Faults

    def _change_proxy_faults(self, rng: random.Random) -> str:
        faults = ProxyFaults(
            mode=rng.choice([ProxyMode.CUT, ProxyMode.CUT, ProxyMode.PASS]),
            stage=rng.choice(list(CutStage)),
            style=rng.choice(list(CutStyle)),
            after_bytes=rng.randrange(MAX_CUT_BYTES),
            delay_seconds=rng.choice([0.0, 0.0, 0.02]),
            probability=CUT_PROBABILITY,
            seed=rng.randrange(1 << 30),
        )
        self._put(f"{rng.choice(self._proxy_controls)}/faults", faults)
        return f"proxy {faults.mode.value} {faults.stage.value}"

    def _change_platform_faults(self, rng: random.Random) -> str:
        self._platform_is_faulty = not self._platform_is_faulty
        faults = rng.choice(
            [
                PlatformFaults(outage=rng.choice(list(Outage))),
                PlatformFaults(slow_seconds=rng.choice([0.05, 0.3])),
                PlatformFaults(
                    lose=ResponseLoss.RANDOM,
                    lose_probability=RESPONSE_LOSS_PROBABILITY,
                    lose_seed=rng.randrange(1 << 30),
                    lose_writes_only=False,
                ),
            ]
        )
        if not self._platform_is_faulty:
            faults = PlatformFaults()
        self._put(f"{self._platform_control}/faults", faults)
        return f"platform {faults.outage.value} {faults.lose.value}"

    def _freeze_router(self, rng: random.Random) -> str:
        number = rng.randrange(self._vms)
        self.freeze_router(number)
        return f"router{number} frozen"

    def _restart_router(self, rng: random.Random) -> str:
        number = rng.randrange(self._vms)
        self.kill_and_restart_router(number)
        return f"router{number} killed and started again"

    def _put(self, url: str, value: object) -> None:
        res = self._http.request("PUT", url, body=msgspec.json.encode(value))
        if res.status != 200:
            raise RuntimeError(f"{url} responded with {res.status}")

    # Processes

    def _start(self) -> None:
        platform_port = free_port(self._ip)
        control_port = free_port(self._ip)
        self._platform = f"http://{self._ip}:{platform_port}"
        self._platform_control = f"http://{self._ip}:{control_port}"
        self._run_dependency(
            "platform",
            "standins.platform",
            _flags(ip=self._ip, port=platform_port, control_port=control_port),
        )
        for number in range(UPSTREAM_COUNT):
            self._start_upstream(number)
        self._wait_ready(f"{self._platform}/v1/vms", self._dependencies[0])
        for url in self._proxied_urls:
            self._wait_ready(f"{url}/-/load", self._dependencies[-1])
        self._seed_platform()
        for number in range(self._vms):
            self._start_vm(number)
        for url, router in zip(self.router_urls, self._routers, strict=True):
            self._wait_ready(f"{url}/readyz", router)

    def _start_upstream(self, number: int) -> None:
        port, proxied_port, control_port = (free_port(self._ip) for _ in range(3))
        self._run_dependency(
            f"upstream{number}", "standins.faulty", _flags(ip=self._ip, port=port)
        )
        self._run_dependency(
            f"proxy{number}",
            "standins.proxy",
            _flags(
                ip=self._ip,
                port=proxied_port,
                control_port=control_port,
                target_ip=self._ip,
                target_port=port,
            ),
        )
        self._upstream_urls.append(f"http://{self._ip}:{port}")
        self._proxied_urls.append(f"http://{self._ip}:{proxied_port}")
        self._proxy_controls.append(f"http://{self._ip}:{control_port}")

    def _start_vm(self, number: int) -> None:
        agent_port, http_port = free_port(self._ip), free_port(self._ip)
        seeds = self._agent_addresses
        common_flags = _flags(
            vm=f"vm{number}",
            region="one",
            data_centre="one-1",
            ip=self._ip,
            agent_port=agent_port,
            query_port=free_port(self._ip),
            allocator_port=free_port(self._ip),
            router_port=free_port(self._ip),
            http_port=http_port,
        )
        platform_flags = _flags(platform_url=self._platform)
        seed_flags = _flags(seeds=",".join(seeds)) if seeds else []
        self._agent_addresses.append(f"{self._ip}:{agent_port}")
        daemons = []
        for role in ("agent", "allocator"):
            module = f"oleandershift.cli.{role}"
            flags = common_flags + (
                platform_flags + seed_flags if role == "agent" else []
            )
            child = ChildProcess(f"{role}{number}", module, flags, self._out)
            daemons.append(child)
            child.start()
        self._other_daemons.append(tuple(daemons))
        router_flags = platform_flags + _flags(
            policy=self._policy,
            idle_seconds=self._idle_seconds,
            connect_seconds=1,
            claim_seconds=self._claim_seconds,
            max_requests=100,
            grace_seconds=self._grace_seconds,
            drain_seconds=20,
        )
        router = ChildProcess(
            f"router{number}",
            "oleandershift.cli.router",
            common_flags + router_flags,
            self._out,
        )
        self._routers.append(router)
        self.router_urls.append(f"http://{self._ip}:{http_port}")
        router.start()

    def _run_dependency(self, name: str, module: str, flags: list[str]) -> None:
        child = ChildProcess(name, module, flags, self._out, has_log_file_flag=False)
        self._dependencies.append(child)
        child.start()

    def _seed_platform(self) -> None:
        non_idempotent = ("POST /charge",)
        self._create(
            RowKind.SERVICES, ServiceRow(name=SERVICE, non_idempotent=non_idempotent)
        )
        for number, url in enumerate(self._proxied_urls):
            name = UpstreamId(f"u{number}")
            region = RegionId("one")
            row = UpstreamRow(
                name=name, service=SERVICE, region=region, url=url, slots=UPSTREAM_SLOTS
            )
            self._create(RowKind.UPSTREAMS, row)
        digest = hashlib.sha256(KEY.encode()).hexdigest()
        self._create(RowKind.TEAMS, TeamRow(name=TeamId("soak"), key_hashes=(digest,)))

    def _create(self, kind: RowKind, row: TableRow) -> None:
        url = f"{self._platform}/v1/objects/{kind.value}/{row.name}"
        headers = {"If-None-Match": "*"}
        res = self._http.request("PUT", url, body=encode_row(row), headers=headers)
        if res.status != 201:
            raise RuntimeError(f"{url} responded with {res.status}")

    def _wait_ready(self, url: str, child: ChildProcess) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while not self._responds(url):
            if not child.is_running() or time.monotonic() > deadline:
                raise RuntimeError(f"{child.name} is not ready: {child.stderr_tail()}")
            time.sleep(POLL_INTERVAL_SECONDS)

    def _responds(self, url: str) -> bool:
        try:
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _stop(self) -> None:
        daemons = (child for group in self._other_daemons for child in group)
        stop_all((*self._routers, *daemons, *self._dependencies), STOP_TIMEOUT_SECONDS)
