"""Grants that an allocator has open."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from oleandershift.backlog import ClientKey
from oleandershift.ids import RegionId, TeamId, UpstreamId
from oleandershift.messages import Grant, GrantUse
from oleandershift.snapshotstreams import UseKey


@dataclass(frozen=True)
class BorrowedSlot:
    """A slot that another region has lent.

    Parameters
    ----------
    lender : RegionId
        The lender's region.
    use : GrantUse
        The lender's grant, as in use.
    deadline : float
        Instant after which no other request is started on it.
    """

    lender: RegionId
    use: GrantUse
    deadline: float


@dataclass
class OpenGrant:
    """A grant from when it is made until its slot is free.

    Parameters
    ----------
    key : UseKey
        Incarnation of the granting allocator, and its id of the grant.
    client : ClientKey
        Who holds it.
    remote : bool
        The client is another region's allocator.
    grant : Grant
        As it was sent.
    charged : float
        Charged by now, tokens.
    borrowed_slot : Origin or None
        Where the slot was lent by another region.
    confirmed_at : float or None
        When the client first mentioned it.
    sent_at : float
        When it was last sent.
    orphaned_at : float or None
        When its client vanished.
    unsettled : float
        What of the charge may still be given back, tokens.
    """

    key: UseKey
    client: ClientKey
    remote: bool
    grant: Grant
    charged: float
    borrowed_slot: BorrowedSlot | None = None
    confirmed_at: float | None = None
    sent_at: float = 0.0
    orphaned_at: float | None = None
    unsettled: float = 0.0

    @property
    def team(self) -> TeamId:
        """Return the team that it is charged to."""
        return self.grant.team

    @property
    def upstream(self) -> UpstreamId:
        """Return the upstream whose slot it takes."""
        return self.grant.upstream


class GrantLedger:
    """Open grants, found by key, by client and by upstream where they lack one."""

    def __init__(self) -> None:
        self._grants: dict[UseKey, OpenGrant] = {}
        self._of_client: defaultdict[ClientKey, dict[UseKey, OpenGrant]] = defaultdict(
            dict
        )
        self._unmentioned: defaultdict[ClientKey, dict[UseKey, OpenGrant]] = (
            defaultdict(dict)
        )
        self._orphans: dict[UseKey, OpenGrant] = {}

    def get(self, key: UseKey) -> OpenGrant | None:
        """Return an open grant."""
        return self._grants.get(key)

    def add(self, held: OpenGrant) -> None:
        """Take a grant that was made or adopted."""
        self._grants[held.key] = held
        self._of_client[held.client][held.key] = held
        if held.confirmed_at is None:
            self._unmentioned[held.client][held.key] = held

    def confirm(self, now: float, held: OpenGrant) -> None:
        """Note that the client has spoken of the grant."""
        held.confirmed_at = now
        self._unmentioned[held.client].pop(held.key, None)

    def remove(self, held: OpenGrant) -> None:
        """Drop a grant whose slot is free."""
        self._grants.pop(held.key, None)
        self._orphans.pop(held.key, None)
        self._of_client[held.client].pop(held.key, None)
        self._unmentioned[held.client].pop(held.key, None)

    def orphan_client(self, now: float, client: ClientKey) -> tuple[OpenGrant, ...]:
        """Return a vanished client's grants, all of which may be in use."""
        found = tuple(self._of_client.pop(client, {}).values())
        for held in found:
            self.mark_orphaned(now, held)
        return found

    def mark_orphaned(self, now: float, held: OpenGrant) -> None:
        """Note that a grant's holder has vanished."""
        self._of_client[held.client].pop(held.key, None)
        self._unmentioned[held.client].pop(held.key, None)
        held.orphaned_at = now
        held.confirmed_at = held.confirmed_at or now
        self._orphans[held.key] = held

    def reassign(self, held: OpenGrant, client: ClientKey) -> None:
        """Give an orphan to the client that speaks of it."""
        self._orphans.pop(held.key, None)
        self._of_client[held.client].pop(held.key, None)
        held.orphaned_at = None
        held.client = client
        self._of_client[client][held.key] = held

    def has_grants(self, client: ClientKey) -> bool:
        """Tell whether a client has open grants."""
        return bool(self._of_client.get(client))

    def unconfirmed(self, client: ClientKey) -> Iterable[OpenGrant]:
        """Return a client's grants that it has not spoken of."""
        return tuple(self._unmentioned.get(client, {}).values())

    def orphans(self) -> Iterable[OpenGrant]:
        """Return the grants whose client has vanished."""
        return tuple(self._orphans.values())
