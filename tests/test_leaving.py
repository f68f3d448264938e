"""Tests of tracking leaving upstreams."""

import pytest

from oleandershift.ids import UpstreamId
from oleandershift.leaving import (
    LeavingUpstreams,
    ListedState,
    ListedVm,
    UpstreamHosts,
)
from oleandershift.messages import Row

U1 = UpstreamId("u1")


def leaving_vm(name: str, ip: str) -> ListedVm:
    return ListedVm(name=name, region="north", ip=ip, state=ListedState.LEAVING)


def upstream_row(version: int, url: str, deleted: bool = False) -> Row:
    value = b'{"name":"u1","service":"s","region":"north","url":"%s"}' % url.encode()
    return Row("upstreams", "u1", version, value, deleted)


@pytest.fixture
def hosts() -> UpstreamHosts:
    upstream_hosts = UpstreamHosts()
    upstream_hosts.update(
        [upstream_row(1, "http://10.0.0.5:80"), Row("teams", "t", 1, b"{}")]
    )
    return upstream_hosts


@pytest.mark.parametrize(
    ("vm", "expected"),
    [
        (leaving_vm("u1", "10.0.0.9"), {U1}),
        (leaving_vm("other", "10.0.0.5"), {U1}),
        (leaving_vm("other", "10.0.0.9"), set()),
    ],
)
def test_upstream_matches_vm_by_name_or_host(
    hosts: UpstreamHosts, vm: ListedVm, expected: set[UpstreamId]
) -> None:
    assert hosts.upstreams_on([vm]) == expected
    assert hosts.vms_without_upstreams([vm]) == ([] if expected else [vm])


def test_moved_and_removed_upstreams_update_hosts(hosts: UpstreamHosts) -> None:
    hosts.update([upstream_row(2, "http://10.0.0.6:80")])
    assert hosts.upstreams_on([leaving_vm("x", "10.0.0.5")]) == set()
    assert hosts.upstreams_on([leaving_vm("x", "10.0.0.6")]) == {U1}
    hosts.update([upstream_row(3, "http://10.0.0.6:80", deleted=True)])
    assert hosts.upstreams_on([leaving_vm("x", "10.0.0.6")]) == set()


def test_newest_set_wins_in_any_arrival_order() -> None:
    reader, other = LeavingUpstreams(), LeavingUpstreams()
    assert reader.update_from_platform(1.0, {U1})
    first = reader.to_message()
    assert reader.update_from_platform(1.0, ())
    second = reader.to_message()
    assert not other.update_from_agent(second)
    assert not other.update_from_agent(first)
    assert other.upstreams == ()


def test_unchanged_set_keeps_sequence_number() -> None:
    reader = LeavingUpstreams()
    reader.update_from_platform(1.0, {U1})
    before = reader.to_message()
    assert not reader.update_from_platform(2.0, {U1})
    assert reader.to_message() == before
