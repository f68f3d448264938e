"""Waiting until edits are in force on every live VM."""

import time
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from returns.result import Failure

from oleandershift.exceptions import NotInForceError, UnreachableError
from oleandershift.ids import FleetId, VmId
from oleandershift.io.queries import ask
from oleandershift.messages import (
    Member,
    MemberState,
    OperatorQuery,
    OperatorReply,
    QueryKind,
    RowVersion,
)

ASK_SECONDS = 1.0
PAUSE_SECONDS = 0.1
PARALLEL_QUERIES = 16


@dataclass(frozen=True)
class Fleet:
    """How to reach a fleet's agents.

    Parameters
    ----------
    fleet : FleetId
        Its name.
    query_address : str
        `ip:port` of any agent's query socket.
    """

    fleet: FleetId
    query_address: str


def live_members(fleet: Fleet, timeout_seconds: float) -> tuple[Member, ...]:
    """Return the VMs that are not dead, as one agent knows them.

    Raises
    ------
    UnreachableError
        When the agent does not answer.
    """
    query = OperatorQuery(QueryKind.MEMBERS)
    result = ask(fleet.query_address, fleet.fleet, query, timeout_seconds)
    if isinstance(result, Failure):
        raise UnreachableError(f"no agent answered: {result.failure()}")
    members = result.unwrap().members
    return tuple(m for m in members if m.state is not MemberState.DEAD)


def wait_in_force(
    fleet: Fleet, wanted: Sequence[RowVersion], deadline: float
) -> tuple[VmId, ...]:
    """Return the live VMs once all of them have the rows in force.

    Parameters
    ----------
    fleet : Fleet
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
    with ThreadPoolExecutor(PARALLEL_QUERIES) as pool:
        while True:
            members = live_members(fleet, ASK_SECONDS)
            waiting = [m for m in members if m.vm not in done]
            answers = pool.map(lambda m: _ask_member(fleet, m, query), waiting)
            for member, answer in zip(waiting, answers, strict=True):
                if answer is not None and _has(answer, wanted):
                    done.add(member.vm)
            late = [member.vm for member in waiting if member.vm not in done]
            if not late:
                return tuple(sorted(member.vm for member in members))
            if time.time() >= deadline:
                raise NotInForceError(_explain(late, members))
            time.sleep(PAUSE_SECONDS)


def _ask_member(
    fleet: Fleet, member: Member, query: OperatorQuery
) -> OperatorReply | None:
    address = f"{member.ip}:{member.query_port}"
    return ask(address, fleet.fleet, query, ASK_SECONDS).value_or(None)


def _has(reply: OperatorReply, wanted: Iterable[RowVersion]) -> bool:
    held = {(row.kind, row.name): row.version for row in reply.versions}
    return all(held.get((row.kind, row.name), 0) >= row.version for row in wanted)


def _explain(late: Sequence[VmId], members: Sequence[Member]) -> str:
    return (
        f"accepted, but not yet in force on {len(late)} of {len(members)} VMs: "
        f"{', '.join(sorted(late))}; it takes effect there as soon as they are "
        "reached"
    )
