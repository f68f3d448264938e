"""Which software version began which stream, and which versions may have begun any."""

import hashlib
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import islice

import msgspec

from oleandershift.ids import ServiceId, SoftwareVersion, StreamKey, TeamId

MEMORY_SECONDS = 60.0
"""Time after which no caller goes on with a stream; several times the longest wait for
an answer."""

MAX_STREAMS = 32_768
"""Limit of the streams that are remembered, the oldest of which are forgotten."""

TELLINGS = 2
"""Number of times that other VMs are told of a stream, as datagrams may be lost."""

VersionRecord = Mapping[ServiceId, tuple[SoftwareVersion, ...]]
"""Versions of each service that a VM may have begun streams at."""


def stream_key(team: TeamId | None, service: ServiceId, attempt_id: str) -> StreamKey:
    """Return the key of the stream that an attempt of a caller began.

    Parameters
    ----------
    team : TeamId or None
        Team of the caller, so that it can't name streams of others.
    service : ServiceId
        Service that runs the stream.
    attempt_id : str
        Id of the attempt that brought the first event.
    """
    data = msgspec.msgpack.encode((team, service, attempt_id))
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return StreamKey(int.from_bytes(digest, "big"))


@dataclass(slots=True)
class _Stream:
    service: ServiceId | None
    version: SoftwareVersion
    known_at: float
    tellings_left: int = 0


class StreamVersions:
    """Versions of streams, so that none goes on at another one.

    While a single version of a service has begun streams for longer than a stream can
    last, its version is that of every stream, and nothing needs to be known of them.
    Otherwise only streams whose begin some VM remembers are known.

    What a VM remembers is lost with it. Which versions may have begun streams outlasts
    all VMs in their registrations: each VM records a version before it begins streams
    at it, unless no recorded one is left, and a VM that starts reads all records.

    Parameters
    ----------
    started_at : float
        Start of the process, seconds.
    """

    def __init__(self, started_at: float) -> None:
        self._inherited_until = started_at + MEMORY_SECONDS
        self._inherited: defaultdict[ServiceId, set[SoftwareVersion]] | None = None
        self._registered: dict[ServiceId, frozenset[SoftwareVersion]] = {}
        self._ended_at: dict[tuple[ServiceId, SoftwareVersion], float] = {}
        self._needed: VersionRecord = {}
        self._recorded: dict[ServiceId, tuple[SoftwareVersion, ...]] = {}
        self._streams: OrderedDict[StreamKey, _Stream] = OrderedDict()
        self._untold: dict[StreamKey, _Stream] = {}
        self._mixed: set[ServiceId] = set()
        self._is_settled = False

    def inherit(self, records: Iterable[VersionRecord]) -> None:
        """Add what the VMs have recorded before this process started."""
        self._is_settled = False
        if self._inherited is None:
            self._inherited = defaultdict(set)
        for record in records:
            for service, versions in record.items():
                self._inherited[service].update(versions)

    def observe(
        self, now: float, registered: Mapping[ServiceId, frozenset[SoftwareVersion]]
    ) -> None:
        """Record the versions of the registered upstreams of each service."""
        self._forget_streams(now)
        if self._is_settled and registered == self._registered:
            return
        for service, previous in self._registered.items():
            for version in previous - registered.get(service, frozenset()):
                self._ended_at[service, version] = now
        self._registered = dict(registered)
        if now >= self._inherited_until:
            self._inherited = None
        self._ended_at = {
            (service, version): at
            for (service, version), at in self._ended_at.items()
            if at >= now - MEMORY_SECONDS
            and version not in registered.get(service, frozenset())
        }
        mixed = {
            service for service in registered if self.only_version(now, service) is None
        }
        self._announce_streams(mixed - self._mixed)
        self._mixed = mixed
        self._needed = self.record(now)
        # Until the next change, unless time changes something.
        self._is_settled = not self._ended_at and now >= self._inherited_until

    def may_have_begun(
        self, now: float, service: ServiceId
    ) -> frozenset[SoftwareVersion] | None:
        """Return the versions that may have begun a stream which still lasts.

        Returns
        -------
        frozenset of SoftwareVersion or None
            None if this VM has not read what was recorded before it started.
        """
        versions = self._registered.get(service, frozenset())
        versions |= {version for ended, version in self._ended_at if ended == service}
        if now >= self._inherited_until:
            return versions
        if self._inherited is None:
            return None
        return versions | self._inherited.get(service, set())

    def only_version(self, now: float, service: ServiceId) -> SoftwareVersion | None:
        """Return the version of all streams of a service, if there is one."""
        versions = self.may_have_begun(now, service)
        return next(iter(versions)) if versions and len(versions) == 1 else None

    def on_begun(
        self,
        now: float,
        service: ServiceId,
        key: StreamKey,
        version: SoftwareVersion,
    ) -> None:
        """Record the version that a stream has begun or goes on at."""
        stream = _Stream(service, version, now)
        self._remember(key, stream)
        if service in self._mixed:
            self._tell(key, stream)

    def learn(
        self, now: float, version: SoftwareVersion, keys: Iterable[StreamKey]
    ) -> None:
        """Record what another VM says of streams."""
        for key in keys:
            if key not in self._streams:
                self._remember(key, _Stream(None, version, now))

    def known(self, key: StreamKey) -> SoftwareVersion | None:
        """Return the version of a stream whose begin is remembered."""
        stream = self._streams.get(key)
        return stream.version if stream is not None else None

    def take_untold(self, limit: int) -> dict[SoftwareVersion, list[StreamKey]]:
        """Return streams that other VMs have to be told of, by version.

        Parameters
        ----------
        limit : int
            Largest number of streams; further ones are left for the next call.
        """
        told: defaultdict[SoftwareVersion, list[StreamKey]] = defaultdict(list)
        for key, stream in list(islice(self._untold.items(), limit)):
            told[stream.version].append(key)
            del self._untold[key]
            stream.tellings_left -= 1
            if stream.tellings_left:
                # Behind those that were not told yet.
                self._untold[key] = stream
        return told

    def record(self, now: float) -> VersionRecord:
        """Return what this VM's registration has to contain."""
        return {
            service: tuple(sorted(versions))
            for service in self._registered
            if (versions := self.may_have_begun(now, service))
        }

    def on_recorded(self, record: VersionRecord) -> None:
        """Record that this VM's registration contains a record."""
        self._recorded = dict(record)

    def needs_recording(self) -> bool:
        """Return whether this VM's registration differs from what it has to contain."""
        return self._needed != self._recorded

    def is_recorded(self, service: ServiceId, version: SoftwareVersion) -> bool:
        """Return whether streams may begin at a version."""
        return service not in self._registered or version in self._recorded.get(
            service, ()
        )

    def _announce_streams(self, services: set[ServiceId]) -> None:
        """Tell of all streams of services of which another version may begin some."""
        if services:
            for key, stream in self._streams.items():
                if stream.service in services:
                    self._tell(key, stream)

    def _tell(self, key: StreamKey, stream: _Stream) -> None:
        stream.tellings_left = TELLINGS
        self._untold[key] = stream

    def _remember(self, key: StreamKey, stream: _Stream) -> None:
        self._streams[key] = stream
        self._streams.move_to_end(key)
        if len(self._streams) > MAX_STREAMS:
            oldest, _ = self._streams.popitem(last=False)
            self._untold.pop(oldest, None)

    def _forget_streams(self, now: float) -> None:
        while self._streams:
            key, stream = next(iter(self._streams.items()))
            if stream.known_at >= now - MEMORY_SECONDS:
                return
            del self._streams[key]
            self._untold.pop(key, None)
