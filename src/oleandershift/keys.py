"""API keys of callers; the table stores only their hashes."""

import hashlib
import secrets

from oleandershift.checks import MAX_KEYS_PER_TEAM
from oleandershift.exceptions import Finding, TableError
from oleandershift.ids import TeamId

KEY_BYTES = 32
KEY_PREFIX = "ole_"


def generate_key() -> str:
    """Return a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hash of a key as stored in the table: SHA-256 in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def add_key_hash(
    team: TeamId, key_hashes: tuple[str, ...], key_hash: str
) -> tuple[str, ...]:
    """Return a team's key hashes with one more.

    Raises
    ------
    TableError
        When the team already has `MAX_KEYS_PER_TEAM` keys.
    """
    if len(key_hashes) >= MAX_KEYS_PER_TEAM:
        location = f"teams/{team} key_hashes"
        expected = f"at most {MAX_KEYS_PER_TEAM}; remove the older key first"
        raise TableError((Finding(location, f"{len(key_hashes) + 1} keys", expected),))
    return (*key_hashes, key_hash)


def remove_key_hash(
    team: TeamId, key_hashes: tuple[str, ...], remove_newest: bool
) -> tuple[str, ...]:
    """Return a team's key hashes without the oldest one, or without the newest.

    Raises
    ------
    TableError
        When the team has no key.
    """
    if not key_hashes:
        raise TableError((Finding(f"teams/{team} key_hashes", "0 keys", "a key"),))
    return key_hashes[:-1] if remove_newest else key_hashes[1:]
