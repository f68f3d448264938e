"""What may still be sent while a process stops as planned."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Times of a planned stop.

    Parameters
    ----------
    serves_until : float
        Clock time in seconds until which requests are accepted and sent as before.
    answers_until : float
        Clock time in seconds by which each request is answered, as the process ends
        soon after.
    """

    serves_until: float = math.inf
    answers_until: float = math.inf

    def allows_send(
        self, now: float, deadline: float, target_s: float, repeatable: bool
    ) -> bool:
        """Return whether the process lives to see the answer to a request.

        Parameters
        ----------
        now : float
            Current time, seconds.
        deadline : float
            Latest time for its answer, seconds.
        target_s : float
            Target time to the first byte.
        repeatable : bool
            Whether it may run twice. One that may not has all its time or is not sent,
            as its caller would not learn how it ended.
        """
        if now < self.serves_until:
            return True
        needed_until = now + target_s if repeatable else deadline
        return needed_until <= self.answers_until


NO_STOP = PlannedStop()
