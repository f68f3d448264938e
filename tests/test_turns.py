"""Tests of the queue from which groups are served in turn."""

import pytest

from oleandershift.turns import TurnQueue

MAX_WAITING = 3


@pytest.fixture
def queue():
    return TurnQueue(MAX_WAITING)


def take_all(queue):
    taken = []
    while queue:
        taken.append(queue.take())
    return taken


def test_items_of_one_group_are_taken_in_their_order(queue):
    for item in (1, 2, 3):
        assert queue.put("a", item)
    assert take_all(queue) == [1, 2, 3]


def test_group_with_many_items_does_not_hold_up_another(queue):
    for item in (1, 2, 3):
        queue.put("flood", item)
    queue.put("quiet", 4)
    assert take_all(queue) == [1, 4, 2, 3]


def test_group_that_comes_back_takes_its_turn_behind_the_others(queue):
    queue.put("a", 1)
    queue.put("b", 2)
    queue.put("b", 3)
    assert queue.take() == 1
    queue.put("a", 4)
    assert take_all(queue) == [2, 4, 3]


def test_only_the_excess_of_a_group_is_turned_away(queue):
    assert [queue.put("flood", item) for item in range(5)] == [True] * 3 + [False] * 2
    assert queue.put("quiet", 9)
    assert take_all(queue) == [0, 9, 1, 2]
