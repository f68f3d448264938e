"""Tests of what VMs do with an upstream that leaves, however they learn of it."""

import pytest
from storereaders import Vm, registration

from oleandershift.directory import REMOVAL_TELLING_SECONDS
from oleandershift.neighbours import StoreRole
from oleandershift.records import Record

GRACE_SECONDS = 2.4
BATCH_SECONDS = 1.5
TRANSFER_SECONDS = 0.9


@pytest.fixture
def reader(clock):
    vm = Vm(clock, GRACE_SECONDS)
    vm.read_list(6, registration("u1", 5), registration("u2", 6))
    return vm


@pytest.fixture
def follower(clock, reader):
    vm = Vm(clock, GRACE_SECONDS)
    vm.catch_up(reader)
    return vm


def test_removal_found_in_a_list_reaches_the_followers(clock, reader, follower):
    reader.read_list(20, registration("u2", 6))
    follower.catch_up(reader)
    clock.instant += GRACE_SECONDS
    assert follower.usable_names() == {"u2"}


def test_follower_of_a_list_drops_a_removed_upstream_with_its_reader(
    clock, reader, follower
):
    reader.read_list(20, registration("u2", 6), registration("u3", 18))
    clock.instant += BATCH_SECONDS
    follower.catch_up(reader)
    clock.instant += GRACE_SECONDS - BATCH_SECONDS
    assert reader.usable_names() == {"u2", "u3"}
    assert follower.usable_names() == {"u2", "u3"}


@pytest.mark.parametrize("is_list", [True, False])
def test_slow_transfer_does_not_extend_the_use_of_a_removed_upstream(
    clock, reader, follower, is_list
):
    if is_list:
        reader.read_list(20, registration("u2", 6))
    else:
        reader.read_changes(20, registration("u1", 5), deleted=True)
    follower.catch_up(reader, TRANSFER_SECONDS)
    clock.instant += GRACE_SECONDS - TRANSFER_SECONDS
    assert reader.usable_names() == {"u2"}
    assert follower.usable_names() == {"u2"}


def test_new_reader_does_not_use_a_removed_upstream_again(clock, reader, follower):
    reader.read_changes(9, registration("u1", 9))
    reader.read_changes(20, registration("u1", 9), deleted=True)
    follower.catch_up(reader)
    clock.instant += 10.0
    assert follower.usable_names() == {"u2"}
    follower.sync.set_role(StoreRole.HUB)
    # A watch from the revision of its own first list.
    follower.read_events(
        20, (registration("u1", 9), False), (registration("u1", 9), True)
    )
    assert follower.usable_names() == {"u2"}


@pytest.mark.parametrize("removal_revision", [9, 12, 20])
def test_replayed_registration_does_not_undo_a_removal(clock, reader, removal_revision):
    reader.read_changes(9, registration("u1", 9))
    gone = Record("u1", removal_revision, None)
    reader.read_changes(20, gone, deleted=True)
    clock.instant += 10.0
    assert reader.usable_names() == {"u2"}
    reader.read_changes(20, registration("u1", 9))
    assert reader.usable_names() == {"u2"}


def test_late_report_of_an_upstream_does_not_take_back_its_leaving(reader):
    draining = registration("u1", 10, state="draining", sequence=7)
    reader.read_changes(10, draining)
    reader.read_changes(11, registration("u1", 11, sequence=6))
    assert reader.usable_names() == {"u2"}


def test_late_report_of_an_earlier_run_does_not_replace_the_later(reader):
    later = registration("u1", 10, state="draining", born=2)
    reader.read_changes(10, later)
    reader.read_changes(11, registration("u1", 11, born=1))
    assert reader.usable_names() == {"u2"}


def test_upstream_that_starts_again_after_leaving_is_used(reader):
    reader.read_changes(10, registration("u1", 10, state="draining"))
    reader.read_changes(12, registration("u1", 12, born=2))
    assert reader.usable_names() == {"u1", "u2"}


def test_upstream_that_lapsed_and_registered_again_is_used(clock, reader):
    reader.read_changes(10, registration("u1", 5), deleted=True)
    clock.instant += GRACE_SECONDS
    assert reader.usable_names() == {"u2"}
    reader.read_changes(12, registration("u1", 12))
    assert reader.usable_names() == {"u1", "u2"}


def tell(clock, reader, follower):
    """Tell a follower what a digest of its reader says of removals."""
    directory = reader.view.directory
    for run, position in directory.recent_removals(clock.instant):
        use_ends_at = clock.instant + directory.grace_left(clock.instant, run.upstream)
        follower.view.directory.on_removal_told(
            clock.instant, position, run, use_ends_at
        )


def test_late_vm_needs_no_snapshot_to_end_the_use_of_a_removed_upstream(
    clock, reader, follower
):
    reader.read_changes(20, registration("u1", 5), deleted=True)
    clock.instant += 0.5
    tell(clock, reader, follower)
    assert follower.usable_names() == {"u1", "u2"}
    clock.instant += GRACE_SECONDS - 0.5
    assert follower.usable_names() == {"u2"}


def test_told_removal_hides_no_other_change(clock, reader, follower):
    reader.read_events(
        20, (registration("u1", 5), True), (registration("u3", 19), False)
    )
    tell(clock, reader, follower)
    follower.catch_up(reader)
    clock.instant += GRACE_SECONDS
    assert follower.usable_names() == reader.usable_names() == {"u2", "u3"}


def test_told_removal_ends_no_later_registration(clock, reader, follower):
    """Digests of a VM that is behind name the removal for a while."""
    behind = Vm(clock, GRACE_SECONDS)
    behind.catch_up(reader)
    for vm in (reader, behind):
        vm.read_changes(20, registration("u1", 5), deleted=True)
    reader.read_changes(25, registration("u1", 25, sequence=2))
    follower.catch_up(reader)
    for teller in (behind, reader):
        tell(clock, teller, follower)
    clock.instant += GRACE_SECONDS
    assert follower.usable_names() == {"u1", "u2"}


def test_told_removal_of_an_earlier_run_is_ignored(clock, reader, follower):
    reader.read_changes(20, registration("u1", 5), deleted=True)
    follower.read_changes(22, registration("u1", 22, born=2))
    tell(clock, reader, follower)
    clock.instant += GRACE_SECONDS
    assert follower.usable_names() == {"u1", "u2"}


def test_nothing_is_told_of_registrations_that_lapsed_in_an_outage(
    clock, reader, follower
):
    """They may be renewed before a digest is received."""
    clock.instant += 5.0
    reader.read_changes(20, registration("u1", 5), deleted=True)
    assert reader.view.directory.recent_removals(clock.instant) == []


def test_removal_is_told_in_several_digests_and_no_longer(clock, reader):
    reader.read_changes(20, registration("u1", 5), deleted=True)
    clock.instant += REMOVAL_TELLING_SECONDS - 0.1
    assert len(reader.view.directory.recent_removals(clock.instant)) == 1
    clock.instant += 0.2
    assert reader.view.directory.recent_removals(clock.instant) == []
