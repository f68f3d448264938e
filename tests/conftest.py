"""Fixtures of all tests."""

from collections.abc import Callable

import pytest

from oleandershift.ids import DataCentreId, Incarnation, RegionId, VmId
from oleandershift.messages import Member, MemberState


@pytest.fixture
def make_member() -> Callable[..., Member]:
    """Return a maker of members with an address of their own each."""
    made: dict[str, int] = {}

    def make(
        vm: str,
        incarnation: int = 1,
        state: MemberState = MemberState.ALIVE,
        region: str = "north",
    ) -> Member:
        number = made.setdefault(vm, len(made) + 1)
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
