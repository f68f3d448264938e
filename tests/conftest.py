"""Fixtures shared by all tests."""

from collections.abc import Callable, Iterator

import pytest
from hypothesis import settings
from storereaders import ManualClock

from oleandershift.ids import DataCentreId, Incarnation, RegionId, VmId
from oleandershift.io.platform import PlatformClient
from oleandershift.messages import Member, MemberState
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
