"""Lives of upstreams whose host's clock was set back between them."""

import pytest
from storereaders import Vm, registration

from oleandershift.directory import CONFIRMATION_SECONDS, UpstreamRun
from oleandershift.ids import ServiceId, SoftwareVersion, UpstreamId

GRACE_SECONDS = 0.5
EARLIER, LATER = 5_000, 9_000
"""Starts in the order of the host's clock, which is not that of the lives."""

LIFE_BEFORE = registration("u1", 10, born=LATER)


@pytest.fixture
def vm(clock):
    vm = Vm(clock, GRACE_SECONDS)
    vm.read_list(10, LIFE_BEFORE)
    return vm


@pytest.fixture
def confirm(clock):
    """Return a function that lets a VM read that nothing changed for long."""

    def confirm(vm, revision):
        end = clock.instant + CONFIRMATION_SECONDS
        while clock.instant < end:
            clock.instant += 1.0
            vm.read_changes(revision)
            vm.view.directory.expire(clock.instant)

    return confirm


def test_upstream_that_left_is_used_again_though_its_clock_was_set_back(vm, confirm):
    vm.read_changes(11, registration("u1", 11, born=LATER, state="draining"))
    vm.read_changes(12, registration("u1", 12, born=EARLIER))
    confirm(vm, 12)
    assert vm.usable() == {("u1", EARLIER)}


def test_upstream_in_a_list_is_used_though_its_clock_was_set_back(vm, confirm):
    vm.read_list(12, registration("u1", 12, born=EARLIER))
    confirm(vm, 12)
    assert vm.usable() == {("u1", EARLIER)}


def test_draining_upstream_whose_clock_was_set_back_gets_no_requests(vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    vm.read_changes(12, registration("u1", 12, born=EARLIER, state="draining"))
    assert vm.usable() == set()


def test_upstream_of_a_new_version_is_not_taken_for_the_life_before(vm, confirm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER, version="v2"))
    versions = {SoftwareVersion("v1"), SoftwareVersion("v2")}
    assert vm.usable() == set()
    assert vm.view.directory.versions(ServiceId("s")) == versions
    confirm(vm, 11)
    assert vm.usable() == {("u1", EARLIER)}
    assert vm.view.directory.versions(ServiceId("s")) == {SoftwareVersion("v2")}


def test_upstream_that_registers_in_the_grace_of_its_life_before_is_used(clock, vm):
    vm.read_changes(11, registration("u1", 10), deleted=True)
    vm.read_changes(12, registration("u1", 12, born=EARLIER))
    clock.instant += GRACE_SECONDS
    vm.view.directory.expire(clock.instant)
    assert vm.usable() == {("u1", EARLIER)}


def test_follower_uses_an_upstream_whose_clock_was_set_back(clock, vm):
    follower = Vm(clock, GRACE_SECONDS)
    follower.catch_up(vm)
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    follower.catch_up(vm)
    end = clock.instant + CONFIRMATION_SECONDS
    while clock.instant < end:
        clock.instant += 1.0
        follower.view.freshness.on_told(clock.instant, clock.instant, is_newer=False)
        follower.view.directory.expire(clock.instant)
    assert follower.usable() == {("u1", EARLIER)}


def test_late_report_of_the_life_before_does_not_replace_it_again(vm, confirm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    confirm(vm, 11)
    vm.read_changes(13, registration("u1", 13, born=LATER, sequence=9))
    vm.read_changes(14, registration("u1", 14, born=EARLIER, sequence=2))
    assert vm.usable() == {("u1", EARLIER)}


def test_late_report_confirmed_by_nobody_during_an_outage_replaces_nothing(clock, vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    clock.instant += 2 * CONFIRMATION_SECONDS
    vm.view.directory.expire(clock.instant)
    assert vm.usable() == {("u1", LATER)}
    vm.read_changes(12, registration("u1", 12, born=LATER, sequence=2))
    vm.view.directory.expire(clock.instant)
    assert vm.usable() == {("u1", LATER)}


def test_removal_of_an_upstream_whose_clock_was_set_back_is_final(clock, vm, confirm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    vm.read_changes(12, registration("u1", 11, born=EARLIER), deleted=True)
    clock.instant += GRACE_SECONDS
    vm.view.directory.expire(clock.instant)
    confirm(vm, 12)
    assert vm.usable() == set()


def test_vms_agree_on_the_life_of_an_upstream_that_leaves(vm, confirm):
    """A digest names the life by its start."""
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    confirm(vm, 11)
    directory = vm.view.directory
    directory.on_leaving(UpstreamRun(UpstreamId("u1"), LATER))
    assert vm.usable() == {("u1", EARLIER)}
    directory.on_leaving(UpstreamRun(UpstreamId("u1"), EARLIER))
    assert vm.usable() == set()
