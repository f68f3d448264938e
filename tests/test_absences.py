"""Tests of the record of absent upstreams."""

from dataclasses import replace

import pytest
from upstreams import make_upstream

from oleandershift.absences import AbsenceProof, AbsenceTracker


@pytest.fixture
def upstream():
    return make_upstream()


@pytest.mark.parametrize("proof", AbsenceProof)
def test_upstream_is_absent_while_the_proof_is_valid(upstream, proof):
    tracker = AbsenceTracker()
    tracker.record(1.0, upstream, proof)
    valid_until = 1.0 + proof.valid_seconds
    assert tracker.absent(valid_until - 0.01) == {upstream.run}
    assert tracker.absent(valid_until) == frozenset()


def test_restarted_upstream_is_not_absent(upstream):
    tracker = AbsenceTracker()
    tracker.record(0.0, upstream, AbsenceProof.ADDRESS_REUSED)
    assert replace(upstream, incarnation=2).run not in tracker.absent(0.1)
