"""Fixtures shared by all tests."""

from collections.abc import Callable, Iterator

import pytest
from hypothesis import settings
from loops import VirtualLoop
from storereaders import ManualClock
from virtualfleet import DRAIN_SECONDS, LOCAL_VMS, VirtualFleet

from oleandershift.ids import DataCentreId, Incarnation, RegionId, VmId
from oleandershift.io.platform import PlatformClient
from oleandershift.messages import Member, MemberState
from oleandershift.neighbours import StoreRole
from standins.platform import Platform

# The verdict of a property depends neither on a busy machine nor on the run.
settings.register_profile("same-verdict", deadline=None, derandomize=True)
settings.load_profile("same-verdict")


@pytest.fixture
def platform() -> Iterator[Platform]:
    """Return a running platform stand-in."""
    server = Platform()
    server.start()
    yield server
    server.stop()


@pytest.fixture
def client(platform: Platform) -> PlatformClient:
    """Return a client of the platform stand-in."""
    return PlatformClient(platform.url)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    """Return the clock of what VMs read of the store, which the test sets."""
    manual_clock = ManualClock()
    for module in ("storesync", "feed"):
        monkeypatch.setattr(f"oleandershift.io.{module}.now", manual_clock)
    return manual_clock


@pytest.fixture
def make_member() -> Callable[..., Member]:
    """Return a factory of members, each with a unique address."""
    numbers: dict[str, int] = {}

    def make(
        vm: str,
        incarnation: int = 1,
        state: MemberState = MemberState.ALIVE,
        region: str = "north",
    ) -> Member:
        number = numbers.setdefault(vm, len(numbers) + 1)
        return Member(
            VmId(vm),
            RegionId(region),
            DataCentreId("one"),
            f"10.0.{number // 256}.{number % 256}",
            7101,
            7104,
            7102,
            7103,
            8080,
            Incarnation(incarnation),
            state,
        )

    return make


@pytest.fixture
def make_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[Callable[..., VirtualFleet]]:
    """Return a function that makes fleets whose roles are settled."""
    fleets = []

    def make(
        seed: int = 1, drain_s: float = DRAIN_SECONDS, local_vms: int = LOCAL_VMS
    ) -> VirtualFleet:
        loop = VirtualLoop()
        for module in ("storesync", "gateway", "feed"):
            monkeypatch.setattr(f"oleandershift.io.{module}.now", loop.time)
        fleet = VirtualFleet(loop, seed, drain_s, local_vms)
        fleets.append(fleet)
        # Roles are settled, and every VM has read the upstreams.
        fleet.run(6.0 + fleet.rng.uniform(0.0, 1.0))
        roles = [vm.sync._role for vm in fleet.by_rank()]
        followers = [StoreRole.FOLLOWER] * (local_vms - 2)
        assert roles == [StoreRole.HUB, StoreRole.STANDBY, *followers]
        assert all(vm.uses("u0") for vm in fleet.vms.values())
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()
