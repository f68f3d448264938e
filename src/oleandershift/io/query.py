"""Operators' queries to the agents of a whole fleet."""

import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from returns.result import Failure

from oleandershift.exceptions import UnreachableError
from oleandershift.ids import FleetId, VmId
from oleandershift.io.queries import send_query
from oleandershift.messages import (
    Member,
    MemberState,
    OperatorQuery,
    OperatorReply,
    QueryKind,
)
from oleandershift.samples import Sample

MAX_PARALLEL_QUERIES = 32


@dataclass(frozen=True)
class FleetClient:
    """Asks the agents of a fleet.

    Parameters
    ----------
    fleet : FleetId
        Its name.
    address : str
        `ip:port` of any agent's query socket.
    timeout_seconds : float
        Longest wait for one agent's answer.
    """

    fleet: FleetId
    address: str
    timeout_seconds: float

    def members(self) -> tuple[Member, ...]:
        """Return every VM as the first agent knows it.

        Raises
        ------
        UnreachableError
            When that agent does not answer.
        """
        query = OperatorQuery(QueryKind.MEMBERS)
        result = send_query(self.address, self.fleet, query, self.timeout_seconds)
        if isinstance(result, Failure):
            raise UnreachableError(
                f"no agent answered: {result.failure()}; name another one by "
                "--query-address"
            )
        return result.unwrap().members

    def query_member(
        self, member: Member, query: OperatorQuery
    ) -> OperatorReply | None:
        """Return one VM's answer, or None when there is none in time."""
        address = f"{member.ip}:{member.query_port}"
        result = send_query(address, self.fleet, query, self.timeout_seconds)
        return result.value_or(None)

    def sample(self, members: Sequence[Member], query: OperatorQuery) -> Sample:
        """Ask all VMs that are not known to be dead, at once.

        Parameters
        ----------
        members : sequence of Member
            The VMs.
        query : OperatorQuery
            What to ask.
        """
        asked = [m for m in members if m.state is not MemberState.DEAD]
        at = time.time()
        with ThreadPoolExecutor(MAX_PARALLEL_QUERIES) as pool:
            answers = pool.map(lambda member: self.query_member(member, query), asked)
        replies = {
            VmId(member.vm): answer
            for member, answer in zip(asked, answers, strict=True)
            if answer is not None
        }
        return Sample(at, tuple(members), replies)
