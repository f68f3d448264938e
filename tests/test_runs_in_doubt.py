"""Doubts about the runs of an upstream whose host's clock was set back."""

import pytest
from storereaders import Vm, registration

from oleandershift.directory import CONFIRMATION_SECONDS, UpstreamRun
from oleandershift.freshness import OUTAGE_SECONDS
from oleandershift.ids import UpstreamId

GRACE_SECONDS = 0.5
EARLIER, LATER = 5_000, 9_000
U1 = UpstreamId("u1")


@pytest.fixture
def vm(clock):
    vm = Vm(clock, GRACE_SECONDS)
    vm.read_list(10, registration("u1", 10, born=LATER))
    return vm


def test_draining_run_in_doubt_gets_no_requests_after_a_late_report_of_it(vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER, sequence=3))
    vm.read_changes(
        12, registration("u1", 12, born=EARLIER, sequence=5, state="draining")
    )
    assert vm.usable() == set()
    vm.read_changes(13, registration("u1", 13, born=EARLIER, sequence=4))
    assert vm.usable() == set()


def test_draining_run_in_doubt_is_not_believed_ready_after_a_late_report(clock, vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER, sequence=3))
    vm.read_changes(
        12, registration("u1", 12, born=EARLIER, sequence=5, state="draining")
    )
    vm.read_changes(13, registration("u1", 13, born=EARLIER, sequence=4))
    for _ in range(6):
        clock.instant += 1.0
        vm.read_changes(13)
        vm.view.directory.expire(clock.instant)
    assert vm.usable() == set()


def test_draining_run_in_doubt_gets_no_requests_after_its_removal(vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    vm.read_changes(12, registration("u1", 12, born=EARLIER, state="draining"))
    assert vm.usable() == set()
    vm.read_changes(13, registration("u1", 12, born=EARLIER), deleted=True)
    assert vm.usable() == set()


def test_run_in_doubt_of_another_version_gets_no_requests_after_its_removal(vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER, version="v2"))
    assert vm.usable() == set()
    vm.read_changes(12, registration("u1", 11, born=EARLIER), deleted=True)
    assert vm.usable() == set()


def test_draining_run_in_doubt_gets_no_requests_in_an_outage(clock, vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    vm.read_changes(12, registration("u1", 12, born=EARLIER, state="draining"))
    clock.instant += CONFIRMATION_SECONDS + OUTAGE_SECONDS
    vm.view.directory.expire(clock.instant)
    assert vm.usable() == set()


def test_run_in_doubt_of_another_version_gets_no_requests_in_an_outage(clock, vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER, version="v2"))
    clock.instant += CONFIRMATION_SECONDS + OUTAGE_SECONDS
    vm.view.directory.expire(clock.instant)
    assert vm.usable() == set()


def test_late_report_of_a_removed_run_in_doubt_does_not_add_it_again(clock, vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER, sequence=9))
    vm.read_changes(12, registration("u1", 11, born=EARLIER), deleted=True)
    vm.read_changes(13, registration("u1", 13, born=EARLIER, sequence=8))
    clock.instant += 2 * GRACE_SECONDS
    vm.view.directory.expire(clock.instant)
    assert vm.usable() == set()


def test_run_in_doubt_that_said_that_it_leaves_gets_no_requests(vm):
    vm.read_changes(11, registration("u1", 11, born=EARLIER))
    vm.view.directory.on_leaving(UpstreamRun(U1, EARLIER))
    assert vm.usable() == set()


def test_late_report_of_a_run_two_before_replaces_nothing(vm):
    """The clock was set back once; the two later lives count up again."""
    for revision, born in ((11, 5_000), (12, 6_000)):
        vm.read_changes(revision, registration("u1", revision, born=born))
        for _ in range(6):
            vm.clock.instant += 1.0
            vm.read_changes(revision)
            vm.view.directory.expire(vm.clock.instant)
    assert vm.usable() == {("u1", 6_000)}
    vm.read_changes(13, registration("u1", 13, born=LATER, sequence=99, version="v0"))
    assert vm.view.directory.get(U1).incarnation == 6_000


def test_late_report_before_an_outage_keeps_the_known_run_from_requests_till_it_reports(
    clock, vm
):
    vm.read_changes(11, registration("u1", 11, born=EARLIER, state="draining"))
    for _ in range(10):
        clock.instant += 1.0
        vm.view.directory.expire(clock.instant)
        assert vm.usable() == set()
    vm.read_changes(12, registration("u1", 12, born=LATER))
    assert vm.usable() == {("u1", LATER)}


def test_late_report_of_the_known_run_before_the_removal_of_one_in_doubt_adds_nothing(
    clock, vm
):
    vm.read_changes(11, registration("u1", 11, born=LATER, sequence=9))
    vm.read_changes(12, registration("u1", 12, born=EARLIER, sequence=2))
    vm.read_changes(13, registration("u1", 12, born=EARLIER), deleted=True)
    vm.read_changes(14, registration("u1", 14, born=LATER, sequence=8))
    clock.instant += 2 * GRACE_SECONDS
    vm.view.directory.expire(clock.instant)
    assert vm.usable() == set()
