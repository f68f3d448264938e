"""Ledger of an allocator's open grants."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from oleandershift.backlog import ClientKey
from oleandershift.ids import RegionId, TeamId, UpstreamId
from oleandershift.messages import Grant, GrantUse
from oleandershift.snapshotstreams import UseKey


@dataclass(frozen=True)
class BorrowedSlot:
    """A slot lent by another region.

    Parameters
    ----------
    lender : RegionId
        Region that lent the slot.
    use : GrantUse
        Use of the lender's grant, as reported to the lender.
    deadline : float
        Time after which the slot is not granted again, seconds since the Unix epoch.
    """

    lender: RegionId
    use: GrantUse
    deadline: float


@dataclass
class OpenGrant:
    """A grant between its creation and the release of its slot.

    Parameters
    ----------
    key : UseKey
        Incarnation of the allocator that made the grant, and the grant's id.
    client : ClientKey
        Client that received the grant.
    remote : bool
        Whether the client is another region's allocator.
    grant : Grant
        Grant message as sent to the client.
    charged : float
        Charge so far, tokens.
    borrowed_slot : BorrowedSlot or None
        Set when another region lent the slot.
    confirmed_at : float or None
        When a snapshot of the client first listed the grant.
    sent_at : float
        When the grant was last sent.
    orphaned_at : float or None
        When the client was lost.
    unsettled : float
        Part of the charge that may still be refunded, tokens.
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
        """Return the team that is charged."""
        return self.grant.team

    @property
    def upstream(self) -> UpstreamId:
        """Return the upstream whose slot is in use."""
        return self.grant.upstream


class GrantLedger:
    """Open grants by key and by client, with the unconfirmed and orphaned ones."""

    def __init__(self) -> None:
        self._grants: dict[UseKey, OpenGrant] = {}
        self._by_client: defaultdict[ClientKey, dict[UseKey, OpenGrant]] = defaultdict(
            dict
        )
        self._unconfirmed: defaultdict[ClientKey, dict[UseKey, OpenGrant]] = (
            defaultdict(dict)
        )
        self._orphans: dict[UseKey, OpenGrant] = {}

    def get(self, key: UseKey) -> OpenGrant | None:
        """Return an open grant, or None."""
        return self._grants.get(key)

    def add(self, open_grant: OpenGrant) -> None:
        """Add a new or adopted grant."""
        self._grants[open_grant.key] = open_grant
        self._by_client[open_grant.client][open_grant.key] = open_grant
        if open_grant.confirmed_at is None:
            self._unconfirmed[open_grant.client][open_grant.key] = open_grant

    def confirm(self, now: float, open_grant: OpenGrant) -> None:
        """Record that the client has listed the grant in a snapshot."""
        open_grant.confirmed_at = now
        self._unconfirmed[open_grant.client].pop(open_grant.key, None)

    def remove(self, open_grant: OpenGrant) -> None:
        """Remove a grant whose slot was released."""
        self._grants.pop(open_grant.key, None)
        self._orphans.pop(open_grant.key, None)
        self._by_client[open_grant.client].pop(open_grant.key, None)
        self._unconfirmed[open_grant.client].pop(open_grant.key, None)

    def orphan_client(self, now: float, client: ClientKey) -> tuple[OpenGrant, ...]:
        """Orphan all grants of a lost client, as any may be in use; return them."""
        orphans = tuple(self._by_client.pop(client, {}).values())
        for open_grant in orphans:
            self.mark_orphaned(now, open_grant)
        return orphans

    def mark_orphaned(self, now: float, open_grant: OpenGrant) -> None:
        """Mark a grant whose client was lost as orphaned and confirmed."""
        self._by_client[open_grant.client].pop(open_grant.key, None)
        self._unconfirmed[open_grant.client].pop(open_grant.key, None)
        open_grant.orphaned_at = now
        open_grant.confirmed_at = open_grant.confirmed_at or now
        self._orphans[open_grant.key] = open_grant

    def reassign(self, open_grant: OpenGrant, client: ClientKey) -> None:
        """Assign an orphaned grant to the client that reports it."""
        self._orphans.pop(open_grant.key, None)
        self._by_client[open_grant.client].pop(open_grant.key, None)
        open_grant.orphaned_at = None
        open_grant.client = client
        self._by_client[client][open_grant.key] = open_grant

    def has_grants(self, client: ClientKey) -> bool:
        """Return whether a client has open grants."""
        return bool(self._by_client.get(client))

    def unconfirmed(self, client: ClientKey) -> Iterable[OpenGrant]:
        """Return the grants that a client has not confirmed."""
        return tuple(self._unconfirmed.get(client, {}).values())

    def orphans(self) -> Iterable[OpenGrant]:
        """Return the grants whose client was lost."""
        return tuple(self._orphans.values())
