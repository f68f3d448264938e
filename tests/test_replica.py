"""Tests of the table replica."""

from oleandershift.messages import Row
from oleandershift.replica import Replica


def test_older_version_is_not_applied() -> None:
    replica = Replica()
    replica.apply([Row("teams", "a", 3, b"{}")])
    assert replica.apply([Row("teams", "a", 2, b"{}", deleted=True)]) == ()


def test_digest_does_not_depend_on_order() -> None:
    rows = [Row("teams", "a", 1, b"{}"), Row("teams", "b", 2, b"{}")]
    first, second = Replica(), Replica()
    first.apply(rows)
    second.apply(reversed(rows))
    assert first.digest() == second.digest()
