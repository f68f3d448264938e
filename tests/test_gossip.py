"""Tests of the membership update queue."""

from collections.abc import Callable

from oleandershift.gossip import MAX_UPDATES_PER_MESSAGE, UpdateQueue
from oleandershift.messages import Member


def test_batch_size_is_bounded(make_member: Callable[..., Member]) -> None:
    queue = UpdateQueue()
    for i in range(100):
        queue.add(make_member(f"vm{i}"))
    assert len(queue.next_batch(100)) == MAX_UPDATES_PER_MESSAGE


def test_change_with_fewest_transmissions_is_first(
    make_member: Callable[..., Member],
) -> None:
    queue = UpdateQueue()
    for i in range(MAX_UPDATES_PER_MESSAGE):
        queue.add(make_member(f"old{i}"))
    queue.next_batch(100)
    queue.add(make_member("new"))
    assert queue.next_batch(100)[0].vm == "new"


def test_change_is_removed_after_the_last_transmission(
    make_member: Callable[..., Member],
) -> None:
    queue = UpdateQueue()
    queue.add(make_member("a"))
    sent = sum(len(queue.next_batch(7)) for _ in range(100))
    assert sent == 9
    assert len(queue) == 0
