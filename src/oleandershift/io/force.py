"""Polling until edits are in force on every live VM."""

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
    fleet: FleetClient, expected: Sequence[RowVersion], deadline: float
) -> tuple[VmId, ...]:
    """Wait until the rows are in force on all live VMs and return these VMs.

    Parameters
    ----------
    fleet : FleetClient
        Client that queries the agents.
    expected : sequence of RowVersion
        Rows and the lowest version of each that must be in force.
    deadline : float
        Unix time at which to give up.

    Raises
    ------
    NotInForceError
        At the deadline, with the VMs on which a row is not in force.
    UnreachableError
        When the agent at the client's address does not reply.
    """
    subject = ",".join(f"{row.kind}/{row.name}" for row in expected)
    query = OperatorQuery(QueryKind.TABLE, subject)
    confirmed: set[VmId] = set()
    while True:
        members = fleet.members()
        live = [m.vm for m in members if m.state is not MemberState.DEAD]
        unconfirmed = [m for m in members if m.vm in live and m.vm not in confirmed]
        replies = fleet.sample(unconfirmed, query).replies
        confirmed |= {
            vm for vm, reply in replies.items() if _has_versions(reply, expected)
        }
        pending = [vm for vm in live if vm not in confirmed]
        if not pending:
            return tuple(sorted(live))
        if time.time() >= deadline:
            raise NotInForceError(_timeout_message(pending, len(live)))
        time.sleep(POLL_INTERVAL_SECONDS)


def _has_versions(reply: OperatorReply, expected: Iterable[RowVersion]) -> bool:
    versions = {(row.kind, row.name): row.version for row in reply.versions}
    return all(versions.get((row.kind, row.name), 0) >= row.version for row in expected)


def _timeout_message(pending: Sequence[VmId], live_count: int) -> str:
    return (
        f"accepted, but not yet in force on {len(pending)} of {live_count} VMs: "
        f"{', '.join(sorted(pending))}; it takes effect there as soon as they are "
        "reached"
    )
