"""Tests of how old the knowledge of the store is, and of its outages."""

import math

import pytest

from oleandershift.freshness import (
    OUTAGE_SECONDS,
    REREGISTRATION_SECONDS,
    StoreFreshness,
)


@pytest.fixture
def freshness():
    freshness = StoreFreshness()
    freshness.on_read(10.0, 10.0)
    return freshness


def test_nothing_is_known_before_the_first_answer():
    freshness = StoreFreshness()
    assert freshness.age_s(5.0) == math.inf
    assert not freshness.may_lack_registrations(5.0)
    freshness.on_read(10.0, 9.9)
    assert not freshness.may_lack_registrations(10.0)


def test_what_another_vm_has_read_counts_as_known(freshness):
    freshness.on_told(14.0, 13.5, is_newer=False)
    assert freshness.age_s(14.0) == pytest.approx(0.5)
    assert freshness.own_read_until == 10.0


def test_earlier_answer_does_not_make_the_knowledge_older(freshness):
    freshness.on_told(11.0, 9.0, is_newer=False)
    assert freshness.read_until == 10.0


def test_store_that_answers_another_vm_is_not_out(freshness):
    for instant in (11.0, 12.0, 13.0, 14.0):
        freshness.on_told(instant, instant, is_newer=False)
    freshness.on_read(14.5, 14.5)
    assert not freshness.may_lack_registrations(14.5)


def test_short_silence_is_no_outage(freshness):
    back_at = 10.0 + OUTAGE_SECONDS - 0.1
    freshness.on_read(back_at, back_at)
    assert not freshness.may_lack_registrations(back_at)


def test_registrations_may_be_missing_in_an_outage_and_until_they_are_renewed(
    freshness,
):
    assert freshness.is_out(10.0 + OUTAGE_SECONDS)
    freshness.on_told(15.0, 15.0, is_newer=False)
    assert not freshness.is_out(15.0)
    assert freshness.may_lack_registrations(15.0 + REREGISTRATION_SECONDS - 0.1)
    freshness.on_told(16.5, 16.5, is_newer=False)
    assert not freshness.may_lack_registrations(15.0 + REREGISTRATION_SECONDS)
