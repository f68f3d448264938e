"""Tests of a daemon's subscription to its agent."""

from oleandershift.messages import MembersView, RowsUpdate, Subscribe
from oleandershift.subscription import HEARTBEAT_INTERVAL_SECONDS, Subscription

AGENT = 1


def beat(subscription: Subscription, now: float) -> Subscribe:
    (body,) = subscription.on_tick(now, True)
    assert isinstance(body, Subscribe)
    return body


def test_query_goes_out_at_once_and_again_until_it_is_answered() -> None:
    subscription = Subscription("tcp://router")
    assert beat(subscription, 0.0).query_id == 0
    subscription.request_sync()
    first = beat(subscription, 0.1)
    assert first.query_id > 0
    assert (
        beat(subscription, 0.1 + HEARTBEAT_INTERVAL_SECONDS).query_id == first.query_id
    )
    subscription.on_message(AGENT, RowsUpdate((), query_id=first.query_id))
    assert subscription.is_current()
    assert beat(subscription, 0.2 + 2 * HEARTBEAT_INTERVAL_SECONDS).query_id == 0


def test_what_was_sent_before_the_query_does_not_answer_it() -> None:
    subscription = Subscription("tcp://router")
    subscription.request_sync()
    old = beat(subscription, 0.0).query_id
    subscription.request_sync()
    subscription.on_message(AGENT, RowsUpdate((), complete=True, query_id=old))
    subscription.on_message(AGENT, MembersView(1, ()))
    assert not subscription.is_current()
