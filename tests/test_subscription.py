"""Tests of a daemon's subscription to its agent."""

from oleandershift.messages import MembersView, RowsUpdate, Subscribe
from oleandershift.subscription import HEARTBEAT_INTERVAL_SECONDS, Subscription

AGENT_INCARNATION = 1


def next_heartbeat(subscription: Subscription, now: float) -> Subscribe:
    (body,) = subscription.on_tick(now, True)
    assert isinstance(body, Subscribe)
    return body


def test_query_is_sent_at_once_and_repeated_until_answered() -> None:
    subscription = Subscription("tcp://router")
    assert next_heartbeat(subscription, 0.0).query_id == 0
    subscription.request_sync()
    first = next_heartbeat(subscription, 0.1)
    assert first.query_id > 0
    assert (
        next_heartbeat(subscription, 0.1 + HEARTBEAT_INTERVAL_SECONDS).query_id
        == first.query_id
    )
    subscription.on_message(AGENT_INCARNATION, RowsUpdate((), query_id=first.query_id))
    assert subscription.is_current()
    assert (
        next_heartbeat(subscription, 0.2 + 2 * HEARTBEAT_INTERVAL_SECONDS).query_id == 0
    )


def test_reply_to_older_query_does_not_answer_newer_one() -> None:
    subscription = Subscription("tcp://router")
    subscription.request_sync()
    old = next_heartbeat(subscription, 0.0).query_id
    subscription.request_sync()
    subscription.on_message(
        AGENT_INCARNATION, RowsUpdate((), complete=True, query_id=old)
    )
    subscription.on_message(AGENT_INCARNATION, MembersView(1, ()))
    assert not subscription.is_current()
