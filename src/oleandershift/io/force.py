"""Waiting until edits are in force on every live VM."""

import time
from collections.abc import Iterable, Sequence

from oleandershift.exceptions import NotInForceError
from oleandershift.ids import VmId
from oleandershift.io.query import FleetClient
from oleandershift.messages import (
    MemberState,
    OperatorQuery,
    OperatorReply,
    QueryKind,
    RowVersion,
)

POLL_INTERVAL_SECONDS = 0.1


def wait_until_in_force(
    fleet: FleetClient, wanted: Sequence[RowVersion], deadline: float
) -> tuple[VmId, ...]:
    """Return the live VMs once all of them have the rows in force.

    Parameters
    ----------
    fleet : FleetClient
        The fleet.
    wanted : sequence of RowVersion
        Rows, each at least at this version.
    deadline : float
        Instant at which to give up.

    Raises
    ------
    NotInForceError
        At the deadline, naming the VMs where it is not in force.
    UnreachableError
        When the first agent does not answer.
    """
    subject = ",".join(f"{row.kind}/{row.name}" for row in wanted)
    query = OperatorQuery(QueryKind.TABLE, subject)
    done: set[VmId] = set()
    while True:
        members = fleet.members()
        live = [m.vm for m in members if m.state is not MemberState.DEAD]
        waiting = [m for m in members if m.vm in live and m.vm not in done]
        replies = fleet.sample(waiting, query).replies
        done |= {vm for vm, reply in replies.items() if _has(reply, wanted)}
        late = [vm for vm in live if vm not in done]
        if not late:
            return tuple(sorted(live))
        if time.time() >= deadline:
            raise NotInForceError(_explain(late, len(live)))
        time.sleep(POLL_INTERVAL_SECONDS)


def _has(reply: OperatorReply, wanted: Iterable[RowVersion]) -> bool:
    held = {(row.kind, row.name): row.version for row in reply.versions}
    return all(held.get((row.kind, row.name), 0) >= row.version for row in wanted)


def _explain(late: Sequence[VmId], live: int) -> str:
    return (
        f"accepted, but not yet in force on {len(late)} of {live} VMs: "
        f"{', '.join(sorted(late))}; it takes effect there as soon as they are "
        "reached"
    )
