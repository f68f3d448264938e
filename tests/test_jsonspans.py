"""Tests of the splitting of JSON documents into parts."""

import json

import pytest
from hypothesis import given, strategies as st

from oleandershift.jsonspans import elements, members

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=20,
)


@given(st.lists(values), st.booleans())
def test_elements_are_those_of_the_array(expected, is_indented):
    data = json.dumps(expected, indent=2 if is_indented else None).encode()
    assert [json.loads(part) for part in elements(data)] == expected


@given(st.dictionaries(st.text(), values), st.booleans())
def test_members_are_those_of_the_object(expected, is_indented):
    data = json.dumps(expected, indent=2 if is_indented else None).encode()
    assert {name: json.loads(part) for name, part in members(data).items()} == expected


@pytest.mark.parametrize("deep", [b"[" * 100_000 + b"]" * 100_000])
def test_deeply_nested_element_is_one_part(deep):
    assert elements(b"[1," + deep + b",2]") == [b"1", deep, b"2"]
    assert members(b'{"a":' + deep + b"}") == {"a": deep}


@pytest.mark.parametrize("data", [b"", b"1", b"[", b"[1,2", b'["a]', b"[{]", b"x[1]"])
@pytest.mark.parametrize("split", [elements, members])
def test_document_that_is_cut_off_or_foreign_is_rejected(split, data):
    with pytest.raises(ValueError, match="document"):
        split(data)
