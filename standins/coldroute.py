"""The deployment dcfa-coldroute, played as real processes.

Seven gateways in three data centres, upstreams that are processes of their own, and
callers on sockets. Rates are scaled to the machine; the shares of the kinds of request
are those of the sheet.
"""

import random
import threading
import time
from collections import Counter
from pathlib import Path

import msgspec

from standins.coldroute_sheet import (
    DESK,
    DESK_SLOTS,
    MODEL_COUNT,
    MODEL_SLOTS,
    MODELS,
    PLACES,
    coldroute_configuration,
)
from standins.gateway_fleet import GatewayFleet, running_fleet
from standins.proxy import Proxy
from standins.proxy_faults import CutStage, CutStyle, ProxyFaults, ProxyMode
from standins.soak_faults import FaultInjector
from standins.soak_judge import SoakHistory
from standins.soak_prober import VersionProber
from standins.soak_streams import WireHistory, find_faults, whole_events
from standins.soak_versions import VersionHistory, count_older_lives, find_steps_back
from standins.wirecallers import WireCallers
from standins.wirefleet import WireFleet
from standins.wirerecord import read_records


class ColdrouteFaults(FaultInjector):
    """Faults of the deployment's list, beside those of upstream processes."""

    cut_styles = (CutStyle.RESET,)
    """A link that fails closes no connection in good order."""

    pause_seconds = (0.2, 1.0)
    max_freeze_seconds = 3.5
    max_store_seconds = 5.0
    max_down_seconds = 3.5

    def __init__(
        self,
        fleet: GatewayFleet,
        upstreams: WireFleet,
        history: SoakHistory,
        rng: random.Random,
        versions: list[int],
    ) -> None:
        super().__init__(fleet, upstreams.proxies, history, rng)
        self._upstreams = upstreams
        self._versions = versions
        self._writing = threading.Lock()
        self._injections = (
            self._freeze,
            self._kill,
            self._stop,
            self._hang_up,
            self._link,
            self._store,
            self._store_link,
            self._forget,
            self._configure,
            self._configure_and_kill,
            self._freeze_over_restart,
        )

    def _configuration(self, version: int) -> dict[str, object]:
        return coldroute_configuration([*self._versions, version])

    def _configure(self) -> None:
        with self._writing:
            super()._configure()
            self._versions.append(self._version)
            self._log.write("configured", version=self._version)

    def _configure_and_kill(self) -> None:
        """Kill a gateway right after a change, before it is known everywhere."""
        self._configure()
        time.sleep(self._rng.choice((0.0, self._rng.uniform(0.0, 0.3))))
        self._kill()

    def _freeze_over_restart(self) -> None:
        """Freeze a gateway while an upstream is killed and starts again."""
        gateway = self._rng.choice(self._fleet.gateways)
        with self._disturbance(gateway.name), self._interruption(gateway.name):
            gateway.process.freeze()
            self._upstreams.restart_one()
            gateway.process.thaw()

    def _disturb_link(self, proxy: Proxy) -> None:
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.HALF_CLOSE]
        faults = ProxyFaults(
            mode=self._rng.choice(modes),
            stage=self._rng.choice(list(CutStage)),
            style=CutStyle.RESET,
            after_bytes=self._rng.randrange(4000),
        )
        proxy.set_faults(faults)
        self._log.write("link", mode=faults.mode.value, stage=faults.stage.value)
        time.sleep(self._rng.uniform(0.1, 1.0))
        proxy.set_faults(ProxyFaults())


def run_coldroute(seed: int, seconds: float, folder: Path) -> list[str]:
    """Play the deployment, print what came of it, and return the violations."""
    history, soak, numbers = WireHistory(), SoakHistory(), VersionHistory()
    versions = [1]
    spec = coldroute_configuration(versions)
    with running_fleet(folder, engines=0, spec=spec, places=PLACES) as fleet:
        upstreams = WireFleet(fleet.store, folder, seed)
        try:
            _add_upstreams(upstreams)
            faults = ColdrouteFaults(
                fleet, upstreams, soak, random.Random(seed), versions
            )
            probers = [
                VersionProber(gateway, numbers, versions, random.Random(seed))
                for gateway in fleet.gateways
            ]
            until = time.monotonic() + seconds
            callers = WireCallers(fleet, history, seed, until)
            threads = [
                threading.Thread(target=work, args=(until,), daemon=True)
                for work in (upstreams.run, *(prober.run for prober in probers))
            ]
            callers.start()
            for thread in threads:
                thread.start()
            faults.run(until)
            for thread in threads:
                thread.join()
            callers.join()
        finally:
            upstreams.stop()
        history.runs = read_records(folder)
        idle = upstreams.idle_lives(_busy_lives(history), until)
    history.killed_at = soak.killed_at
    _log_calls(folder, history)
    findings = find_faults(history)
    steps = find_steps_back(numbers)
    _print_summary(seed, history, faults.injected, upstreams.drawn)
    kinds = Counter(item.fault.value for item in findings)
    older = count_older_lives(numbers)
    set_back = sum(life.is_set_back for life in upstreams.lives)
    idle_set_back = sum(life.is_set_back for life in idle)
    print(
        f"seed {seed}: {len(upstreams.lives)} lives of upstreams, {set_back} with a "
        f"clock set back; {len(idle)} ran nothing, {idle_set_back} of them set back",
    )
    print(
        f"seed {seed}: {len(numbers.probes)} probes, {len(numbers.gauges)} samples, "
        f"{len(steps)} steps back, {older} lives with an older version; "
        f"findings {dict(kinds)}",
        flush=True,
    )
    return [*(item.text for item in findings if item.is_counted), *steps]


def _add_upstreams(upstreams: WireFleet) -> None:
    places = tuple(dict.fromkeys(PLACES))
    for number in range(MODEL_COUNT):
        place = places[number % len(places)]
        upstreams.add(MODELS, place, MODEL_SLOTS, is_proxied=number % 3 == 2)
    for place in places:
        upstreams.add(DESK, place, DESK_SLOTS)


def _log_calls(folder: Path, history: WireHistory) -> None:
    """Write a line for each call, to trace a finding."""
    with (folder / "calls.jsonl").open("wb") as file:
        for call in history.calls:
            answer = call.answer
            line = {
                "attempt": call.attempt_id,
                "path": call.path,
                "vm": call.gateway,
                "sent_at": call.sent_at,
                "ended_at": answer.ended_at,
                "status": answer.status,
                "ending": answer.ending.value,
                "seal": answer.seal,
                "events": whole_events(answer.body),
                "after": call.last_event,
                "pieces": call.pieces,
                "protocol": call.protocol,
            }
            file.write(msgspec.json.encode(line) + b"\n")


def _busy_lives(history: WireHistory) -> set[tuple[str, int]]:
    """Return the upstreams' lives that ran something, by name and number."""
    names = (run.begun.run.split(".") for run in history.runs.values())
    return {(name, int(life)) for name, life, _ in names}


def _print_summary(
    seed: int, history: WireHistory, injected: Counter[str], drawn: Counter[str]
) -> None:
    endings = Counter(
        f"{call.answer.status} {call.answer.ending.value}" for call in history.calls
    )
    styles = Counter(run.begun.style.split()[0] for run in history.runs.values())
    ends = Counter(run.end.value for run in history.runs.values())
    taken_up = sum(call.last_event > 0 for call in history.calls)
    resumed = sum(run.begun.first > 1 for run in history.runs.values())
    print(
        f"seed {seed}: {len(history.calls)} calls {dict(endings)}, "
        f"{taken_up} take-ups; "
        f"{len(history.runs)} runs {dict(styles)} {dict(ends)}, {resumed} go on; "
        f"faults {dict(injected)}; upstreams {dict(drawn)}",
        flush=True,
    )
