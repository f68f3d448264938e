"""Client for operators' queries to all agents of a fleet."""

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
    """Queries the agents of a fleet.

    Parameters
    ----------
    fleet : FleetId
        Name of the fleet.
    address : str
        `ip:port` of any agent's query socket.
    timeout_seconds : float
        Longest wait for the reply of one agent.
    """

    fleet: FleetId
    address: str
    timeout_seconds: float

    def members(self) -> tuple[Member, ...]:
        """Return all members of the fleet known to the agent at `address`.

        Raises
        ------
        UnreachableError
            When that agent does not reply.
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
        """Return the reply of one VM's agent, or None if it does not reply in time."""
        address = f"{member.ip}:{member.query_port}"
        result = send_query(address, self.fleet, query, self.timeout_seconds)
        return result.value_or(None)

    def sample(self, members: Sequence[Member], query: OperatorQuery) -> Sample:
        """Query the agents of all VMs that are not known to be dead, in parallel.

        Parameters
        ----------
        members : sequence of Member
            VMs to query.
        query : OperatorQuery
            Query to send to each.
        """
        live = [m for m in members if m.state is not MemberState.DEAD]
        sampled_at = time.time()
        with ThreadPoolExecutor(MAX_PARALLEL_QUERIES) as pool:
            results = pool.map(lambda member: self.query_member(member, query), live)
        replies = {
            VmId(member.vm): reply
            for member, reply in zip(live, results, strict=True)
            if reply is not None
        }
        return Sample(sampled_at, tuple(members), replies)
