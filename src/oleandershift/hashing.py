"""Hash weights for rendezvous hashing."""

import xxhash


def weight_of(key: str, member: str) -> int:
    """Return the weight of a member for a key; the largest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{key}|{member}".encode())
