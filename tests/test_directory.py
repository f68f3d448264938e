"""Tests of the directory: registration, removal and lapse of upstreams."""

import pytest
from storereaders import at

from oleandershift.directory import (
    CONFIRMATION_SECONDS,
    Directory,
    Upstream,
    UpstreamState,
)
from oleandershift.freshness import REREGISTRATION_SECONDS, StoreFreshness
from oleandershift.ids import DataCentreId, ServiceId, UpstreamId


def make_upstream(name="u1", state=UpstreamState.READY, incarnation=1):
    return Upstream(
        name=UpstreamId(name),
        incarnation=incarnation,
        service=ServiceId("s"),
        host="127.0.0.1",
        port=8080,
        data_centre=DataCentreId("z"),
        slots=4,
        state=state,
    )


def with_revision(*entries, revision=9):
    return [(at(revision), entry) for entry in entries]


def usable_names(directory, now):
    return {entry.name for entry in directory.usable(now, ServiceId("s"))}


@pytest.fixture
def freshness():
    freshness = StoreFreshness()
    freshness.on_read(2.0, 2.0)
    return freshness


@pytest.fixture
def directory(freshness):
    directory = Directory(freshness=freshness)
    directory.replace(
        0.0, at(10), with_revision(make_upstream("u1"), make_upstream("u2"))
    )
    return directory


def test_draining_upstream_is_not_usable(directory):
    directory.update(0.0, at(11), make_upstream("u1", UpstreamState.DRAINING))
    assert usable_names(directory, 0.0) == {"u2"}


def test_removal_without_an_outage_is_immediate(directory):
    assert directory.remove(1.0, at(11), UpstreamId("u1"))
    assert usable_names(directory, 1.0) == {"u2"}


def test_entry_that_lapses_in_an_outage_is_kept_until_the_store_recovers(
    directory, freshness
):
    assert not directory.remove(5.0, at(11), UpstreamId("u1"))
    freshness.on_read(6.0, 6.0)
    directory.expire(6.0)
    assert usable_names(directory, 6.0) == {"u1", "u2"}


def test_entry_not_renewed_after_the_outage_expires(directory, freshness):
    freshness.on_read(6.0, 6.0)
    directory.replace(6.1, at(12), with_revision(make_upstream("u2")))
    assert usable_names(directory, 6.1) == {"u1", "u2"}
    directory.expire(6.0 + REREGISTRATION_SECONDS)
    assert usable_names(directory, 6.0 + REREGISTRATION_SECONDS) == {"u2"}


def test_entry_renewed_after_the_outage_is_kept(directory, freshness):
    freshness.on_read(6.0, 6.0)
    directory.replace(6.1, at(12), with_revision(make_upstream("u2")))
    directory.update(0.0, at(13), make_upstream("u1"))
    directory.expire(20.0)
    assert usable_names(directory, 20.0) == {"u1", "u2"}


def test_draining_entry_is_removed_immediately_in_an_outage(directory):
    directory.update(0.0, at(11), make_upstream("u1", UpstreamState.DRAINING))
    assert directory.remove(5.0, at(12), UpstreamId("u1"))


def test_older_list_does_not_undo_newer_changes(directory):
    directory.update(0.0, at(15), make_upstream("u3"))
    directory.replace(1.0, at(12), with_revision(make_upstream("u1")))
    assert usable_names(directory, 1.0) == {"u1", "u2", "u3"}


def test_older_change_does_not_undo_a_newer_list(directory):
    directory.replace(
        1.0, at(20), with_revision(make_upstream("u1", UpstreamState.DRAINING))
    )
    assert not directory.update(0.0, at(15), make_upstream("u1"))
    assert usable_names(directory, 1.0) == set()


def test_removal_of_an_older_incarnation_keeps_the_newer(directory):
    directory.update(0.0, at(15), make_upstream("u1", incarnation=2))
    assert not directory.remove(1.0, at(12), UpstreamId("u1"))
    assert "u1" in usable_names(directory, 1.0)


@pytest.mark.parametrize("revision", [9, 11])
def test_removal_applies_with_the_last_or_its_own_revision(directory, revision):
    assert directory.remove(1.0, at(revision), UpstreamId("u1"))


def test_lapsed_entry_is_kept_for_the_grace_period():
    directory = Directory(grace_s=1.5)
    directory.replace(
        0.0, at(10), with_revision(make_upstream("u1"), make_upstream("u2"))
    )
    assert not directory.remove(1.0, at(11), UpstreamId("u1"))
    assert usable_names(directory, 2.49) == {"u1", "u2"}
    directory.expire(2.5)
    assert usable_names(directory, 2.5) == {"u2"}


def test_revision_is_that_of_the_newest_known_change(directory):
    assert directory.position == at(9)
    directory.update(0.0, at(12), make_upstream("u3"))
    directory.remove(1.0, at(14), UpstreamId("u3"))
    assert directory.position == at(14)


def restored(directory, now, *entries, revision=5):
    """Read a list from a store that has come back from a copy at a revision."""
    listed = [(at(revision - 1, era=1), entry) for entry in entries]
    directory.replace(now, at(revision, era=1), listed)


def test_registration_at_a_revision_given_out_again_is_read(directory):
    restored(directory, 1.0, make_upstream("u1"), make_upstream("u2"))
    assert directory.update(0.0, at(7, era=1), make_upstream("u3"))
    assert directory.position == at(7, era=1)
    assert usable_names(directory, 1.0) == {"u1", "u2", "u3"}


def test_late_answer_of_the_era_before_changes_nothing(directory):
    restored(directory, 1.0, make_upstream("u1"), make_upstream("u2"))
    assert not directory.update(
        0.0, at(30), make_upstream("u1", UpstreamState.DRAINING)
    )
    assert not directory.remove(1.0, at(31), UpstreamId("u2"))
    assert directory.replace(1.0, at(32), []) == ()
    assert usable_names(directory, 1.0) == {"u1", "u2"}


def test_entry_that_a_copy_lacks_is_kept_until_it_may_register_again(directory):
    restored(directory, 1.0, make_upstream("u1"))
    assert usable_names(directory, 1.0 + REREGISTRATION_SECONDS - 0.1) == {"u1", "u2"}
    assert usable_names(directory, 1.0 + REREGISTRATION_SECONDS) == {"u1"}


def test_removed_upstream_that_a_copy_still_lists_gets_no_requests(directory):
    directory.remove(1.0, at(11), UpstreamId("u2"))
    restored(directory, 2.0, make_upstream("u1"), make_upstream("u2"))
    assert usable_names(directory, 2.0) == {"u1"}
    directory.remove(5.0, at(8, era=1), UpstreamId("u2"))
    assert usable_names(directory, 2.0 + CONFIRMATION_SECONDS) == {"u1"}


def test_upstream_that_a_restored_store_keeps_listing_is_used_again(directory):
    directory.remove(1.0, at(11), UpstreamId("u2"))
    restored(directory, 2.0, make_upstream("u1"), make_upstream("u2"))
    assert usable_names(directory, 2.0) == {"u1"}
    assert usable_names(directory, 2.0 + CONFIRMATION_SECONDS) == {"u1", "u2"}


@pytest.mark.parametrize("incarnation", [1, 2])
def test_removed_upstream_that_reports_after_the_restore_is_used(
    directory, incarnation
):
    directory.remove(1.0, at(11), UpstreamId("u2"))
    restored(directory, 2.0, make_upstream("u1"), make_upstream("u2"))
    directory.update(0.0, at(9, era=1), make_upstream("u2", incarnation=incarnation))
    assert usable_names(directory, 2.0) == {"u1", "u2"}


def test_later_run_of_a_removed_upstream_is_used_at_once(directory):
    directory.remove(1.0, at(11), UpstreamId("u2"))
    restored(directory, 2.0, make_upstream("u2", incarnation=2), revision=30)
    assert "u2" in usable_names(directory, 2.0)


def test_registrations_that_lapsed_in_the_outage_are_used_as_the_copy_lists_them(
    directory, freshness
):
    directory.remove(4.0, at(11), UpstreamId("u1"))
    directory.remove(4.0, at(12), UpstreamId("u2"))
    freshness.on_read(5.0, 5.0)
    restored(directory, 5.0, make_upstream("u1"), make_upstream("u2"))
    assert usable_names(directory, 5.0) == {"u1", "u2"}
    assert usable_names(directory, 9.0) == {"u1", "u2"}


def test_leaving_is_not_taken_back_by_a_restored_store(directory):
    directory.update(0.0, at(11), make_upstream("u2", UpstreamState.DRAINING))
    restored(directory, 2.0, make_upstream("u1"), make_upstream("u2"))
    assert usable_names(directory, 2.0 + CONFIRMATION_SECONDS) == {"u1"}


def test_second_list_of_a_restored_store_confirms_nothing(directory):
    directory.remove(1.0, at(11), UpstreamId("u2"))
    for revision in (5, 6):
        listed = [
            (at(4, era=1), make_upstream("u1")),
            (at(4, era=1), make_upstream("u2")),
        ]
        directory.replace(2.0, at(revision, era=1), listed)
        assert usable_names(directory, 2.5) == {"u1"}
