"""Tests of the set of leaving upstreams."""

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


def listed(name: str, ip: str) -> ListedVm:
    return ListedVm(name=name, region="north", ip=ip, state=ListedState.LEAVING)


def upstream(version: int, url: str, deleted: bool = False) -> Row:
    value = b'{"name":"u1","service":"s","region":"north","url":"%s"}' % url.encode()
    return Row("upstreams", "u1", version, value, deleted)


@pytest.fixture
def hosts() -> UpstreamHosts:
    made = UpstreamHosts()
    made.update([upstream(1, "http://10.0.0.5:80"), Row("teams", "t", 1, b"{}")])
    return made


@pytest.mark.parametrize(
    ("vm", "found"),
    [
        (listed("u1", "10.0.0.9"), {U1}),
        (listed("other", "10.0.0.5"), {U1}),
        (listed("other", "10.0.0.9"), set()),
    ],
)
def test_upstream_is_found_by_name_or_host(
    hosts: UpstreamHosts, vm: ListedVm, found: set[UpstreamId]
) -> None:
    assert hosts.on([vm]) == found
    assert hosts.without([vm]) == ([] if found else [vm])


def test_moved_and_removed_upstreams_are_followed(hosts: UpstreamHosts) -> None:
    hosts.update([upstream(2, "http://10.0.0.6:80")])
    assert hosts.on([listed("x", "10.0.0.5")]) == set()
    assert hosts.on([listed("x", "10.0.0.6")]) == {U1}
    hosts.update([upstream(3, "http://10.0.0.6:80", deleted=True)])
    assert hosts.on([listed("x", "10.0.0.6")]) == set()


def test_newest_set_wins_whichever_way_it_came() -> None:
    reader, other = LeavingUpstreams(), LeavingUpstreams()
    assert reader.observe(1.0, {U1})
    first = reader.message()
    assert reader.observe(1.0, ())
    second = reader.message()
    assert not other.take(second)
    assert not other.take(first)
    assert other.upstreams == ()


def test_unchanged_set_keeps_its_number() -> None:
    reader = LeavingUpstreams()
    reader.observe(1.0, {U1})
    before = reader.message()
    assert not reader.observe(2.0, {U1})
    assert reader.message() == before
