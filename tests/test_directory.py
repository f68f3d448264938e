"""Directory: upstreams that come, leave, lapse and return."""

import pytest

from oleandershift.directory import (
    REREGISTRATION_SECONDS,
    Directory,
    Upstream,
    UpstreamState,
)
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


def listed(*entries, revision=9):
    return [(revision, entry) for entry in entries]


def usable(directory):
    return {entry.name for entry in directory.usable(ServiceId("s"))}


@pytest.fixture
def directory():
    made = Directory()
    made.replace(0.0, 10, listed(make_upstream("u1"), make_upstream("u2")))
    return made


def test_draining_upstream_gets_no_work(directory):
    directory.update(11, make_upstream("u1", UpstreamState.DRAINING))
    assert usable(directory) == {"u2"}


def test_removal_in_calm_times_is_final(directory):
    assert directory.remove(1.0, 11, UpstreamId("u1"))
    assert usable(directory) == {"u2"}


def test_entry_that_lapses_in_an_outage_stays_until_the_store_is_back(directory):
    directory.on_store_lost()
    assert not directory.remove(5.0, 11, UpstreamId("u1"))
    directory.on_store_recovered(6.0)
    directory.expire(6.0)
    assert usable(directory) == {"u1", "u2"}


def test_entry_missing_after_the_return_is_gone(directory):
    directory.on_store_lost()
    directory.on_store_recovered(6.0)
    directory.replace(6.1, 12, listed(make_upstream("u2")))
    assert usable(directory) == {"u1", "u2"}
    directory.expire(6.0 + REREGISTRATION_SECONDS)
    assert usable(directory) == {"u2"}


def test_entry_that_returns_in_time_stays(directory):
    directory.on_store_lost()
    directory.on_store_recovered(6.0)
    directory.replace(6.1, 12, listed(make_upstream("u2")))
    directory.update(13, make_upstream("u1"))
    directory.expire(20.0)
    assert usable(directory) == {"u1", "u2"}


def test_draining_entry_that_vanishes_in_an_outage_is_gone_at_once(directory):
    directory.update(11, make_upstream("u1", UpstreamState.DRAINING))
    directory.on_store_lost()
    assert directory.remove(5.0, 12, UpstreamId("u1"))


def test_older_list_does_not_undo_newer_changes(directory):
    directory.update(15, make_upstream("u3"))
    directory.replace(1.0, 12, listed(make_upstream("u1")))
    assert usable(directory) == {"u1", "u2", "u3"}


def test_late_change_does_not_undo_a_list(directory):
    directory.replace(1.0, 20, listed(make_upstream("u1", UpstreamState.DRAINING)))
    assert not directory.update(15, make_upstream("u1"))
    assert usable(directory) == set()


def test_removal_of_an_older_lifetime_keeps_the_newer(directory):
    directory.update(15, make_upstream("u1", incarnation=2))
    assert not directory.remove(1.0, 12, UpstreamId("u1"))
    assert "u1" in usable(directory)


@pytest.mark.parametrize("revision", [9, 11])
def test_removal_names_the_last_change_or_itself(directory, revision):
    assert directory.remove(1.0, revision, UpstreamId("u1"))


def test_entry_that_vanishes_is_kept_for_the_grace():
    directory = Directory(grace_s=1.5)
    directory.replace(0.0, 10, listed(make_upstream("u1"), make_upstream("u2")))
    assert not directory.remove(1.0, 11, UpstreamId("u1"))
    assert usable(directory) == {"u1", "u2"}
    directory.expire(2.5)
    assert usable(directory) == {"u2"}


def test_change_that_is_known_is_told(directory):
    assert directory.revision == 9
    directory.update(12, make_upstream("u3"))
    directory.remove(1.0, 14, UpstreamId("u3"))
    assert directory.revision == 14
