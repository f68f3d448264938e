"""Fingerprints of requests, by which a repeated request is recognised."""

import hashlib
from base64 import urlsafe_b64encode
from dataclasses import dataclass

import msgspec

from oleandershift.ids import Fingerprint, TeamId

FINGERPRINT_BYTES = 12
"""Size of a fingerprint; a request with the fingerprint of another can't be found."""


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What makes a request the same as an earlier one.

    An attempt id, a deadline and the place at which a stream resumes differ from one
    repetition to the next, and so may the key of a team.

    Parameters
    ----------
    team : TeamId or None
        Team of the caller; None without a key.
    method, host, target : bytes
        Method, `Host` header and target of the request line.
    parts : tuple of str
        Names of the parts of its prompt.
    body : bytes
        Its body.
    """

    team: TeamId | None
    method: bytes
    host: bytes
    target: bytes
    parts: tuple[str, ...]
    body: bytes

    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint, which depends on nothing but the content."""
        fields = (self.team, self.method, self.host.lower(), self.target, self.parts)
        digest = hashlib.blake2b(
            msgspec.msgpack.encode(fields), digest_size=FINGERPRINT_BYTES
        )
        digest.update(self.body)
        return Fingerprint(urlsafe_b64encode(digest.digest()).decode())
