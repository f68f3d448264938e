"""What is sent while a process stops: what it lives to see answered."""

import pytest

from oleandershift.stopping import NO_STOP, PlannedStop

STOP = PlannedStop(serves_until=3.0, answers_until=7.0)
TARGET_SECONDS = 0.5


@pytest.mark.parametrize(
    ("now", "deadline", "repeatable", "is_allowed"),
    [
        (2.9, 18.0, False, True),
        (2.9, 18.0, True, True),
        (3.0, 7.0, False, True),
        (3.0, 7.1, False, False),
        (3.0, 18.0, True, True),
        (6.4, 18.0, True, True),
        (6.6, 18.0, True, False),
    ],
)
def test_request_is_sent_if_its_answer_comes_before_the_end(
    now, deadline, repeatable, is_allowed
):
    allowed = STOP.allows_send(now, deadline, TARGET_SECONDS, repeatable)
    assert allowed == is_allowed
    assert NO_STOP.allows_send(now, deadline, TARGET_SECONDS, repeatable)
