"""Rendezvous hashing: every node ranks the same names for a key the same way.

References
----------
D. Thaler and C. Ravishankar, Using Name-Based Mappings to Increase Hit Rates,
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib
from collections.abc import Iterable


def score(key: str, name: str) -> int:
    """Return the weight of a name for a key; the same in every process."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Rank names for a key, the best first.

    Examples
    --------
    >>> ranked("order-desk", ["a", "b", "c"]) == ranked("order-desk", ["c", "b", "a"])
    True
    """
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)
