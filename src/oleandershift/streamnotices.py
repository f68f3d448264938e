"""Exchange of the versions that streams began at, between VMs."""

from oleandershift.digests import Scope, StreamGroup, StreamNotice, StreamQuery
from oleandershift.hashing import ranked
from oleandershift.ids import StreamKey
from oleandershift.neighbours import Addressed, Peer, PeerTable
from oleandershift.streamversions import StreamVersions
from oleandershift.vmsettings import Address

LOCAL_KEEPERS = 2
REMOTE_KEEPERS = 1
"""VMs of the own and of other data centres that remember a VM's streams with it."""

MAX_STREAMS_IN_NOTICE = 128
"""Limit of a notice, which then fits into one packet of 1500 bytes."""


class StreamExchange:
    """Creates this VM's notices and queries about streams and applies those of others.

    Nothing is sent as long as each service has a single version. Otherwise a VM tells
    a few others of the streams that it begins, and asks all for one that it does not
    know.

    Parameters
    ----------
    this_vm : Peer
        This VM.
    peers : PeerTable
        The other VMs.
    versions : StreamVersions
        What is known of streams.
    """

    def __init__(
        self, this_vm: Peer, peers: PeerTable, versions: StreamVersions
    ) -> None:
        self._this_vm = this_vm
        self._peers = peers
        self._versions = versions

    def next_notice(self, now: float) -> Addressed[StreamNotice] | None:
        """Return the notice of streams that others have to be told of, if any."""
        untold = self._versions.take_untold(MAX_STREAMS_IN_NOTICE)
        if not untold:
            return None
        groups = tuple(
            StreamGroup(version, tuple(keys)) for version, keys in untold.items()
        )
        notice = StreamNotice(self._this_vm.vm, groups)
        return Addressed(notice, self._keepers(now))

    def receive(self, now: float, notice: StreamNotice) -> None:
        """Apply another VM's notice."""
        for group in notice.groups:
            self._versions.learn(now, group.version, group.keys)

    def queries(self, now: float, key: StreamKey) -> list[Addressed[StreamQuery]]:
        """Return the queries that ask all VMs for a stream."""
        return [
            Addressed(self._query(key, Scope.VM), self._peers.local_peers(now)),
            Addressed(
                self._query(key, Scope.DATA_CENTRE),
                self._peers.remote_hubs(now, all_members=True),
            ),
        ]

    def answer(self, query: StreamQuery) -> Addressed[StreamNotice] | None:
        """Return the answer to another VM's query, if this VM knows the stream."""
        version = self._versions.known(query.key)
        if version is None:
            return None
        notice = StreamNotice(self._this_vm.vm, (StreamGroup(version, (query.key,)),))
        asker = Peer(
            query.vm, self._this_vm.data_centre, Address(query.host, query.port)
        )
        return Addressed(notice, [asker])

    def forwarded(
        self, now: float, query: StreamQuery
    ) -> Addressed[StreamQuery] | None:
        """Return a query of another data centre's VM for the VMs of this one."""
        if query.scope is not Scope.DATA_CENTRE or not self._peers.is_hub(now):
            return None
        local = StreamQuery(query.vm, query.host, query.port, Scope.VM, query.key)
        return Addressed(local, self._peers.local_peers(now))

    def _query(self, key: StreamKey, scope: Scope) -> StreamQuery:
        address = self._this_vm.address
        return StreamQuery(self._this_vm.vm, address.host, address.port, scope, key)

    def _keepers(self, now: float) -> list[Peer]:
        local = self._preferred(self._peers.local_peers(now))
        remote = self._preferred(self._peers.remote_hubs(now, all_members=False))
        return local[:LOCAL_KEEPERS] + remote[:REMOTE_KEEPERS]

    def _preferred(self, peers: list[Peer]) -> list[Peer]:
        return ranked(self._this_vm.vm, peers, lambda peer: peer.vm)
