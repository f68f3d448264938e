"""Fingerprints of requests: the same for a repetition, different for all else."""

from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st

from oleandershift.fingerprints import RequestContent
from oleandershift.ids import TeamId

CONTENT = RequestContent(
    team=TeamId("team"),
    method=b"POST",
    host=b"caller.example",
    target=b"/read/x?a=1",
    parts=("first", "own"),
    body=b"{}",
)


def test_fingerprint_is_the_same_on_each_vm_and_build():
    assert CONTENT.fingerprint() == "Dijw8ePXl1M_O3Ca"
    assert replace(CONTENT, host=b"Caller.Example").fingerprint() == "Dijw8ePXl1M_O3Ca"


@pytest.mark.parametrize(
    "change",
    [
        {"team": TeamId("other")},
        {"team": None},
        {"method": b"PUT"},
        {"host": b"other.example"},
        {"target": b"/read/x?a=2"},
        {"parts": ("first",)},
        {"parts": ("firstown",)},
        {"body": b"{ }"},
        {"body": b""},
    ],
)
def test_other_content_has_another_fingerprint(change):
    assert replace(CONTENT, **change).fingerprint() != CONTENT.fingerprint()


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.tuples(st.binary(), st.binary()), st.tuples(st.binary(), st.binary()))
def test_bytes_can_t_move_from_one_field_to_the_next(first, second):
    fingerprints = [
        replace(CONTENT, target=target, body=body).fingerprint()
        for target, body in (first, second)
    ]
    assert (fingerprints[0] == fingerprints[1]) == (first == second)
